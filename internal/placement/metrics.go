package placement

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	grants    *prometheus.CounterVec
	rejected  *prometheus.CounterVec
	waiting   prometheus.Gauge
	ejections prometheus.Gauge
	upstreams *prometheus.GaugeVec
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		grants: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pier_placement_grants_total", Help: "Granted places by reason.",
		}, []string{"reason"}),
		rejected: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pier_placement_refused_total", Help: "Refused requests by code.",
		}, []string{"code"}),
		waiting: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "pier_placement_waiting", Help: "Requests that wait for a place.",
		}),
		ejections: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "pier_placement_ejections", Help: "Ejections of upstreams since the start.",
		}),
		upstreams: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "pier_placement_upstreams", Help: "Upstreams by believed state.",
		}, []string{"state"}),
	}
	if reg != nil {
		reg.MustRegister(m.grants, m.rejected, m.waiting, m.ejections, m.upstreams)
	}
	return m
}

func (m *metrics) observe(c *Core) {
	m.waiting.Set(float64(len(c.waiting)))
	m.ejections.Set(float64(c.ejections))
	var n [warmthWarm + 1]int
	for _, u := range c.byName {
		n[u.warmth]++
	}
	for w := warmthUnknown; w <= warmthWarm; w++ {
		m.upstreams.WithLabelValues(w.String()).Set(float64(n[w]))
	}
}
