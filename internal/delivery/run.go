package delivery

import (
	"context"
	"sync"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/ctxwait"
)

// inputQueueSize is the number of reports that may be queued for the request's
// goroutine. When the queue is full the attempts stop reading, so that TCP flow
// control slows the engine down to the speed at which the caller reads.
const inputQueueSize = 32

// Answer is a complete answer that is not a stream.
type Answer struct {
	Status int
	// ContentType is the media type of Body.
	ContentType string
	Body        []byte
}

// Outcome is the final result of a request for its caller.
type Outcome struct {
	// Winner is the attempt that produced the answer; zero on failure.
	Winner AttemptID
	// Answer is the complete answer of the winner; empty for streams.
	Answer Answer
	// Err is nil if and only if the answer is complete.
	Err error
	// Events is the number of events forwarded.
	Events uint64
	// Attempts is the number of dispatches.
	Attempts int
}

// Transport carries out attempts.
type Transport interface {
	// Attempt selects an upstream, sends the request and reads the answer. It
	// reports to r and returns when the attempt has ended; its last report is
	// exactly one of r.Done and r.Failed. When ctx is done it closes the
	// connection, releases its slot on the upstream and returns.
	Attempt(ctx context.Context, d Dispatch, r *Reporter)
}

// Sink receives the events of a stream in order, each exactly once. It is called
// from the goroutine that called Run.
type Sink interface {
	// Event writes one event to the caller. The data is valid only during the
	// call. An error means that the caller has disconnected.
	Event(id uint64, data []byte) error
}

// OutcomeFunc receives the outcome of a non-idempotent request; see
// RecordOutcome.
type OutcomeFunc func(RecordOutcome, Answer)

// Deliverer delivers requests; it runs one Machine for each.
type Deliverer struct {
	budget   *Budget
	metrics  *metrics
	attempts sync.WaitGroup
}

// Wait blocks until all attempts have ended, including those that outlive their
// callers.
func (d *Deliverer) Wait() { d.attempts.Wait() }

// Run delivers one request and returns as soon as the caller's result is final.
// When ctx is done, the caller has disconnected. A non-idempotent request
// continues afterwards, and its outcome is passed to onOutcome, which may be nil
// for idempotent requests. The withdrawn channel is closed when the request's
// version is withdrawn; it may be nil.
func (d *Deliverer) Run(ctx context.Context, spec Spec, t Transport, sink Sink, onOutcome OutcomeFunc, withdrawn <-chan struct{}) Outcome {
	l := &loop{
		d: d, m: New(spec, d.budget), t: t, sink: sink, onOutcome: onOutcome,
		inputs: make(chan input, inputQueueSize), cancels: map[AttemptID]context.CancelFunc{},
		baseCtx: context.WithoutCancel(ctx), closed: make(chan struct{}),
	}
	// The duration is a placeholder: resetTimer sets the actual one.
	l.timer = time.NewTimer(time.Hour)
	l.apply(l.m.Start(time.Now()))
	l.runUntilAnswered(ctx.Done(), withdrawn)
	out := l.out
	out.Events = l.m.LastEventID()
	out.Attempts = len(l.m.attempts)
	d.metrics.countEnd(out)
	if l.m.Ended() {
		l.close()
		return out
	}
	d.attempts.Go(func() {
		l.sink = nil
		l.awaitOutcome(spec.Deadline.Add(outcomeTimeout))
		l.close()
	})
	return out
}

// outcomeTimeout is how long after its deadline a non-idempotent request may
// still report its outcome; after that the run state known so far is recorded.
const outcomeTimeout = 30 * time.Second

// loop drives the machine of one request.
type loop struct {
	d         *Deliverer
	m         *Machine
	t         Transport
	sink      Sink
	onOutcome OutcomeFunc
	inputs    chan input
	cancels   map[AttemptID]context.CancelFunc
	answers   []attemptAnswer
	baseCtx   context.Context
	closed    chan struct{}
	timer     *time.Timer
	out       Outcome
}

type attemptAnswer struct {
	id     AttemptID
	answer Answer
}

