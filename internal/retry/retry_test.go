package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestDecide(t *testing.T) {
	for _, tt := range []struct {
		name  string
		facts Facts
		want  Decision
	}{
		{"idempotent after a failure", Facts{Idempotent: true, Runs: 1, MaxRuns: 2, Attempts: 1, TimeLeft: time.Second}, Again},
		{"idempotent after the allowed runs", Facts{Idempotent: true, Runs: 2, MaxRuns: 2, Attempts: 2, TimeLeft: time.Second}, MaxRunsReached},
		{"non-idempotent that may have run", Facts{Runs: 1, MaxRuns: 1, Attempts: 1, TimeLeft: time.Second}, MayHaveRun},
		{"non-idempotent that did not run", Facts{NotRun: true, MaxRuns: 1, Attempts: 1, TimeLeft: time.Second}, Again},
		{"no upstream accepts it", Facts{NotRun: true, MaxRuns: 1, Attempts: 4, TimeLeft: time.Second}, MaxAttemptsReached},
		{"deadline too close", Facts{Idempotent: true, MaxRuns: 3, Attempts: 1, TimeLeft: 10 * time.Millisecond}, DeadlineTooClose},
		{"caller canceled", Facts{Idempotent: true, MaxRuns: 3, Attempts: 1, TimeLeft: time.Second, CallerCanceled: true}, CallerCanceled},
	} {
		t.Run(tt.name, func(t *testing.T) { assert.Equal(t, tt.want, Decide(tt.facts)) })
	}
}

// A request that may not run more than once must never be sent again once it may
// have run, and the number of attempts must be bounded.
func TestDecideNeverRepeatsWhatMayHaveRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := Facts{
			Idempotent: rapid.Bool().Draw(t, "repeatable"), MaxRuns: rapid.IntRange(1, 5).Draw(t, "most"),
			TimeLeft: time.Duration(rapid.IntRange(0, 5000).Draw(t, "left")) * time.Millisecond,
		}
		for range 100 {
			if rapid.Bool().Draw(t, "ran") {
				f.Runs++
			}
			f.Attempts++
			if Decide(f) != Again {
				return
			}
			if !f.Idempotent && f.Runs > 0 {
				t.Fatalf("sent again after %d runs", f.Runs)
			}
			if f.Runs >= f.MaxRuns {
				t.Fatalf("%d runs of at most %d", f.Runs, f.MaxRuns)
			}
		}
		t.Fatalf("not rejected after %d attempts", f.Attempts)
	})
}
