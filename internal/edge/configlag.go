package edge

import (
	"sync"
	"time"
)

// configLag tracks since when this VM has known of a newer configuration than the one in
// force. It is safe for concurrent use.
type configLag struct {
	mu sync.Mutex
	// inForce and announced are the version in force and the latest known one.
	inForce, announced uint64
	since              time.Time
}

// announce records the version that another VM uses.
func (l *configLag) announce(now time.Time, version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version > l.inForce && l.announced <= l.inForce {
		l.since = now
	}
	l.announced = max(l.announced, version)
}

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
	if l.announced <= l.inForce {
		return 0
	}
	return now.Sub(l.since)
}
