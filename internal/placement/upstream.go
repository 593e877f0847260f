package placement

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/document"
)

// warmth is what this VM believes about an engine's cold start.
type warmth int

const (
	// unknown is before any sign: it counts as cold.
	unknown warmth = iota
	// cold is a cold start that the engine itself reported.
	cold
	// suspect follows a reset, a new incarnation or silence: it counts as
	// cold until a sign of warmth taken after the suspicion.
	suspect
	// warm allows the ramp.
	warm
)

// String names the state for metrics and reasons.
func (w warmth) String() string {
	return [...]string{"unknown", "cold", "suspect", "warm"}[w]
}

// upstream is this VM's knowledge of one upstream.
type upstream struct {
	doc *document.Upstream
	// name and zone are copies that outlive the document.
	name  string
	zone  string
	local bool
	// takes is false for leaving and taken-out upstreams.
	enabled bool
	removed bool
	// departed is when the upstream itself last said that it leaves; zero
	// while its newest sign says otherwise.
	selfLeavingAt time.Time
	// listed is true while the platform's list shows it as leaving.
	listedLeaving bool

	// inflight is the number of this VM's runs, low those of long work.
	inflight     int
	longInflight int
	history      inflightHistory

	// Cold start. Invariant: warm implies that the newest sign of warmth is
	// later than the newest doubt, so that a late report can't undo a reset.
	warmth          warmth
	incarnation     string
	notWarmAt       time.Time
	warmConfirmedAt time.Time
	// ramp is the number of places earned by whole answers since the last
	// cold start, before any share of the warm limit. earned keeps it during a
	// suspicion of the incarnation suspected.
	ramp             float64
	savedRamp        float64
	savedIncarnation string

	// The newest report and this VM's own runs when it was taken.
	reportedRunning int
	reportedQueued  int
	reportedAt      time.Time
	ownAtReport     int
	// credit is the number of long runs that may begin before the next report.
	longCredit int

	// Moving averages of this VM's own runs, in seconds; zero before any.
	meanFirstToken float64
	meanPerToken   float64
	// pace is how long its runs take beside the pool's mean; zero before any.
	slowdown float64

	ejection ejection
	// member is scratch space of pools.
	poolsBuf []*pool
}

// engine reports whether cold starts apply.
func (u *upstream) isEngine() bool { return u.doc.Kind == document.Engine }

// doubt drops the engine to the floor at once.
func (u *upstream) markNotWarm(w warmth, now time.Time) {
	if u.warmth == warm {
		u.savedRamp, u.savedIncarnation = u.ramp, u.incarnation
	}
	if w == cold {
		u.savedRamp = 0
	}
	u.warmth = w
	u.notWarmAt = now
	u.ramp = 0
}

// sign takes a sign of the engine's state that was true at the given time.
func (u *upstream) applyState(state, incarnation string, at, now time.Time) {
	if incarnation != "" && incarnation != u.incarnation {
		if u.incarnation != "" && !at.After(u.notWarmAt) {
			return // an old incarnation's late word
		}
		if u.incarnation != "" {
			u.markNotWarm(suspect, now)
		}
		u.incarnation = incarnation
		// A report of the new incarnation can't be older than it.
		if state == stateWarm && u.warmth == suspect {
			u.notWarmAt = at.Add(-time.Nanosecond)
		}
	}
	switch state {
	case stateCold:
		if !at.Before(u.warmConfirmedAt) || u.warmth != warm {
			u.markNotWarm(cold, maxTime(u.notWarmAt, at))
		}
	case stateWarm:
		u.applyLeaving(state, at)
		if !at.After(u.notWarmAt) {
			return
		}
		u.warmConfirmedAt = maxTime(u.warmConfirmedAt, at)
		if u.warmth != warm {
			u.warmth = warm
			u.ramp = 0
			if incarnation != "" && incarnation == u.savedIncarnation {
				// It was only a connection: the engine never stopped.
				u.ramp = u.savedRamp
			}
		}
	case stateLeaving:
		u.markNotWarm(suspect, now)
	}
	u.applyLeaving(state, at)
}

