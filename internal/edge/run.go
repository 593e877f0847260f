package edge

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/canary"
	"github.com/cranberrypier/cranberrypier/internal/exchange"
	"github.com/cranberrypier/cranberrypier/internal/fleet"
	"github.com/cranberrypier/cranberrypier/internal/logs"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/retry"
	"github.com/cranberrypier/cranberrypier/internal/routing"
)

// requestState is the state of one caller's request while it is served.
type requestState struct {
	proxy *Proxy
	w     http.ResponseWriter
	ctx   context.Context
	req   *exchange.Request
	// connRequests is the number of requests that the caller's connection has carried,
	// with this one; zero if unknown.
	connRequests int64
	// callerHeader is the header of the request as it arrived.
	callerHeader http.Header
	// forwarded describes the request if another VM forwarded it; otherwise nil.
	forwarded *forwardInfo
	// elsewhere is true if this VM refuses a forwarded request that other VMs may serve,
	// and stopped if it gave one up after a run because it stops.
	elsewhere, stopped bool
	// outlastVM lets the request go on until the end of a planned stop.
	outlastVM func() bool
	// configVersion is the version of the configuration that admitted or refused the
	// request; zero if none was loaded.
	configVersion uint64
	// bodyRead is true once the body has been read.
	bodyRead bool
	// deadline cancels ctx at the request's deadline.
	deadline *time.Timer
	// heldBytes is the room that the body has, and responseBytes that of its responses.
	heldBytes, responseBytes int64
	// caller is the connection of the caller; nil if it is unknown.
	caller *callerConn
	// counted is true once the request is counted for the retry budget, by this VM or
	// by the one that forwarded it.
	counted bool
	// blockedFor is how long requests with this content are not sent, if
	// isContentBlocked.
	blockedFor time.Duration
	// closeDelimited is true if the end of the caller's connection is the only mark
	// of a stream's end, as in HTTP/1.0.
	closeDelimited bool
	// resumeAfter is the ID of the last event that the caller has received.
	resumeAfter string

	// fallback is an upstream's error response. It is forwarded if no later
	// attempt gets a better response.
	fallback *response

	// reserved is the next attempt, if it is ready already; pickedModel is the model
	// of the latest pick.
	reserved    *reservation
	pickedModel string
	// conn is a connection to the upstream of the next attempt; nil if it is not
	// established yet.
	conn net.Conn

	tried         []string // upstreams and VMs of all attempts, including unreachable ones
	sends         int      // attempts whose request may have reached an upstream
	runs          int      // attempts that upstreams executed or may have executed
	versionReason string   // reason of the version rule of the last pick, for the log
	// forwardTried is true once no other VM took the request after all of its attempts
	// failed to connect.
	forwardTried bool
	// roomExpectedIn is when the caller may expect room after the request got none; zero
	// if unknown.
	roomExpectedIn time.Duration
	// outcomes and paces are the attempts that count for the versions.
	outcomes, paces countedAttempts
	// outcome names how the request ended, for the log and the metrics.
	outcome   string
	status    int
	firstByte time.Duration
}

// callerGone reports whether the caller has disconnected.
func (x *requestState) callerGone() bool {
	cause := context.Cause(x.ctx)
	return cause != nil && !errors.Is(cause, errVMStopping) && !errors.Is(cause, context.DeadlineExceeded)
}

// reasonVMStopping is the reason why a request is not sent: this VM stops before the
// response is expected.
const reasonVMStopping fleet.Reason = "vm_stopping"

// nextAttempt sends the request to the next upstream, or to another VM while this one
// reaches no upstream of the service. It returns nil if there is none. The upstream is
// chosen for pickModel; empty for any.
func (x *requestState) nextAttempt(pickModel, model string, headTimeout func(*fleet.Pick) time.Duration) (*attempt, fleet.Reason) {
	if x.vmStopping() {
		return nil, reasonVMStopping
	}
	if a := x.forward(); a != nil {
		return a, ""
	}
	pick, reason := x.nextPick(pickModel)
	if pick == nil && x.isExhausted(reason) {
		x.proxy.recordExhausted(x.req.Service.Name)
		if a := x.forward(); a != nil {
			return a, ""
		}
		if x.proxy.contention && reason == fleet.NoneReachable {
			x.forwardTried = true
			pick, reason = x.nextPick(pickModel)
		}
	}
	if pick == nil {
		return nil, reason
	}
	if x.vmStopping() || x.proxy.stop.Load().outlasts(time.Now(), pick.ExpectedLatency) {
		x.release(&reservation{pick: pick, conn: x.conn}, fleet.OutcomeNeutral)
		x.conn = nil
		return nil, reasonVMStopping
	}
	return x.sendAttempt(pick, model, headTimeout(pick)), ""
}

