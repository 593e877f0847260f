package cascade

import (
	"math"
	"time"
)

const (
	// bins is the number of histogram bins for ratings from 0 to 1.
	bins = 20
	// slowHalfLife and fastHalfLife are the half-lives of a rating's weight in the
	// long-term and the recent mean.
	slowHalfLife = 10 * time.Minute
	fastHalfLife = 30 * time.Second
)

// Counter sums the ratings of one key at one VM, with exponential decay. The
// fleet's counter is the sum of the VMs' counters. AtMS is wall-clock time in
// milliseconds; clock skew of some seconds shifts the decay by the same time.
type Counter struct {
	DecayedToMS int64         `cbor:"1,keyasint"`
	LongTermN   float64       `cbor:"2,keyasint"`
	LongTermSum float64       `cbor:"3,keyasint"`
	RecentN     float64       `cbor:"4,keyasint"`
	RecentSum   float64       `cbor:"5,keyasint"`
	Bins        [bins]float32 `cbor:"6,keyasint"`
}

// decayedTo returns the counter with its weights decayed to the given time.
func (c Counter) decayedTo(nowMS int64) Counter {
	age := time.Duration(nowMS-c.DecayedToMS) * time.Millisecond
	if age <= 0 {
		return c
	}
	slowDecay := math.Exp2(-float64(age) / float64(slowHalfLife))
	fastDecay := math.Exp2(-float64(age) / float64(fastHalfLife))
	c.LongTermN *= slowDecay
	c.LongTermSum *= slowDecay
	c.RecentN *= fastDecay
	c.RecentSum *= fastDecay
	for i := range c.Bins {
		c.Bins[i] *= float32(slowDecay)
	}
	c.DecayedToMS = nowMS
	return c
}

// add counts one rating. The counter must have been decayed to the current time.
func (c *Counter) add(v float64) {
	v = min(1, max(0, v))
	c.LongTermN++
	c.LongTermSum += v
	c.RecentN++
	c.RecentSum += v
	c.Bins[binOf(v)]++
}

// plus returns the sum of two counters that were decayed to the same time.
func (c Counter) plus(o Counter) Counter {
	c.LongTermN += o.LongTermN
	c.LongTermSum += o.LongTermSum
	c.RecentN += o.RecentN
	c.RecentSum += o.RecentSum
	for i := range c.Bins {
		c.Bins[i] += o.Bins[i]
	}
	return c
}

func binOf(v float64) int { return min(bins-1, int(v*bins)) }

// binMid returns the rating in the middle of a bin.
func binMid(i int) float64 { return (float64(i) + 0.5) / bins }
