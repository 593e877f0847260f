package delivery

import (
	"github.com/cranberrypier/cranberrypier/internal/invariant"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// phase is how far one attempt got.
type phase int

const (
	phaseIdle     phase = iota // dispatch ordered, upstream not yet known
	phaseSent                  // the request may have reached the upstream
	phaseAccepted              // the upstream answered for this request
	phaseEnded
)

// runState tracks whether the request may have run anywhere. It only ever
// moves from NotRun towards Unknown and Ran, except that an attempt proved
// unsent takes its own doubt back.
type runState struct {
	open    int // attempts that may have been sent and have not ended
	unsure  int // ended attempts that may have run
	started bool
}

func (r *runState) sent() { r.open++ }

func (r *runState) ran() { r.started = true }

// ended closes an attempt that was possibly sent; clean is true when it is
// proved that the upstream did no work.
func (r *runState) ended(clean bool) {
	r.open--
	if !clean {
		r.unsure++
	}
}

// run returns the promise that may be made to the caller now.
func (r *runState) run() result.RunState {
	switch {
	case r.started:
		return result.Ran
	case r.open > 0 || r.unsure > 0:
		return result.Unknown
	default:
		return result.NotRun
	}
}

// checkRefusal asserts that a refusal that says "not run" is true.
func (r *runState) checkRefusal(request string, e *result.Error) {
	ok := e.Run != result.NotRun || (!r.started && r.open == 0 && r.unsure == 0)
	invariant.Check(ok, invariant.NotRunTrue, "request %s refused as not run: open %d, unsure %d, started %v",
		request, r.open, r.unsure, r.started)
}