// pickNow chooses an upstream for the next attempt, without those to exclude, and without
// waiting for room.
func (x *requestState) pickNow(model string, exclude []string, waiting bool) (*fleet.Pick, fleet.Reason) {
	now := time.Now()
	rule := x.proxy.versionRule(now, x.req)
	q := x.query(model)
	q.Exclude, q.Waiting = exclude, waiting
	q.AllowVersion, q.VersionShare = rule.Preferred, rule.PreferredShare
	x.versionReason = rule.Reason
	pick, reason := x.proxy.fleet.Pick(now, q)
	if pick == nil && q.VersionShare > 0 {
		q.VersionShare = 0
		pick, reason = x.proxy.fleet.Pick(now, q)
	}
	if pick == nil && rule.Fallback != nil {
		q.AllowVersion = rule.Fallback
		x.versionReason = rule.Reason + ", other version"
		pick, reason = x.proxy.fleet.Pick(now, q)
	}
	return pick, reason
}

// query describes the request to the fleet, with all versions allowed.
func (x *requestState) query(model string) fleet.Query {
	r := x.req
	q := fleet.Query{
		Service: r.Service.Name, ModelEngine: r.Service.ModelEngine, Model: model,
		PromptID: x.proxy.sharedPromptID(r), TargetLatency: r.Route.TargetLatency, Exclude: x.tried, FirstAttempt: len(x.tried) == 0,
		AllowVersion: func(string) bool { return true }, Regions: [][]string{r.Route.Regions, r.TeamRegions},
	}
	q.SharedTokens, q.OwnTokens = promptSizes(r)
	return q
}

// promptSizes returns the number of tokens in the shared parts of the prompt
// and in the rest.
func promptSizes(r *exchange.Request) (shared, own int) {
	for i, p := range r.PromptParts {
		if i < len(r.PromptParts)-1 {
			shared += p.Tokens
		} else {
			own += p.Tokens
		}
	}
	return shared, max(own, r.PromptTokens-shared)
}

// beginAttempt counts an attempt that is about to be sent.
func (x *requestState) beginAttempt(a *attempt) {
	x.tried = append(x.tried, a.pick.ID)
	x.countForBudget()
	x.proxy.recordAttemptStart(time.Now(), x.req, a.pick.Version)
}

// countForBudget counts the request for the retry budget, once for all VMs that it
// passes.
func (x *requestState) countForBudget() {
	if !x.counted {
		x.counted = true
		x.proxy.budget.RecordRequest(x.req.ReceivedAt, x.req.Service.Name)
	}
}

// runsAfter returns the number of attempts that ran or may have run, with one that may
// have.
func (x *requestState) runsAfter(a *attempt) int {
	switch {
	case a.vm == "":
		return x.runs + 1
	case a.finalError:
		return max(a.runsThere, x.runs)
	}
	return max(x.runs+1, x.req.Route.MaxRuns) // the other VM may have used all of them
}

// finishAttempt counts a finished attempt.
func (x *requestState) finishAttempt(a *attempt, upstreamOutcome fleet.Outcome) {
	if a.vm != "" {
		x.finishForward(a)
		return
	}
	now := time.Now()
	x.proxy.fleet.Done(now, a.pick, upstreamOutcome)
	x.proxy.rooms.requestEnded(x.req.Service.Name)
	// Only a response of the upstream itself says anything about its version.
	late := a.late(now)
	conclusive := late || upstreamOutcome == fleet.OutcomeSuccess || (upstreamOutcome == fleet.OutcomeFailed && a.attemptStatus == exchange.Answered)
	conclusive = conclusive && x.outcomes.add(a)
	x.proxy.metrics.countVersionOutcome(x.req.Service.Name, a.pick.Version, conclusive, late || upstreamOutcome == fleet.OutcomeFailed)
	x.proxy.recordAttemptOutcome(canary.Outcome{
		Service: x.req.Service.Name, Version: a.pick.Version, Route: x.req.Route.Name,
		Conclusive: conclusive, Bad: conclusive && (late || upstreamOutcome == fleet.OutcomeFailed), Running: a.running(),
	})
	a.recordPace(now)
	x.proxy.recordCrashEvidence(now, a)
	x.proxy.metrics.countAttempt(a)
	a.log(upstreamOutcome)
}

// decideRetry counts an attempt that brought no usable response and decides
// whether the request is sent again. If so, and if the attempt may have reached
// its upstream, it takes a retry from the budget.
func (x *requestState) decideRetry(a *attempt) retry.Decision {
	if a.attemptStatus != exchange.NotSent {
		x.sends++
	}
	if !a.attemptStatus.NotRun() {
		x.runs = x.runsAfter(a)
	}
	now := time.Now()
	d := retry.Decide(retry.Facts{
		Idempotent: x.req.Route.RetryPolicy == routing.Idempotent, NotRun: a.attemptStatus.NotRun(),
		Runs: x.runs, MaxRuns: x.req.Route.MaxRuns, Attempts: len(x.tried),
		TimeLeft: x.req.Deadline.Sub(now), CallerCanceled: x.ctx.Err() != nil, VMStopping: x.vmStopping(),
	})
	if d == retry.Again && x.isContentBlocked() {
		d = retry.ContentBlocked
	}
	if d == retry.Again && x.reserved == nil && a.attemptStatus != exchange.NotSent && !x.proxy.budget.TryRetry(now, x.req.Service.Name) {
		d = retry.BudgetExhausted
	}
	if d != retry.Again {
		x.dropReservation()
		klog.InfoS("retry: none", "request", x.req.ID, "because", d, "runs", x.runs, "tries", len(x.tried),
			"left", x.req.Deadline.Sub(now).Milliseconds(), "budget", int(x.proxy.budget.Remaining(now, x.req.Service.Name)))
	}
	return d
}

