package cascade

import (
	"math"
	"time"
)

const (
	// bins is the number of histogram bins for ratings from 0 to 1.
	bins = 20
	// longTermHalfLife and recentHalfLife are the half-lives of a rating's weight in the
	// long-term and the recent mean.
	longTermHalfLife = 10 * time.Minute
	recentHalfLife   = 30 * time.Second
)

// Counter sums the ratings of one key at one VM, with exponential decay. The
// fleet's counter is the sum of the VMs' counters.
type Counter struct {
	// AtMS is the time to which the weights have decayed, as Unix time in
	// milliseconds. If a VM's clock is wrong by some seconds, its ratings count as
	// that much older or newer.
	AtMS    int64         `cbor:"1,keyasint"`
	N       float64       `cbor:"2,keyasint"`
	Sum     float64       `cbor:"3,keyasint"`
	FastN   float64       `cbor:"4,keyasint"`
	FastSum float64       `cbor:"5,keyasint"`
	Bins    [bins]float32 `cbor:"6,keyasint"`
}

// decayedTo returns the counter with its weights decayed to the given time.
func (c Counter) decayedTo(nowMS int64) Counter {
	age := time.Duration(nowMS-c.AtMS) * time.Millisecond
	if age <= 0 {
		return c
	}
	longTermDecay := math.Exp2(-float64(age) / float64(longTermHalfLife))
	recentDecay := math.Exp2(-float64(age) / float64(recentHalfLife))
	c.N *= longTermDecay
	c.Sum *= longTermDecay
	c.FastN *= recentDecay
	c.FastSum *= recentDecay
	for i := range c.Bins {
		c.Bins[i] *= float32(longTermDecay)
	}
	c.AtMS = nowMS
	return c
}

// add counts one rating. The counter must have been decayed to the current time.
func (c *Counter) add(v float64) {
	v = min(1, max(0, v))
	c.N++
	c.Sum += v
	c.FastN++
	c.FastSum += v
	c.Bins[binOf(v)]++
}

// plus returns the sum of two counters that were decayed to the same time.
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

// binMid returns the rating in the middle of a bin.
func binMid(i int) float64 { return (float64(i) + 0.5) / bins }
