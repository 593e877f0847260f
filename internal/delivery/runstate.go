package delivery

import (
	"github.com/cranberrypier/cranberrypier/internal/invariant"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// phase is the progress of one attempt.
type phase int

const (
	phaseIdle     phase = iota // Dispatch issued, no upstream selected yet
	phaseSent                  // the request may have reached the upstream
	phaseAccepted              // response headers for this request received
	phaseEnded
)

// runState tracks whether the request may have run on any upstream. It moves
// only from NotRun towards Unknown and Ran, with one exception: an attempt that
// provably did not run no longer counts as possibly run.
type runState struct {
	inFlight    int // attempts that may have been sent and have not ended
	possiblyRan int // ended attempts that may have run
	ran         bool
}

func (r *runState) markSent() { r.inFlight++ }

func (r *runState) markRan() { r.ran = true }

// markEnded records the end of an attempt that may have been sent; notRun is
// true if the upstream provably did no work.
func (r *runState) markEnded(notRun bool) {
	r.inFlight--
	if !notRun {
		r.possiblyRan++
	}
}

// state returns what the caller may be told about the execution.
func (r *runState) state() result.RunState {
	switch {
	case r.ran:
		return result.Ran
	case r.inFlight > 0 || r.possiblyRan > 0:
		return result.Unknown
	default:
		return result.NotRun
	}
}

// checkNotRun asserts that the request did not run if the error says so.
func (r *runState) checkNotRun(request string, e *result.Error) {
	ok := e.Run != result.NotRun || (!r.ran && r.inFlight == 0 && r.possiblyRan == 0)
	invariant.Check(ok, invariant.NotRunIsTrue, "request %s rejected as not run: in flight %d, possibly run %d, ran %v",
		request, r.inFlight, r.possiblyRan, r.ran)
}
