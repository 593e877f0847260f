// Package retry decides whether package edge sends a request again that got no
// complete response. The package is pure.
package retry

import "time"

// Decision is whether a request is sent again after a failed attempt, or why not.
type Decision string

// The decisions.
const (
	Again              Decision = "again"
	MayHaveRun         Decision = "may_have_run"
	MaxRunsReached     Decision = "enough_runs"
	MaxAttemptsReached Decision = "enough_tries"
	DeadlineTooClose   Decision = "no_time"
	CallerCanceled     Decision = "caller_gone"
	VMStopping         Decision = "vm_stopping"
	BudgetExhausted    Decision = "over_budget"
	ContentBlocked     Decision = "crashes_upstreams"
)

// MayChange reports whether a request that is not sent again now may be sent again a
// moment later.
func (d Decision) MayChange() bool {
	return d == BudgetExhausted || d == MaxAttemptsReached
}

const (
	// maxExtraAttempts is the maximum number of attempts beyond MaxRuns, for attempts
	// that did not run.
	maxExtraAttempts = 3
	// minAttemptTime is the minimum time in which an attempt can succeed.
	minAttemptTime = 20 * time.Millisecond
)

// Facts are the inputs of the decision.
type Facts struct {
	// Idempotent is true if the request may run more than once.
	Idempotent bool
	// NotRun is true if the last attempt certainly did not run. Decide does not read
	// it; Runs is enough.
	NotRun bool
	// Runs is the number of attempts that ran or may have run; MaxRuns limits it.
	Runs    int
	MaxRuns int
	// Attempts is the number of all attempts.
	Attempts       int
	TimeLeft       time.Duration
	CallerCanceled bool
	// VMStopping is true if the request ends because this VM stops.
	VMStopping bool
}

// Decide returns whether the request is sent again. A request that may not run
// more than once is sent again only if all earlier attempts certainly did not run.
func Decide(f Facts) Decision {
	switch {
	case f.VMStopping:
		return VMStopping
	case f.CallerCanceled:
		return CallerCanceled
	case f.TimeLeft < minAttemptTime:
		return DeadlineTooClose
	case !f.Idempotent && f.Runs > 0:
		return MayHaveRun
	case f.Runs >= f.MaxRuns:
		return MaxRunsReached
	case f.Attempts >= f.MaxRuns+maxExtraAttempts:
		return MaxAttemptsReached
	}
	return Again
}
