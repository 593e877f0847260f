package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/exchange"
	"github.com/cranberrypier/cranberrypier/internal/fleet"
	"github.com/cranberrypier/cranberrypier/internal/logs"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// maxResponseBytes limits the size of a response that is not a stream, to the default
// limit of a request's body. A longer response counts as incomplete.
const maxResponseBytes = defaultMaxBodyBytes

var (
	errResponseTooLong = errors.New("the response is longer than the limit")
	errHeadTimeout     = errors.New("no response head within the timeout")
	errStreamStalled   = errors.New("no stream event within the stall timeout")
)

// attempt is one try of a request at one upstream, from the pick to the outcome, or at
// another VM.
type attempt struct {
	state *requestState
	pick  *fleet.Pick // nil if the request is forwarded to another VM
	// vm is the VM to which the request is forwarded; empty for an attempt at an
	// upstream.
	vm string
	// finalError is true if the response is that VM's own error response, and runsThere
	// the number of attempts that ran or may have run by then.
	finalError bool
	runsThere  int
	// vmStopped is true if that VM gave the request up because it stops.
	vmStopped     bool
	model         string
	startedAt     time.Time
	head          *exchange.Head
	body          io.ReadCloser
	attemptStatus exchange.AttemptStatus
	err           error
	// timeToHead is the time from sending the request to the head of the
	// response.
	timeToHead time.Duration

	// disconnected is true when the upstream broke the connection, not this VM.
	disconnected bool
	// length is that of the body in bytes; negative if it is unknown.
	length int64
	// unread is the time in which writes to the caller blocked, so that the response was not
	// read from the upstream.
	unread time.Duration
	// framing is how the response marks the end of its body; empty without one.
	framing framing
	// pace is that of the events of a stream.
	pace         pace
	paceRecorded bool
	// survivalRecorded is true once recordSurvival has had an effect.
	survivalRecorded bool
	// bodyRead is true once the body has been read to its end.
	bodyRead bool
	// leftover is the number of bytes after the last complete event at the end of
	// a stream.
	leftover int

	ctx      context.Context
	cancel   context.CancelCauseFunc
	released bool
}

// sendAttempt sends the request to the picked upstream and waits for the head
// of the response. After headTimeout it gives up once another upstream is reserved. A
// headTimeout of zero waits until the request's deadline.
func (x *requestState) sendAttempt(pick *fleet.Pick, model string, headTimeout time.Duration) *attempt {
	a := &attempt{state: x, pick: pick, model: model, startedAt: time.Now()}
	a.ctx, a.cancel = context.WithCancelCause(x.ctx)
	x.beginAttempt(a)
	details := exchange.Attempt{
		Request: x.req, Upstream: pick.ID, Address: pick.Address, Model: model,
		ResumeAfter: x.resumeAfter, Deadline: x.req.Deadline,
	}
	req, err := x.proxy.protocol.NewRequest(x.withConn(a.ctx), details)
	if err != nil {
		a.attemptStatus, a.err = exchange.NotSent, err
		return a
	}
	if headTimeout > 0 {
		patience := a.startPatience(headTimeout, errHeadTimeout)
		defer patience.stop()
	}
	resp, err := x.proxy.transport.RoundTrip(req) //nolint:bodyclose // closed by release
	if err != nil {
		a.recordNoResponse(err)
		switch {
		case a.attemptStatus == exchange.NotSent:
			x.proxy.recordDialFailure(pick, x.req.Service.Name)
		case a.disconnected: // after it had accepted the connection
			x.proxy.recordContact(x.req.Service.Name, a.startedAt)
		}
		return a
	}
	x.proxy.recordContact(x.req.Service.Name, a.startedAt)
	a.setBody(resp)
	a.head = x.proxy.protocol.DecodeHead(resp, details)
	x.proxy.recordAlive(a)
	a.attemptStatus = a.head.AttemptStatus
	a.timeToHead = time.Since(a.startedAt)
	x.proxy.isolation.recordReachable()
	a.recordNotices()
	switch {
	case a.attemptStatus == exchange.Answered:
		x.proxy.fleet.FirstByte(time.Now(), pick, a.head.Load)
	case a.attemptStatus == exchange.Rejected && a.head.Load != nil:
		x.proxy.fleet.RecordRejection(time.Now(), pick, *a.head.Load)
	}
	return a
}

// recordNotices records what the upstream says of itself in any response, also if it
// rejects the request: that it is brittle or leaving, that it names a limit, or that it
// wants no requests for some time. A misdirected response may be another upstream's; the picked one is then
// no longer at its address.
func (a *attempt) recordNotices() {
	now := time.Now()
	a.recordBrittle(now)
	a.recordRateLimit(now)
	a.recordBadLoad()
	if a.head.Leaving && a.state.proxy.fleet.RecordLeaving(now, fleet.Departure{Upstream: a.pick.ID, Incarnation: a.pick.Incarnation}, true) {
		klog.InfoS("fleet: the upstream announced that it is leaving", "upstream", a.pick.ID, "born", a.pick.Incarnation, "request", a.state.req.ID)
	}
	if a.head.PauseFor > 0 {
		a.state.proxy.fleet.Pause(now, a.pick, a.head.PauseFor)
		klog.InfoS("fleet: the upstream wants no requests for some time", "upstream", a.pick.ID, "for", a.head.PauseFor, "request", a.state.req.ID)
	}
}

