package poison

import "time"

const (
	// maxRefuteTime is how long after a crash was seen a response shows that there was
	// none: a crashed upstream takes longer to start again.
	maxRefuteTime = time.Second
	// minRefuteTime is more than the error of a time that another VM tells.
	minRefuteTime = 10 * time.Millisecond
	// maxContacts limits the incarnations whose last contact is kept.
	maxContacts = 2048
)

// Contact records that an incarnation responded on a connection that this VM began at a
// time. If any VM saw it refuse connections shortly before, that VM has lost its path
// to it, and what broke there was broken by no crash.
func (c *Core) Contact(now, begunAt time.Time, upstream string, incarnation int64) {
	id := crashOf(upstream, incarnation)
	c.contactAt.Add(id, begunAt)
	c.runs.discard(id, begunAt)
	if _, ok := c.refutable[id]; !ok {
		return
	}
	for _, s := range c.suspects {
		for i := range s.marks {
			if m := &s.marks[i]; m.crash == id && !m.cleared && refutes(begunAt, m.crashedAt) {
				m.cleared = true
				s.changedAt, c.stale = now, true
			}
		}
	}
}

// refuted reports whether this VM's latest contact shows that there was no crash.
func (c *Core) refuted(m mark) bool {
	begunAt, ok := c.contactAt.Get(m.crash)
	return ok && refutes(begunAt, m.crashedAt)
}

func refutes(contactBegunAt, crashedAt time.Time) bool {
	after := contactBegunAt.Sub(crashedAt)
	return after >= minRefuteTime && after <= maxRefuteTime
}
