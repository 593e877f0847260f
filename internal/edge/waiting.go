package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/fleet"
	"github.com/cranberrypier/cranberrypier/internal/overload"
)

const (
	// roomCheckInterval is how often waiting requests look for room that no ended request
	// of this VM has left.
	roomCheckInterval = 50 * time.Millisecond
	// maxRoundFailures is the number of waiting requests that find no room after which a
	// round ends that an ended or a new request has begun. They differ in what they may
	// use, so more than one is tried; the periodic rounds try all.
	maxRoundFailures = 3
	// roomTTL is how long the state of a service without waiting requests is kept. It is
	// several times the half-life of the served shares.
	roomTTL = 30 * time.Second
)

// waitingRooms holds the requests of this VM that wait for room at upstreams. It is safe
// for concurrent use.
type waitingRooms struct {
	// waiting is the number of requests that wait. It is read without the lock.
	waiting  atomic.Int64
	mu       sync.Mutex // guards all that follows, and the waiting requests
	services map[string]*waitingRoom
}

// waitingRoom holds the requests that wait for one service.
type waitingRoom struct {
	queue    *overload.Queue
	requests map[*overload.Waiter]*waitingRequest
	checking bool // roomCheckInterval is running
	usedAt   time.Time
}

// waitingRequest is a request that waits for its next attempt. While it waits, other
// goroutines pick for it under the lock of waitingRooms.
type waitingRequest struct {
	state   *requestState
	model   string
	exclude []string
	waiter  *overload.Waiter
	since   time.Time

	pick   *fleet.Pick
	reason fleet.Reason // of the latest pick; empty before the first
	// ended is closed when the wait is over; decision says how.
	ended    chan struct{}
	decision overload.Decision
}

func newWaitingRooms() *waitingRooms { return &waitingRooms{services: make(map[string]*waitingRoom)} }

// hasWaiting reports whether requests wait for a service.
func (r *waitingRooms) hasWaiting(service string) bool {
	if r.waiting.Load() == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	room := r.services[service]
	return room != nil && len(room.requests) > 0
}

// roomOf returns the state of a service. It drops that of services without requests.
func (r *waitingRooms) roomOf(now time.Time, service string) *waitingRoom {
	room := r.services[service]
	if room == nil {
		for name, o := range r.services {
			if len(o.requests) == 0 && now.Sub(o.usedAt) > roomTTL {
				delete(r.services, name)
			}
		}
		room = &waitingRoom{queue: overload.NewQueue(), requests: make(map[*overload.Waiter]*waitingRequest)}
		r.services[service] = room
	}
	room.usedAt = now
	return room
}

// requestEnded tries waiting requests of a service after one has ended there.
func (r *waitingRooms) requestEnded(service string) {
	if r.waiting.Load() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if room := r.services[service]; room != nil {
		r.round(time.Now(), room, maxRoundFailures)
	}
}

// round tries the waiting requests in order, until too many have found no room.
func (r *waitingRooms) round(now time.Time, room *waitingRoom, maxFailures int) {
	room.queue.BeginRound(now)
	for failures := 0; failures < maxFailures; {
		w := room.queue.Next()
		if w == nil {
			return
		}
		if q := room.requests[w]; q != nil && q.state.ctx.Err() == nil && !r.try(now, room, q) {
			failures++
		}
	}
}

// try picks an upstream for a waiting request. It returns false if there is no room.
func (r *waitingRooms) try(now time.Time, room *waitingRoom, q *waitingRequest) bool {
	found := q.reason != fleet.Picked
	pick, reason := q.state.pickNow(q.model, q.exclude, found)
	q.reason = reason
	switch {
	case pick != nil:
		q.pick = pick
		room.queue.Granted(now, q.waiter)
		r.end(room, q, decisionPlaced)
	case q.state.mayWait(reason):
		return false
	default:
		room.queue.Leave(now, q.waiter)
		r.end(room, q, decisionNoUpstream)
	}
	return true
}

// end ends the wait of a request that has left the queue.
func (r *waitingRooms) end(room *waitingRoom, q *waitingRequest, d overload.Decision) {
	if _, waits := room.requests[q.waiter]; !waits {
		return
	}
	delete(room.requests, q.waiter)
	r.waiting.Add(-1)
	q.decision = d
	close(q.ended)
}

