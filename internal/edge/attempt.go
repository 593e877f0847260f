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

// answerMost bounds an answer that is read whole, in bytes.
const maxResponseBytes = 8 << 20

var (
	errFirstByteTimeout = errors.New("no first byte within the expected time")
	errStreamStalled    = errors.New("no event within the longest pause")
)

// attempt is one try at one upstream, from the pick to its end.
type attempt struct {
	request *requestState
	pick    *fleet.Pick
	model   string
	began   time.Time
	head    *exchange.Head
	body    io.ReadCloser
	fate    exchange.Fate
	err     error
	// firstByte is the time from the send to the head of the answer.
	firstByte time.Duration

	// crashed is true when the upstream broke the connection, not this VM.
	crashed bool

	ctx      context.Context
	cancel   context.CancelCauseFunc
	released bool
}

// open sends the request to the pick and waits for the head of the answer, at
// most patience; zero waits until the request's deadline.
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
	resp, err := x.service.transport.RoundTrip(req) //nolint:bodyclose // closed by end
	if err != nil {
		a.recordNoResponse(err)
		return a
	}
	a.body = resp.Body
	a.head = x.service.protocol.DecodeHead(resp, wire)
	a.fate = a.head.Fate
	a.firstByte = time.Since(a.began)
	x.service.isolation.recordReachable()
	if a.fate == exchange.Answered {
		x.service.fleet.FirstByte(time.Now(), pick, a.head.Load)
	}
	return a
}

// broken notes an attempt without an answer. What failed before a connection
// was there did not reach the upstream.
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

// readWhole reads the rest of an answer that is not a stream.
func (a *attempt) readResponse() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a.body, maxResponseBytes))
	if err != nil {
		a.recordTruncation(err)
	}
	return body, a.err
}

// cut notes an answer that broke off.
func (a *attempt) recordTruncation(err error) {
	a.err = err
	a.crashed = true
	if cause := context.Cause(a.ctx); cause != nil {
		a.err = cause
		a.crashed = false
	}
}

// end releases the attempt: its connection is closed, its place at the
// upstream and its outcome are counted.
func (a *attempt) release(end fleet.End) {
	if a.released {
		return
	}
	a.released = true
	a.cancel(context.Canceled)
	if a.body != nil {
		_ = a.body.Close() // the answer is over; the connection is not used again
	}
	a.request.finishAttempt(a, end)
}

// standing is what the outcome says about the upstream.
func (a *attempt) outcome() fleet.End {
	switch {
	case a.request.callerGone():
		return fleet.EndNeutral
	case a.fate == exchange.NotSent:
		return fleet.EndUnreachable
	case a.fate == exchange.Rejected:
		return fleet.EndRejected
	case a.fate == exchange.Misdirected:
		return fleet.EndMisdirected
	case a.err != nil || a.head == nil || a.head.Status >= http.StatusInternalServerError || !a.head.Usable():
		return fleet.EndFailed
	}
	return fleet.EndGood
}

// log writes the line of a finished attempt.
func (a *attempt) log(end fleet.End) {
	status, confidence := 0, exchange.NoConfidence
	if a.head != nil {
		status, confidence = a.head.Status, a.head.Confidence
	}
	klog.InfoS("attempt: done", "request", a.request.req.ID, "upstream", a.pick.ID, "version", a.pick.Version,
		"model", a.model, "why", a.request.versionReason, "cost", int(a.pick.Cost), "candidates", a.pick.Candidates,
		"uncached", a.pick.Uncached, "expect", a.pick.Expect.Milliseconds(), "firstByte", a.firstByte.Milliseconds(),
		"took", time.Since(a.began).Milliseconds(), "fate", a.fate, "status", status, "confidence", confidence,
		"end", end, "err", logs.Err(a.err))
}
