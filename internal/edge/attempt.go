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
const answerMost = 8 << 20

var (
	errSilent = errors.New("no first byte within the expected time")
	errStall  = errors.New("no event within the longest pause")
)

// attempt is one try at one upstream, from the pick to its end.
type attempt struct {
	run   *run
	pick  *fleet.Pick
	model string
	began time.Time
	head  *exchange.Head
	body  io.ReadCloser
	fate  exchange.AttemptStatus
	err   error
	// firstByte is the time from the send to the head of the answer.
	firstByte time.Duration

	// crashed is true when the upstream broke the connection, not this VM.
	crashed bool

	ctx    context.Context
	cancel context.CancelCauseFunc
	ended  bool
}

// open sends the request to the pick and waits for the head of the answer, at
// most patience; zero waits until the request's deadline.
func (x *run) open(pick *fleet.Pick, model string, patience time.Duration) *attempt {
	a := &attempt{run: x, pick: pick, model: model, began: time.Now()}
	a.ctx, a.cancel = context.WithCancelCause(x.ctx)
	x.begin(a)
	wire := exchange.Attempt{
		Request: x.req, Upstream: pick.ID, Address: pick.Address, Model: model,
		ResumeAfter: x.resumeAfter, Deadline: x.req.Deadline,
	}
	req, err := x.s.protocol.NewRequest(a.ctx, wire)
	if err != nil {
		a.fate, a.err = exchange.NotSent, err
		return a
	}
	if patience > 0 {
		timer := time.AfterFunc(patience, func() { a.cancel(errSilent) })
		defer timer.Stop()
	}
	resp, err := x.s.upstreams.RoundTrip(req) //nolint:bodyclose // closed by end
	if err != nil {
		a.broken(err)
		return a
	}
	a.body = resp.Body
	a.head = x.s.protocol.DecodeHead(resp, wire)
	a.fate = a.head.AttemptStatus
	a.firstByte = time.Since(a.began)
	x.s.isolation.answered()
	if a.fate == exchange.Answered {
		x.s.fleet.FirstByte(time.Now(), pick, a.head.Load)
	}
	return a
}

// broken notes an attempt without an answer. What failed before a connection
// was there did not reach the upstream.
func (a *attempt) broken(err error) {
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
func (a *attempt) readWhole() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a.body, answerMost))
	if err != nil {
		a.cut(err)
	}
	return body, a.err
}

// cut notes an answer that broke off.
func (a *attempt) cut(err error) {
	a.err = err
	a.crashed = true
	if cause := context.Cause(a.ctx); cause != nil {
		a.err = cause
		a.crashed = false
	}
}

// end releases the attempt: its connection is closed, its place at the
// upstream and its outcome are counted.
func (a *attempt) end(end fleet.Outcome) {
	if a.ended {
		return
	}
	a.ended = true
	a.cancel(context.Canceled)
	if a.body != nil {
		_ = a.body.Close() // the answer is over; the connection is not used again
	}
	a.run.finish(a, end)
}

// standing is what the outcome says about the upstream.
func (a *attempt) standing() fleet.Outcome {
	switch {
	case a.run.gone():
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

// log writes the line of a finished attempt.
func (a *attempt) log(end fleet.Outcome) {
	status, confidence := 0, exchange.NoConfidence
	if a.head != nil {
		status, confidence = a.head.Status, a.head.Confidence
	}
	klog.InfoS("attempt: done", "request", a.run.req.ID, "upstream", a.pick.ID, "version", a.pick.Version,
		"model", a.model, "why", a.run.why, "cost", int(a.pick.Cost), "candidates", a.pick.Candidates,
		"uncached", a.pick.UncachedTokens, "expect", a.pick.ExpectedLatency.Milliseconds(), "firstByte", a.firstByte.Milliseconds(),
		"took", time.Since(a.began).Milliseconds(), "fate", a.fate, "status", status, "confidence", confidence,
		"end", end, "err", logs.Err(a.err))
}
