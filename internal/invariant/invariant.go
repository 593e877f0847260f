// Package invariant checks invariants in the running program. A violation is
// counted in a metric and logged, and the program continues; in tests it panics.
package invariant

import (
	"fmt"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"k8s.io/klog/v2"
)

// Name identifies an invariant in metrics, logs and docs/PROOF.md.
type Name string

// The invariants.
const (
	AllowedModel             Name = "allowed_model"
	NoWorkOnWithdrawnVersion Name = "withdrawn_no_work"
	SessionVersion           Name = "session_version"
	BilledOnce               Name = "billed_once"
	ColdLimit                Name = "cold_limit"
	NoWorkInWithdrawnZone    Name = "zone_out_no_work"
	CompleteAnswer           Name = "whole_answer"
	NotRunIsTrue             Name = "not_run_true"
	AtMostOnce               Name = "at_most_once"
	NoWorkOnLeavingUpstream  Name = "leaving_no_work"
	PlannedStopAbortsNone    Name = "planned_stop_cut_none"
	GenerationMonotone       Name = "generation_monotone"
)

var violations = promauto.NewCounterVec(prometheus.CounterOpts{
	Name: "pier_invariant_violations_total",
	Help: "Number of violations by invariant.",
}, []string{"invariant"})

// Strict makes a violation panic. Tests set it.
var Strict atomic.Bool

// Check records a violation of n if ok is false. The format and its arguments
// describe the violating state.
func Check(ok bool, n Name, format string, args ...any) {
	if ok {
		return
	}
	violations.WithLabelValues(string(n)).Inc()
	text := fmt.Sprintf(format, args...)
	if Strict.Load() {
		panic("invariant " + string(n) + ": " + text)
	}
	klog.Errorf("invariant: %s violated: %s", n, text)
}
