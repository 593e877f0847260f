package claims

import (
	"github.com/cranberrypier/cranberrypier/internal/result"
)

func (c *Core) handleArrive(m Arrival) {
	k, t, err := c.validateKey(m.Request.Key)
	if err != nil {
		c.emit(Answer{Arrival: m.ID, Err: err})
		return
	}
	d := k.Digest()
	id := journalOf(k, d)
	if t != nil {
		id = JournalID{VM: t.VM, Incarnation: t.Incarnation}
	}
	fingerprint := fingerprintHash(m.Request.Fingerprint)
	if e := c.entries[d]; e != nil {
		c.addArrival(e, m, fingerprint)
		return
	}
	if err := c.admissionError(m.Request, id); err != nil {
		c.emit(Answer{Arrival: m.ID, Err: err})
		return
	}
	e := &entry{
		digest: d, fingerprint: fingerprint, journal: id, waiters: []ArrivalID{m.ID},
		request: m.Request.ID, deadline: m.Request.Deadline,
	}
	c.entries[d] = e
	c.claim(e, Claimer{}, false)
}

// validateKey resolves a key and checks its age by this VM's clock. A VM with a
// wrong clock may wrongly accept or reject a key, but it never uses another
// journal.
func (c *Core) validateKey(k Key) (Key, *ticket, error) {
	k, err := k.Resolve()
	if err != nil {
		return k, nil, err
	}
	if IsTicket(k.Value) {
		t, err := parseTicket(k.Team, k.Value, c.secret)
		return k, &t, err
	}
	if k.IssuedAt.Before(c.now.Add(-c.limits.MaxKeyAge)) {
		return k, nil, result.New(result.IdempotencyKeyExpired, "the key was issued more than %s ago", c.limits.MaxKeyAge)
	}
	if k.IssuedAt.After(c.now.Add(c.limits.MaxKeyAhead)) {
		return k, nil, result.New(result.IdempotencyKeyMalformed, "the key's issue time is too far in the future")
	}
	return k, nil, nil
}

// admissionError returns why a new unit of work can't be claimed now, or nil.
func (c *Core) admissionError(r Request, id JournalID) error {
	if !r.Deadline.IsZero() && !c.now.Before(r.Deadline) {
		return result.New(result.DeadlineTooShort, "the deadline has passed")
	}
	if len(c.entries) >= c.limits.MaxEntries || c.reports.len() >= maxPendingReports {
		return unavailable("too many claims are in progress")
	}
	if _, remote := c.home(id); id.VM == "" && !remote && c.now.Before(c.breakerOpenUntil) {
		return unavailable("the platform's object store is unavailable")
	}
	return nil
}

// addArrival adds an arrival to an entry in progress. If the work has ended, it
// answers the arrival at once.
func (c *Core) addArrival(e *entry, m Arrival, fingerprint uint64) {
	if e.fingerprint != fingerprint {
		c.emit(Answer{Arrival: m.ID, Err: result.New(result.IdempotencyKeyReused, "the key was already used for another request")})
		return
	}
	if e.phase == phaseEnded {
		out := e.outcome
		out.Replayed = true
		c.emit(Answer{Arrival: m.ID, Outcome: out})
		return
	}
	e.waiters = append(e.waiters, m.ID)
}
