package edge

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cranberrypier/cranberrypier/internal/exchange"
	"github.com/cranberrypier/cranberrypier/internal/fleet"
)

// routesMost bounds the routes that have a label of their own; the rest share one.
const routesMost = 32

// Metrics are the counters and histograms of the request path.
type Metrics struct {
	Registry *prometheus.Registry

	requests *prometheus.CounterVec
	first    *prometheus.HistogramVec
	took     *prometheus.HistogramVec
	attempts *prometheus.CounterVec
	store    *prometheus.CounterVec
	storeAge *prometheus.HistogramVec
	routes   labelSet
}

// latencyBuckets span a plain call to the longest deadline, in seconds.
var latencyBuckets = []float64{0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 12}

// NewMetrics registers the metrics.
func NewMetrics() *Metrics {
	m := &Metrics{
		Registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pier_requests_total", Help: "Requests of callers by route and outcome.",
		}, []string{"route", "outcome"}),
		first: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "pier_first_byte_seconds", Help: "Time to the first byte of an answer by route.", Buckets: latencyBuckets,
		}, []string{"route"}),
		took: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "pier_request_seconds", Help: "Time to the end of a request by outcome.", Buckets: latencyBuckets,
		}, []string{"outcome"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pier_attempts_total", Help: "Attempts at upstreams by model and fate.",
		}, []string{"model", "fate"}),
		store: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pier_store_calls_total", Help: "Calls to the platform's store by operation and outcome.",
		}, []string{"operation", "outcome"}),
		storeAge: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "pier_store_call_seconds", Help: "Time of calls to the platform's store by operation.", Buckets: latencyBuckets,
		}, []string{"operation"}),
		routes: labelSet{most: routesMost},
	}
	m.Registry.MustRegister(m.requests, m.first, m.took, m.attempts, m.store, m.storeAge)
	return m
}

func (m *Metrics) request(route, outcome string, first, took time.Duration) {
	route = m.routes.bound(route)
	m.requests.WithLabelValues(route, outcome).Inc()
	m.took.WithLabelValues(outcome).Observe(took.Seconds())
	if first > 0 {
		m.first.WithLabelValues(route).Observe(first.Seconds())
	}
}

func (m *Metrics) attempt(_ *exchange.Request, a *attempt, _ fleet.End) {
	m.attempts.WithLabelValues(a.model, a.fate.String()).Inc()
}

// StoreCall counts a call to the platform's store.
func (m *Metrics) StoreCall(operation, outcome string, took time.Duration) {
	m.store.WithLabelValues(operation, outcome).Inc()
	if operation != "watch" {
		m.storeAge.WithLabelValues(operation).Observe(took.Seconds())
	}
}
