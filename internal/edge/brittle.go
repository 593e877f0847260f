package edge

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/exchange"
	"github.com/cranberrypier/cranberrypier/internal/fleet"
)

// What became of requests to brittle services that found no room, and how often their
// upstreams rejected one: the values of the label of pier_brittle_requests_total.
const (
	brittlePlaced   = "placed"
	brittleRefused  = "refused"
	brittleRejected = "rejected"
)

// recordBrittle records what the answer says of the upstream's room. The answer of
// another upstream at the address says nothing of it.
func (a *attempt) recordBrittle(now time.Time) {
	if a.attemptStatus == exchange.Misdirected {
		return
	}
	s, service := a.state.proxy, a.pick.Service
	rejected := a.attemptStatus == exchange.Rejected
	change := s.fleet.RecordAnswer(now, a.pick, fleet.Answer{BrittleLimit: a.head.BrittleLimit, Rejected: rejected, Load: a.head.Load})
	logBrittle(change, service, a.head.BrittleLimit, "upstream", a.pick.ID)
	if rejected && a.head.BrittleLimit > 0 {
		s.metrics.brittle.WithLabelValues(brittleRejected).Inc()
		klog.InfoS("fleet: a brittle upstream rejected a request; it is held back", "upstream", a.pick.ID, "service", service,
			"limit", a.head.BrittleLimit, "request", a.state.req.ID)
	}
}

// logBrittle logs the begin or the end of a service's brittle time, and from whom this
// VM knows of it.
func logBrittle(change fleet.BrittleChange, service string, limit int, source, name string) {
	switch change {
	case fleet.BrittleBegan:
		klog.InfoS("fleet: the service's upstreams are brittle; what they have no room for waits or is refused", "service", service, "limit", limit, source, name)
	case fleet.BrittleEnded:
		klog.InfoS("fleet: the service's upstreams are no longer brittle", "service", service, source, name)
	case fleet.BrittleUnchanged:
	}
}

// mergeBrittle applies another VM's reports of brittle services.
func (s *Proxy) mergeBrittle(now time.Time, from string, reports []fleet.BrittleReport) {
	for _, r := range reports {
		logBrittle(s.fleet.MergeBrittle(now, r), r.Service, r.Limit, "from", from)
	}
}

// expireBrittle ends the brittle times of services of which nothing was heard lately.
func (s *Proxy) expireBrittle(now time.Time) {
	for _, service := range s.fleet.ExpireBrittle(now) {
		logBrittle(fleet.BrittleEnded, service, 0, "because", "silence")
	}
}

func newBrittleCounter() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pier_brittle_requests_total", Help: "Requests to brittle services that waited for room, by what became of them, and rejections by their upstreams.",
	}, []string{"event"})
}
