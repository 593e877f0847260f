package edge

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/exchange"
	"github.com/cranberrypier/cranberrypier/internal/fleet"
)

const (
	// maxHeldRequests limits the requests of a service that wait in this VM for room.
	maxHeldRequests = 64
	// A request waits for room for at most maxHoldTime, and maxHoldShare of the time
	// that it has left.
	maxHoldTime  = 500 * time.Millisecond
	maxHoldShare = 0.25
	// holdRetryInterval is how often a waiting request looks for room that no ended
	// request of this VM has left.
	holdRetryInterval = 50 * time.Millisecond
)

// What became of requests to brittle services that found no room, and how often their
// upstreams rejected one: the values of the label of pier_brittle_requests_total.
const (
	brittlePlaced   = "placed"
	brittleRefused  = "refused"
	brittleRejected = "rejected"
)

// roomQueue lets requests wait until one that has ended leaves room at a brittle service.
type roomQueue struct {
	// waiting is the number of requests that wait. It is read without the lock.
	waiting  atomic.Int64
	mu       sync.Mutex
	services map[string]*serviceQueue
}

type serviceQueue struct {
	waiting int
	wake    chan struct{}
}

func newRoomQueue() *roomQueue { return &roomQueue{services: make(map[string]*serviceQueue)} }

// enter adds a request to the queue of a service. It returns nil if the queue is full.
func (r *roomQueue) enter(service string) *serviceQueue {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.services[service]
	if q == nil {
		q = &serviceQueue{wake: make(chan struct{}, maxHeldRequests)}
		r.services[service] = q
	}
	if q.waiting >= maxHeldRequests {
		return nil
	}
	q.waiting++
	r.waiting.Add(1)
	return q
}

// leave removes a request from a service's queue.
func (r *roomQueue) leave(service string, q *serviceQueue) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting.Add(-1)
	if q.waiting--; q.waiting == 0 {
		delete(r.services, service)
	}
}

// requestEnded wakes the request that has waited longest for the service.
func (r *roomQueue) requestEnded(service string) {
	if r.waiting.Load() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if q := r.services[service]; q != nil {
		select {
		case q.wake <- struct{}{}:
		default: // all that wait are awake
		}
	}
}

// pick chooses an upstream for the next attempt, without those to exclude. If the
// upstreams are brittle and have no room, or are at their limits, the request waits for
// a short time.
func (x *requestState) pick(model string, exclude []string) (*fleet.Pick, fleet.Reason) {
	pick, reason := x.pickNow(model, exclude, false)
	if !hasNoRoom(reason) {
		return pick, reason
	}
	counter, placed, refused := x.proxy.metrics.brittle, brittlePlaced, brittleRefused
	if reason == fleet.AllLimited {
		counter, placed, refused = x.proxy.metrics.limited, limitedPlaced, limitedRefused
	}
	if pick, reason = x.waitForRoom(model, exclude, reason); pick != nil {
		counter.WithLabelValues(placed).Inc()
	} else {
		counter.WithLabelValues(refused).Inc()
	}
	return pick, reason
}

// hasNoRoom reports whether upstreams may receive a request a short time later. They are
// reachable.
func hasNoRoom(reason fleet.Reason) bool {
	return reason == fleet.AllFull || reason == fleet.AllLimited
}

func (x *requestState) waitForRoom(model string, exclude []string, reason fleet.Reason) (*fleet.Pick, fleet.Reason) {
	service := x.req.Service.Name
	q := x.proxy.rooms.enter(service)
	if q == nil {
		return nil, reason
	}
	defer x.proxy.rooms.leave(service, q)
	hold := min(maxHoldTime, time.Duration(maxHoldShare*float64(time.Until(x.req.Deadline))))
	timeout := time.NewTimer(hold)
	defer timeout.Stop()
	again := time.NewTicker(holdRetryInterval)
	defer again.Stop()
	for {
		select {
		case <-x.ctx.Done():
			return nil, reason
		case <-timeout.C:
			return nil, reason
		case <-q.wake:
		case <-again.C:
		}
		if pick, now := x.pickNow(model, exclude, true); !hasNoRoom(now) {
			return pick, now
		}
	}
}

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
