package fleet

import "time"

// Pause records that the upstream of a pick wants no requests from this VM for some
// time. A pause never ends a longer one that the upstream asked for before.
func (f *Fleet) Pause(now time.Time, p *Pick, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.memberOf(p)
	if m == nil {
		return
	}
	if until := now.Add(d); until.After(m.pausedUntil) {
		m.pausedUntil = until
	}
}

// PauseLeft returns how long it takes until the first usable upstream of a service
// accepts requests again; zero if one accepts them now.
func (f *Fleet) PauseLeft(now time.Time, service string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	shortest := time.Duration(-1)
	for _, m := range f.membersOf(service) {
		if !f.usable(m) {
			continue
		}
		if left := max(m.pausedUntil.Sub(now), 0); shortest < 0 || left < shortest {
			shortest = left
		}
	}
	return max(shortest, 0)
}
