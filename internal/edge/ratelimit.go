package edge

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/exchange"
	"github.com/cranberrypier/cranberrypier/internal/fleet"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// What became of requests for which all upstreams were at their limits: the values of
// the label of pier_limited_requests_total.
const (
	limitedPlaced  = "placed"
	limitedRefused = "refused"
)

// recordRateLimit records the limit that the answer names, or that it names none. The
// answer of another upstream at the address says nothing of it.
func (a *attempt) recordRateLimit(now time.Time) {
	if a.attemptStatus == exchange.Misdirected {
		return
	}
	if a.head.BadRateLimit != "" {
		klog.InfoS("fleet: the upstream named an invalid limit; the one before holds", "code", int(result.RateLimitInvalid), "upstream", a.pick.ID,
			"value", a.head.BadRateLimit, "request", a.state.req.ID)
		return
	}
	change := a.state.proxy.fleet.RecordLimit(now, a.pick, a.head.RateLimit)
	logRateLimit(change, a.pick.ID, "request", a.state.req.ID)
}

// mergeRateLimits applies another VM's reports of limits.
func (s *Proxy) mergeRateLimits(now time.Time, from string, reports []fleet.LimitReport) {
	for _, r := range reports {
		logRateLimit(s.fleet.MergeLimit(now, r), r.Upstream, "from", from)
	}
}

// logRateLimit logs a change of an upstream's limit, and from where this VM knows of it.
func logRateLimit(c fleet.LimitChange, upstream, source, name string) {
	switch {
	case !c.Changed():
	case c.After == 0:
		klog.InfoS("fleet: the upstream names no limit any more", "upstream", upstream, "before", c.Before, source, name)
	default:
		klog.InfoS("fleet: the upstream named a limit for all VMs together", "upstream", upstream, "perSecond", c.After, "before", c.Before, source, name)
	}
}

func newLimitedCounter() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pier_limited_requests_total", Help: "Requests that waited because all upstreams were at their limits, by what became of them.",
	}, []string{"event"})
}
