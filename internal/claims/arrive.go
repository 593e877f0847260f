package claims

import (
	"github.com/cranberrypier/cranberrypier/internal/result"
)

func (c *Core) arrive(m Arrive) {
	k, t, err := c.accept(m.Request.Key)
	if err != nil {
		c.do(Answer{Arrival: m.ID, Err: err})
		return
	}
	d := k.Digest()
	id := journalOf(k, d)
	if t != nil {
		id = JournalID{VM: t.VM, Incarnation: t.Incarnation}
	}
	print := printOf(m.Request.Fingerprint)
	if e := c.entries[d]; e != nil {
		c.wait(e, m, print)
		return
	}
	if err := c.refusal(m.Request, id); err != nil {
		c.do(Answer{Arrival: m.ID, Err: err})
		return
	}
	e := &entry{
		digest: d, print: print, journal: id, waiters: []ArrivalID{m.ID},
		request: m.Request.ID, deadline: m.Request.Deadline,
	}
	c.entries[d] = e
	c.claim(e, Claimer{}, false)
}

// accept resolves a key and checks its age by this VM's clock. A wrong clock
// refuses or admits wrongly, but never leads to another journal.
func (c *Core) accept(k Key) (Key, *ticket, error) {
	k, err := k.Resolve()
	if err != nil {
		return k, nil, err
	}
	if IsTicket(k.Key) {
		t, err := parseTicket(k.Team, k.Key, c.secret)
		return k, &t, err
	}
	if k.IssuedAt.Before(c.now.Add(-c.limits.Window)) {
		return k, nil, result.New(result.KeyExpired, "the key was issued more than %s ago", c.limits.Window)
	}
	if k.IssuedAt.After(c.now.Add(c.limits.MaxAhead)) {
		return k, nil, result.New(result.KeyMalformed, "the key's issue time lies in the future")
	}
	return k, nil, nil
}

// refusal returns why a new unit of work can't be claimed now, if so.
func (c *Core) refusal(r Request, id JournalID) error {
	if !r.Deadline.IsZero() && !c.now.Before(r.Deadline) {
		return result.New(result.DeadlineTooShort, "the deadline has passed")
	}
	if len(c.entries) >= c.limits.MaxEntries || c.reports.len() >= maxReports {
		return unavailable("too many claims are in progress")
	}
	if _, remote := c.home(id); id.VM == "" && !remote && c.now.Before(c.downUntil) {
		return unavailable("the platform's service does not answer")
	}
	return nil
}

func (c *Core) wait(e *entry, m Arrive, print uint64) {
	if e.print != print {
		c.do(Answer{Arrival: m.ID, Err: result.New(result.KeyReused, "the key stands for another request")})
		return
	}
	if e.phase == ended {
		out := e.outcome
		out.Replayed = true
		c.do(Answer{Arrival: m.ID, Outcome: out})
		return
	}
	e.waiters = append(e.waiters, m.ID)
}
