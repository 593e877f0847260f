// Package delivery turns attempts on upstreams into one whole answer: it
// decides after each attempt whether to finish, resume, retry or give up, and
// tracks whether the request may have run.
//
// Machine is the pure core of one request; Run drives it with one goroutine.
package delivery

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// Spec describes the request to deliver.
type Spec struct {
	// Request is the request's id, under which every attempt runs.
	RequestID string
	// Repeatable is true for idempotent work. Work that is not repeatable is
	// never dispatched again once it may have been sent.
	Repeatable bool
	// Hedge allows a second concurrent attempt; it needs Repeatable.
	Hedge bool
	// HedgeAfter is how long the first attempt may stay unanswered before
	// the second one starts.
	HedgeDelay time.Duration
	// Silence is the longest time without progress of an attempt; zero
	// disables the timer. It applies to repeatable work only.
	ProgressTimeout time.Duration
	// FirstSilence is the longest time from the dispatch to the first sign
	// of progress; zero means Silence.
	FirstProgressTimeout time.Duration
	// Deadline is when the caller gets a final answer at the latest.
	Deadline time.Time
	// MaxAttempts bounds all dispatches of the request, hedges included.
	MaxAttempts int
}

// AttemptID numbers the attempts of one request from 1.
type AttemptID int

// Failure is the kind of a failed attempt.
type Failure string

// Kinds of failures.
const (
	// FailPlacement means that no upstream took the attempt; Failed.Err says
	// why.
	FailPlacement Failure = "placement"
	// FailRefused means that the upstream took no work (X-Not-Run).
	FailRefused Failure = "refused"
	// FailUnreachable means that no connection was made.
	FailUnreachable Failure = "unreachable"
	// FailCut means that the answer ended without its terminator.
	FailCut Failure = "cut"
	// FailSilent means that progress stopped.
	FailSilent Failure = "silent"
	// FailStatus is an error status of the upstream.
	FailStatus Failure = "status"
	// FailMismatch means that the answer belongs to another request or has a
	// gap.
	FailMismatch Failure = "mismatch"
)

// Message is an input of the machine.
type Message interface{ message() }

// Dispatched reports the upstream of an attempt. It comes before the first
// byte is written, so that a crash in between counts as possibly sent.
type Dispatched struct {
	Attempt  AttemptID
	Upstream string
}

// Accepted reports response headers. Request is the id that the upstream
// echoed; empty when the upstream echoes none.
type Accepted struct {
	Attempt   AttemptID
	RequestID string
}

// Done reports the answer's own terminator, never a mere end of file.
type Done struct{ Attempt AttemptID }

// Failed reports the end of an attempt without a whole answer.
type Failed struct {
	Attempt AttemptID
	Kind    Failure
	// Sent is false only if no byte of the request can have reached the
	// upstream.
	Sent bool
	// Err is the refusal of FailPlacement.
	Err *result.Error
}

// CallerGone reports that the caller's connection ended.
type CallerGone struct{}

// Tick lets timers fire.
type Tick struct{}

// Withdrawn reports that the request's version was withdrawn: the run in
// progress may end, but no other upstream may start it.
type Withdrawn struct{}

func (Dispatched) message() {}
func (Accepted) message()   {}
func (Done) message()       {}
func (Failed) message()     {}
func (CallerGone) message() {}
func (Tick) message()       {}
func (Withdrawn) message()  {}

// Action is an output of the machine.
type Action interface{ action() }

// Dispatch starts an attempt.
type Dispatch struct {
	Attempt AttemptID
	// NotBefore delays the attempt; zero means at once.
	NotBefore time.Time
	// Resume continues an answer after LastEventID under the same request id
	// and on the same version. Otherwise the attempt begins the answer.
	Resume      bool
	LastEventID uint64
	// Only names the one upstream that may take the attempt; empty means any.
	Only string
	// Prefer names the upstream that should take it if it can.
	Prefer string
	// Exclude names upstreams on which this request failed.
	Exclude []string
	// Rechoose is true when the version has to be chosen again.
	ReselectVersion bool
	// Hedge is true for a concurrent second attempt.
	Hedge bool
	// FreshConn asks for a new connection, since an old one went silent.
	FreshConn bool
}

// Finish ends the caller's answer as whole; it is the named attempt's.
type Finish struct{ Attempt AttemptID }

// GiveUp ends the caller's answer with a refusal or failure.
type GiveUp struct{ Err *result.Error }

// Cancel stops an attempt and its run; its connection may not be reused.
type Cancel struct{ Attempt AttemptID }

// Settle reports how the run of non-repeatable work ended, for its record.
// It comes once for each request that is not repeatable, also after GiveUp.
type Settle struct {
	// Run is Ran with a whole answer, NotRun, or Unknown.
	Run result.RunState
	// Whole is true when the answer is whole and may be recorded.
	Complete bool
}

func (Dispatch) action() {}
func (Finish) action()   {}
func (GiveUp) action()   {}
func (Cancel) action()   {}
func (Settle) action()   {}

// Verdict says what to do with one event of a stream.
type Verdict int

// Verdicts on events.
const (
	// Drop means that the event must not reach the caller.
	Drop Verdict = iota
	// Forward means that the event is the caller's next one.
	Forward
	// Broken means that the attempt can't continue the answer: the caller of
	// Event reports Failed with FailMismatch.
	Broken
)
