package edge

import (
	"net/http"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/exchange"
	"github.com/cranberrypier/cranberrypier/internal/fleet"
	"github.com/cranberrypier/cranberrypier/internal/logs"
	"github.com/cranberrypier/cranberrypier/internal/retry"
	"github.com/cranberrypier/cranberrypier/internal/routing"
)

// Patience with an upstream that does not begin to answer a repeatable call.
const (
	// callPatience is a multiple of the route's aim.
	aimTimeoutFactor = 2
	// expectPatience is a multiple of the expected time.
	expectedTimeoutFactor = 4
)

// whole serves a request whose answer is read whole before it is passed on, so
// that a broken one can be repeated where that is allowed.
func (x *requestState) serveBuffered() {
	for {
		pick, reason := x.pick("")
		if pick == nil {
			x.respondNoUpstream(reason)
			return
		}
		a := x.sendAttempt(pick, x.req.Model, x.headTimeout(pick))
		if x.deliver(a) {
			return
		}
		a.release(a.outcome())
		if x.decideRetry(a) != retry.Again {
			x.respondFailed(a)
			return
		}
	}
}

// wholePatience is how long a call may stay unanswered before another upstream
// is tried; zero when no other attempt could follow.
func (x *requestState) headTimeout(p *fleet.Pick) time.Duration {
	if x.isLastRun() {
		return 0
	}
	return max(aimTimeoutFactor*x.req.Route.Aim, expectedTimeoutFactor*p.Expect)
}

// lastRun reports whether no further run may follow the next one. It then may
// take all the time that is left: giving it up early could only lose it.
func (x *requestState) isLastRun() bool {
	return x.req.Route.Repeat != routing.Idempotent || x.runs+1 >= x.req.Route.MaxUpstreams ||
		x.service.budget.Left(time.Now(), x.req.Service.Name) < 1
}

// deliver passes a whole answer on. It reports false when there is none, or
// when a failure may be better on another upstream.
func (x *requestState) deliver(a *attempt) bool {
	if a.fate != exchange.Answered || !a.head.Usable() {
		return false
	}
	body, err := a.readResponse()
	if err != nil {
		return false
	}
	resp := &response{head: a.head, body: body}
	if a.head.Status >= http.StatusInternalServerError && x.mayRetryFailure() {
		x.fallback = resp
		return false
	}
	a.release(a.outcome())
	x.writeResponse(resp)
	return true
}

// mayImprove reports whether another attempt could replace a failure that the
// upstream itself answered with.
func (x *requestState) mayRetryFailure() bool {
	return retry.Decide(retry.Facts{
		Repeatable: x.req.Route.Repeat == routing.Idempotent,
		Runs:       x.runs + 1, MaxRuns: x.req.Route.MaxUpstreams, Tries: len(x.tried),
		Left: time.Until(x.req.Deadline), CallerGone: x.ctx.Err() != nil,
	}) == retry.Again && x.service.budget.Left(time.Now(), x.req.Service.Name) >= 1
}

// passKept passes on a failure that was kept. It reports whether there was one.
func (x *requestState) sendFallback() bool {
	if x.fallback == nil {
		return false
	}
	x.writeResponse(x.fallback)
	return true
}

// pass writes an upstream's answer to the caller as it is.
func (x *requestState) writeResponse(a *response) {
	h := x.w.Header()
	copyHeader(h, a.head.Header)
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	x.firstByte = time.Since(x.req.Arrived)
	x.status = a.head.Status
	x.outcome = "answered"
	x.w.WriteHeader(a.head.Status)
	if x.req.Method == http.MethodHead {
		return
	}
	if _, err := x.w.Write(a.body); err != nil {
		x.outcome = "caller_gone"
		klog.InfoS("request: answer not delivered", "request", x.req.ID, "err", logs.Err(err))
	}
}

func copyHeader(to, from http.Header) {
	for k, v := range from {
		to[k] = v
	}
}