// respondNoUpstream responds to a request for which no upstream is available.
func (x *requestState) respondNoUpstream(reason fleet.Reason) {
	if reason == reasonVMStopping || x.vmStopping() {
		x.respondStopping(string(reasonVMStopping))
		return
	}
	if x.sendFallback() {
		return
	}
	if !hasNoRoom(reason) && reason != fleet.AllPaused {
		x.recordUnserved()
	}
	if x.runs > 0 {
		x.respondError(result.New(result.UpstreamFailed, "no other upstream can accept the request").WithRun(result.Unknown), string(reason))
		return
	}
	x.respondError(result.New(result.NoUpstream, "no upstream can accept the request now").WithRetryAfter(x.retryAfter(reason)), string(reason))
}

// recordUnserved records for the isolation check that the request reached no
// upstream.
func (x *requestState) recordUnserved() {
	if x.sends == 0 {
		x.proxy.isolation.recordUnserved(time.Now())
	}
}

// respondFailed responds to a request after its last attempt has failed.
func (x *requestState) respondFailed(a *attempt) {
	switch {
	case x.callerGone():
		x.endCallerGone()
	case x.vmStopping():
		x.respondStopping(a.attemptStatus.String())
	case x.sendFallback():
	case x.runs == 0 && x.blockedFor > 0:
		x.respondError(x.contentBlockedError(), a.attemptStatus.String())
	case x.runs == 0:
		x.recordUnserved()
		x.respondError(result.New(result.Overloaded, "each upstream that was tried rejected the request or was unreachable").WithRetryAfter(x.proxy.retryAfter(fleet.NoneReachable, x.req.Service.Name)), a.attemptStatus.String())
	case time.Until(x.req.Deadline) <= 0:
		x.respondError(result.New(result.DeadlineExceeded, "no response before the deadline"), a.attemptStatus.String())
	default:
		x.respondError(result.New(result.UpstreamFailed, "the upstream sent no usable response"), a.attemptStatus.String())
	}
}

// endCallerGone closes the connection of a caller that has disconnected or has closed its
// side. net/http would end a handler that wrote nothing with an empty success.
func (x *requestState) endCallerGone() {
	x.outcome = "caller_gone"
	x.finishRequest() // the panic skips the call in serve
	panic(http.ErrAbortHandler)
}

// errorBody is the body of an error response that this VM generates itself.
type errorBody struct {
	Code   result.Code     `json:"code"`
	Name   string          `json:"name"`
	Run    result.RunState `json:"run"`
	Detail string          `json:"detail"`
}

// respondError sends an error response that this VM generates itself.
func (x *requestState) respondError(e *result.Error, reason string) {
	x.outcome = e.Code.Info().Name
	x.status = e.Code.Info().HTTPStatus
	klog.InfoS("request: responding with an error of this VM", "request", x.req.ID, "code", int(e.Code), "name", x.outcome, "run", e.Run,
		"because", reason, "retryAfter", e.RetryAfter.Milliseconds(), "tries", len(x.tried),
		"isolated", x.proxy.isolation.isIsolated(), "connRequests", x.connRequests,
		"config", x.configVersion, "host", x.req.Host, "path", truncate(x.req.RequestURI, maxLoggedPath))
	x.markForwardResult(x.w.Header())
	x.proxy.writeError(x.w, x.req.ID, e)
}

// maxLoggedPath limits the bytes of a request's path in the log.
const maxLoggedPath = 80

func truncate(s string, maxBytes int) string { return s[:min(len(s), maxBytes)] }

func (s *Proxy) writeError(w http.ResponseWriter, id string, e *result.Error) {
	h := w.Header()
	s.ingress.SetRequestID(h, id)
	h.Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 2, 64))
	}
	info := e.Code.Info()
	body, err := json.Marshal(errorBody{Code: e.Code, Name: info.Name, Run: e.Run, Detail: e.Detail})
	if err != nil {
		klog.ErrorS(err, "request: error response not encoded", "request", id)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(info.HTTPStatus)
	if _, err := w.Write(body); err != nil {
		klog.InfoS("request: error response not delivered", "request", id, "err", logs.Err(err))
	}
}
