package claims

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// tickets are the run tickets of this process: the journal of the claims under
// them. It lives as long as the process does, and so does their permission.
type tickets struct {
	number  uint64
	journal *journal
	// known holds the tickets that were issued and have not expired. A ticket
	// that is not in it is refused, so forgetting one never lets it run again.
	known  map[Digest]string // the team
	issued []issuedTicket    // by time of issue
	teams  map[string]int
}

// ticketAnswers bounds the answers kept under tickets, in bytes.
const ticketAnswers = 16 << 20

type issuedTicket struct {
	digest Digest
	at     time.Time
}

func newTickets(most int) tickets {
	r := room{records: most, answers: ticketAnswers}
	return tickets{journal: newJournal(r), known: make(map[Digest]string), teams: make(map[string]int)}
}

// Ticket issues a run ticket for team. One team holds at most a quarter of the
// outstanding ones.
func (c *Core) Ticket(now time.Time, team string) (string, error) {
	t := &c.tickets
	t.expire(now.Add(-c.limits.Window))
	if len(t.known) >= c.limits.MaxTickets || t.teams[team] >= (c.limits.MaxTickets+3)/4 {
		return "", result.New(result.Overloaded, "too many run tickets are outstanding")
	}
	if len(team) > maxTeamBytes {
		return "", result.New(result.BadRequest, "the team's name is too long")
	}
	t.number++
	s := ticket{VM: c.vm, Incarnation: c.incarn, Number: t.number, Issued: now}.signed(team, c.secret)
	d := Key{Team: team, Key: s}.Digest()
	t.known[d] = team
	t.teams[team]++
	t.issued = append(t.issued, issuedTicket{digest: d, at: now})
	return s, nil
}

// expire forgets the tickets issued before a time and the claims under them.
func (t *tickets) expire(before time.Time) {
	n := 0
	for n < len(t.issued) && t.issued[n].at.Before(before) {
		d := t.issued[n].digest
		if t.teams[t.known[d]]--; t.teams[t.known[d]] == 0 {
			delete(t.teams, t.known[d])
		}
		delete(t.known, d)
		t.journal.remove(d)
		n++
	}
	t.issued = t.issued[n:]
}

// putTicket applies an item to the journal of tickets; no store is asked.
func (c *Core) putTicket(it Item) PutAnswer {
	if _, ok := c.tickets.known[it.Digest]; !ok {
		return PutAnswer{Verdict: JournalClosed}
	}
	v, r, _ := c.tickets.journal.apply(it)
	return PutAnswer{Verdict: v, Record: r}
}
