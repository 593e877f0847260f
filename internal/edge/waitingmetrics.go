package edge

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cranberrypier/cranberrypier/internal/overload"
)

// Ends of a wait that the queue does not decide; the others are overload.Decision's.
const (
	// decisionPlaced: the request got an upstream.
	decisionPlaced overload.Decision = "placed"
	// decisionNoUpstream: no upstream may receive the request any more, with or without room.
	decisionNoUpstream overload.Decision = "no_upstream"
	// decisionCallerGone: the caller has left, or the deadline has passed.
	decisionCallerGone overload.Decision = "caller_gone"
	// decisionStopping: this VM stops.
	decisionStopping overload.Decision = "vm_stopping"
)

// maxPriorityLabel is the largest priority with a label of its own; those above share it.
const maxPriorityLabel = 9

// waitBuckets are the upper bounds of the histogram of waits, in seconds, up to
// overload.MaxHoldTime.
var waitBuckets = []float64{0.001, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5}

// countWait counts what became of a request that found no room at first.
func (m *Metrics) countWait(d overload.Decision, priority int, waited time.Duration) {
	m.waits.WithLabelValues(string(d), strconv.Itoa(min(max(priority, 0), maxPriorityLabel))).Inc()
	m.waitTime.WithLabelValues(string(d)).Observe(waited.Seconds())
}

func newWaitsCounter() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pier_overload_requests_total", Help: "Requests that found no room at any upstream at first, by what was decided and by priority.",
	}, []string{"decision", "priority"})
}

func newWaitHistogram() *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "pier_overload_wait_seconds", Help: "Time for which requests waited for room by what was decided.", Buckets: waitBuckets,
	}, []string{"decision"})
}
