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
	firstPatience = 4
	// gapPatience is a multiple of the longest pause that is still on time.
	gapPatience = 1.5
)

// flow is what a stream needs beyond its run.
type flow struct {
	*run
	plan      *modelPlan
	committed bool // the head has gone to the caller
	flusher   *http.ResponseController
}

// stream serves a request whose answer is a series of events. Events are passed
// on as they come; a stream that breaks goes on at another upstream where the
// route allows it.
func (x *run) stream() {
	f := &flow{run: x, plan: x.s.planModels(x.req), flusher: http.NewResponseController(x.w)}
	for {
		pick, reason := x.pick(f.plan.model)
		if pick == nil {
			f.without(reason)
			return
		}
		a := x.open(pick, f.plan.model, f.patience(pick))
		done := f.follow(a)
		a.end(f.verdict(a, done))
		if done == streamDone {
			return
		}
		if done == streamEscalated {
			x.runs++
			continue
		}
		if x.next(a) != retry.Again {
			f.broken(a)
			return
		}
	}
}

// patience with the first event.
func (f *flow) patience(p *fleet.Pick) time.Duration {
	if f.lastRun() {
		return 0
	}
	return max(firstPatience*p.ExpectedLatency, f.req.Route.TargetLatency)
}

// progress is how far an attempt brought the stream.
type progress int

const (
	streamDone progress = iota
	streamBroken
	streamEscalated
)

// verdict is what the attempt says about its upstream.
func (f *flow) verdict(a *attempt, done progress) fleet.Outcome {
	if done == streamEscalated {
		return fleet.OutcomeSuccess
	}
	return a.standing()
}

// follow passes the answer of an attempt on.
func (f *flow) follow(a *attempt) progress {
	if a.fate != exchange.Answered || !a.head.Usable() {
		return streamBroken
	}
	if a.head.Status != http.StatusOK {
		return f.failure(a)
	}
	if !f.committed {
		if f.plan.escalate(f.run, a) {
			return streamEscalated
		}
		f.commit(a)
	}
	return f.relay(a)
}

// failure handles an upstream's own failure.
func (f *flow) failure(a *attempt) progress {
	if f.committed {
		return streamBroken
	}
	body, err := a.readWhole()
	if err != nil {
		return streamBroken
	}
	got := &answer{head: a.head, body: body}
	if a.head.Status >= http.StatusInternalServerError && f.mayImprove() {
		f.kept = got
		return streamBroken
	}
	f.pass(got)
	return streamDone
}

// commit sends the head of the answer to the caller.
func (f *flow) commit(a *attempt) {
	f.committed = true
	copyHeader(f.w.Header(), a.head.Header)
	f.w.WriteHeader(a.head.Status)
	f.status = a.head.Status
	f.first = time.Since(f.req.ReceivedAt)
}

// relay passes events on until the stream ends or breaks.
func (f *flow) relay(a *attempt) progress {
	limit := f.stallLimit()
	var watch *time.Timer
	if limit > 0 {
		watch = time.AfterFunc(limit, func() { a.cancel(errStall) })
		defer watch.Stop()
	}
	events := newEventReader(a.body)
	for {
		whole, id, err := events.next()
		if watch != nil {
			watch.Reset(limit)
		}
		if errors.Is(err, io.EOF) {
			return f.complete(whole)
		}
		if err != nil {
			a.cut(err)
			return streamBroken
		}
		if !f.write(whole) {
			return streamDone
		}
		if id != "" {
			f.resumeAfter = id
		}
	}
}

// stallLimit is how long a resumable stream may pause before it goes on elsewhere.
func (f *flow) stallLimit() time.Duration {
	if !f.req.Route.Resumable || f.lastRun() {
		return 0
	}
	return time.Duration(gapPatience * float64(f.req.Route.TargetGap))
}

// write passes bytes on at once. It reports false when the caller has left.
func (f *flow) write(b []byte) bool {
	_, err := f.w.Write(b)
	if err == nil {
		err = f.flusher.Flush()
	}
	if err != nil {
		f.outcome = "caller_gone"
		klog.InfoS("request: stream not delivered", "request", f.req.ID, "err", logs.Err(err))
		return false
	}
	return true
}

// complete ends a stream that its upstream ended.
func (f *flow) complete(rest []byte) progress {
	if len(rest) > 0 && !f.write(rest) {
		return streamDone
	}
	f.outcome = "answered"
	return streamDone
}

// without ends a stream for which there is no upstream (any more).
func (f *flow) without(reason fleet.Reason) {
	if !f.committed {
		f.noUpstream(reason)
		return
	}
	f.abort(string(reason))
}

// broken ends a stream that can't go on.
func (f *flow) broken(a *attempt) {
	if !f.committed {
		f.failed(a)
		return
	}
	f.abort(a.fate.String())
}

// abort closes the caller's connection, so that the answer does not look whole.
func (f *flow) abort(because string) {
	f.outcome = "stream_cut"
	if f.ctx.Err() != nil {
		f.outcome = "caller_gone"
	}
	klog.InfoS("request: stream cut", "request", f.req.ID, "because", because, "after", f.resumeAfter, "outcome", f.outcome)
	f.finished()
	panic(http.ErrAbortHandler)
}