// enter adds a request to the queue of its service and tries it at its place in the order
// if it has not been tried, and decides whether it waits if it finds no room.
func (r *waitingRooms) enter(now time.Time, room *waitingRoom, q *waitingRequest) {
	q.waiter = room.queue.Join(now, q.state.overloadRequest(now, q.model))
	room.requests[q.waiter] = q
	r.waiting.Add(1)
	if q.reason == fleet.Picked {
		r.round(now, room, maxRoundFailures)
		if q.decision == "" && q.reason == fleet.Picked { // the round did not get that far
			r.try(now, room, q)
		}
	}
	if q.decision != "" {
		return
	}
	d, evicted := room.queue.Admit(now, q.waiter, q.state.nextRoomIn(now, q.reason))
	if evicted != nil {
		r.end(room, room.requests[evicted], overload.Evicted)
	}
	if d != overload.Wait {
		r.end(room, q, d)
		return
	}
	if !room.checking {
		room.checking = true
		time.AfterFunc(roomCheckInterval, func() { r.check(room) })
	}
}

// check tries all requests that wait for a service, again and again until none does.
func (r *waitingRooms) check(room *waitingRoom) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.round(time.Now(), room, overload.MaxWaiting)
	room.checking = len(room.requests) > 0
	if room.checking {
		time.AfterFunc(roomCheckInterval, func() { r.check(room) })
	}
}

// leave ends the wait of a request from its own side, unless it has ended meanwhile.
func (r *waitingRooms) leave(room *waitingRoom, q *waitingRequest, d overload.Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if room.queue.Leave(time.Now(), q.waiter) {
		r.end(room, q, d)
	}
}

// pick chooses an upstream for the next attempt, without those to exclude. If no upstream
// has room, the request waits for a short time. It does not overtake requests that wait
// and go before it.
func (x *requestState) pick(model string, exclude []string) (*fleet.Pick, fleet.Reason) {
	reason := fleet.Picked
	if !x.proxy.rooms.hasWaiting(x.req.Service.Name) {
		var pick *fleet.Pick
		if pick, reason = x.pickNow(model, exclude, false); pick != nil || !x.mayWait(reason) {
			return pick, reason
		}
	}
	return x.waitForRoom(&waitingRequest{state: x, model: model, exclude: exclude, reason: reason, ended: make(chan struct{})})
}

// hasNoRoom reports whether upstreams may receive a request a short time later. They are
// reachable.
func hasNoRoom(reason fleet.Reason) bool {
	return reason == fleet.AllFull || reason == fleet.AllLimited
}

// mayWait reports whether a request that got no upstream may wait for one. Where callers
// compete for capacity, it may also wait for cold upstreams, and for those that were
// unreachable lately, unless it has tried them all. If this VM is suspected to be isolated,
// other VMs serve its callers sooner.
func (x *requestState) mayWait(reason fleet.Reason) bool {
	if hasNoRoom(reason) {
		return true
	}
	if !x.proxy.contention || reason != fleet.ColdLimitReached && reason != fleet.NoneReachable {
		return false
	}
	now := time.Now()
	if _, suspected := x.proxy.isolation.status(now); reason == fleet.NoneReachable && (suspected || x.isExhausted(reason) && !x.forwardTried) {
		return false
	}
	_, found := x.proxy.fleet.NextRoomIn(now, x.query(x.pickedModel))
	return found
}

// isExhausted reports whether a request found no upstream that it could try, after all of
// its attempts failed to connect.
func (x *requestState) isExhausted(reason fleet.Reason) bool {
	return x.sends == 0 && len(x.tried) > 0 && (reason == fleet.NoneReachable || reason == fleet.NoneAllowed)
}

