package overload

import (
	"math"
	"time"
)

// How fast the queue drains.
//
// Load pattern: 10 to 25% of the upstreams gone for 2 to 5 s. Room then appears at
// another rate within a second, so the estimate must follow as fast.

const (
	// drainHalfLife is the half-life of the rate of grants, in time during which
	// requests waited.
	drainHalfLife = 500 * time.Millisecond
	// minDrainGrants is the decayed number of grants from which on the rate is trusted.
	// Below it, a queue that has just formed would be judged by one gap.
	minDrainGrants = 2.0
	// maxExpected limits what is said of the future.
	maxExpected = 10 * time.Second
)

// drain estimates the rate at which waiting requests get room.
type drain struct {
	grants, busy float64 // decayed number of grants, and seconds during which requests waited
	at           time.Time
}

// advance adds the time since the last call, during which requests waited or not.
func (d *drain) advance(now time.Time, waiting bool) {
	elapsed := now.Sub(d.at)
	d.at = now
	if !waiting || elapsed <= 0 {
		return
	}
	keep := math.Exp2(-elapsed.Seconds() / drainHalfLife.Seconds())
	d.grants *= keep
	d.busy = d.busy*keep + elapsed.Seconds()
}

// granted records a grant.
func (d *drain) granted() { d.grants++ }

// rate returns the grants per second; zero if unknown.
func (d *drain) rate() float64 {
	if d.grants < minDrainGrants || d.busy <= 0 {
		return 0
	}
	return d.grants / d.busy
}

// timeFor returns when others that go ahead have got room; zero if the rate is unknown. The
// first in the order always has a chance of the next room, whenever that is.
func (d *drain) timeFor(ahead int) time.Duration {
	r := d.rate()
	if r == 0 {
		return 0
	}
	return min(time.Duration(float64(ahead)/r*float64(time.Second)), maxExpected)
}
