// Package retry decides whether a request without a complete response is sent
// again. No other package makes this decision. The package is pure.
package retry

import "time"

// Decision is whether a request is sent again after a failed attempt, or why not.
type Decision string

// The decisions.
const (
	Again      Decision = "again"
	MayHaveRun Decision = "may_have_run"
	EnoughRuns Decision = "enough_runs"
	EnoughTry  Decision = "enough_tries"
	NoTime     Decision = "no_time"
	CallerGone Decision = "caller_gone"
	OverBudget Decision = "over_budget"
)

const (
	// extraAttempts is how many more upstreams than the allowed runs may be tried if
	// attempts did not run.
	extraAttempts = 3
	// minAttemptTime is the minimum time in which an attempt can succeed.
	minAttemptTime = 20 * time.Millisecond
)

// Facts are the inputs of the decision.
type Facts struct {
	// Repeatable is true if the request may run more than once.
	Repeatable bool
	// NotRun is true if the last attempt certainly did not run.
	NotRun bool
	// Runs is the number of attempts that ran or may have run; MaxRuns limits it.
	Runs    int
	MaxRuns int
	// Tries is the number of all attempts.
	Tries      int
	Left       time.Duration
	CallerGone bool
}

// Decide returns whether the request is sent again. A request that may not run
// more than once is sent again only if all earlier attempts certainly did not run.
func Decide(f Facts) Decision {
	switch {
	case f.CallerGone:
		return CallerGone
	case f.Left < minAttemptTime:
		return NoTime
	case !f.Repeatable && f.Runs > 0:
		return MayHaveRun
	case f.Runs >= f.MaxRuns:
		return EnoughRuns
	case f.Tries >= f.MaxRuns+extraAttempts:
		return EnoughTry
	}
	return Again
}
