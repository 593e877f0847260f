package edge

import (
	"sync"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/fleet"
	"github.com/cranberrypier/cranberrypier/internal/retry"
	"github.com/cranberrypier/cranberrypier/internal/routing"
)

// retryCheckInterval is how often a request that needs another upstream, and can't
// have one yet, asks again.
const retryCheckInterval = 100 * time.Millisecond

// reservation is a request's next attempt: its upstream is picked, and its retry is
// taken from the budget.
type reservation struct {
	pick          *fleet.Pick
	model         string
	versionReason string
}

// reserve makes the next attempt ready, if that is possible now. It takes a retry
// from the budget if takeRetry is true.
func (x *requestState) reserve(exclude []string, takeRetry bool) bool {
	now, service, budget := time.Now(), x.req.Service.Name, x.proxy.budget
	if x.isContentBlocked() || x.proxy.forwarder.unreachable(service) || takeRetry && budget.Remaining(now, service) < 1 {
		return false
	}
	current := x.versionReason
	pick, _ := x.pickNow(x.pickedModel, exclude, false)
	next := &reservation{pick: pick, model: x.pickedModel, versionReason: x.versionReason}
	x.versionReason = current
	if pick == nil {
		return false
	}
	if takeRetry && !budget.TryRetry(now, service) {
		x.proxy.fleet.Done(now, pick, fleet.OutcomeNeutral)
		return false
	}
	x.reserved = next
	return true
}

// mayForward reports whether the request may be forwarded to another VM now. If so, it
// takes a retry from the budget if takeRetry is true.
func (x *requestState) mayForward(takeRetry bool) bool {
	service := x.req.Service.Name
	return x.forwarded == nil && x.proxy.forwarder.unreachable(service) && (!takeRetry || x.proxy.budget.TryRetry(time.Now(), service))
}

// dropReservation gives back a reservation that is not used. Its retry stays counted.
func (x *requestState) dropReservation() {
	if x.reserved != nil {
		x.proxy.fleet.Done(time.Now(), x.reserved.pick, fleet.OutcomeNeutral)
		x.reserved = nil
	}
}

// nextPick returns the upstream of the next attempt: the reserved one, if it is for
// this model, or one that is picked now.
func (x *requestState) nextPick(model string) (*fleet.Pick, fleet.Reason) {
	if r := x.reserved; r != nil && r.model == model {
		x.reserved, x.versionReason = nil, r.versionReason
		return r.pick, fleet.Picked
	}
	x.dropReservation()
	x.pickedModel = model
	return x.pick(model, x.tried)
}

// mayMoveOn reports whether the request may run at another upstream after the current
// attempt, as far as its route and its earlier runs decide.
func (x *requestState) mayMoveOn() bool {
	return x.req.Route.RetryPolicy == routing.Idempotent && x.runs+1 < x.req.Route.MaxRuns
}

// patience limits how long an attempt waits for its upstream. When the timeout has
// passed, it cancels the attempt as soon as the next one is reserved. Until then the
// attempt goes on: its upstream may be silent for a moment only, and nothing would
// take its place.
type patience struct {
	attempt *attempt
	cause   error

	mu        sync.Mutex
	timer     *time.Timer
	expiresAt time.Time
	stopped   bool
}

// startPatience starts the timeout of an attempt; cause is the reason for its end.
func (a *attempt) startPatience(timeout time.Duration, cause error) *patience {
	p := &patience{attempt: a, cause: cause, expiresAt: time.Now().Add(timeout)}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = time.AfterFunc(timeout, p.expire)
	return p
}

// extend starts the timeout anew.
func (p *patience) extend(timeout time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expiresAt = time.Now().Add(timeout)
	if !p.stopped {
		p.timer.Reset(timeout)
	}
}

// stop ends the timeout. Afterwards the attempt is not canceled by it, and no
// reservation is made.
func (p *patience) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	p.timer.Stop()
}

func (p *patience) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return
	}
	if left := time.Until(p.expiresAt); left > 0 {
		p.timer.Reset(left) // the timeout was extended meanwhile
		return
	}
	if !p.attempt.reserveNext() {
		p.timer.Reset(retryCheckInterval)
		return
	}
	p.stopped = true
	p.attempt.cancel(p.cause)
}

// reserveNext reserves the next attempt as if this one had failed now.
func (a *attempt) reserveNext() bool {
	x := a.state
	d := retry.Decide(retry.Facts{
		Idempotent: x.req.Route.RetryPolicy == routing.Idempotent, Runs: x.runs + 1, MaxRuns: x.req.Route.MaxRuns, Attempts: len(x.tried),
		TimeLeft: time.Until(x.req.Deadline), CallerCanceled: x.ctx.Err() != nil,
	})
	return d == retry.Again && x.reserve(x.tried, true)
}
