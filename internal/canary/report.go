package canary

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxReportedSessions is the maximum number of sessions in one report.
	maxReportedSessions = 48
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
	// OldSessions holds the hashes of sessions that belong to the trial's share but
	// use the old version.
	OldSessions []uint32 `cbor:"6,keyasint,omitempty"`
}

// Reports returns this VM's state of the roll-outs in progress, for other VMs.
func (c *Core) Reports(now time.Time) []Report {
	var out []Report
	for _, r := range c.rollOuts {
		if r.rollOut.Phase != InProgress {
			continue
		}
		out = append(out, Report{
			Service: r.rollOut.Service, NewVersion: r.rollOut.NewVersion, AgeMS: now.Sub(r.startedAt).Milliseconds(),
			JudgedBad: r.judgedBad, CountersByIncarnation: c.reportedCounters(r), OldSessions: c.reportedOldSessions(now, r),
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

// reportedOldSessions returns the hashes of sessions that belong to the trial's
// share but use the old version.
func (c *Core) reportedOldSessions(now time.Time, r *rollOutState) []uint32 {
	if r.progress(now) >= trialEnd {
		return nil
	}
	inTrial := func(session string) bool { return hashFraction(r.rollOut.NewVersion+session) < c.newVersionShare(0) }
	for _, session := range c.sessions.matching(now, r.rollOut.Service, inTrial, func(v string) bool { return v != r.rollOut.NewVersion }) {
		r.oldSessions[sessionHash(session)] = true
	}
	hashes := slices.Sorted(maps.Keys(r.oldSessions))
	if len(hashes) <= maxReportedSessions {
		return hashes
	}
	out := make([]uint32, 0, maxReportedSessions)
	for i := range maxReportedSessions {
		out = append(out, hashes[(r.cursor+i)%len(hashes)])
	}
	return out
}

// sessionHash returns a short hash that stands for a session in reports.
func sessionHash(session string) uint32 { return uint32(xxhash.Sum64String(session)) }

func (c Counters) clone() Counters {
	out := newCounters()
	out.OldRunning = c.OldRunning
	for k, v := range c.New {
		out.New[k] = v
	}
	for k, v := range c.Old {
		out.Old[k] = v
	}
	return out
}

// total returns the number of outcomes, which never decreases. Merge keeps the state
// with the higher total; with equal totals, the state that arrives later.
func (c Counters) total() uint64 {
	var sum uint64
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
	for _, session := range report.OldSessions {
		r.oldSessions[session] = true
	}
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
