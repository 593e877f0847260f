package timeline

import (
	"math"
	"sync"
	"time"
)

// maxDrift bounds how far a received stamp may run ahead of the wall clock, in
// milliseconds. A stamp further ahead is ignored, so that one VM with a wrong
// clock can't carry the whole fleet into the future.
const maxDriftMS = 60_000

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	wall func() time.Time
	last Stamp
}

// NewClock returns a clock over the given wall clock.
func NewClock(wall func() time.Time) *Clock {
	return &Clock{wall: wall}
}

// Now returns a stamp above every stamp that it has returned or observed.
func (c *Clock) Now() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = nextStamp(c.last, c.wall().UnixMilli())
	return c.last
}

// Observe takes in a stamp of another process, so that later stamps here are
// above it. It reports whether the stamp was taken; one too far ahead is not.
func (c *Clock) Observe(s Stamp) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.WallMS > c.wall().UnixMilli()+maxDriftMS {
		return false
	}
	if c.last.Less(s) {
		c.last = s
	}
	return true
}

// next gives the smallest stamp at wallMS or later that is above last.
func nextStamp(last Stamp, wallMS int64) Stamp {
	if wallMS > last.WallMS {
		return Stamp{WallMS: wallMS}
	}
	if last.Count == math.MaxUint32 {
		return Stamp{WallMS: last.WallMS + 1}
	}
	return Stamp{WallMS: last.WallMS, Count: last.Count + 1}
}
