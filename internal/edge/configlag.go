package edge

import (
	"sync"
	"time"
)

// maxAnnouncementAge is how long a version counts that no VM announces any more: the VMs that
// had it may be gone, and the store may lack it since it came back from an older copy.
const maxAnnouncementAge = 5 * time.Second

// configLag tracks since when this VM has known of a newer configuration than the one in
// force. It is safe for concurrent use.
type configLag struct {
	mu sync.Mutex
	// inForce and announced are the version in force and the latest known one.
	inForce, announced uint64
	since, announcedAt time.Time
}

// announce records the version that another VM uses.
func (l *configLag) announce(now time.Time, version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version > l.inForce && (l.announced <= l.inForce || l.expired(now)) {
		l.since, l.announced = now, version
	}
	if version >= l.announced {
		l.announced, l.announcedAt = version, now
	}
}

func (l *configLag) expired(now time.Time) bool { return now.Sub(l.announcedAt) > maxAnnouncementAge }

// apply records the version that is now in force and returns for how long a newer one
// than before has been known.
func (l *configLag) apply(now time.Time, version uint64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	lag := l.lag(now)
	l.inForce = max(l.inForce, version)
	return lag
}

// behindFor returns for how long a newer configuration than the one in force has been
// known; zero if none is.
func (l *configLag) behindFor(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lag(now)
}

func (l *configLag) lag(now time.Time) time.Duration {
	if l.announced <= l.inForce || l.expired(now) {
		return 0
	}
	return now.Sub(l.since)
}
