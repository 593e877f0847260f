package canary

import (
	"math"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// Thresholds for judging a version as bad.
const (
	// minBadOutcomes is the number of bad outcomes on the new version below which it
	// is never judged as bad.
	minBadOutcomes = 3
	// minBadAtLoad is that for outcomes at a load.
	minBadAtLoad = 4
	// minBadShareIncrease is how much the new version's share of bad outcomes must
	// exceed the old version's.
	minBadShareIncrease = 0.12
	// minBadShareRatio: the new version's share of bad outcomes must be more than this
	// multiple of the old version's, or more than halfway between the old version's
	// and 1 if that is less.
	minBadShareRatio = 3.0
	// maxSlowCallChance is the probability above which as many slow calls on the new
	// version are put down to chance; maxChanceAtLoad is that for failures at a load, of
	// which a trial shows few.
	maxSlowCallChance = 0.01
	maxChanceAtLoad   = 0.005
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

// pooledLoads returns the loads over all VMs.
func (r *rollOutState) pooledLoads() (newLoad, oldLoad Load) {
	for _, vm := range r.countersByIncarnation {
		newLoad.merge(vm.NewLoad)
		oldLoad.merge(vm.OldLoad)
	}
	return newLoad, oldLoad
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

// withMixOf returns the outcomes that the old version would have had over all routes
// if its requests had been spread over the routes like those of the new version. The
// routes differ in how often they fail, and the first requests of a new version
// may come on a few routes only.
func withMixOf(newTallies, oldTallies map[string]Tally) Tally {
	all := oldTallies[allRoutes]
	bad, total := 0.0, 0.0
	for route, t := range newTallies {
		if route == allRoutes || strings.HasPrefix(route, paceKeyPrefix) {
			continue
		}
		old := oldTallies[route]
		if old.Total == 0 {
			old = all
		}
		bad += float64(t.Total) * old.badShare()
		total += float64(t.Total)
	}
	return Tally{Total: all.Total, Bad: uint32(math.Round(bad / max(total, 1) * float64(all.Total+1)))}
}

// badShare returns the share of bad outcomes. One more good outcome keeps small
// samples from being decisive.
func (t Tally) badShare() float64 { return float64(t.Bad) / float64(t.Total+1) }

// minBadFor returns the number of bad outcomes in a tally below which the new
// version is not judged by it. Few slow streams decide only if most are slow.
func minBadFor(key string, newTally Tally) uint32 {
	switch {
	case strings.HasPrefix(key, aboveIdleKeyPrefix):
		return minAboveIdleOutcomes
	case strings.HasPrefix(key, failuresAtLoadPrefix):
		return minBadAtLoad
	case key == loadedPaceKey:
		return minLoadedOutcomes
	case isStreamPaceKey(key) && 2*newTally.Bad <= newTally.Total:
		return minSlowOutcomes
	}
	return minBadOutcomes
}

// isWorse reports whether the new version is worse on a route than the old one.
func isWorse(newTally, oldTally Tally, minBad uint32) bool {
	if newTally.Bad < minBad {
		return false
	}
	newShare, oldShare := newTally.badShare(), oldTally.badShare()
	return newShare > math.Max(oldShare+minBadShareIncrease, math.Min(minBadShareRatio*oldShare, (1+oldShare)/2))
}

// isJudgedBad reports whether the new version is judged as bad by the tallies of a
// key. Slow calls, and failures at a load, must also be more than chance brings,
// because some requests fail, or need much work, on every version.
func isJudgedBad(key string, newTally, oldTally Tally) bool {
	if !strings.HasPrefix(key, paceKeyPrefix) {
		return newTally.Bad >= minBadOutcomes && showsHarm(newTally, oldTally, shownBadFactor)
	}
	if !isWorse(newTally, oldTally, minBadFor(key, newTally)) {
		return false
	}
	switch {
	case strings.HasPrefix(key, callPaceKeyPrefix):
		return newTally.chance(oldTally) < maxSlowCallChance
	case strings.HasPrefix(key, failuresAtLoadPrefix):
		return newTally.chance(oldTally) < maxChanceAtLoad
	}
	return true
}

// isJudgedBadAfterDeadline is isJudgedBad after the deadline, when the versions no longer
// have the same load, and many looks would find some chance in the end.
func isJudgedBadAfterDeadline(key string, newTally, oldTally Tally) bool {
	return !isStreamPaceKey(key) && newTally.Bad >= minBadFor(key, newTally) && showsHarm(newTally, oldTally, lateBadFactor)
}

func isStreamPaceKey(key string) bool {
	return strings.HasPrefix(key, paceKeyPrefix) && !strings.HasPrefix(key, callPaceKeyPrefix) && !strings.HasPrefix(key, failuresAtLoadPrefix)
}

// chance returns how likely at least as many bad outcomes are if the true share is
// that of another tally.
func (t Tally) chance(other Tally) float64 {
	share := float64(other.Bad+1) / float64(other.Total+2)
	return 1 - distuv.Binomial{N: float64(t.Total), P: share}.CDF(float64(t.Bad)-1)
}

// Verdict is a change of phase that should be reported to operators.
type Verdict struct {
	RollOut RollOut
	Phase   Phase
	// New and Old are the pooled tallies over all routes.
	New Tally
	Old Tally
	// NewLoad and OldLoad are the pooled loads of the upstreams.
	NewLoad  Load
	OldLoad  Load
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
		c.planRamp(now, r)
		newTallies, oldTallies, running := r.pooledTallies()
		v := Verdict{RollOut: r.rollOut, New: newTallies[allRoutes], Old: oldTallies[allRoutes], Progress: r.progress(now)}
		v.NewLoad, v.OldLoad = r.pooledLoads()
		judge := isJudgedBad
		if r.overdue(now) > 0 {
			judge = isJudgedBadAfterDeadline
		}
		for route := range newTallies {
			old := oldTallies[route]
			if route == allRoutes {
				old = withMixOf(newTallies, oldTallies)
			}
			if judge(route, newTallies[route], old) {
				r.judgedBad = true
				v.Route = route
			}
		}
		weighed := weigh(newTallies, oldTallies)
		if !r.judgedBad && r.isLikelyBad(now, weighed) {
			r.judgedBad, v.Route = true, weighed.worst
		}
		switch {
		case r.judgedBad:
			v.Phase = Reverted
		case r.canComplete(now, running) && (weighed.showsGood() || r.isOver(now)):
			v.Phase = Completed
		default:
			r.recordHold(now, running, weighed)
			continue
		}
		out = append(out, v)
	}
	return out
}

// overdue returns the time since the deadline; negative before it.
func (r *rollOutState) overdue(now time.Time) time.Duration {
	return now.Sub(r.startedAt) - r.rollOut.Duration
}

func (r *rollOutState) canComplete(now time.Time, oldRunning int) bool {
	progress := r.progress(now)
	if progress < max(r.completionAfter(earliestCompletion), minCompletion) || now.Sub(r.startedAt) < minAge {
		return false
	}
	return oldRunning == 0 || progress >= max(r.completionAfter(forcedCompletion), minForcedCompletion)
}
