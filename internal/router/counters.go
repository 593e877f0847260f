package router

import (
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/cranberrypier/cranberrypier/internal/control"
	"github.com/cranberrypier/cranberrypier/internal/placement"
)

var (
	errorResponses = promauto.NewCounterVec(prometheus.CounterOpts{
		Name: "pier_router_refusals_total",
		Help: "Refused requests by result code and run state.",
	}, []string{"code", "run"})
	attempts = promauto.NewCounterVec(prometheus.CounterOpts{
		Name: "pier_router_attempts_total",
		Help: "Upstream runs of model requests by target and end.",
	}, []string{"target", "end"})
	generationInForce = promauto.NewGauge(prometheus.GaugeOpts{
		Name: "pier_router_generation",
		Help: "Generation of the document in force.",
	})
)

// counters holds the totals per version that decide whether a roll-out continues.
type counters struct {
	mu     sync.Mutex
	totals map[versionKey]*control.VersionCounters
}

func newCounters() *counters {
	return &counters{totals: make(map[versionKey]*control.VersionCounters)}
}

// addAttempt counts one attempt at an upstream. Attempts that were canceled or that
// the upstream rejected do not count for the version because they say nothing about
// it.
func (c *counters) addAttempt(o option, out placement.Outcome) {
	attempts.WithLabelValues(o.Target(), string(out.End)).Inc()
	if out.End == placement.EndCanceled || out.End == placement.EndRejected {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.totalsFor(o)
	t.Requests++
	if out.End != placement.EndOK {
		t.Errors++
	}
	if out.FirstToken > 0 {
		t.FirstTokenMS += uint64(out.FirstToken.Milliseconds())
		t.FirstTokens++
	}
}

// addRating counts one rating.
func (c *counters) addRating(o option, value float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.totalsFor(o)
	t.RatingSum += value
	t.Ratings++
}

func (c *counters) totalsFor(o option) *control.VersionCounters {
	n := versionKey{o.Model, o.Version}
	t, ok := c.totals[n]
	if !ok {
		t = &control.VersionCounters{Model: o.Model, Version: o.Version}
		c.totals[n] = t
	}
	return t
}

// snapshot returns a copy of the totals, sorted by model and version.
func (c *counters) snapshot() []control.VersionCounters {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]control.VersionCounters, 0, len(c.totals))
	for _, t := range c.totals {
		out = append(out, *t)
	}
	slices.SortFunc(out, func(a, b control.VersionCounters) int {
		return strings.Compare(a.Model+"@"+a.Version, b.Model+"@"+b.Version)
	})
	return out
}

func formatRating(v float64) string { return strconv.FormatFloat(v, 'f', 3, 64) }
