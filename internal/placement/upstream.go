package placement

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/document"
)

// warmth is this VM's view of an engine's cold-start state.
type warmth int

const (
	// warmthUnknown applies before the first state report and after the engine's
	// zone returned to service. It counts as cold.
	warmthUnknown warmth = iota
	// warmthCold means that the engine itself reported a cold start.
	warmthCold
	// warmthSuspect means that the engine may have restarted: after a reset, a
	// failed connection, a stalled run, a late first token, a report that the
	// engine is leaving, or a new incarnation. It counts as cold until a report
	// or response that describes the engine at a later time says that it is
	// warm.
	warmthSuspect
	// warmthWarm lets the engine's number of slots ramp up.
	warmthWarm
)

// String returns the name of the state for metrics and Slot.Reason.
func (w warmth) String() string {
	return [...]string{"unknown", "cold", "suspect", "warm"}[w]
}

// upstream is this VM's state of one upstream.
type upstream struct {
	doc *document.Upstream
	// name and zone are copies that outlive the document.
	name  string
	zone  string
	local bool
	// enabled is false if the document marks the upstream as leaving or its
	// zone as withdrawn, and if the document no longer lists the upstream. In
	// the last case removed is true.
	enabled bool
	removed bool
	// selfLeavingAt is the time of the newest state report in which the
	// upstream says that it is leaving; zero if its newest state report says
	// otherwise.
	selfLeavingAt time.Time
	// listedLeaving is true while the platform lists the upstream as leaving.
	listedLeaving bool

	// inflight is the number of this VM's runs on the upstream, and
	// longInflight the number of its long runs among them.
	inflight     int
	longInflight int
	history      inflightHistory

	// Cold-start state. Invariant: while the engine is warm, warmConfirmedAt
	// is later than notWarmAt. A late report can therefore not undo a reset.
	warmth          warmth
	incarnation     string
	notWarmAt       time.Time
	warmConfirmedAt time.Time
	// ramp is the number of slots gained since the engine last became warm, one
	// per complete response. The VM's share of the warm limit caps the slots
	// separately. savedRamp is the ramp that savedIncarnation had before it
	// became suspect; it is restored if that incarnation turns out to be warm.
	ramp             float64
	savedRamp        float64
	savedIncarnation string

	// The newest load report, and the number of this VM's own runs on the
	// upstream when the report was taken.
	reportedRunning int
	reportedQueued  int
	reportedAt      time.Time
	ownAtReport     int
	// longCredit is the number of long runs that may start before the next
	// report.
	longCredit int

	// Moving averages over this VM's own runs, in seconds; zero before the
	// first run.
	meanFirstToken float64
	meanPerToken   float64
	// slowdown is the moving average of the upstream's run time divided by the
	// pool's mean run time; zero before the first run.
	slowdown float64

	ejection ejection
	// poolsBuf is the buffer that pools reuses.
	poolsBuf []*pool
}

// isEngine reports whether the upstream has cold starts.
func (u *upstream) isEngine() bool { return u.doc.Kind == document.Engine }

// markNotWarm sets a warmth other than warm and reduces the engine to its cold
// limit at once. It saves the ramp of a warm engine, since the same
// incarnation may turn out to be still warm.
func (u *upstream) markNotWarm(w warmth, now time.Time) {
	if u.warmth == warmthWarm {
		u.savedRamp, u.savedIncarnation = u.ramp, u.incarnation
	}
	if w == warmthCold {
		u.savedRamp = 0
	}
	u.warmth = w
	u.notWarmAt = now
	u.ramp = 0
}

