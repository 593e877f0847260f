package canary

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxRelayedVMs is the maximum number of other VMs whose counters one report
	// includes.
	maxRelayedVMs = 6
)

// Report is a VM's state of a roll-out, sent to the other VMs.
type Report struct {
	Service    string `cbor:"1,keyasint"`
	NewVersion string `cbor:"2,keyasint"`
	// AgeMS is the time since any VM first saw the roll-out.
	AgeMS int64 `cbor:"3,keyasint"`
	// JudgedBad is true once any VM has judged the version as bad; it is never reset.
	JudgedBad bool `cbor:"4,keyasint"`
	// CountersByIncarnation holds counters by VM incarnation; a report includes only
	// some VMs.
	CountersByIncarnation map[string]Counters `cbor:"5,keyasint"`
	// OldBuckets is a bitmap of the buckets of sessions that belong to the trial's
	// share but use the old version; see sessionBucket.
	OldBuckets []byte `cbor:"7,keyasint,omitempty"`
	// RampStart is the latest start of the ramp that any VM has found, as a share of
	// the roll-out's duration.
	RampStart float64 `cbor:"8,keyasint"`

	own string // the reporting incarnation
}

// Shorten halves the counters of other VMs in the report and reports whether there
// were any. Later reports carry them.
func (r *Report) Shorten() bool {
	relayed := len(r.CountersByIncarnation) - 1
	if relayed <= 0 {
		return false
	}
	for name := range r.CountersByIncarnation {
		if name != r.own && len(r.CountersByIncarnation)-1 > relayed/2 {
			delete(r.CountersByIncarnation, name)
		}
	}
	return true
}

// urgentPeriod is how long after the start of a roll-out VMs exchange their reports
// more often: a session that begins at one VM just before the trial must be known
// to the VM of its next request.
const urgentPeriod = sessionExchangeWindow + 1500*time.Millisecond

// IsUrgent reports whether the reports should be exchanged more often now: soon
// after the start, and while sessions move to the new version, of which a bad one
// must then be noticed soon.
func (c *Core) IsUrgent(now time.Time) bool {
	for _, r := range c.rollOuts {
		progress := r.progress(now)
		if r.rollOut.Phase == InProgress && (now.Sub(r.startedAt) < urgentPeriod || progress > planFrom && r.overdue(now) < maxHold) {
			return true
		}
	}
	return false
}

// revertReportTime is how long a VM reports a roll-out that it knows to be reverted. Other
// VMs may not be able to read the verdict from the store.
const revertReportTime = 10 * time.Second

// Reports returns this VM's state of the roll-outs in progress, and of those that were
// reverted lately, for other VMs.
func (c *Core) Reports(now time.Time) []Report {
	var out []Report
	for _, r := range c.rollOuts {
		if r.rollOut.Phase != InProgress {
			if r.rollOut.Phase == Reverted && now.Sub(r.revertedAt) < revertReportTime {
				out = append(out, Report{
					Service: r.rollOut.Service, NewVersion: r.rollOut.NewVersion, AgeMS: now.Sub(r.startedAt).Milliseconds(),
					JudgedBad: true, RampStart: r.rampStart, own: c.incarnation,
				})
			}
			continue
		}
		out = append(out, Report{
			Service: r.rollOut.Service, NewVersion: r.rollOut.NewVersion, AgeMS: now.Sub(r.startedAt).Milliseconds(),
			JudgedBad: r.judgedBad, CountersByIncarnation: c.reportedCounters(r), OldBuckets: c.reportedOldBuckets(now, r), RampStart: r.rampStart,
			own: c.incarnation,
		})
	}
	return out
}

// reportedCounters returns this VM's own counters and those of some other VMs,
// which rotate from report to report.
func (c *Core) reportedCounters(r *rollOutState) map[string]Counters {
	names := slices.Sorted(maps.Keys(r.countersByIncarnation))
	out := map[string]Counters{c.incarnation: r.countersByIncarnation[c.incarnation].clone()}
	for range min(maxRelayedVMs, len(names)) {
		r.cursor++
		name := names[r.cursor%len(names)]
		out[name] = r.countersByIncarnation[name].clone()
	}
	return out
}

// reportedOldBuckets returns the buckets of sessions that belong to the trial's share
// but use the old version, as far as this VM knows; nil after the trial. All VMs
// have sessions, and one bitmap of a constant size holds what all of them report.
func (c *Core) reportedOldBuckets(now time.Time, r *rollOutState) []byte {
	if r.progress(now) >= trialEnd {
		return nil
	}
	inTrial := func(session string) bool { return hashFraction(r.rollOut.NewVersion+session) < c.exposure.trialShare() }
	for _, session := range c.sessions.matching(now, r.rollOut.Service, inTrial, func(v string) bool { return v != r.rollOut.NewVersion }) {
		r.oldBuckets.add(session)
	}
	return slices.Clone(r.oldBuckets[:])
}

func (c Counters) clone() Counters {
	out := newCounters()
	out.OldRunning, out.NewLoad, out.OldLoad = c.OldRunning, c.NewLoad, c.OldLoad
	out.Attempts, out.NewAttempts = c.Attempts, c.NewAttempts
	for k, v := range c.New {
		out.New[k] = v
	}
	for k, v := range c.Old {
		out.Old[k] = v
	}
	return out
}

// total returns the number of attempts and outcomes, which never decreases. Merge keeps the state
// with the higher total; with equal totals, the state that arrives later.
func (c Counters) total() uint64 {
	sum := uint64(c.Attempts)
	for _, tallies := range []map[string]Tally{c.New, c.Old} {
		for _, t := range tallies {
			sum += uint64(t.Total)
		}
	}
	return sum
}

// Merge applies another VM's report. It returns true if the report judges a version
// as bad that this VM had not judged as bad before.
func (c *Core) Merge(now time.Time, report Report) bool {
	r := c.rollOuts[report.Service]
	if r == nil || r.rollOut.NewVersion != report.NewVersion {
		return false
	}
	if startedAt := now.Add(-time.Duration(report.AgeMS) * time.Millisecond); startedAt.Before(r.startedAt) {
		r.startedAt = startedAt
	}
	r.oldBuckets.merge(report.OldBuckets)
	r.putOffRamp(report.RampStart)
	for name, counters := range report.CountersByIncarnation {
		if name == c.incarnation {
			continue
		}
		if old, ok := r.countersByIncarnation[name]; !ok || counters.total() >= old.total() {
			r.countersByIncarnation[name] = counters
		}
	}
	newlyJudgedBad := report.JudgedBad && !r.judgedBad
	r.judgedBad = r.judgedBad || report.JudgedBad
	return newlyJudgedBad
}

// ClearDepartedVMs clears the running counts of VMs that are no longer live.
func (c *Core) ClearDepartedVMs(live map[string]bool) {
	for _, r := range c.rollOuts {
		for name, counters := range r.countersByIncarnation {
			if name != c.incarnation && !live[name] && counters.OldRunning > 0 {
				counters.OldRunning = 0
				r.countersByIncarnation[name] = counters
			}
		}
	}
}
