package cascade

import "time"

// Planner chooses the next step of a request.
type Planner interface {
	Plan(Request) Step
}

// Strongest always runs the last option. It is a baseline for comparisons.
type Strongest struct{}

// Plan implements Planner.
func (Strongest) Plan(r Request) Step {
	if r.Tried > 0 || len(r.Options) == 0 {
		return Step{Index: -1, Reason: "baseline"}
	}
	return Step{Index: len(r.Options) - 1, Reason: "baseline"}
}

// CheapestFirst runs the cheapest option and, while the rating is below the
// target, the next one. It does not learn. It is a baseline for comparisons.
type CheapestFirst struct{}

// minStepTime is the time left below which CheapestFirst runs no further option.
const minStepTime = 100 * time.Millisecond

// Plan implements Planner.
func (CheapestFirst) Plan(r Request) Step {
	if r.Tried >= len(r.Options) || (r.Tried > 0 && r.TimeLeft < minStepTime) {
		return Step{Index: -1, Reason: "baseline"}
	}
	return Step{Index: r.Tried, Judge: !r.Streaming, Threshold: r.Target, Reason: "baseline"}
}