// runUntilAnswered runs the machine until the caller has its final result: a
// complete answer or an error.
func (l *loop) runUntilAnswered(callerDone, withdrawn <-chan struct{}) {
	l.resetTimer()
	for !l.m.Answered() {
		// Queued reports are handled before timers: otherwise a caller that
		// reads slowly would make its upstream look stalled.
		select {
		case i := <-l.inputs:
			l.handleInput(i)
			continue
		default:
		}
		select {
		case i := <-l.inputs:
			l.handleInput(i)
		case <-callerDone:
			callerDone = nil
			l.step(CallerGone{})
		case <-withdrawn:
			withdrawn = nil
			l.step(Withdrawn{})
		case <-l.timer.C:
			l.step(Tick{})
		}
	}
}

// awaitOutcome keeps the machine of a non-idempotent request running after its
// caller got the final result, until the outcome is known or giveUpAt has passed.
func (l *loop) awaitOutcome(giveUpAt time.Time) {
	l.timer.Reset(time.Until(giveUpAt))
	for !l.m.Ended() {
		select {
		case i := <-l.inputs:
			l.handleInput(i)
		case <-l.timer.C:
			l.apply(l.m.Abandon())
		}
	}
}

func (l *loop) step(msg Message) {
	l.apply(l.m.Step(msg, time.Now()))
	l.resetTimer()
}

func (l *loop) resetTimer() { l.timer.Reset(max(0, time.Until(l.m.NextTick()))) }

func (l *loop) handleInput(i input) {
	if i.msg != nil {
		if i.answer != nil {
			l.answers = append(l.answers, attemptAnswer{i.attempt, *i.answer})
		}
		l.apply(l.m.Step(i.msg, time.Now()))
		if i.reply != nil {
			i.reply <- l.m.liveAttempt(i.attempt) != nil
		}
		if !l.m.Answered() {
			l.resetTimer()
		}
		return
	}
	l.handleEvent(i)
}

func (l *loop) handleEvent(i input) {
	defer releaseBuffer(i.data)
	switch l.m.Event(i.attempt, i.event, i.digest, time.Now()) {
	case Forward:
		if l.sink != nil && l.sink.Event(i.event, *i.data) != nil {
			l.step(CallerGone{})
			return
		}
		if l.m.HasLosers() {
			l.step(Tick{})
		}
	case Mismatch:
		l.cancelAttempt(i.attempt)
		l.step(Failed{Attempt: i.attempt, Kind: FailMismatch, Sent: true})
	case Drop:
	}
}

func (l *loop) apply(actions []Action) {
	for _, a := range actions {
		switch v := a.(type) {
		case Dispatch:
			l.startAttempt(v)
		case Cancel:
			l.cancelAttempt(v.Attempt)
		case Finish:
			l.out = Outcome{Winner: v.Attempt, Answer: l.answer(v.Attempt)}
		case GiveUp:
			l.out = Outcome{Err: v.Err}
		case RecordOutcome:
			if l.onOutcome != nil {
				l.onOutcome(v, l.answer(l.m.winner))
			}
		}
	}
}

func (l *loop) answer(id AttemptID) Answer {
	for _, a := range l.answers {
		if a.id == id {
			return a.answer
		}
	}
	return Answer{}
}

func (l *loop) startAttempt(v Dispatch) {
	ctx, cancel := context.WithCancel(l.baseCtx)
	l.cancels[v.Attempt] = cancel
	l.d.metrics.countAttempt(v)
	r := &Reporter{id: v.Attempt, inputs: l.inputs, ctx: ctx, closed: l.closed}
	l.d.attempts.Go(func() {
		defer cancel()
		if !ctxwait.For(ctx, time.Until(v.NotBefore)) {
			return
		}
		l.t.Attempt(ctx, v, r)
		if !r.ended {
			r.Failed(FailTruncated, true, nil)
		}
	})
}

func (l *loop) cancelAttempt(id AttemptID) {
	if cancel, ok := l.cancels[id]; ok {
		cancel()
	}
}

func (l *loop) close() {
	l.timer.Stop()
	close(l.closed)
	for _, cancel := range l.cancels {
		cancel()
	}
}
