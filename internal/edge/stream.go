package edge

import (
	"errors"
	"io"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/exchange"
	"github.com/cranberrypier/cranberrypier/internal/fleet"
	"github.com/cranberrypier/cranberrypier/internal/logs"
	"github.com/cranberrypier/cranberrypier/internal/retry"
)

// Patience with streams.
const (
	// firstPatience bounds the wait for a first event as a multiple of the
	// expected time, not below the route's aim.
	firstEventTimeoutFactor = 4
	// gapPatience is a multiple of the longest pause that is still on time.
	stallTimeoutFactor = 1.5
)

// flow is what a stream needs beyond its run.
type streamState struct {
	*requestState
	plan       *modelPlan
	headSent   bool // the head has gone to the caller
	controller *http.ResponseController
}

// stream serves a request whose answer is a series of events. Events are passed
// on as they come; a stream that breaks goes on at another upstream where the
// route allows it.
func (x *requestState) serveStream() {
	st := &streamState{requestState: x, plan: x.service.planModels(x.req), controller: http.NewResponseController(x.w)}
	for {
		pick, reason := x.pick(st.plan.model)
		if pick == nil {
			st.endWithoutUpstream(reason)
			return
		}
		a := x.sendAttempt(pick, st.plan.model, st.firstEventTimeout(pick))
		result := st.forwardAttempt(a)
		a.release(st.upstreamOutcome(a, result))
		if result == streamDone {
			return
		}
		if result == streamEscalated {
			x.runs++
			continue
		}
		if x.decideRetry(a) != retry.Again {
			st.endBroken(a)
			return
		}
	}
}

// patience with the first event.
func (st *streamState) firstEventTimeout(p *fleet.Pick) time.Duration {
	if st.isLastRun() {
		return 0
	}
	return max(firstEventTimeoutFactor*p.Expect, st.req.Route.Aim)
}

// progress is how far an attempt brought the stream.
type streamResult int

const (
	streamDone streamResult = iota
	streamBroken
	streamEscalated
)

// verdict is what the attempt says about its upstream.
func (st *streamState) upstreamOutcome(a *attempt, result streamResult) fleet.End {
	if result == streamEscalated {
		return fleet.EndGood
	}
	return a.outcome()
}

// follow passes the answer of an attempt on.
func (st *streamState) forwardAttempt(a *attempt) streamResult {
	if a.fate != exchange.Answered || !a.head.Usable() {
		return streamBroken
	}
	if a.head.Status != http.StatusOK {
		return st.handleErrorResponse(a)
	}
	if !st.headSent {
		if st.plan.escalate(st.requestState, a) {
			return streamEscalated
		}
		st.sendHead(a)
	}
	return st.relayEvents(a)
}

// failure handles an upstream's own failure.
func (st *streamState) handleErrorResponse(a *attempt) streamResult {
	if st.headSent {
		return streamBroken
	}
	body, err := a.readResponse()
	if err != nil {
		return streamBroken
	}
	resp := &response{head: a.head, body: body}
	if a.head.Status >= http.StatusInternalServerError && st.mayRetryFailure() {
		st.fallback = resp
		return streamBroken
	}
	st.writeResponse(resp)
	return streamDone
}

// commit sends the head of the answer to the caller.
func (st *streamState) sendHead(a *attempt) {
	st.headSent = true
	copyHeader(st.w.Header(), a.head.Header)
	st.w.WriteHeader(a.head.Status)
	st.status = a.head.Status
	st.firstByte = time.Since(st.req.Arrived)
}

// relay passes events on until the stream ends or breaks.
func (st *streamState) relayEvents(a *attempt) streamResult {
	stallTimeout := st.stallTimeout()
	var stallTimer *time.Timer
	if stallTimeout > 0 {
		stallTimer = time.AfterFunc(stallTimeout, func() { a.cancel(errStreamStalled) })
		defer stallTimer.Stop()
	}
	reader := newEventReader(a.body)
	for {
		events, id, err := reader.next()
		if stallTimer != nil {
			stallTimer.Reset(stallTimeout)
		}
		if errors.Is(err, io.EOF) {
			return st.endStream(events)
		}
		if err != nil {
			a.recordTruncation(err)
			return streamBroken
		}
		if !st.write(events) {
			return streamDone
		}
		if id != "" {
			st.resumeAfter = id
		}
	}
}

// stallLimit is how long a resumable stream may pause before it goes on elsewhere.
func (st *streamState) stallTimeout() time.Duration {
	if !st.req.Route.Resumable || st.isLastRun() {
		return 0
	}
	return time.Duration(stallTimeoutFactor * float64(st.req.Route.Gap))
}

// write passes bytes on at once. It reports false when the caller has left.
func (st *streamState) write(b []byte) bool {
	_, err := st.w.Write(b)
	if err == nil {
		err = st.controller.Flush()
	}
	if err != nil {
		st.outcome = "caller_gone"
		klog.InfoS("request: stream not delivered", "request", st.req.ID, "err", logs.Err(err))
		return false
	}
	return true
}

// complete ends a stream that its upstream ended.
func (st *streamState) endStream(rest []byte) streamResult {
	if len(rest) > 0 && !st.write(rest) {
		return streamDone
	}
	st.outcome = "answered"
	return streamDone
}

// without ends a stream for which there is no upstream (any more).
func (st *streamState) endWithoutUpstream(reason fleet.Reason) {
	if !st.headSent {
		st.respondNoUpstream(reason)
		return
	}
	st.abort(string(reason))
}

// broken ends a stream that can't go on.
func (st *streamState) endBroken(a *attempt) {
	if !st.headSent {
		st.respondFailed(a)
		return
	}
	st.abort(a.fate.String())
}

// abort closes the caller's connection, so that the answer does not look whole.
func (st *streamState) abort(reason string) {
	st.outcome = "stream_cut"
	if st.ctx.Err() != nil {
		st.outcome = "caller_gone"
	}
	klog.InfoS("request: stream cut", "request", st.req.ID, "because", reason, "after", st.resumeAfter, "outcome", st.outcome)
	st.finishRequest()
	panic(http.ErrAbortHandler)
}
