package fleet

import "time"

const (
	// wishTTL is how long the wishes of an upstream that has been removed are kept beyond
	// their own end.
	wishTTL = time.Minute
	// maxWishes limits the removed upstreams whose wishes are kept.
	maxWishes = 1024
)

// wishes are what an upstream has asked for: a pause, a limit. They hold for its
// incarnation, also if its entry is removed meanwhile and comes back.
type wishes struct {
	incarnation int64
	pausedUntil time.Time
	limit       rateLimit
	keptUntil   time.Time
}

// keepWishes keeps the wishes of a member that is removed or replaced.
func (f *Fleet) keepWishes(now time.Time, m *member) {
	if !m.pausedUntil.After(now) && m.limit.perSecond == 0 {
		return
	}
	if len(f.wishes) >= maxWishes {
		for id, w := range f.wishes {
			if now.After(w.keptUntil) {
				delete(f.wishes, id)
			}
		}
	}
	if len(f.wishes) < maxWishes {
		keptUntil := now.Add(wishTTL)
		if m.pausedUntil.After(now) {
			keptUntil = m.pausedUntil.Add(wishTTL)
		}
		f.wishes[m.ID] = wishes{incarnation: m.Incarnation, pausedUntil: m.pausedUntil, limit: m.limit, keptUntil: keptUntil}
	}
}

// restoreWishes restores the wishes of the same incarnation.
func (f *Fleet) restoreWishes(now time.Time, m *member) {
	w, ok := f.wishes[m.ID]
	delete(f.wishes, m.ID)
	if ok && w.incarnation == m.Incarnation && now.Before(w.keptUntil) {
		m.pausedUntil, m.limit = w.pausedUntil, w.limit
		f.countLimited()
	}
}
