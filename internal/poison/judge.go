package poison

import (
	"cmp"
	"slices"
	"time"
)

// judge decides which content is blocked. Content with the most unexplained crashes
// comes first; its crashes then no longer count for the rest. The judgement depends
// on the marks only, so that it is revised when more of them are known.
func (c *Core) judge(now time.Time) {
	if !c.stale {
		return
	}
	c.stale = false
	if now.Sub(c.expiredAt) >= expireInterval {
		c.expire(now)
	}
	explained := make(map[crashID]bool)
	wasBlocked := make(map[Key]bool)
	candidates := make(map[Key]*suspect)
	for k, s := range c.suspects {
		if s.blocked {
			wasBlocked[k] = true
		}
		s.blocked, s.count = false, s.sequence(nil)
		if s.count >= minCrashes {
			candidates[k] = s
		}
	}
	defer c.recordVerdicts(wasBlocked)
	for {
		s := worst(candidates, explained)
		if s == nil {
			return
		}
		s.blocked = true
		for _, m := range s.marks {
			if !m.cleared {
				explained[m.crash] = true
			}
		}
		for _, id := range s.dropped {
			explained[id] = true
		}
	}
}

// worst returns the content with the most crashes that are not explained, if it is
// to be blocked.
func worst(candidates map[Key]*suspect, explained map[crashID]bool) *suspect {
	var worst *suspect
	var worstKey Key
	most := 0
	for k, s := range candidates {
		n := s.unexplained(explained)
		if s.blocked || n < max(most, minCrashes) || s.sequence(explained) < minCrashes {
			continue
		}
		if n > most || worst == nil || s.blocksLess(k, worst, worstKey) {
			worstKey, worst, most = k, s, n
		}
	}
	return worst
}

// blocksLess orders contents with equally many crashes, in the same way on all VMs:
// first whole requests, then the parts that come last in their prompts, since
// prompts share their first parts.
func (s *suspect) blocksLess(k Key, other *suspect, otherKey Key) bool {
	switch {
	case k.whole() != otherKey.whole():
		return k.whole()
	case s.depth != other.depth:
		return s.depth > other.depth
	}
	return k < otherKey
}

// unexplained counts the crashes that are neither cleared nor explained.
func (s *suspect) unexplained(explained map[crashID]bool) int {
	n := 0
	for _, m := range s.marks {
		if !m.cleared && !explained[m.crash] {
			n++
		}
	}
	return n
}

// sequence counts crashes one after the other that are neither cleared nor
// explained: each run began after the crash before.
func (s *suspect) sequence(explained map[crashID]bool) int {
	n := 0
	var last time.Time
	for _, m := range s.marks {
		if m.cleared || explained[m.crash] || m.crashedAt.Add(-m.ran).Before(last) {
			continue
		}
		n++
		last = m.crashedAt
	}
	return n
}

// merge adds a mark and reports whether anything changed. If there are too many, the
// earliest is dropped.
func (s *suspect) merge(m mark) bool {
	i := slices.IndexFunc(s.marks, func(known mark) bool { return known.crash == m.crash })
	if i < 0 && len(s.marks) == maxMarks && m.crashedAt.Before(s.marks[0].crashedAt) {
		s.drop(m)
		return false
	}
	if i < 0 {
		s.marks = append(s.marks, m)
		s.sort()
		if len(s.marks) > maxMarks {
			s.drop(s.marks[0])
			s.marks = slices.Delete(s.marks, 0, 1)
		}
		return true
	}
	known := &s.marks[i]
	changed := m.cleared && !known.cleared
	known.cleared = known.cleared || m.cleared
	if m.crashedAt.Before(known.crashedAt) {
		known.crashedAt = m.crashedAt
		changed = true
	}
	// Of several runs on one upstream, the one that began last says most.
	if m.ran < known.ran {
		known.ran = m.ran
		changed = true
	}
	if changed {
		s.sort()
	}
	return changed
}

// drop keeps of a mark only that the content explains its crash.
func (s *suspect) drop(m mark) {
	if m.cleared || slices.Contains(s.dropped, m.crash) {
		return
	}
	if len(s.dropped) >= maxDroppedMarks {
		s.dropped = slices.Delete(s.dropped, 0, 1)
	}
	s.dropped = append(s.dropped, m.crash)
}

func (s *suspect) sort() {
	slices.SortFunc(s.marks, func(a, b mark) int { return a.crashedAt.Compare(b.crashedAt) })
}

// expireInterval is how often content is removed whose last crash is too old.
const expireInterval = time.Second

// expire removes content whose last crash is too old.
func (c *Core) expire(now time.Time) {
	c.expiredAt = now
	for id, at := range c.refutable {
		if now.Sub(at) > suspicionTTL {
			delete(c.refutable, id)
		}
	}
	for k, s := range c.suspects {
		ttl := suspicionTTL
		if s.sequence(nil) >= minCrashes {
			ttl = blockedTTL
		}
		if now.Sub(s.lastCrash()) > ttl {
			delete(c.suspects, k)
		}
	}
}

// evict makes room for other suspects: it removes some with the fewest crashes, of
// these the ones with the oldest last crash.
func (c *Core) evict(now time.Time) {
	c.expire(now)
	if len(c.suspects) < maxSuspects {
		return
	}
	type candidate struct {
		key       Key
		crashes   int
		lastCrash time.Time
	}
	candidates := make([]candidate, 0, len(c.suspects))
	for k, s := range c.suspects {
		candidates = append(candidates, candidate{k, s.unexplained(nil), s.lastCrash()})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.crashes, b.crashes), a.lastCrash.Compare(b.lastCrash))
	})
	for _, victim := range candidates[:max(len(candidates)/evictedShare, 1)] {
		delete(c.suspects, victim.key)
	}
}

// Verdict is a change of whether some content is blocked.
type Verdict struct {
	Key     Key
	Blocked bool
	// Crashes is the number of crashes that are known, Cleared the number of them that
	// do not count, and Sequence the number that came one after the other.
	Crashes, Cleared, Sequence int
}

// recordVerdicts keeps the changes of the last judgement for Verdicts.
func (c *Core) recordVerdicts(wasBlocked map[Key]bool) {
	for k, s := range c.suspects {
		if s.blocked != wasBlocked[k] && len(c.verdicts) < maxSuspects {
			c.verdicts = append(c.verdicts, Verdict{
				Key: k, Blocked: s.blocked, Crashes: len(s.marks), Cleared: len(s.marks) - s.unexplained(nil), Sequence: s.count,
			})
		}
	}
}

// Verdicts returns the changes since the last call.
func (c *Core) Verdicts() []Verdict {
	out := c.verdicts
	c.verdicts = nil
	return out
}
