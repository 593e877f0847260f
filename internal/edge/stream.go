package edge

import (
	"errors"
	"io"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/ctxwait"
	"github.com/cranberrypier/cranberrypier/internal/exchange"
	"github.com/cranberrypier/cranberrypier/internal/fleet"
	"github.com/cranberrypier/cranberrypier/internal/logs"
	"github.com/cranberrypier/cranberrypier/internal/retry"
)

// Timeouts of streams.
const (
	// streamHeadTimeoutFactor is the timeout for the head of a stream as a
	// multiple of the upstream's expected time to the first byte. The timeout
	// is never below the route's target latency.
	streamHeadTimeoutFactor = 4
	// stallTimeoutFactor is the timeout between events as a multiple of the
	// route's TargetGap, the longest pause that still counts as on time.
	stallTimeoutFactor = 1.5
	// maxResumeWait is how long a stream that lost its upstream waits for one: a silence
	// of all, then the backoff and the last connection that failed in it.
	maxResumeWait = maxPeerSilence + fleet.MaxBackoff + upstreamDialTimeout
)

// streamState is the additional state of a streaming request.
type streamState struct {
	*requestState
	plan       *modelPlan
	headSent   bool // the head was sent to the caller
	controller *http.ResponseController
	// resumeBy is when a stream that has lost its upstream is aborted if none can
	// continue it; zero while it has one.
	resumeBy time.Time
}

// serveStream serves a request whose response is a stream of events. It
// forwards events as they arrive. If the stream breaks, it resumes at another
// upstream where the route allows it.
func (x *requestState) serveStream() {
	st := &streamState{requestState: x, plan: x.proxy.planModels(x.req), controller: http.NewResponseController(x.w)}
	for {
		a, reason := x.nextAttempt(st.plan.model, st.plan.model, st.streamHeadTimeout)
		if a == nil {
			if st.waitForUpstream(false) {
				continue
			}
			st.endWithoutUpstream(reason)
			return
		}
		result := st.forwardAttempt(a)
		a.release(st.upstreamOutcome(a, result))
		if result == streamDone {
			return
		}
		if result == streamEscalated {
			x.runs++
			continue
		}
		d := x.decideRetry(a)
		if d != retry.Again && (!d.MayChange() || !st.waitForUpstream(a.attemptStatus != exchange.NotSent)) {
			st.endBroken(a)
			return
		}
	}
}

// streamHeadTimeout returns how long to wait for the head of a stream before
// another upstream is tried. Zero means until the request's deadline, because
// the next run is the last one.
func (st *streamState) streamHeadTimeout(p *fleet.Pick) time.Duration {
	if !st.mayMoveOn() {
		return 0
	}
	return max(streamHeadTimeoutFactor*p.ExpectedLatency, st.req.Route.TargetLatency)
}

// streamResult is how an attempt at a stream ended.
type streamResult int

const (
	// streamDone: nothing more is to be sent to the caller.
	streamDone streamResult = iota
	// streamBroken: another upstream may be tried.
	streamBroken
	// streamEscalated: the request is sent again for the largest model.
	streamEscalated
)

// upstreamOutcome returns how the attempt counts for the upstream's health.
func (st *streamState) upstreamOutcome(a *attempt, result streamResult) fleet.Outcome {
	if result == streamEscalated {
		return fleet.OutcomeSuccess
	}
	return a.outcome()
}

// forwardAttempt forwards the response of an attempt to the caller.
func (st *streamState) forwardAttempt(a *attempt) streamResult {
	if a.finalError {
		if st.headSent || a.vmStopped || !st.passFinalError(a) {
			return streamBroken // after the head, any other VM or upstream may go on
		}
		return streamDone
	}
	if a.attemptStatus != exchange.Answered || !a.head.Usable() {
		return streamBroken
	}
	if a.head.Status != http.StatusOK {
		return st.handleErrorResponse(a)
	}
	if !st.headSent {
		if a.vm == "" && st.plan.tryEscalate(st.requestState, a) {
			return streamEscalated
		}
		st.sendHead(a)
	}
	return st.forwardEvents(a)
}

// handleErrorResponse handles an error response of the upstream itself.
func (st *streamState) handleErrorResponse(a *attempt) streamResult {
	if st.headSent {
		return streamBroken
	}
	resp, err := a.readResponse()
	if err != nil {
		return streamBroken
	}
	if resp.partial {
		st.passThrough(a, resp)
		return streamDone
	}
	if a.head.Status >= http.StatusInternalServerError && a.vm == "" && st.mayRetryFailure() {
		st.keepFallback(resp)
		return streamBroken
	}
	st.writeResponse(resp)
	return streamDone
}

// sendHead sends the head of the response to the caller.
func (st *streamState) sendHead(a *attempt) {
	st.headSent = true
	st.outlastVM() // only the end of the stream is missing
	copyHeader(st.w.Header(), a.head.Header)
	st.w.WriteHeader(a.head.Status)
	st.status = a.head.Status
	st.firstByte = time.Since(st.req.ReceivedAt)
}

