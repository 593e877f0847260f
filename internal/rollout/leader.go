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
	leading   bool
	seenCount uint64
	// last is when the progress was last advanced by this VM.
	last    time.Time
	recent  map[target]*recent
	fresh   map[target]uint64
	foreign *totals
}

func newLeader() leader {
	return leader{recent: map[target]*recent{}, fresh: map[target]uint64{}, foreign: newTotals()}
}

// count adds news to the recent statistics; only a leader keeps them.
func (l *leader) count(list []control.VersionCounters) {
	if !l.leading {
		return
	}
	for _, c := range list {
		k := targetOf(c)
		l.of(k).add(c)
		l.fresh[k] += c.Requests
	}
}

func (l *leader) of(k target) *recent {
	w, ok := l.recent[k]
	if !ok {
		w = &recent{}
		l.recent[k] = w
	}
	return w
}

// addForeign takes the statistics of another zone's first VM.
func (s *State) addForeign(now time.Time, m SyncDone) {
	if m.FetchState || !s.leader.leading {
		return
	}
	from := source{m.VM, "agent", m.Response.Agent}
	s.leader.count(s.leader.foreign.add(now, from, m.Response.Totals))
}

// leads reports whether this VM wrote the state last.
func (s *State) leads() bool { return s.leader.leading }

// mayLead reports whether this VM may write: it leads already, or nobody has
// for a while. Two VMs that both think so collide in the conditional update.
func (s *State) mayLead(now time.Time) bool {
	if s.document == nil || s.rank >= leaders || len(s.plans) == 0 && len(s.object.RollOuts) == 0 {
		return false
	}
	if s.document.Generation < s.object.Generation {
		s.leader.leading = false
		return false
	}
	if s.object.Leader == s.config.VM {
		s.begin(now)
		return true
	}
	s.leader.leading = false
	wait := takeoverAfter + takeoverStep*time.Duration(s.rank)
	if s.object.Count > 0 && now.Sub(s.seen) < wait {
		return false
	}
	s.begin(now)
	return true
}

// begin starts with empty statistics; time before it does not count.
func (s *State) begin(now time.Time) {
	if s.leader.leading {
		return
	}
	seen := s.leader.seenCount
	s.leader = newLeader()
	s.leader.leading, s.leader.last, s.leader.seenCount = true, now, seen
}

// askZones asks each other zone's first VM for its statistics.
func (s *State) askZones() []Action {
	var zones []string
	for z := range s.order {
		if z != s.config.Zone {
			zones = append(zones, z)
		}
	}
	slices.Sort(zones)
	out := make([]Action, 0, len(zones)+1)
	for _, z := range zones {
		out = append(out, s.ask(s.order[z][0], false))
	}
	// The leader itself may not be where its zone's statistics meet.
	if s.rank > 0 {
		out = append(out, s.ask(s.order[s.config.Zone][0], false))
	}
	return out
}

// advance moves every roll-out by the time since the last advance, at most by
// two reads' worth: a leader that was paused knows nothing of the time between.
func (s *State) advance(now time.Time) (Object, []Progress) {
	passed := min(now.Sub(s.leader.last), 2*syncEvery)
	s.leader.last = now
	for _, w := range s.leader.recent {
		w.fade(passed)
	}
	next := Object{Leader: s.config.VM, Count: s.object.Count + 1, Generation: s.document.Generation}
	var halted []Progress
	for _, p := range s.plans {
		r := s.progress(p)
		if !r.Halted {
			s.move(&r, p, passed)
			if r.Halted {
				halted = append(halted, r)
			}
		}
		next.RollOuts = append(next.RollOuts, r)
	}
	clear(s.leader.fresh)
	return next, halted
}

// progress is the plan's progress so far. A version that was halted under
// another plan of the same version starts anew only with the new plan.
func (s *State) progress(p plan) Progress {
	if i := s.object.find(p); i >= 0 {
		return s.object.RollOuts[i]
	}
	return Progress{Model: p.model, Version: p.version, Plan: p.digest, Share: p.plan.Steps[0]}
}

func (s *State) move(r *Progress, p plan, passed time.Duration) {
	w := s.leader.of(p.target)
	if why := judgeRecent(p.plan, w, s.leader.of(target{p.model, p.stable})); why != "" {
		r.Halted, r.Settled, r.Share, r.Reason = true, false, 0, why
		return
	}
	r.ElapsedMS += passed.Milliseconds()
	r.Requests += s.leader.fresh[p.target]
	r.Reason = ""
	if time.Duration(r.ElapsedMS)*time.Millisecond < p.plan.StepTime.D() {
		return
	}
	if r.Requests < stepSamples {
		r.Reason = fmt.Sprintf("waits for %d requests, has %d", stepSamples, r.Requests)
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
