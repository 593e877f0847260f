package rollout

import (
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrypier/cranberrypier/internal/control"
	"github.com/cranberrypier/cranberrypier/internal/document"
)

// leader is the state that only the leader of the roll-outs uses, except for
// observedCount.
type leader struct {
	leading bool
	// observedCount is the count of the state when this VM last read or wrote it
	// at the store. Every VM that reads the store uses it to measure how long the
	// state has been unchanged, so startLeading keeps it.
	observedCount uint64
	// lastAdvance is when this VM last advanced the roll-outs.
	lastAdvance time.Time
	recent      map[target]*recentStats
	newRequests map[target]uint64
	otherZones  *totals
}

func newLeader() leader {
	return leader{recent: map[target]*recentStats{}, newRequests: map[target]uint64{}, otherZones: newTotals()}
}

// addRecent adds new counts to the recent statistics. Only the leader keeps
// them.
func (l *leader) addRecent(list []control.VersionCounters) {
	if !l.leading {
		return
	}
	for _, c := range list {
		k := targetOf(c)
		l.recentFor(k).add(c)
		l.newRequests[k] += c.Requests
	}
}

func (l *leader) recentFor(k target) *recentStats {
	stats, ok := l.recent[k]
	if !ok {
		stats = &recentStats{}
		l.recent[k] = stats
	}
	return stats
}

// addOtherZone adds the totals that the first VM of another zone returned.
func (s *State) addOtherZone(now time.Time, m SyncDone) {
	if m.FetchState || !s.leader.leading {
		return
	}
	from := source{m.VM, "agent", m.Response.Incarnation}
	s.leader.addRecent(s.leader.otherZones.add(now, from, m.Response.Totals))
}

// isLeader reports whether this VM leads the roll-outs.
func (s *State) isLeader() bool { return s.leader.leading }

// tryLead reports whether this VM may write the state, and makes it the leader
// if so: it wrote the state last, or the state has not been written for the
// takeover timeout of its rank. A VM whose rank is not below maxLeadersPerZone,
// or whose document is older than the state's, never leads. If two VMs lead at
// the same time, only one of their conditional updates succeeds.
func (s *State) tryLead(now time.Time) bool {
	if s.document == nil || s.rank >= maxLeadersPerZone || len(s.plans) == 0 && len(s.object.RollOuts) == 0 {
		return false
	}
	if s.document.Generation < s.object.Generation {
		s.leader.leading = false
		return false
	}
	if s.object.Leader == s.config.VM {
		s.startLeading(now)
		return true
	}
	s.leader.leading = false
	timeout := takeoverTimeout + takeoverStep*time.Duration(s.rank)
	if s.object.Count > 0 && now.Sub(s.unchangedSince) < timeout {
		return false
	}
	s.startLeading(now)
	return true
}

// startLeading resets the statistics: counts from before this VM led are not
// used.
func (s *State) startLeading(now time.Time) {
	if s.leader.leading {
		return
	}
	observed := s.leader.observedCount
	s.leader = newLeader()
	s.leader.leading, s.leader.lastAdvance, s.leader.observedCount = true, now, observed
}

// syncZones requests the statistics of the first VM of each other zone.
func (s *State) syncZones() []Action {
	var zones []string
	for z := range s.ranked {
		if z != s.config.Zone {
			zones = append(zones, z)
		}
	}
	slices.Sort(zones)
	out := make([]Action, 0, len(zones)+1)
	for _, z := range zones {
		out = append(out, s.syncWith(s.ranked[z][0], false))
	}
	// A zone's statistics are collected at its first VM, which need not be the
	// leader.
	if s.rank > 0 {
		out = append(out, s.syncWith(s.ranked[s.config.Zone][0], false))
	}
	return out
}

// advance updates every roll-out by the time since the last advance, at most
// two sync intervals: a leader that was paused has no statistics of the time in
// between.
func (s *State) advance(now time.Time) (StoredState, []Progress) {
	elapsed := min(now.Sub(s.leader.lastAdvance), 2*syncInterval)
	s.leader.lastAdvance = now
	for _, stats := range s.leader.recent {
		stats.decay(elapsed)
	}
	next := StoredState{Leader: s.config.VM, Count: s.object.Count + 1, Generation: s.document.Generation}
	var halted []Progress
	for _, p := range s.plans {
		r := s.progressOf(p)
		if !r.Halted {
			s.advanceOne(&r, p, elapsed)
			if r.Halted {
				halted = append(halted, r)
			}
		}
		next.RollOuts = append(next.RollOuts, r)
	}
	clear(s.leader.newRequests)
	return next, halted
}

// progressOf returns the progress of a plan. A new plan for the same version
// starts at the first step, also after the earlier plan was halted.
func (s *State) progressOf(p plan) Progress {
	if i := s.object.find(p); i >= 0 {
		return s.object.RollOuts[i]
	}
	return Progress{Model: p.model, Version: p.version, PlanDigest: p.digest, Share: p.plan.Steps[0]}
}

func (s *State) advanceOne(r *Progress, p plan, elapsed time.Duration) {
	stats := s.leader.recentFor(p.target)
	if reason := recentViolation(p.plan, stats, s.leader.recentFor(target{p.model, p.stable})); reason != "" {
		r.Halted, r.Settled, r.Share, r.Reason = true, false, 0, reason
		return
	}
	r.ElapsedMS += elapsed.Milliseconds()
	r.Requests += s.leader.newRequests[p.target]
	r.Reason = ""
	if time.Duration(r.ElapsedMS)*time.Millisecond < p.plan.StepTime.D() {
		return
	}
	if r.Requests < minStepRequests {
		r.Reason = fmt.Sprintf("waits for %d requests, has %d", minStepRequests, r.Requests)
		return
	}
	if r.Step+1 >= len(p.plan.Steps) {
		r.Settled = true
		return
	}
	r.Step++
	r.Share = p.plan.Steps[r.Step]
	r.ElapsedMS, r.Requests = 0, 0
}

// planDigest returns a hash that identifies the contents of a plan.
func planDigest(p *document.RollOutPlan) string {
	sum := xxhash.New()
	_, _ = fmt.Fprintf(sum, "%v", *p)
	return hex.EncodeToString(sum.Sum(nil))
}
