package canary

import "time"

// Schedule of a roll-out. trialEnd, rampLength and maxRampEnd are shares of its
// duration.
const (
	// trialEnd is the end of the trial. Until then, sessions on the old version stay
	// there. The trial's share lasts until the ramp.
	trialEnd = 0.52
	// rampLength is how long the ramp takes, at the end of which all sessions use the
	// new version.
	rampLength = 0.08
	// maxRampEnd is the latest end of the ramp, and minCompletionTime the least time
	// between it and the deadline.
	maxRampEnd        = 0.955
	minCompletionTime = 700 * time.Millisecond
	// earliestCompletion and forcedCompletion are shares of the time between the end of
	// the ramp and the deadline. A roll-out may be completed after the first, when all
	// VMs have finished the ramp, and is completed after the second even if requests
	// still run on the old version.
	earliestCompletion = 0.3
	forcedCompletion   = 0.4
	// minCompletion and minForcedCompletion are the least of both as shares of the
	// duration: all requests use the new version by then, and show more of it.
	minCompletion       = 0.84
	minForcedCompletion = 0.88
	// minCappedDuration is the duration below which there is no time between the trial
	// and the deadline to keep within the allowed exposure. The ramp then follows the
	// trial.
	minCappedDuration = 6 * time.Second
	// planFrom is from when on the start of the ramp is planned, as a share of the
	// duration; until then too few requests have come.
	planFrom = 0.42
	// planLead is how long before the ramp, as a share of the duration, its start is
	// settled, so that all VMs know the same one.
	planLead = 0.05
	// plannedToleranceShare is the share of the exposure's tolerance that the plan
	// uses; the rest covers counts of other VMs that arrive late.
	plannedToleranceShare = 0.4
	// plannedRise is the factor by which requests are planned to come faster after the
	// plan than before.
	plannedRise = 1.4
)

// CapsExposure reports whether the roll-out is long enough to keep a version that is
// not judged within the allowed exposure until its deadline.
func (o RollOut) CapsExposure() bool { return o.Duration >= minCappedDuration }

// maxRampStart returns the latest start of the ramp, as a share of the duration.
func (o RollOut) maxRampStart() float64 {
	if !o.CapsExposure() {
		return trialEnd
	}
	return min(maxRampEnd, 1-minCompletionTime.Seconds()/o.Duration.Seconds()) - rampLength
}

func (r *rollOutState) rampEnd() float64 { return r.rampStart + rampLength }

// completionAfter returns the progress at a share of the time between the end of the
// ramp and the deadline.
func (r *rollOutState) completionAfter(share float64) float64 {
	return r.rampEnd() + share*(1-r.rampEnd())
}

// planRamp moves the start of the ramp so that the new version stays within the
// allowed exposure until the deadline even if all of its faults go unnoticed. The
// start is only ever put off, so that all VMs settle on the latest that one of them
// has found.
func (c *Core) planRamp(now time.Time, r *rollOutState) {
	if progress := r.progress(now); progress >= planFrom && progress < r.rampStart-planLead {
		r.putOffRamp(c.exposure.rampStart(r.attempts(), progress))
	}
}

// putOffRamp applies a later start of the ramp.
func (r *rollOutState) putOffRamp(start float64) {
	r.rampStart = max(r.rampStart, min(start, r.rollOut.maxRampStart()))
}

// attempts returns the attempts of all VMs.
func (r *rollOutState) attempts() attempts {
	var sum attempts
	for _, vm := range r.countersByIncarnation {
		sum.all += float64(vm.Attempts)
		sum.new += float64(vm.NewAttempts)
	}
	return sum
}

// Exposure is the limit of the requests that a bad version may receive until the
// deadline of its roll-out: Share of all requests of the service, plus Tolerance
// requests.
type Exposure struct {
	Share     float64
	Tolerance float64
}

// trialShare is the share of the sessions that the trial moves.
func (e Exposure) trialShare() float64 { return e.Share * trialExposureShare }

// attempts are the numbers of attempts that have begun.
type attempts struct{ all, new float64 }

// rampStart returns the start of the ramp with which the new version uses up its
// exposure at the deadline if requests come plannedRise times as fast as until now.
func (e Exposure) rampStart(begun attempts, progress float64) float64 {
	if begun.all == 0 || progress <= 0 {
		return 0
	}
	perProgress := plannedRise * begun.all / progress
	all := begun.all + perProgress*(1-progress)
	allowed := e.Share*all + plannedToleranceShare*e.Tolerance - begun.new
	// From now on: the trial's share until the start, half of the rest on average in the
	// ramp, then all.
	rest := 1 - e.trialShare()
	return progress + (1-progress-allowed/perProgress-rampLength*rest/2)/rest
}

// newVersionShare returns the share of the sessions that use the new version.
func (c *Core) newVersionShare(r *rollOutState, progress float64) float64 {
	trial := c.exposure.trialShare()
	if progress < r.rampStart {
		return trial
	}
	return min(trial+(1-trial)*(progress-r.rampStart)/rampLength, 1)
}
