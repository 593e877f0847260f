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

// leader is what only the leading VM needs.
type leader struct {
	leading       bool
	observedCount uint64
	// last is when the progress was last advanced by this VM.
	lastAdvance time.Time
	recent      map[target]*recentStats
	newRequests map[target]uint64
	otherZones  *totals
}

func newLeader() leader {
	return leader{recent: map[target]*recentStats{}, newRequests: map[target]uint64{}, otherZones: newTotals()}
}

// count adds news to the recent statistics; only a leader keeps them.
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
	w, ok := l.recent[k]
	if !ok {
		w = &recentStats{}
		l.recent[k] = w
	}
	return w
}

// addForeign takes the statistics of another zone's first VM.
func (s *State) addOtherZone(now time.Time, m Synced) {
	if m.Above || !s.leader.leading {
		return
	}
	from := source{m.VM, "agent", m.Response.Agent}
	s.leader.addRecent(s.leader.otherZones.add(now, from, m.Response.Totals))
}

// leads reports whether this VM wrote the state last.
func (s *State) isLeader() bool { return s.leader.leading }

// mayLead reports whether this VM may write: it leads already, or nobody has
// for a while. Two VMs that both think so collide in the conditional update.
func (s *State) tryLead(now time.Time) bool {
	if s.document == nil || s.rank >= leadersPerZone || len(s.plans) == 0 && len(s.object.RollOuts) == 0 {
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

// begin starts with empty statistics; time before it does not count.
func (s *State) startLeading(now time.Time) {
	if s.leader.leading {
		return
	}
	observed := s.leader.observedCount
	s.leader = newLeader()
	s.leader.leading, s.leader.lastAdvance, s.leader.observedCount = true, now, observed
}

// askZones asks each other zone's first VM for its statistics.
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
	// The leader itself may not be where its zone's statistics meet.
	if s.rank > 0 {
		out = append(out, s.syncWith(s.ranked[s.config.Zone][0], false))
	}
	return out
}

// advance moves every roll-out by the time since the last advance, at most by
// two reads' worth: a leader that was paused knows nothing of the time between.
func (s *State) advance(now time.Time) (Object, []Progress) {
	elapsed := min(now.Sub(s.leader.lastAdvance), 2*syncInterval)
	s.leader.lastAdvance = now
	for _, stats := range s.leader.recent {
		stats.decay(elapsed)
	}
	next := Object{Leader: s.config.VM, Count: s.object.Count + 1, Generation: s.document.Generation}
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

// progress is the plan's progress so far. A version that was halted under
// another plan of the same version starts anew only with the new plan.
func (s *State) progressOf(p plan) Progress {
	if i := s.object.find(p); i >= 0 {
		return s.object.RollOuts[i]
	}
	return Progress{Model: p.model, Version: p.version, Plan: p.digest, Share: p.plan.Steps[0]}
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

// planDigest tells plans apart.
func planDigest(p *document.RollOutPlan) string {
	sum := xxhash.New()
	_, _ = fmt.Fprintf(sum, "%v", *p)
	return hex.EncodeToString(sum.Sum(nil))
}
