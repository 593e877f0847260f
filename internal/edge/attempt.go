package edge

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/exchange"
	"github.com/cranberrypier/cranberrypier/internal/fleet"
	"github.com/cranberrypier/cranberrypier/internal/logs"
)

// maxResponseBytes limits a response that is buffered completely.
const maxResponseBytes = 8 << 20

var (
	errFirstByteTimeout = errors.New("no response head within the timeout")
	errStreamStalled    = errors.New("no stream event within the stall timeout")
)

// attempt is one try of a request at one upstream, from the pick to the outcome.
type attempt struct {
	request *requestState
	pick    *fleet.Pick
	model   string
	began   time.Time
	head    *exchange.Head
	body    io.ReadCloser
	fate    exchange.AttemptStatus
	err     error
	// firstByte is the time from sending the request to the head of the
	// response.
	firstByte time.Duration

	// crashed is true when the upstream broke the connection, not this VM.
	crashed bool

	ctx      context.Context
	cancel   context.CancelCauseFunc
	released bool
}

// sendAttempt sends the request to the picked upstream and waits for the head
// of the response, at most headTimeout. A headTimeout of zero waits until the
// request's deadline.
func (x *requestState) sendAttempt(pick *fleet.Pick, model string, headTimeout time.Duration) *attempt {
	a := &attempt{request: x, pick: pick, model: model, began: time.Now()}
	a.ctx, a.cancel = context.WithCancelCause(x.ctx)
	x.beginAttempt(a)
	wire := exchange.Attempt{
		Request: x.req, Upstream: pick.ID, Address: pick.Address, Model: model,
		ResumeAfter: x.resumeAfter, Deadline: x.req.Deadline,
	}
	req, err := x.service.protocol.NewRequest(a.ctx, wire)
	if err != nil {
		a.fate, a.err = exchange.NotSent, err
		return a
	}
	if headTimeout > 0 {
		timer := time.AfterFunc(headTimeout, func() { a.cancel(errFirstByteTimeout) })
		defer timer.Stop()
	}
	resp, err := x.service.transport.RoundTrip(req) //nolint:bodyclose // closed by release
	if err != nil {
		a.recordNoResponse(err)
		return a
	}
	a.body = resp.Body
	a.head = x.service.protocol.DecodeHead(resp, wire)
	a.fate = a.head.AttemptStatus
	a.firstByte = time.Since(a.began)
	x.service.isolation.recordReachable()
	if a.fate == exchange.Answered {
		x.service.fleet.FirstByte(time.Now(), pick, a.head.Load)
	}
	return a
}

// recordNoResponse records an attempt that got no response. If dialing failed,
// the request did not reach the upstream.
func (a *attempt) recordNoResponse(err error) {
	a.err = err
	a.fate = exchange.Unknown
	a.crashed = context.Cause(a.ctx) == nil
	if cause := context.Cause(a.ctx); cause != nil {
		a.err = cause
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		a.fate = exchange.NotSent
		a.crashed = false
	}
}

// readResponse reads the rest of a response that is not a stream.
func (a *attempt) readResponse() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a.body, maxResponseBytes))
	if err != nil {
		a.recordTruncation(err)
	}
	return body, a.err
}

// recordTruncation records a response whose body could not be read completely.
func (a *attempt) recordTruncation(err error) {
	a.err = err
	a.crashed = true
	if cause := context.Cause(a.ctx); cause != nil {
		a.err = cause
		a.crashed = false
	}
}

// release ends the attempt: it closes the connection, frees the attempt's place
// at the upstream and records the outcome.
func (a *attempt) release(end fleet.Outcome) {
	if a.released {
		return
	}
	a.released = true
	a.cancel(context.Canceled)
	if a.body != nil {
		_ = a.body.Close() // the response is over, and the connection is not reused
	}
	a.request.finishAttempt(a, end)
}

// outcome returns how the attempt counts for the upstream's health.
func (a *attempt) outcome() fleet.Outcome {
	switch {
	case a.request.callerGone():
		return fleet.OutcomeNeutral
	case a.fate == exchange.NotSent:
		return fleet.OutcomeUnreachable
	case a.fate == exchange.Rejected:
		return fleet.OutcomeRejected
	case a.fate == exchange.Misdirected:
		return fleet.OutcomeMisdirected
	case a.err != nil || a.head == nil || a.head.Status >= http.StatusInternalServerError || !a.head.Usable():
		return fleet.OutcomeFailed
	}
	return fleet.OutcomeSuccess
}

// log writes the log line of a finished attempt.
func (a *attempt) log(end fleet.Outcome) {
	status, confidence := 0, exchange.NoConfidence
	if a.head != nil {
		status, confidence = a.head.Status, a.head.Confidence
	}
	klog.InfoS("attempt: done", "request", a.request.req.ID, "upstream", a.pick.ID, "version", a.pick.Version,
		"model", a.model, "why", a.request.versionReason, "cost", int(a.pick.Cost), "candidates", a.pick.Candidates,
		"uncached", a.pick.UncachedTokens, "expect", a.pick.ExpectedLatency.Milliseconds(), "firstByte", a.firstByte.Milliseconds(),
		"took", time.Since(a.began).Milliseconds(), "fate", a.fate, "status", status, "confidence", confidence,
		"end", end, "err", logs.Err(a.err))
}
