package claims

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// tickets are the run tickets of this process: the journal of the claims under
// them. It lives as long as the process does, and so does their permission.
type tickets struct {
	lastNumber uint64
	journal    *journal
	// known holds the tickets that were issued and have not expired. A ticket
	// that is not in it is refused, so forgetting one never lets it run again.
	teamByDigest map[Digest]string // the team
	issued       []issuedTicket    // by time of issue
	countByTeam  map[string]int
}

// ticketAnswers bounds the answers kept under tickets, in bytes.
const maxTicketAnswerBytes = 16 << 20

type issuedTicket struct {
	digest   Digest
	issuedAt time.Time
}

func newTickets(limit int) tickets {
	l := journalLimits{maxRecords: limit, maxAnswerBytes: maxTicketAnswerBytes}
	return tickets{journal: newJournal(l), teamByDigest: make(map[Digest]string), countByTeam: make(map[string]int)}
}

// Ticket issues a run ticket for team. One team holds at most a quarter of the
// outstanding ones.
func (c *Core) Ticket(now time.Time, team string) (string, error) {
	t := &c.tickets
	t.expire(now.Add(-c.limits.Window))
	if len(t.teamByDigest) >= c.limits.Tickets || t.countByTeam[team] >= (c.limits.Tickets+3)/4 {
		return "", result.New(result.Overloaded, "too many run tickets are outstanding")
	}
	if len(team) > maxTeamBytes {
		return "", result.New(result.BadRequest, "the team's name is too long")
	}
	t.lastNumber++
	s := ticket{VM: c.vm, Incarnation: c.incarnation, Number: t.lastNumber, Issued: now}.sign(team, c.secret)
	d := Key{Team: team, Key: s}.Digest()
	t.teamByDigest[d] = team
	t.countByTeam[team]++
	t.issued = append(t.issued, issuedTicket{digest: d, issuedAt: now})
	return s, nil
}

// expire forgets the tickets issued before a time and the claims under them.
func (t *tickets) expire(before time.Time) {
	n := 0
	for n < len(t.issued) && t.issued[n].issuedAt.Before(before) {
		d := t.issued[n].digest
		if t.countByTeam[t.teamByDigest[d]]--; t.countByTeam[t.teamByDigest[d]] == 0 {
			delete(t.countByTeam, t.teamByDigest[d])
		}
		delete(t.teamByDigest, d)
		t.journal.remove(d)
		n++
	}
	t.issued = t.issued[n:]
}

// putTicket applies an item to the journal of tickets; no store is asked.
func (c *Core) applyTicketItem(it Item) PutAnswer {
	if _, ok := c.tickets.teamByDigest[it.Digest]; !ok {
		return PutAnswer{Verdict: Expired}
	}
	v, r, _ := c.tickets.journal.apply(it)
	return PutAnswer{Verdict: v, Record: r}
}
