package edge

import (
	"net"
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
	conn          net.Conn // to the upstream; nil if it is not established yet
}

// prepare picks the upstream of the next attempt, or returns nil if there is none now.
func (x *requestState) prepare(exclude []string) *reservation {
	if x.isContentBlocked() || x.proxy.forwarder.unreachable(x.req.Service.Name) {
		return nil
	}
	current := x.versionReason
	pick, _ := x.pickNow(x.pickedModel, exclude, false)
	next := &reservation{pick: pick, model: x.pickedModel, versionReason: x.versionReason}
	x.versionReason = current
	if pick == nil {
		return nil
	}
	return next
}

// reserve makes the next attempt ready, if that is possible now. It takes a retry
// from the budget if takeRetry is true.
func (x *requestState) reserve(exclude []string, takeRetry bool) bool {
	if takeRetry && x.proxy.budget.Remaining(time.Now(), x.req.Service.Name) < 1 {
		return false
	}
	next := x.prepare(exclude)
	if next == nil {
		return false
	}
	if takeRetry && !x.proxy.budget.TryRetry(time.Now(), x.req.Service.Name) {
		x.release(next, fleet.OutcomeNeutral)
		return false
	}
	x.reserved = next
	return true
}

// release gives back a reservation that is not used.
func (x *requestState) release(r *reservation, outcome fleet.Outcome) {
	x.proxy.fleet.Done(time.Now(), r.pick, outcome)
	if r.conn != nil {
		_ = r.conn.Close() // nothing was sent on it
	}
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
		x.release(x.reserved, fleet.OutcomeNeutral)
		x.reserved = nil
	}
}

// nextPick returns the upstream of the next attempt: the reserved one, if it is for
// this model, or one that is picked now.
func (x *requestState) nextPick(model string) (*fleet.Pick, fleet.Reason) {
	if r := x.reserved; r != nil && r.model == model {
		x.reserved, x.versionReason, x.conn = nil, r.versionReason, r.conn
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
// passed, it cancels the attempt as soon as the next one is reserved and connected.
// Until then the attempt goes on: its upstream may be silent for a moment only, and
// nothing would take its place.
type patience struct {
	attempt *attempt
	cause   error
	timeout time.Duration

	mu        sync.Mutex
	timer     *time.Timer
	expiresAt time.Time
	// heldAt is when a write to the caller began, during which the timeout does not run;
	// zero for none.
	heldAt  time.Time
	stopped bool
}

// startPatience starts the timeout of an attempt; cause is the reason for its end.
func (a *attempt) startPatience(timeout time.Duration, cause error) *patience {
	p := &patience{attempt: a, cause: cause, timeout: timeout, expiresAt: time.Now().Add(timeout)}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = time.AfterFunc(timeout, p.expire)
	return p
}

// hold stops the timeout during a write to the caller, whose upstream is then not read
// from. It does nothing if p is nil.
func (p *patience) hold() {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heldAt = time.Now()
}

// resume ends hold. It starts the timeout anew if the upstream has made progress. It does
// nothing if p is nil.
func (p *patience) resume(now time.Time, progress bool) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expiresAt = p.expiresAt.Add(now.Sub(p.heldAt))
	if progress {
		p.expiresAt = now.Add(p.timeout)
	}
	p.heldAt = time.Time{}
	if !p.stopped {
		p.timer.Reset(p.expiresAt.Sub(now))
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
	next := p.prepareNext()
	if next == nil {
		return
	}
	x := p.attempt.state
	conn, err := x.proxy.dialUpstream(p.attempt.ctx, "tcp", next.pick.Address)
	if err != nil && p.attempt.ctx.Err() == nil {
		x.proxy.recordDialFailure(next.pick, x.req.Service.Name)
		x.release(next, fleet.OutcomeUnreachable)
		p.retryLater()
		return
	}
	next.conn = conn
	p.replaceBy(next)
}

// prepareNext prepares the next attempt, or starts the timeout anew if there is none or
// the timeout was extended.
func (p *patience) prepareNext() *reservation {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped || p.restart() {
		return nil
	}
	x := p.attempt.state
	if !p.attempt.mayBeRetried() || x.proxy.budget.Remaining(time.Now(), x.req.Service.Name) < 1 {
		p.timer.Reset(retryCheckInterval)
		return nil
	}
	next := x.prepare(x.tried)
	if next == nil {
		p.timer.Reset(retryCheckInterval)
	}
	return next
}

// replaceBy cancels the attempt in favor of the next one, which is connected, unless the
// attempt has gone on meanwhile.
func (p *patience) replaceBy(next *reservation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.attempt.state
	switch {
	case p.stopped || next.conn == nil || p.restart():
		x.release(next, fleet.OutcomeNeutral)
	case !x.proxy.budget.TryRetry(time.Now(), x.req.Service.Name):
		x.release(next, fleet.OutcomeNeutral)
		p.timer.Reset(retryCheckInterval)
	default:
		x.reserved = next
		p.stopped = true
		p.attempt.cancel(p.cause)
	}
}

// restart starts the timeout anew if it was extended or is held, and reports whether it
// was.
func (p *patience) restart() bool {
	if !p.heldAt.IsZero() {
		p.timer.Reset(retryCheckInterval)
		return true
	}
	left := time.Until(p.expiresAt)
	if left > 0 {
		p.timer.Reset(left)
	}
	return left > 0
}

func (p *patience) retryLater() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.stopped {
		p.timer.Reset(retryCheckInterval)
	}
}

// mayBeRetried reports whether the request might be sent again if the attempt failed
// now.
func (a *attempt) mayBeRetried() bool {
	x := a.state
	d := retry.Decide(retry.Facts{
		Idempotent: x.req.Route.RetryPolicy == routing.Idempotent, Runs: x.runs + 1, MaxRuns: x.req.Route.MaxRuns, Attempts: len(x.tried),
		TimeLeft: time.Until(x.req.Deadline), CallerCanceled: x.ctx.Err() != nil,
	})
	return d == retry.Again
}