// recordBadLoad counts a load report that could not be parsed, and logs the first one of
// an upstream.
func (a *attempt) recordBadLoad() {
	if a.head.BadLoad == "" || a.attemptStatus == exchange.Misdirected {
		return
	}
	a.state.proxy.metrics.badLoads.Inc()
	if a.state.proxy.fleet.RecordBadLoad(a.pick) {
		klog.InfoS("fleet: the upstream reports its load in a form that cannot be parsed; it is ignored", "code", int(result.LoadInvalid),
			"upstream", a.pick.ID, "value", a.head.BadLoad, "request", a.state.req.ID)
	}
}

// recordNoResponse records an attempt that got no response. If dialing failed,
// the request did not reach the upstream.
func (a *attempt) recordNoResponse(err error) {
	a.err = err
	a.attemptStatus = exchange.Unknown
	a.disconnected = context.Cause(a.ctx) == nil
	if cause := context.Cause(a.ctx); cause != nil {
		a.err = cause
	}
	if isDialError(err) {
		a.attemptStatus = exchange.NotSent
		a.disconnected = false
	}
}

// setBody sets the body of a response, which is still to be read.
func (a *attempt) setBody(resp *http.Response) {
	a.body, a.framing, a.length = resp.Body, framingOf(resp), resp.ContentLength
	if a.state.req.Method == http.MethodHead {
		a.length = 0 // the response to a HEAD request has the length of the one to GET
	}
}

// recordTruncation records a response whose body could not be read completely.
func (a *attempt) recordTruncation(err error) {
	a.err = err
	a.disconnected = true
	if cause := context.Cause(a.ctx); cause != nil {
		a.err = cause
		a.disconnected = false
	}
}

// release ends the attempt: it closes the connection, decrements the upstream's
// in-flight count and records the outcome.
func (a *attempt) release(upstreamOutcome fleet.Outcome) {
	if a.released {
		return
	}
	a.released = true
	a.cancel(context.Canceled)
	if a.body != nil {
		_ = a.body.Close() // the response is over, and the connection is not reused
	}
	a.state.finishAttempt(a, upstreamOutcome)
}

// outcome returns how the attempt counts for the upstream's health.
func (a *attempt) outcome() fleet.Outcome {
	switch {
	case a.state.callerGone() || a.state.vmStopping():
		return fleet.OutcomeNeutral
	case a.attemptStatus == exchange.NotSent:
		return fleet.OutcomeUnreachable
	case a.attemptStatus == exchange.Rejected && a.head.PauseFor > 0:
		return fleet.OutcomeNeutral // the pause alone keeps requests away
	case a.attemptStatus == exchange.Rejected:
		return fleet.OutcomeRejected
	case a.attemptStatus == exchange.Misdirected && a.head.Responder == a.pick.ID:
		return fleet.OutcomeNeutral // the upstream itself refuses the model or the version
	case a.attemptStatus == exchange.Misdirected:
		return fleet.OutcomeMisdirected
	case a.cutUnread():
		return fleet.OutcomeNeutral // the caller is the reason
	case a.err != nil || a.head == nil || a.head.Status >= http.StatusInternalServerError || !a.head.Usable():
		return fleet.OutcomeFailed
	}
	return fleet.OutcomeSuccess
}

func (a *attempt) log(upstreamOutcome fleet.Outcome) {
	status, confidence := 0, exchange.NoConfidence
	if a.head != nil {
		status, confidence = a.head.Status, a.head.Confidence
	}
	klog.InfoS("attempt: done", "request", a.state.req.ID, "upstream", a.pick.ID, "version", a.pick.Version,
		"model", a.model, "why", a.state.versionReason, "cost", int(a.pick.Cost), "candidates", a.pick.EligibleCount, "zone", a.pick.ZoneChoice,
		"uncached", a.pick.UncachedTokens, "expect", a.pick.ExpectedLatency.Milliseconds(), "firstByte", a.timeToHead.Milliseconds(),
		"took", time.Since(a.startedAt).Milliseconds(), "fate", a.attemptStatus, "status", status, "confidence", confidence, "running", a.running(), "workTime", a.workTime(),
		"events", a.pace.events, "interval", a.pace.interval().Milliseconds(), "framing", a.framing, "leftover", a.leftover, "unread", a.unread.Milliseconds(), "end", upstreamOutcome, "cause", a.endCause(), "err", logs.Err(a.err))
}
