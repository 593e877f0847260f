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
	callPatience = 2
	// expectPatience is a multiple of the expected time.
	expectPatience = 4
)

// whole serves a request whose answer is read whole before it is passed on, so
// that a broken one can be repeated where that is allowed.
func (x *run) whole() {
	for {
		pick, reason := x.pick("")
		if pick == nil {
			x.noUpstream(reason)
			return
		}
		a := x.open(pick, x.req.Model, x.wholePatience(pick))
		if x.deliver(a) {
			return
		}
		a.end(a.standing())
		if x.next(a) != retry.Again {
			x.failed(a)
			return
		}
	}
}

// wholePatience is how long a call may stay unanswered before another upstream
// is tried; zero when no other attempt could follow.
func (x *run) wholePatience(p *fleet.Pick) time.Duration {
	if x.lastRun() {
		return 0
	}
	return max(callPatience*x.req.Route.TargetLatency, expectPatience*p.ExpectedLatency)
}

// lastRun reports whether no further run may follow the next one. It then may
// take all the time that is left: giving it up early could only lose it.
func (x *run) lastRun() bool {
	return x.req.Route.RetryPolicy != routing.Idempotent || x.runs+1 >= x.req.Route.MaxUpstreams ||
		x.s.budget.Remaining(time.Now(), x.req.Service.Name) < 1
}

// deliver passes a whole answer on. It reports false when there is none, or
// when a failure may be better on another upstream.
func (x *run) deliver(a *attempt) bool {
	if a.fate != exchange.Answered || !a.head.Usable() {
		return false
	}
	body, err := a.readWhole()
	if err != nil {
		return false
	}
	got := &answer{head: a.head, body: body}
	if a.head.Status >= http.StatusInternalServerError && x.mayImprove() {
		x.kept = got
		return false
	}
	a.end(a.standing())
	x.pass(got)
	return true
}

// mayImprove reports whether another attempt could replace a failure that the
// upstream itself answered with.
func (x *run) mayImprove() bool {
	return retry.Decide(retry.Facts{
		Repeatable: x.req.Route.RetryPolicy == routing.Idempotent,
		Runs:       x.runs + 1, MaxRuns: x.req.Route.MaxUpstreams, Attempts: len(x.tried),
		TimeLeft: time.Until(x.req.Deadline), CallerCanceled: x.ctx.Err() != nil,
	}) == retry.Again && x.s.budget.Remaining(time.Now(), x.req.Service.Name) >= 1
}

// passKept passes on a failure that was kept. It reports whether there was one.
func (x *run) passKept() bool {
	if x.kept == nil {
		return false
	}
	x.pass(x.kept)
	return true
}

// pass writes an upstream's answer to the caller as it is.
func (x *run) pass(a *answer) {
	h := x.w.Header()
	copyHeader(h, a.head.Header)
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	x.first = time.Since(x.req.ReceivedAt)
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
