package claims

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

type metrics struct {
	answers         *prometheus.CounterVec
	events          *prometheus.CounterVec
	storeCalls      *prometheus.CounterVec
	writtenItems    prometheus.Counter
	writeTime       prometheus.Histogram
	inProgress      prometheus.Gauge
	pendingOutcomes prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer) *metrics {
	f := promauto.With(reg)
	return &metrics{
		answers: f.NewCounterVec(prometheus.CounterOpts{
			Name: "pier_claims_answers_total",
			Help: "Answers to keyed requests, by result code name (ok for an outcome) and whether replayed.",
		}, []string{"code", "replayed"}),
		events: f.NewCounterVec(prometheus.CounterOpts{
			Name: "pier_claims_events_total",
			Help: "Events of claims, by name.",
		}, []string{"event"}),
		storeCalls: f.NewCounterVec(prometheus.CounterOpts{
			Name: "pier_claims_store_calls_total",
			Help: "Calls to the platform's service, by kind.",
		}, []string{"call"}),
		writtenItems: f.NewCounter(prometheus.CounterOpts{
			Name: "pier_claims_written_items_total",
			Help: "Claims and outcomes in the writes sent.",
		}),
		writeTime: f.NewHistogram(prometheus.HistogramOpts{
			Name:    "pier_claims_write_seconds",
			Help:    "Time of one conditional write.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 12),
		}),
		inProgress: f.NewGauge(prometheus.GaugeOpts{
			Name: "pier_claims_in_progress",
			Help: "Units of work in progress at this process.",
		}),
		pendingOutcomes: f.NewGauge(prometheus.GaugeOpts{
			Name: "pier_claims_unrecorded_outcomes",
			Help: "Outcomes not yet recorded.",
		}),
	}
}

func (m *metrics) countAnswer(a Answer) {
	code, replayed := "ok", "false"
	if a.Err != nil {
		code = result.From(a.Err).Code.Info().Name
	}
	if a.Outcome.Replayed {
		replayed = "true"
	}
	m.answers.WithLabelValues(code, replayed).Inc()
}