// waitForRoom lets a request wait in the queue of its service. It returns at once if the
// request gets room before those that wait, or is refused.
func (x *requestState) waitForRoom(q *waitingRequest) (*fleet.Pick, fleet.Reason) {
	rooms, found := x.proxy.rooms, q.reason == fleet.Picked
	q.since = time.Now()
	rooms.mu.Lock()
	room := rooms.roomOf(q.since, x.req.Service.Name)
	rooms.enter(q.since, room, q)
	waits, first := q.decision == "", q.reason
	found = found && (q.decision == decisionPlaced || q.decision == decisionNoUpstream)
	rooms.mu.Unlock()
	if waits {
		if first == fleet.NoneReachable {
			x.recordUnserved() // the isolation check must not wait with it
		}
		rooms.await(room, q)
	}
	if !found {
		x.recordWait(room, q, first)
	}
	return q.pick, q.reason
}

// await waits until a request has got an upstream or may no longer wait.
func (r *waitingRooms) await(room *waitingRoom, q *waitingRequest) {
	timeout := time.NewTimer(time.Until(q.waiter.Until))
	defer timeout.Stop()
	select {
	case <-q.ended:
		return
	case <-q.state.ctx.Done():
		r.leave(room, q, decisionOf(q.state.ctx))
	case <-timeout.C:
		r.leave(room, q, overload.Expired)
	}
}

// decisionOf says why a request whose context has ended no longer waits.
func decisionOf(ctx context.Context) overload.Decision {
	if errors.Is(context.Cause(ctx), errVMStopping) {
		return decisionStopping
	}
	return decisionCallerGone
}

// overloadRequest describes the request to the queue.
func (x *requestState) overloadRequest(now time.Time, model string) overload.Request {
	r := x.req
	target := r.Deadline
	if r.Route.TargetLatency > 0 {
		target = r.ReceivedAt.Add(r.Route.TargetLatency)
	}
	return overload.Request{
		Priority: r.Priority, Kind: r.Route.Name, Team: r.Team, PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens,
		TargetAt: target, Deadline: r.Deadline, Expected: x.proxy.fleet.ExpectedWithRoom(now, x.query(model)),
	}
}

// nextRoomIn returns when the fleet expects room for a request that found none for a
// reason; zero if it can't tell.
func (x *requestState) nextRoomIn(now time.Time, reason fleet.Reason) time.Duration {
	switch reason {
	case fleet.AllLimited:
		return x.proxy.fleet.LimitWait(now, x.req.Service.Name)
	case fleet.ColdLimitReached, fleet.NoneReachable:
		wait, _ := x.proxy.fleet.NextRoomIn(now, x.query(x.pickedModel))
		return wait
	}
	return 0
}

// recordWait counts and logs what became of a request that found no room at first.
func (x *requestState) recordWait(room *waitingRoom, q *waitingRequest, first fleet.Reason) {
	s, now := x.proxy, time.Now()
	if q.decision.Refused() && first != fleet.AllFull { // the fleet forecasts the room of brittle services
		s.rooms.mu.Lock()
		x.roomExpectedIn = room.queue.RetryAfter(now, x.nextRoomIn(now, first), rand.Float64()) //nolint:gosec // spreads callers
		s.rooms.mu.Unlock()
	}
	s.metrics.countWait(q.decision, x.req.Priority, now.Sub(q.since))
	switch first {
	case fleet.AllFull:
		s.metrics.brittle.WithLabelValues(eventOf(q.pick, brittlePlaced, brittleRefused)).Inc()
	case fleet.AllLimited:
		s.metrics.limited.WithLabelValues(eventOf(q.pick, limitedPlaced, limitedRefused)).Inc()
	}
	w := q.waiter
	klog.InfoS("overload: decided", "request", x.req.ID, "service", x.req.Service.Name, "decision", q.decision, "because", first,
		"priority", w.Priority, "route", w.Kind, "team", w.Team, "work", w.Work(), "toTarget", w.TargetAt.Sub(q.since).Milliseconds(),
		"left", w.Deadline.Sub(q.since).Milliseconds(), "expect", w.Expected.Milliseconds(), "roomIn", w.ExpectedIn.Milliseconds(),
		"waited", now.Sub(q.since).Milliseconds(), "waiting", s.rooms.waiting.Load(), "retryAfter", x.roomExpectedIn.Milliseconds())
}

// eventOf returns the label of a request that was placed or refused.
func eventOf(pick *fleet.Pick, placed, refused string) string {
	if pick != nil {
		return placed
	}
	return refused
}
