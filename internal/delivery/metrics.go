package delivery

import (
	"strconv"

	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	attempts *prometheus.CounterVec
	ends     *prometheus.CounterVec
}

// NewDeliverer returns a Deliverer whose retries are limited by budget. Its
// metrics are registered with reg, which may be nil.
func NewDeliverer(budget *Budget, reg prometheus.Registerer) *Deliverer {
	m := &metrics{
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pier_delivery_attempts_total",
			Help: "Attempts by kind: first, retry, resume, hedge.",
		}, []string{"kind"}),
		ends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pier_delivery_ends_total",
			Help: "Ends of requests by result code; 0 is a whole answer.",
		}, []string{"code"}),
	}
	if reg != nil {
		reg.MustRegister(m.attempts, m.ends)
	}
	return &Deliverer{budget: budget, metrics: m}
}

func (m *metrics) countAttempt(d Dispatch) {
	kind := "first"
	switch {
	case d.Hedge:
		kind = "hedge"
	case d.Resume:
		kind = "resume"
	case d.Attempt > 1:
		kind = "retry"
	}
	m.attempts.WithLabelValues(kind).Inc()
}

func (m *metrics) countEnd(o Outcome) {
	code := 0
	if o.Err != nil {
		code = int(result.From(o.Err).Code)
	}
	m.ends.WithLabelValues(strconv.Itoa(code)).Inc()
}
