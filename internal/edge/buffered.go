package edge

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/exchange"
	"github.com/cranberrypier/cranberrypier/internal/fleet"
	"github.com/cranberrypier/cranberrypier/internal/retry"
	"github.com/cranberrypier/cranberrypier/internal/routing"
)

// Factors of the timeout for the head of the response to an idempotent request.
// The timeout is the larger of the two products; after it, another upstream is
// tried.
const (
	// targetLatencyTimeoutFactor is multiplied by the route's target latency.
	targetLatencyTimeoutFactor = 2
	// expectedTimeoutFactor is multiplied by the upstream's expected time to the
	// first byte.
	expectedTimeoutFactor = 4
)

// serveBuffered serves a request whose response is read completely before it is
// forwarded, so that the request can be retried after a truncated response
// where the route allows it.
func (x *requestState) serveBuffered() {
	for {
		a, reason := x.nextAttempt("", x.req.Model, x.headTimeout)
		if a == nil {
			x.respondNoUpstream(reason)
			return
		}
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

// headTimeout returns how long to wait for the head of a response before
// another upstream is tried. Zero means until the request's deadline, because
// the next run is the last one.
func (x *requestState) headTimeout(p *fleet.Pick) time.Duration {
	if !x.mayMoveOn() {
		return 0
	}
	return max(targetLatencyTimeoutFactor*x.req.Route.TargetLatency, expectedTimeoutFactor*p.ExpectedLatency)
}

// deliver forwards a complete response. It returns false if there is none, or
// if the response is a failure that another upstream might not have.
func (x *requestState) deliver(a *attempt) bool {
	if a.finalError {
		if a.vmStopped || !x.passFinalError(a) {
			return false
		}
		a.release(a.outcome())
		return true
	}
	if a.attemptStatus != exchange.Answered || !a.head.Usable() {
		return false
	}
	resp, err := a.readResponse()
	if err != nil {
		return false
	}
	if resp.partial {
		x.passThrough(a, resp)
		return true
	}
	if a.head.Status >= http.StatusInternalServerError && a.vm == "" && x.mayRetryFailure() {
		x.keepFallback(resp)
		return false
	}
	a.release(a.outcome())
	x.writeResponse(resp)
	return true
}

// mayRetryFailure reports whether another attempt may replace an error response
// of the upstream itself.
func (x *requestState) mayRetryFailure() bool {
	return x.mayRunAgain() && x.proxy.budget.Remaining(time.Now(), x.req.Service.Name) >= 1
}

// mayRunAgain reports whether the request may run once more although the current
// attempt, which is not counted in x.runs yet, has run.
func (x *requestState) mayRunAgain() bool {
	return retry.Decide(retry.Facts{
		Idempotent: x.req.Route.RetryPolicy == routing.Idempotent,
		Runs:       x.runs + 1, MaxRuns: x.req.Route.MaxRuns, Attempts: len(x.tried),
		TimeLeft: time.Until(x.req.Deadline), CallerCanceled: x.ctx.Err() != nil,
	}) == retry.Again
}

// sendFallback forwards the stored error response. It returns false if there is
// none.
func (x *requestState) sendFallback() bool {
	if x.fallback == nil {
		return false
	}
	x.writeResponse(x.fallback)
	return true
}

// writeResponse forwards an upstream's response to the caller unchanged.
func (x *requestState) writeResponse(resp *response) {
	h := x.w.Header()
	copyHeader(h, resp.head.Header)
	h.Set("Content-Length", strconv.Itoa(len(resp.body)))
	x.firstByte = time.Since(x.req.ReceivedAt)
	x.status = resp.head.Status
	x.outcome = "answered"
	x.w.WriteHeader(resp.head.Status)
	if x.req.Method == http.MethodHead {
		return
	}
	if _, err := x.w.Write(resp.body); err != nil {
		x.recordUndelivered(err)
	}
}

func copyHeader(to, from http.Header) {
	for k, v := range from {
		to[k] = v
	}
}
