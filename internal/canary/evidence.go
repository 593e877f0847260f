package canary

import (
	"math"
	"strings"
	"time"

	"gonum.org/v1/gonum/floats"
)

// A completed roll-out cannot be taken back: the platform stops the old version. A
// version is therefore completed only once its outcomes show that it is as good as the
// old one, and not because its time is up.
const (
	// shownGoodFactor is how much more likely the outcomes on a key must be if the
	// version is as good as the old one than if it does harm, and shownBadFactor the
	// reverse. With the reciprocal of the latter a good version is ever judged as bad.
	shownGoodFactor = 20
	shownBadFactor  = 1000
	// lateBadFactor replaces shownBadFactor after the deadline, when all requests are at
	// stake.
	lateBadFactor = 200
	// likelyBadFactor is how much more likely harm must be when it has to be decided.
	likelyBadFactor = 3
	// minRouteShare is the share of a service's outcomes below which a route does not
	// have to be shown to be good.
	minRouteShare = 0.05
	// minPacedCalls is the number of calls on the old version from which on their pace
	// has to be shown to be good.
	minPacedCalls = 20
	// maxHold is how long after the deadline a version that is not decided stays in
	// progress. All sessions use it then.
	maxHold = 30 * time.Second
	// minAge is the age below which no version is completed, however short its roll-out
	// is: some turn bad only after their first seconds.
	minAge = 6 * time.Second
	// decisiveBad is the number of outcomes that the new version may have made bad after
	// which, and after decisiveDelay, the more likely of both decides: the platform allows
	// no requests to a bad version 5 s after its 50th bad response, and all VMs have to hear
	// of it.
	decisiveBad   = 40
	decisiveDelay = 2 * time.Second
	// maxKnownOutcomes limits the weight of the old version's outcomes. Beyond it, they
	// differ more by time and upstream than by chance.
	maxKnownOutcomes = 400
)

// harms are the shares of additional bad outcomes that are compared with none, and how
// likely each of them is if there is harm.
var harms = [...]struct{ share, weight float64 }{{0.2, 0.2}, {0.4, 0.4}, {0.7, 0.4}}

// maxBadShare is the share of bad outcomes on the old version above which a route does not
// have to be shown to be good: little harm can be added.
const maxBadShare = 0.5

// spread are the points, in standard deviations, at which the old version's share of bad
// outcomes is taken into account.
var spread = [...]float64{-2.4, -1.6, -0.8, 0, 0.8, 1.6, 2.4}

// logHarmFactor returns the logarithm of how much more likely the new version's outcomes
// are if it does harm than if it is as good as the old one (a Bayes factor).
func logHarmFactor(newTally, oldTally Tally) float64 {
	weight := min(1, maxKnownOutcomes/float64(max(oldTally.Total, 1)))
	bad := float64(oldTally.Bad)*weight + 0.5
	good := float64(oldTally.Total-min(oldTally.Bad, oldTally.Total))*weight + 0.5
	mean := bad / (bad + good)
	deviation := math.Sqrt(mean * (1 - mean) / (bad + good + 1))
	same := make([]float64, 0, len(spread))
	harmed := make([]float64, 0, len(spread)*len(harms))
	for _, z := range spread {
		share := min(max(mean+z*deviation, mean/8), 1-(1-mean)/8)
		same = append(same, newTally.logLikelihood(share)-z*z/2)
		for _, harm := range harms {
			harmed = append(harmed, newTally.logLikelihood(share+(1-share)*harm.share)-z*z/2+math.Log(harm.weight))
		}
	}
	return floats.LogSumExp(harmed) - floats.LogSumExp(same)
}

// logLikelihood returns the logarithm of how likely the outcomes are with a share of bad
// ones, but for a constant.
func (t Tally) logLikelihood(badShare float64) float64 {
	return float64(t.Bad)*math.Log(badShare) + float64(t.Total-t.Bad)*math.Log(1-badShare)
}

