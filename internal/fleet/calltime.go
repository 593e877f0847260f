package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// The choice by zone compares the upstreams of a plain service by the time of a call there
// while work takes as long as usual. A VM has few samples of the upstreams in other zones,
// and single calls vary much. Its estimate is therefore weighed with those of other VMs,
// and with the average over the upstreams.
const (
	// callTimeWeight is the weight of the newest sample in the average of an upstream, once
	// there are enough samples.
	callTimeWeight = 0.05
	// priorSamples is the weight of the average over the upstreams, as a number of samples.
	priorSamples = 6
	// maxCallSamples limits the samples that count for an estimate: as many as make up the
	// average.
	maxCallSamples = 2 / callTimeWeight
	// callTimeTTL is how long an estimate counts in full after its latest sample or report. An
	// own one then counts as staleSamples, another VM's no longer.
	callTimeTTL  = 10 * time.Second
	staleSamples = 2
	// minReportedSamples is the number of own samples from which on a VM tells others its
	// estimate.
	minReportedSamples = 8
	// maxReportedCallTimes limits the estimates in one datagram.
	maxReportedCallTimes = 6
	// maxCallTime is the longest time that is taken from other VMs.
	maxCallTime = time.Minute
)

// callTime is the estimate of the time of a call at a plain upstream, in ms.
type callTime struct {
	average  float64
	samples  int
	sampleAt time.Time
	// reported is the latest estimate of another VM, which rests on reportedSamples of its
	// own.
	reported        float64
	reportedSamples int
	reportedAt      time.Time
}

func (c *callTime) record(now time.Time, sampleMs float64) {
	c.samples++
	c.sampleAt = now
	c.average += max(callTimeWeight, 1/float64(c.samples)) * (sampleMs - c.average)
}

// weighted returns the weight of what is known, as a number of samples, and the sum of the
// estimates by their weights.
func (c *callTime) weighted(now time.Time) (weight, sum float64) {
	if c.samples+c.reportedSamples == 0 {
		return 0, 0
	}
	own, other := min(c.samples, maxCallSamples), min(c.reportedSamples, maxCallSamples)
	if now.Sub(c.sampleAt) > callTimeTTL {
		own = min(own, staleSamples)
	}
	if now.Sub(c.reportedAt) > callTimeTTL {
		other = 0
	}
	return float64(own + other), float64(own)*c.average + float64(other)*c.reported
}

// estimate returns the time of a call, given the average over the upstreams.
func (c *callTime) estimate(now time.Time, averageMs float64) float64 {
	weight, sum := c.weighted(now)
	return (sum + priorSamples*averageMs) / (weight + priorSamples)
}

// averageCallTime returns the average over upstreams in ms, by their samples.
func averageCallTime(now time.Time, list []*member) float64 {
	weight, sum := 0.0, 0.0
	for _, m := range list {
		w, s := m.calls.weighted(now)
		weight += w
		sum += s
	}
	if weight == 0 {
		return defaultLatencyMs
	}
	return sum / weight
}

// CallTimeReport is a VM's estimate of the time of a call at a plain upstream while work
// takes as long as usual there.
type CallTimeReport struct {
	Upstream string `cbor:"1,keyasint"`
	Micros   int64  `cbor:"2,keyasint"`
	// Samples is the number of the sender's own samples.
	Samples int `cbor:"3,keyasint"`
}

// CallTimeReports returns this VM's estimates for the upstreams of services that prefer the
// own zone, those with the most samples first.
func (f *Fleet) CallTimeReports(now time.Time) []CallTimeReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []CallTimeReport
	for service, p := range f.pools {
		if !f.prefersLocal(now, Query{Service: service}, p) {
			continue
		}
		for _, m := range p.members {
			if m.calls.samples >= minReportedSamples && now.Sub(m.calls.sampleAt) < callTimeTTL {
				out = append(out, CallTimeReport{Upstream: m.ID, Micros: int64(m.calls.average * 1000), Samples: m.calls.samples})
			}
		}
	}
	slices.SortFunc(out, func(a, b CallTimeReport) int {
		return cmp.Or(b.Samples-a.Samples, strings.Compare(a.Upstream, b.Upstream))
	})
	return out[:min(len(out), maxReportedCallTimes)]
}

// MergeCallTimes applies another VM's estimates. They count beside this VM's own, and are
// not passed on.
func (f *Fleet) MergeCallTimes(now time.Time, reports []CallTimeReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range reports {
		if m := f.members[r.Upstream]; m != nil && r.Micros > 0 && r.Micros <= maxCallTime.Microseconds() && r.Samples > 0 {
			m.calls.reported, m.calls.reportedSamples, m.calls.reportedAt = float64(r.Micros)/1000, r.Samples, now
		}
	}
}
