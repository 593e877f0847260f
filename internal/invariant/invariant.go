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

// The invariants. Packages membership, orders and seats declare further names.
const (
	// AllowedModel: a request runs only on versions that its team may use.
	AllowedModel Name = "allowed_model"
	// NoWorkOnWithdrawnVersion: no new run starts on a withdrawn version.
	NoWorkOnWithdrawnVersion Name = "withdrawn_no_work"
	// SessionVersion: a session changes its version only if that is no longer
	// usable.
	SessionVersion Name = "session_version"
	// BilledOnce: a request is billed at most once.
	BilledOnce Name = "billed_once"
	// ColdLimit: a VM grants a cold upstream no more slots than its share of the
	// cold limit.
	ColdLimit Name = "cold_limit"
	// NoWorkInWithdrawnZone: no attempt starts in a withdrawn zone.
	NoWorkInWithdrawnZone Name = "zone_out_no_work"
	// CompleteAnswer: a request finishes at most once, and only after its other
	// attempts have ended.
	CompleteAnswer Name = "whole_answer"
	// NotRunIsTrue: a request that is reported as not run was run by no upstream.
	NotRunIsTrue Name = "not_run_true"
	// AtMostOnce: a non-idempotent request runs at most once.
	AtMostOnce Name = "at_most_once"
	// NoWorkOnLeavingUpstream: no attempt starts on a leaving upstream.
	NoWorkOnLeavingUpstream Name = "leaving_no_work"
	// PlannedStopAbortsNone: a planned stop aborts no request.
	PlannedStopAbortsNone Name = "planned_stop_cut_none"
	// GenerationMonotone: the generation of a VM's document only increases.
	GenerationMonotone Name = "generation_monotone"
)

var violations = promauto.NewCounterVec(prometheus.CounterOpts{
	Name: "pier_invariant_violations_total",
	Help: "Violations of what must always hold, by invariant.",
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