// evidence is what the outcomes so far say of a new version.
type evidence struct {
	// undecided is a key on which the version is not shown to be good; keyNone if it is
	// on all.
	undecided string
	// worst is the key on which harm is the most likely, and logFactor how likely.
	worst     string
	logFactor float64
	// excess is about the number of outcomes that the new version made bad, with those that
	// would have been bad on the old one, too.
	excess float64
}

// keyNone is no key of a tally.
const keyNone = "\x00none"

// weigh returns what the outcomes say of the new version: its failures by route, and the
// pace of its calls.
func weigh(newTallies, oldTallies map[string]Tally) evidence {
	e := evidence{undecided: keyNone, worst: keyNone, logFactor: math.Inf(-1)}
	all := float64(newTallies[allRoutes].Total + oldTallies[allRoutes].Total)
	for key, old := range oldTallies {
		isPace := strings.HasPrefix(key, callPaceKeyPrefix)
		if key == allRoutes || strings.HasPrefix(key, paceKeyPrefix) && !isPace {
			continue
		}
		if !isPace {
			e.excess += max(float64(newTallies[key].Bad)-old.badShare()*float64(newTallies[key].Total), 0) / (1 - min(old.badShare(), maxBadShare))
		}
		factor := logHarmFactor(newTallies[key], old)
		if newTallies[key].Bad >= minBadOutcomes && factor > e.logFactor {
			e.worst, e.logFactor = key, factor
		}
		isCommon := float64(newTallies[key].Total+old.Total) >= minRouteShare*all
		if isPace {
			isCommon = old.Total >= minPacedCalls
		}
		if isCommon && old.badShare() < maxBadShare && factor > -math.Log(shownGoodFactor) {
			e.undecided = key
		}
	}
	return e
}

// isOver reports whether a version that is not decided is held no longer.
func (r *rollOutState) isOver(now time.Time) bool { return r.overdue(now) > maxHold }

// isLikelyBad reports whether it has to be decided now, and harm is the more likely.
func (r *rollOutState) isLikelyBad(now time.Time, e evidence) bool {
	if e.excess >= decisiveBad && r.decisiveSince.IsZero() {
		r.decisiveSince = now
	}
	isDecisive := !r.decisiveSince.IsZero() && now.Sub(r.decisiveSince) >= decisiveDelay
	return (isDecisive || r.isOver(now)) && e.logFactor > math.Log(likelyBadFactor)
}

// Hold is a roll-out that is not completed although its time has come.
type Hold struct {
	RollOut RollOut
	// Key is a route, or a kind of call after a byte below 32, on which the version is not
	// shown to be good; Factor is how much more likely the outcomes are if it does harm.
	Key    string
	Factor float64
}

// recordHold records that a roll-out is held.
func (r *rollOutState) recordHold(now time.Time, running int, e evidence) {
	if r.hold == nil && r.canComplete(now, running) {
		r.hold = &Hold{RollOut: r.rollOut, Key: e.undecided, Factor: math.Exp(logHarmFactor(r.tallies(e.undecided)))}
	}
}

// tallies returns the outcomes of all VMs on a key.
func (r *rollOutState) tallies(key string) (newTally, oldTally Tally) {
	newTallies, oldTallies, _ := r.pooledTallies()
	return newTallies[key], oldTallies[key]
}

// NewHolds returns the roll-outs that are held since the last call.
func (c *Core) NewHolds() []Hold {
	var out []Hold
	for _, r := range c.rollOuts {
		if r.hold != nil && !r.holdReported {
			r.holdReported = true
			out = append(out, *r.hold)
		}
	}
	return out
}

// showsHarm reports whether the outcomes on a key show that the new version does harm.
func showsHarm(newTally, oldTally Tally, factor float64) bool {
	return logHarmFactor(newTally, oldTally) > math.Log(factor)
}

// showsGood reports whether the outcomes show that the version is as good as the old one.
func (e evidence) showsGood() bool { return e.undecided == keyNone }
