// Package delivery combines attempts on upstreams into one complete answer:
// after each attempt it decides whether to finish, resume, retry or give up. It
// also tracks whether the request may have run.
//
// Machine is the state machine of one request and does no I/O; Deliverer.Run
// drives it from one goroutine.
package delivery

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// Spec describes the request to deliver.
type Spec struct {
	// RequestID is the request's id; all attempts use the same id.
	RequestID string
	// Repeatable is true for idempotent requests. A request that is not
	// repeatable is never dispatched again once it may have been sent.
	Idempotent bool
	// Hedge allows a second concurrent attempt; it requires Repeatable.
	Hedge bool
	// HedgeDelay is how long to wait for response headers of the first
	// attempt before the second one starts.
	HedgeDelay time.Duration
	// ProgressTimeout is the longest time that an attempt may make no
	// progress; zero disables it. It applies to repeatable requests only.
	ProgressTimeout time.Duration
	// FirstProgressTimeout is the longest time from the dispatch to the first
	// progress; zero means ProgressTimeout.
	FirstProgressTimeout time.Duration
	// Deadline is the latest time at which the caller gets a final answer.
	Deadline time.Time
	// MaxAttempts limits the dispatches of the request, including hedges.
	MaxAttempts int
}

// AttemptID numbers the attempts of one request from 1.
type AttemptID int

// Failure is the kind of a failed attempt.
type Failure string

// Kinds of failures. The values appear in error messages.
const (
	// FailPlacement means that no upstream was available for the attempt;
	// Failed.Err says why.
	FailPlacement Failure = "placement"
	// FailRefused means that the upstream rejected the request without
	// running it (X-Not-Run).
	FailRejected Failure = "refused"
	// FailUnreachable means that no connection was established.
	FailUnreachable Failure = "unreachable"
	// FailCut means that the answer was truncated: it ended without its
	// terminator.
	FailTruncated Failure = "cut"
	// FailSilent means that the attempt made no progress within its timeout.
	FailStalled Failure = "silent"
	// FailStatus means that the upstream responded with an error status.
	FailStatus Failure = "status"
	// FailMismatch means that the answer belongs to another request or that
	// its events have a gap.
	FailMismatch Failure = "mismatch"
)

// Message is an input of a Machine.
type Message interface{ message() }

// Dispatched reports the upstream that was selected for an attempt. It is
// reported before the first byte is written, so that an attempt that crashes in
// between counts as possibly sent.
type UpstreamSelected struct {
	Attempt  AttemptID
	Upstream string
}

// Accepted reports response headers. RequestID is the id that the upstream
// echoed; empty if it echoed none.
type Accepted struct {
	Attempt   AttemptID
	RequestID string
}

// Done reports that the answer ended with its terminator. An end of file alone
// is not enough.
type Done struct{ Attempt AttemptID }

// Failed reports that an attempt ended without a complete answer.
type Failed struct {
	Attempt AttemptID
	Kind    Failure
	// Sent is false only if no byte of the request can have reached the
	// upstream.
	Sent bool
	// Err is the reason for FailPlacement; optional for other kinds.
	Err *result.Error
}

// CallerGone reports that the caller closed its connection.
type CallerGone struct{}

// Tick makes the machine check its timers.
type Tick struct{}

// Withdrawn reports that the request's version was withdrawn: the run in
// progress may complete, but no other upstream may start one.
type Withdrawn struct{}

func (UpstreamSelected) message() {}
func (Accepted) message()         {}
func (Done) message()             {}
func (Failed) message()           {}
func (CallerGone) message()       {}
func (Tick) message()             {}
func (Withdrawn) message()        {}

// Action is an output of a Machine.
type Action interface{ action() }

// Dispatch starts an attempt.
type Dispatch struct {
	Attempt AttemptID
	// NotBefore is the earliest start of the attempt; zero means immediately.
	NotBefore time.Time
	// Resume continues the answer after LastEventID, with the same request id
	// and the same version. Otherwise the attempt starts a new answer.
	Resume      bool
	LastEventID uint64
	// Only is the one upstream that may run the attempt; empty means any.
	Only string
	// Prefer is the upstream to use if it is available.
	Prefer string
	// Exclude lists upstreams on which this request failed.
	Exclude []string
	// ReselectVersion is true if the version has to be selected again.
	ReselectVersion bool
	// Hedge is true for a concurrent second attempt.
	Hedge bool
	// FreshConn asks for a new connection, because an existing one stalled.
	FreshConn bool
}

// Finish completes the caller's answer with the answer of the given attempt.
type Finish struct{ Attempt AttemptID }

// GiveUp ends the caller's answer with an error.
type GiveUp struct{ Err *result.Error }

// Cancel stops an attempt and its run. The connection must not be reused.
type Cancel struct{ Attempt AttemptID }

// Settle reports the outcome of a non-repeatable request, to be recorded. It is
// issued once for each such request, even after GiveUp.
type RecordOutcome struct {
	// Run is Ran if the answer is complete; otherwise what is known about the
	// execution.
	Run result.RunState
	// Complete is true if the answer is complete and may be recorded.
	Complete bool
}

func (Dispatch) action()      {}
func (Finish) action()        {}
func (GiveUp) action()        {}
func (Cancel) action()        {}
func (RecordOutcome) action() {}

// Verdict says how to handle one event of a stream.
type Verdict int

// Verdicts on events.
const (
	// Drop means that the event must not reach the caller.
	Drop Verdict = iota
	// Forward means that the event is the next one for the caller.
	Forward
	// Broken means that the attempt can't continue the answer: the code that
	// called Machine.Event reports Failed with FailMismatch.
	Mismatch
)