// applyState applies a state that the engine had at validAt.
func (u *upstream) applyState(state, incarnation string, validAt, now time.Time) {
	if incarnation != "" && incarnation != u.incarnation {
		if u.incarnation != "" && !validAt.After(u.notWarmAt) {
			return // late report of an old incarnation
		}
		if u.incarnation != "" {
			u.markNotWarm(warmthSuspect, now)
		}
		u.incarnation = incarnation
		// A warm report of the new incarnation proves that it is warm.
		// markNotWarm set notWarmAt to now, which may be after validAt;
		// notWarmAt is moved before validAt so that the report counts below.
		if state == stateWarm && u.warmth == warmthSuspect {
			u.notWarmAt = validAt.Add(-time.Nanosecond)
		}
	}
	switch state {
	case stateCold:
		// While the engine is warm, a cold report from before the last warm
		// confirmation is late and is ignored.
		if !validAt.Before(u.warmConfirmedAt) || u.warmth != warmthWarm {
			u.markNotWarm(warmthCold, maxTime(u.notWarmAt, validAt))
		}
	case stateWarm:
		// The return below skips the call of applyLeaving at the end, and a warm
		// report also means that the upstream is not leaving.
		u.applyLeaving(state, validAt)
		if !validAt.After(u.notWarmAt) {
			return
		}
		u.warmConfirmedAt = maxTime(u.warmConfirmedAt, validAt)
		if u.warmth != warmthWarm {
			u.warmth = warmthWarm
			u.ramp = 0
			if incarnation != "" && incarnation == u.savedIncarnation {
				// Only the connection failed; the engine kept running.
				u.ramp = u.savedRamp
			}
		}
	case stateLeaving:
		u.markNotWarm(warmthSuspect, now)
	}
	u.applyLeaving(state, validAt)
}

// applyLeaving records whether the upstream reports that it is leaving. Older
// reports are ignored.
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

// acceptsWork reports whether new work may be sent to the upstream: neither
// the document, nor the platform, nor the upstream itself says that it is
// leaving.
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

// isCold reports whether only the seats' share of the cold limit may be used
// now. A warm engine counts as cold once its last confirmation is older than
// warmTTL.
func (u *upstream) isCold(warmTTL time.Duration, now time.Time) bool {
	return u.isEngine() && (u.warmth != warmthWarm || now.Sub(u.warmConfirmedAt) > warmTTL)
}

// applyReport applies a load report. Reports older than the newest one are
// ignored.
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

// applyOutcome applies the outcome of one of this VM's runs, whose slot was
// granted at grantedAt.
func (u *upstream) applyOutcome(o Outcome, grantedAt, now time.Time) {
	switch o.End {
	case EndReset, EndUnreachable, EndInvalid, EndStalled:
		if u.isEngine() {
			u.markNotWarm(warmthSuspect, now)
		}
		return
	}
	if u.isEngine() && (o.State != "" || o.Incarnation != "") {
		// The headers describe the engine at some time after the grant. The
		// grant time is used as a lower bound, because the measured run time is
		// too short if the VM was suspended.
		u.applyState(o.State, o.Incarnation, grantedAt, now)
	}
	if o.End != EndOK {
		return
	}
	if u.isEngine() && u.meanFirstToken > 0 && o.FirstToken > minSlowFirstToken &&
		o.FirstToken.Seconds() > slowFirstTokenFactor*u.meanFirstToken {
		u.markNotWarm(warmthSuspect, now)
	}
	if u.warmth == warmthWarm {
		u.ramp++
	}
	updateEWMA(&u.meanFirstToken, o.FirstToken.Seconds())
	if o.Tokens > 1 {
		updateEWMA(&u.meanPerToken, (o.Elapsed-o.FirstToken).Seconds()/float64(o.Tokens-1))
	}
}

// boundedSlowdown limits the effect of slowdown, so that a few unusual runs
// can't move all work to or away from an upstream.
func (u *upstream) boundedSlowdown() float64 {
	if u.slowdown == 0 {
		return 1
	}
	return min(maxSlowdown, max(minSlowdown, u.slowdown))
}

// recordRun updates the averages with a complete run of a band.
func (p *pool) recordRun(u *upstream, band int, seconds float64) {
	if mean := p.meanRunSeconds[band]; mean > 0 {
		updateEWMA(&u.slowdown, seconds/mean)
	}
	updateEWMA(&p.meanRunSeconds[band], seconds)
	if band == bandUrgent {
		p.updateHedgeDelay(seconds)
	}
}

// updateHedgeDelay moves hedgeDelay towards its quantile. A slower run raises it
// by more than a faster run lowers it, so that it settles where hedgeFraction of
// the runs are slower.
func (p *pool) updateHedgeDelay(seconds float64) {
	switch {
	case p.hedgeDelay == 0:
		p.hedgeDelay = 2 * seconds
	case seconds > p.hedgeDelay:
		p.hedgeDelay *= 1 + hedgeDelayStep*(1-hedgeFraction)
	default:
		p.hedgeDelay *= 1 - hedgeDelayStep*hedgeFraction
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