// forwardEvents forwards events until the stream ends or breaks.
func (st *streamState) forwardEvents(a *attempt) streamResult {
	stallTimeout := st.stallTimeout()
	var stall *patience
	if stallTimeout > 0 && a.vm == "" { // another VM watches its own upstream
		stall = a.startPatience(stallTimeout, errStreamStalled)
		defer stall.stop()
	}
	reader := newEventReader(a.body, func(by int) bool { return st.holdResponse(st.responseBytes + int64(by)) })
	defer reader.release()
	for {
		events, err := reader.next()
		if events.count > 0 {
			st.resumeBy = time.Time{}
		}
		if errors.Is(err, io.EOF) {
			return st.endStream(a, events.bytes)
		}
		if errors.Is(err, errEventTooLong) || errors.Is(err, errNoEventRoom) || errors.Is(err, errNoProgress) {
			a.err = err // this VM ends the attempt
			return streamBroken
		}
		if err != nil {
			a.recordTruncation(err)
			return streamBroken
		}
		stall.hold()
		begin := time.Now()
		if !st.write(a, events.bytes) {
			return streamDone
		}
		now := time.Now()
		a.unread += now.Sub(begin)
		stall.resume(now, events.count > 0)
		if a.pace.record(now, events.count); a.vm == "" && a.pace.eventsAfterFirst >= pacedEvents {
			a.recordPace(now)
		}
		a.recordSurvival(now)
		if events.lastID != "" {
			st.resumeAfter = events.lastID
		}
	}
}

// stallTimeout returns how long a resumable stream may pause before it resumes
// at another upstream, if there is one; zero disables the timeout.
func (st *streamState) stallTimeout() time.Duration {
	if !st.req.Route.Resumable || !st.mayMoveOn() {
		return 0
	}
	return time.Duration(stallTimeoutFactor * float64(st.req.Route.TargetGap))
}

// write forwards bytes of an attempt to the caller at once. It returns false if the caller
// has disconnected or was given up.
func (st *streamState) write(a *attempt, b []byte) bool {
	_, err := st.w.Write(b)
	if err == nil {
		err = st.controller.Flush()
	}
	if err != nil {
		st.recordUndelivered(err)
		a.recordStalled(err)
		return false
	}
	return true
}

// endStream ends a stream whose body has ended in the regular way, with the bytes
// after its last complete event. The end of a connection that is the only mark of
// the body's end does not show that the upstream had finished.
func (st *streamState) endStream(a *attempt, rest []byte) streamResult {
	a.bodyRead, a.leftover = true, len(rest)
	if endsInsideEvent(rest) {
		a.recordTruncation(errEndInsideEvent)
		return streamBroken
	}
	if a.framing == framedByClose && a.pace.events == 0 && st.resumeAfter == "" {
		a.recordTruncation(errNoEvents)
		return streamBroken
	}
	if len(rest) > 0 && !st.write(a, rest) {
		return streamDone
	}
	st.outcome = "answered"
	return streamDone
}

// waitForUpstream waits until another upstream is reserved for a stream that has lost
// its own, or the same one again: all may be silent for a moment. It gives up after
// maxResumeWait without an event.
func (st *streamState) waitForUpstream(takeRetry bool) bool {
	if !st.headSent || !st.req.Route.Resumable || st.runs >= st.req.Route.MaxRuns {
		return false
	}
	if st.resumeBy.IsZero() {
		st.resumeBy = time.Now().Add(maxResumeWait)
	}
	for time.Now().Before(st.resumeBy) && ctxwait.For(st.ctx, retryCheckInterval) {
		if st.reserve(nil, takeRetry) || st.mayForward(takeRetry) {
			return true
		}
	}
	return false
}

// endWithoutUpstream ends a stream for which there is no (further) upstream.
func (st *streamState) endWithoutUpstream(reason fleet.Reason) {
	if !st.headSent {
		st.respondNoUpstream(reason)
		return
	}
	st.abort(string(reason))
}

// endBroken ends a stream that can't be resumed.
func (st *streamState) endBroken(a *attempt) {
	if !st.headSent {
		st.respondFailed(a)
		return
	}
	st.abort(a.attemptStatus.String())
}

// abort closes the caller's connection, so that the truncated response does not
// look complete.
func (st *streamState) abort(reason string) {
	outcome := "stream_cut"
	if st.ctx.Err() != nil {
		outcome = "caller_gone"
	}
	klog.InfoS("request: stream aborted before its end", "request", st.req.ID, "because", reason, "after", st.resumeAfter, "outcome", outcome)
	st.abortResponse(outcome)
}

// resetConnection resets the caller's connection. Without chunks, a connection
// that is merely closed would end the response in the regular way.
func (x *requestState) resetConnection() {
	conn, _, err := http.NewResponseController(x.w).Hijack()
	if err != nil {
		klog.InfoS("request: connection not reset", "request", x.req.ID, "err", logs.Err(err))
		return
	}
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is gone
	}
	_ = conn.Close() // the caller may have disconnected
}
