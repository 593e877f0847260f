package timeline

import (
	"math"
	"sync"
	"time"
)

// maxDriftMS is how far a received stamp may be ahead of the wall clock, in
// milliseconds. Stamps further ahead are ignored, so that one VM with a fast
// clock cannot advance the clocks of the whole fleet.
const maxDriftMS = 60_000

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	wall func() time.Time
	last Stamp
}

// NewClock returns a clock that uses the given wall clock.
func NewClock(wall func() time.Time) *Clock {
	return &Clock{wall: wall}
}

// Now returns a stamp greater than all stamps that the clock has returned or
// observed.
func (c *Clock) Now() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = nextStamp(c.last, c.wall().UnixMilli())
	return c.last
}

// Observe advances the clock to a stamp of another process, so that later
// stamps of this clock are greater. It returns false and ignores the stamp if
// it is more than maxDriftMS ahead of the wall clock.
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

// nextStamp returns the smallest stamp that is at wallMS or later and greater
// than last.
func nextStamp(last Stamp, wallMS int64) Stamp {
	if wallMS > last.WallMS {
		return Stamp{WallMS: wallMS}
	}
	if last.Count == math.MaxUint32 {
		return Stamp{WallMS: last.WallMS + 1}
	}
	return Stamp{WallMS: last.WallMS, Count: last.Count + 1}
}
