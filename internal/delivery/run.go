package delivery

import (
	"context"
	"sync"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/pause"
)

// inputQueue bounds the reports that wait for the request's goroutine. When it
// is full the attempts wait, which slows the upstream by TCP's own means: a
// caller that reads slowly slows its engine.
const inputQueue = 32

// Answer is a whole answer that is not a stream.
type Answer struct {
	Status int
	// ContentType is the answer's media type.
	ContentType string
	Body        []byte
}

// Outcome is what the caller gets at the end.
type Outcome struct {
	// Winner is the attempt that the answer came from; zero on failure.
	Winner AttemptID
	// Answer is the winner's whole answer; empty for streams.
	Answer Answer
	// Err is nil if and only if the answer is whole.
	Err error
	// Events is the number of events forwarded.
	Events uint64
	// Attempts is the number of dispatches.
	Attempts int
}

// Transport carries out attempts.
type Transport interface {
	// Attempt finds an upstream, sends the request and reads the answer. It
	// reports to r and returns when the attempt has ended; exactly one of
	// r.Done and r.Failed is its last report. When ctx ends it stops, closes
	// the connection, gives its place back and returns.
	Attempt(ctx context.Context, d Dispatch, r *Reporter)
}

// Sink takes the events of a stream, in order, each once. It is called from
// the goroutine that called Run.
type Sink interface {
	// Event writes one event to the caller. The data is valid during the
	// call only. An error means that the caller is gone.
	Event(id uint64, data []byte) error
}

// Settled receives the end of non-repeatable work; see Settle.
type SettleFunc func(Settle, Answer)

// Deliverer runs machines.
type Deliverer struct {
	budget  *Budget
	metrics *metrics
	runs    sync.WaitGroup
}

// Wait returns when all attempts have ended, also those that outlived their
// callers.
func (d *Deliverer) Wait() { d.runs.Wait() }

// Run delivers one request. It returns as soon as the caller's answer is
// final; ctx is the caller's, and its end means that the caller left. Work
// that is not repeatable goes on afterwards and ends in settled, which may be
// nil for repeatable work. Withdrawn may be nil; its closing reports that the
// request's version was withdrawn.
func (d *Deliverer) Run(ctx context.Context, spec Spec, t Transport, sink Sink, settled SettleFunc, withdrawn <-chan struct{}) Outcome {
	l := &loop{
		d: d, m: New(spec, d.budget), t: t, sink: sink, settled: settled,
		in: make(chan input, inputQueue), cancels: map[AttemptID]context.CancelFunc{},
		base: context.WithoutCancel(ctx), closed: make(chan struct{}),
	}
	l.timer = time.NewTimer(time.Hour)
	l.apply(l.m.Start(time.Now()))
	l.serve(ctx.Done(), withdrawn)
	out := l.out
	out.Events = l.m.LastEventID()
	out.Attempts = len(l.m.attempts)
	d.metrics.ended(out)
	if l.m.Ended() {
		l.close()
		return out
	}
	d.runs.Go(func() {
		l.sink = nil
		l.settle(spec.Deadline.Add(settleGrace))
		l.close()
	})
	return out
}

// settleGrace is how long after its deadline the outcome of non-repeatable
// work is awaited; after that it is recorded as unknown.
const settleGrace = 30 * time.Second

// loop owns one machine.
type loop struct {
	d       *Deliverer
	m       *Machine
	t       Transport
	sink    Sink
	settled SettleFunc
	in      chan input
	cancels map[AttemptID]context.CancelFunc
	answers []attemptAnswer
	base    context.Context
	closed  chan struct{}
	timer   *time.Timer
	out     Outcome
}

type attemptAnswer struct {
	id     AttemptID
	answer Answer
}

// serve runs the machine until the caller has its answer.
func (l *loop) serve(gone, withdrawn <-chan struct{}) {
	l.rearm()
	for !l.m.Answered() {
		// Reports that wait come before timers: a caller that read slowly must
		// not make its upstream look silent.
		select {
		case i := <-l.in:
			l.take(i)
			continue
		default:
		}
		select {
		case i := <-l.in:
			l.take(i)
		case <-gone:
			gone = nil
			l.step(CallerGone{})
		case <-withdrawn:
			withdrawn = nil
			l.step(Withdrawn{})
		case <-l.timer.C:
			l.step(Tick{})
		}
	}
}

// settle runs the machine on for non-repeatable work whose caller is served.
func (l *loop) settle(until time.Time) {
	l.timer.Reset(time.Until(until))
	for !l.m.Ended() {
		select {
		case i := <-l.in:
			l.take(i)
		case <-l.timer.C:
			l.apply(l.m.Abandon())
		}
	}
}

func (l *loop) step(msg Message) {
	l.apply(l.m.Step(msg, time.Now()))
	l.rearm()
}

func (l *loop) rearm() { l.timer.Reset(max(0, time.Until(l.m.NextTick()))) }

func (l *loop) take(i input) {
	if i.msg != nil {
		if i.answer != nil {
			l.answers = append(l.answers, attemptAnswer{i.attempt, *i.answer})
		}
		l.apply(l.m.Step(i.msg, time.Now()))
		if i.reply != nil {
			i.reply <- l.m.live(i.attempt) != nil
		}
		if !l.m.Answered() {
			l.rearm()
		}
		return
	}
	l.takeEvent(i)
}

func (l *loop) takeEvent(i input) {
	defer recycle(i.data)
	switch l.m.Event(i.attempt, i.event, i.digest, time.Now()) {
	case Forward:
		if l.sink != nil && l.sink.Event(i.event, *i.data) != nil {
			l.step(CallerGone{})
			return
		}
		if l.m.HasLosers() {
			l.step(Tick{})
		}
	case Broken:
		l.stop(i.attempt)
		l.step(Failed{Attempt: i.attempt, Kind: FailMismatch, Sent: true})
	case Drop:
	}
}

func (l *loop) apply(actions []Action) {
	for _, a := range actions {
		switch v := a.(type) {
		case Dispatch:
			l.start(v)
		case Cancel:
			l.stop(v.Attempt)
		case Finish:
			l.out = Outcome{Winner: v.Attempt, Answer: l.answer(v.Attempt)}
		case GiveUp:
			l.out = Outcome{Err: v.Err}
		case Settle:
			if l.settled != nil {
				l.settled(v, l.answer(l.m.winner))
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

func (l *loop) start(v Dispatch) {
	ctx, cancel := context.WithCancel(l.base)
	l.cancels[v.Attempt] = cancel
	l.d.metrics.dispatched(v)
	r := &Reporter{id: v.Attempt, in: l.in, ctx: ctx, closed: l.closed}
	l.d.runs.Go(func() {
		defer cancel()
		if !pause.For(ctx, time.Until(v.NotBefore)) {
			return
		}
		l.t.Attempt(ctx, v, r)
		if !r.ended {
			r.Failed(FailCut, true, nil)
		}
	})
}

func (l *loop) stop(id AttemptID) {
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
