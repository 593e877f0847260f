package quarantine

import (
	"maps"
	"slices"
	"time"
)

// Tick drops what has expired.
func (c *Core) Tick(now time.Time) {
	c.now = now
	before := len(c.pendings)
	c.pendings = slices.DeleteFunc(c.pendings, func(p pending) bool { return now.Sub(p.at) > confirmTime })
	c.changed = c.changed || len(c.pendings) != before
	for fp, until := range c.verdicts {
		if now.After(until) {
			delete(c.verdicts, fp)
			c.forget(fp)
		}
	}
	for len(c.order) > 0 && c.stale(c.order[0]) {
		c.forget(c.order[0])
		c.order = c.order[1:]
	}
	forgotten := now.Add(-markLife).UnixMilli()
	maps.DeleteFunc(c.cleared, func(_ Fingerprint, at int64) bool { return at < forgotten })
	maps.DeleteFunc(c.heard, func(_ coincidence, at int64) bool { return at < forgotten })
	for _, r := range c.runs {
		if now.Sub(r.began) > runLife {
			c.remove(r)
		}
	}
}

// stale reports whether a suspect counts no longer. One marked anew after its
// first mark stays as long as its latest mark counts.
func (c *Core) stale(fp Fingerprint) bool {
	s := c.suspects[fp]
	_, condemned := c.verdicts[fp]
	return s == nil || !condemned && c.now.Sub(s.latest) > markLife
}

// makeRoom forgets the oldest suspect that is not condemned when there are too
// many.
func (c *Core) makeRoom() {
	for i := 0; len(c.suspects) >= maxSuspects && i < len(c.order); {
		if _, condemned := c.verdicts[c.order[i]]; condemned {
			i++
			continue
		}
		c.forget(c.order[i])
		c.order = slices.Delete(c.order, i, i+1)
	}
}

func (c *Core) forget(fp Fingerprint) {
	s := c.suspects[fp]
	if s == nil {
		return
	}
	for at := range s.marks {
		c.drop(at, fp)
	}
	delete(c.suspects, fp)
	c.changed = true
}

// Status says what is known about a fingerprint.
func (c *Core) Status(fp Fingerprint) Status {
	if _, condemned := c.verdicts[fp]; condemned {
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
	st.Hold = broken > 0 && marks+broken >= strongMarks || marks+broken >= strongMarks-1 && c.running(fp)
	return st
}

func (c *Core) running(fp Fingerprint) bool {
	for _, r := range c.runs {
		if r.fingerprint == fp {
			return true
		}
	}
	return false
}

// Statuses returns every fingerprint whose status is not the zero one.
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

// TakeShare returns what has to be told to other VMs, and forgets it.
func (c *Core) TakeShare() Share {
	s := c.share
	c.share = Share{}
	return s
}

// Backlog returns the marks of recent suspects, for a VM that may have missed
// them: condemned fingerprints first.
func (c *Core) RecentMarks() Share {
	var s Share
	for _, want := range []bool{true, false} {
		for _, fp := range c.order {
			if _, condemned := c.verdicts[fp]; condemned != want || c.suspects[fp] == nil {
				continue
			}
			for _, m := range c.suspects[fp].marks {
				if len(s.Marks) < shareMost {
					s.Marks = append(s.Marks, m)
				}
			}
		}
	}
	return s
}
