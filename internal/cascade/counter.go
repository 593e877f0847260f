package cascade

import (
	"math"
	"time"
)

const (
	// bins divide the ratings from 0 to 1.
	bins = 20
	// slowHalfLife and fastHalfLife are how fast ratings lose weight.
	slowHalfLife = 10 * time.Minute
	fastHalfLife = 30 * time.Second
)

// Counter sums up the ratings of one key at one VM, with decay. It is
// mergeable: the sums of several VMs' counters are the fleet's. Times are wall
// clock milliseconds; clocks that differ by seconds shift the decay by as much.
type Counter struct {
	AtMS    int64         `cbor:"1,keyasint"`
	N       float64       `cbor:"2,keyasint"`
	Sum     float64       `cbor:"3,keyasint"`
	FastN   float64       `cbor:"4,keyasint"`
	FastSum float64       `cbor:"5,keyasint"`
	Bins    [bins]float32 `cbor:"6,keyasint"`
}

// at returns the counter as of now.
func (c Counter) at(nowMS int64) Counter {
	age := time.Duration(nowMS-c.AtMS) * time.Millisecond
	if age <= 0 {
		return c
	}
	slow := math.Exp2(-float64(age) / float64(slowHalfLife))
	fast := math.Exp2(-float64(age) / float64(fastHalfLife))
	c.N *= slow
	c.Sum *= slow
	c.FastN *= fast
	c.FastSum *= fast
	for i := range c.Bins {
		c.Bins[i] *= float32(slow)
	}
	c.AtMS = nowMS
	return c
}

// add counts one rating; the counter has to be as of now.
func (c *Counter) add(v float64) {
	v = min(1, max(0, v))
	c.N++
	c.Sum += v
	c.FastN++
	c.FastSum += v
	c.Bins[binOf(v)]++
}

// plus sums two counters as of the same time.
func (c Counter) plus(o Counter) Counter {
	c.N += o.N
	c.Sum += o.Sum
	c.FastN += o.FastN
	c.FastSum += o.FastSum
	for i := range c.Bins {
		c.Bins[i] += o.Bins[i]
	}
	return c
}

func binOf(v float64) int { return min(bins-1, int(v*bins)) }

// binMid is the middle rating of a bin.
func binMid(i int) float64 { return (float64(i) + 0.5) / bins }
