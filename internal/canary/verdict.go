package canary

import (
	"math"
	"strings"
	"time"
)

// Thresholds for judging a version as bad.
const (
	// minBadOutcomes is the number of bad outcomes on the new version below which it
	// is never judged as bad.
	minBadOutcomes = 3
	// minBadShareIncrease is how much the new version's share of bad outcomes must
	// exceed the old version's.
	minBadShareIncrease = 0.12
	// minBadShareRatio: the new version's share of bad outcomes must be more than this
	// multiple of the old version's, or more than halfway between the old version's
	// and 1 if that is less.
	minBadShareRatio = 3.0
)

// pooledTallies sums the counters of all VMs, by route and in total.
func (r *rollOutState) pooledTallies() (newTallies, oldTallies map[string]Tally, oldRunning int) {
	newTallies, oldTallies = make(map[string]Tally), make(map[string]Tally)
	for _, vm := range r.countersByIncarnation {
		addTallies(newTallies, vm.New)
		addTallies(oldTallies, vm.Old)
		oldRunning += vm.OldRunning
	}
	return newTallies, oldTallies, oldRunning
}

// allRoutes is the key of the sum over all routes in pooled tallies.
const allRoutes = ""

func addTallies(sum, part map[string]Tally) {
	for route, t := range part {
		keys := []string{route, allRoutes}
		if strings.HasPrefix(route, paceKeyPrefix) {
			keys = keys[:1] // the attempt is in the sum already
		}
		for _, k := range keys {
			s := sum[k]
			s.Total += t.Total
			s.Bad += t.Bad
			sum[k] = s
		}
	}
}

// minBadFor returns the number of bad outcomes in a tally below which the new
// version is not judged by it.
func minBadFor(key string) uint32 {
	if strings.HasPrefix(key, aboveIdleKeyPrefix) {
		return minAboveIdleOutcomes
	}
	return minBadOutcomes
}

// isWorse reports whether the new version is worse on a route than the old one.
func isWorse(newTally, oldTally Tally, minBad uint32) bool {
	if newTally.Bad < minBad {
		return false
	}
	// One more good outcome on each side keeps small samples from being decisive.
	newShare := float64(newTally.Bad) / float64(newTally.Total+1)
	oldShare := float64(oldTally.Bad) / float64(oldTally.Total+1)
	return newShare > math.Max(oldShare+minBadShareIncrease, math.Min(minBadShareRatio*oldShare, (1+oldShare)/2))
}

// Verdict is a change of phase that should be reported to operators.
type Verdict struct {
	RollOut RollOut
	Phase   Phase
	// New and Old are the pooled tallies over all routes.
	New      Tally
	Old      Tally
	Progress float64
	// Route is a route on which the new version is worse, or the work at which it is
	// slow after a zero byte. It is empty for the sum over all routes, or if another VM
	// judged the version as bad.
	Route string
}

// Tick judges the roll-outs in progress and returns a verdict on each that can be
// completed or must be reverted. A version judged as bad receives no more requests.
// A verdict that the store has lost is returned again.
func (c *Core) Tick(now time.Time) []Verdict {
	var out []Verdict
	for _, r := range c.rollOuts {
		if r.rollOut.Phase != InProgress {
			if r.storedPhase == InProgress {
				out = append(out, Verdict{RollOut: r.rollOut, Phase: r.rollOut.Phase, Progress: r.progress(now)})
			}
			continue
		}
		newTallies, oldTallies, running := r.pooledTallies()
		v := Verdict{RollOut: r.rollOut, New: newTallies[allRoutes], Old: oldTallies[allRoutes], Progress: r.progress(now)}
		for route := range newTallies {
			if isWorse(newTallies[route], oldTallies[route], minBadFor(route)) {
				r.judgedBad = true
				v.Route = route
			}
		}
		switch {
		case r.judgedBad:
			v.Phase = Reverted
		case r.canComplete(now, running):
			v.Phase = Completed
		default:
			continue
		}
		out = append(out, v)
	}
	return out
}

func (r *rollOutState) canComplete(now time.Time, oldRunning int) bool {
	progress := r.progress(now)
	delay := min(maxCompletionDelay, time.Duration(completionDelayShare*float64(r.rollOut.Duration)))
	rampDone := now.Sub(r.startedAt) > time.Duration(rampEnd*float64(r.rollOut.Duration))+delay
	return rampDone && (oldRunning == 0 || progress >= forcedCompletion)
}
