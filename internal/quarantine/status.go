package quarantine

import (
	"maps"
	"slices"
	"time"
)

// Tick removes expired entries.
func (c *Core) Tick(now time.Time) {
	c.now = now
	before := len(c.pendings)
	c.pendings = slices.DeleteFunc(c.pendings, func(p pending) bool { return now.Sub(p.receivedAt) > confirmTimeout })
	c.changed = c.changed || len(c.pendings) != before
	for fp, until := range c.quarantinedUntil {
		if now.After(until) {
			delete(c.quarantinedUntil, fp)
			c.removeSuspect(fp)
		}
	}
	for len(c.suspectOrder) > 0 && c.expired(c.suspectOrder[0]) {
		c.removeSuspect(c.suspectOrder[0])
		c.suspectOrder = c.suspectOrder[1:]
	}
	cutoffMS := now.Add(-markTTL).UnixMilli()
	maps.DeleteFunc(c.clearedAtMS, func(_ Fingerprint, at int64) bool { return at < cutoffMS })
	maps.DeleteFunc(c.knownBroken, func(_ markID, at int64) bool { return at < cutoffMS })
	for _, r := range c.runs {
		if now.Sub(r.startedAt) > maxRunDuration {
			c.removeRun(r)
		}
	}
}

// expired reports whether a suspect is no longer needed. A suspect is kept until
// its latest mark expires.
func (c *Core) expired(fp Fingerprint) bool {
	s := c.suspects[fp]
	_, quarantined := c.quarantinedUntil[fp]
	return s == nil || !quarantined && c.now.Sub(s.lastMarkAt) > markTTL
}

// evictOldestSuspects removes the oldest suspects that are not quarantined until
// there is space for a new one.
func (c *Core) evictOldestSuspects() {
	for i := 0; len(c.suspects) >= maxSuspects && i < len(c.suspectOrder); {
		if _, quarantined := c.quarantinedUntil[c.suspectOrder[i]]; quarantined {
			i++
			continue
		}
		c.removeSuspect(c.suspectOrder[i])
		c.suspectOrder = slices.Delete(c.suspectOrder, i, i+1)
	}
}

func (c *Core) removeSuspect(fp Fingerprint) {
	s := c.suspects[fp]
	if s == nil {
		return
	}
	for at := range s.marks {
		c.unlinkCrash(at, fp)
	}
	delete(c.suspects, fp)
	c.changed = true
}

// Status returns the status of a fingerprint.
func (c *Core) Status(fp Fingerprint) Status {
	if _, quarantined := c.quarantinedUntil[fp]; quarantined {
		return Status{Quarantined: true}
	}
	broken := 0
	for _, p := range c.pendings {
		if p.mark.Fingerprint == fp {
			broken++
		}
	}
	marks := 0
	if s := c.suspects[fp]; s != nil {
		marks = len(s.marks)
	}
	st := Status{Suspect: marks+broken > 0}
	st.Hold = broken > 0 && marks+broken >= strongMarksThreshold || marks+broken >= strongMarksThreshold-1 && c.isRunning(fp)
	return st
}

func (c *Core) isRunning(fp Fingerprint) bool {
	for _, r := range c.runs {
		if r.fingerprint == fp {
			return true
		}
	}
	return false
}

// Statuses returns all statuses that are not the zero value.
func (c *Core) Statuses() map[Fingerprint]Status {
	out := make(map[Fingerprint]Status)
	add := func(fp Fingerprint) {
		if st := c.Status(fp); st != (Status{}) {
			out[fp] = st
		}
	}
	for fp := range c.suspects {
		add(fp)
	}
	for _, p := range c.pendings {
		add(p.mark.Fingerprint)
	}
	return out
}

// TakeChanged reports whether a status may have changed since the last call.
func (c *Core) TakeChanged() bool {
	ch := c.changed
	c.changed = false
	return ch
}

// TakeShare returns the updates that have to be sent to other VMs and clears
// them.
func (c *Core) TakeUpdates() Updates {
	s := c.outgoing
	c.outgoing = Updates{}
	return s
}

// RecentMarks returns the marks of recent suspects, for VMs that may have missed
// them. Marks of quarantined fingerprints come first.
func (c *Core) RecentMarks() Updates {
	var s Updates
	for _, want := range []bool{true, false} {
		for _, fp := range c.suspectOrder {
			if _, quarantined := c.quarantinedUntil[fp]; quarantined != want || c.suspects[fp] == nil {
				continue
			}
			for _, m := range c.suspects[fp].marks {
				if len(s.Marks) < maxShareItems {
					s.Marks = append(s.Marks, m)
				}
			}
		}
	}
	return s
}