// depart notes what the upstream says of its own leaving, newest word first.
func (u *upstream) applyLeaving(state string, at time.Time) {
	if at.Before(u.selfLeavingAt) {
		return
	}
	switch state {
	case stateLeaving:
		u.selfLeavingAt = at
	case stateCold, stateWarm:
		u.selfLeavingAt = time.Time{}
	}
}

// takesWork reports whether new work may go to the upstream: neither the
// document nor the platform nor the upstream itself says that it leaves.
func (u *upstream) acceptsWork() bool {
	return u.enabled && !u.removed && !u.listedLeaving && u.selfLeavingAt.IsZero()
}

// States in reports and response headers.
const (
	stateCold    = "cold"
	stateWarm    = "warm"
	stateLeaving = "leaving"
)

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// isCold reports whether only the seats' share may be used now. A warm engine
// whose signs have gone silent counts as cold.
func (u *upstream) isCold(warmTTL time.Duration, now time.Time) bool {
	return u.isEngine() && (u.warmth != warm || now.Sub(u.warmConfirmedAt) > warmTTL)
}

// observe takes a load report.
func (u *upstream) applyReport(r LoadReport, now time.Time) {
	at := r.TakenAt
	if at.After(now) {
		at = now
	}
	if at.Before(u.reportedAt) {
		return
	}
	if u.isEngine() {
		u.applyState(r.State, r.Incarnation, at, now)
	}
	u.reportedRunning, u.reportedQueued, u.reportedAt = r.Running, r.Queued, at
	u.ownAtReport = u.history.countAt(at, u.inflight)
}

// ended takes the end of one of this VM's runs, granted at the given time.
func (u *upstream) applyOutcome(o Outcome, grantedAt, now time.Time) {
	switch o.End {
	case EndReset, EndUnreachable, EndSilent:
		if u.isEngine() {
			u.markNotWarm(suspect, now)
		}
		return
	}
	if u.isEngine() && (o.State != "" || o.Incarnation != "") {
		// The headers were true some time during the run. The grant is the only
		// time that is surely not later: a VM that was suspended measures too
		// short a run.
		u.applyState(o.State, o.Incarnation, grantedAt, now)
	}
	if o.End != EndOK {
		return
	}
	if u.isEngine() && u.meanFirstToken > 0 && o.FirstToken > minSlowFirstToken &&
		o.FirstToken.Seconds() > slowFirstTokenFactor*u.meanFirstToken {
		u.markNotWarm(suspect, now)
	}
	if u.warmth == warm {
		u.ramp++
	}
	updateEWMA(&u.meanFirstToken, o.FirstToken.Seconds())
	if o.Tokens > 1 {
		updateEWMA(&u.meanPerToken, (o.Elapsed-o.FirstToken).Seconds()/float64(o.Tokens-1))
	}
}

// speed bounds what the pace may say: a few odd runs must not drive all work
// to or from an upstream.
func (u *upstream) boundedSlowdown() float64 {
	if u.slowdown == 0 {
		return 1
	}
	return min(maxSlowdown, max(minSlowdown, u.slowdown))
}

// ran counts a whole run of a band.
func (p *pool) recordRun(u *upstream, band int, seconds float64) {
	if mean := p.meanService[band]; mean > 0 {
		updateEWMA(&u.slowdown, seconds/mean)
	}
	updateEWMA(&p.meanService[band], seconds)
	if band == bandUrgent {
		p.updateHedgeThreshold(seconds)
	}
}

// trackSlow moves slowUrgent towards its quantile: up by more than down, so
// that it rests where hedgePart of the runs lie above.
func (p *pool) updateHedgeThreshold(seconds float64) {
	switch {
	case p.hedgeThreshold == 0:
		p.hedgeThreshold = 2 * seconds
	case seconds > p.hedgeThreshold:
		p.hedgeThreshold *= 1 + hedgeThresholdStep*(1-hedgeFraction)
	default:
		p.hedgeThreshold *= 1 - hedgeThresholdStep*hedgeFraction
	}
}

func updateEWMA(avg *float64, sample float64) {
	switch {
	case sample <= 0:
	case *avg == 0:
		*avg = sample
	default:
		*avg += ewmaWeight * (sample - *avg)
	}
}
