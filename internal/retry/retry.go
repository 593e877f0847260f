// Package retry decides whether a request that got no whole answer is sent
// once more. It is the only place that does so, and it is pure.
package retry

import "time"

// Decision is what follows a failed attempt.
type Decision string

// The decisions.
const (
	Again              Decision = "again"
	MayHaveRun         Decision = "may_have_run"
	MaxRunsReached     Decision = "enough_runs"
	MaxAttemptsReached Decision = "enough_tries"
	DeadlineTooClose   Decision = "no_time"
	CallerCanceled     Decision = "caller_gone"
	BudgetExhausted    Decision = "over_budget"
)

const (
	// extraTries is how many upstreams beyond the allowed runs may be tried when
	// attempts did not run.
	extraTries = 3
	// leastTime is the least time in which an attempt can succeed.
	leastTime = 20 * time.Millisecond
)

// Facts are what the decision depends on.
type Facts struct {
	// Repeatable requests may run more than once.
	Repeatable bool
	// NotRun is true when the last attempt certainly did not run.
	NotRun bool
	// Runs are attempts that ran or may have run, of at most MaxRuns.
	Runs    int
	MaxRuns int
	// Tries are all attempts.
	Attempts       int
	TimeLeft       time.Duration
	CallerCanceled bool
}

// Decide says whether the request is sent again. A request that may not be
// repeated is sent again only when every attempt before certainly did not run.
func Decide(f Facts) Decision {
	switch {
	case f.CallerCanceled:
		return CallerCanceled
	case f.TimeLeft < leastTime:
		return DeadlineTooClose
	case !f.Repeatable && f.Runs > 0:
		return MayHaveRun
	case f.Runs >= f.MaxRuns:
		return MaxRunsReached
	case f.Attempts >= f.MaxRuns+extraTries:
		return MaxAttemptsReached
	}
	return Again
}
