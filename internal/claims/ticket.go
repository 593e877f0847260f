package claims

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// tickets holds the run tickets that this process issued and the journal of the
// claims under them. Both are kept in memory only, so the tickets are valid only
// while the process runs.
type tickets struct {
	lastNumber uint64
	journal    *journal
	// teamByDigest holds the team of each ticket that was issued and has not
	// expired. A ticket that is not in it is rejected, so the removal of a
	// ticket never lets it run again.
	teamByDigest map[Digest]string
	issued       []issuedTicket // sorted by issue time
	countByTeam  map[string]int
}

// maxTicketAnswerBytes bounds the total size of the answers stored under tickets.
const maxTicketAnswerBytes = 16 << 20

type issuedTicket struct {
	digest   Digest
	issuedAt time.Time
}

func newTickets(limit int) tickets {
	l := journalLimits{maxRecords: limit, maxAnswerBytes: maxTicketAnswerBytes}
	return tickets{journal: newJournal(l), teamByDigest: make(map[Digest]string), countByTeam: make(map[string]int)}
}

// Ticket issues a run ticket for team. One team can hold at most a quarter of
// Limits.MaxTickets.
func (c *Core) Ticket(now time.Time, team string) (string, error) {
	t := &c.tickets
	t.expire(now.Add(-c.limits.MaxKeyAge))
	if len(t.teamByDigest) >= c.limits.MaxTickets || t.countByTeam[team] >= (c.limits.MaxTickets+3)/4 {
		return "", result.New(result.Overloaded, "too many run tickets are outstanding")
	}
	if len(team) > maxTeamBytes {
		return "", result.New(result.BadRequest, "the team's name is too long")
	}
	t.lastNumber++
	s := ticket{VM: c.vm, Incarnation: c.incarnation, Number: t.lastNumber, Issued: now}.sign(team, c.secret)
	d := Key{Team: team, Value: s}.Digest()
	t.teamByDigest[d] = team
	t.countByTeam[team]++
	t.issued = append(t.issued, issuedTicket{digest: d, issuedAt: now})
	return s, nil
}

// expire removes the tickets issued before the given time and the claims under
// them.
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

// applyTicketItem applies an item to the journal of tickets, without a store call.
func (c *Core) applyTicketItem(it Item) PutAnswer {
	if _, ok := c.tickets.teamByDigest[it.Digest]; !ok {
		return PutAnswer{Verdict: JournalClosed}
	}
	v, r, _ := c.tickets.journal.apply(it)
	return PutAnswer{Verdict: v, Record: r}
}
