package rollout

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/control"
	"github.com/cranberrypier/cranberrypier/internal/distribution"
	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/platform"
)

// State is one VM's part in all roll-outs: it reads the state from the
// platform or from the VM above it in its zone's tree, passes statistics up,
// and leads if it is its turn.
//
// Invariants: a halted plan never gets a share again; a share in force here
// ends Valid after the platform was read, wherever on the way that was.
type State struct {
	config   Config
	random   *rand.Rand
	document *document.Document
	plans    []plan
	wanted   map[target]bool
	order    map[string][]membership.Member
	rank     int
	totals   *totals
	object   Object
	version  platform.Version
	// readAt is when the platform was read at the latest; zero when never.
	readAt time.Time
	// seen is when the object was first seen as it is, by reads without a gap.
	seen     time.Time
	lastRead time.Time
	busy     bool
	due      time.Time
	failures int
	attempt  int
	leader   leader
	told     []Share
}

// plan is one version in roll-out with its model's stable version.
type plan struct {
	target
	stable string
	digest string
	plan   *document.RollOutPlan
}

// New returns a state without a document.
func New(c Config, random *rand.Rand) *State {
	return &State{config: c, random: random, totals: newTotals(), leader: newLeader()}
}

// Step takes one message and returns what to do.
func (s *State) Step(now time.Time, m Message) []Action {
	var out []Action
	switch m := m.(type) {
	case DocumentSet:
		s.setDocument(now, m.Document)
	case ViewSet:
		s.setView(m.View)
	case RouterTotals:
		s.count(now, source{s.config.VM, "router", m.Router}, m.Totals)
	case ReadDone:
		out = s.read(now, m)
	case WriteDone:
		s.written(now, m)
	case SyncDone:
		s.synced(now, m)
	case Tick:
	}
	if !s.busy && !now.Before(s.due) {
		out = append(out, s.refresh(now)...)
	}
	return s.tell(now, out)
}

// Answer serves a VM that asks for the state and brings its statistics.
func (s *State) HandleSync(now time.Time, vm string, in SyncRequest) SyncResponse {
	s.count(now, source{vm, "agent", in.Agent}, in.Totals)
	out := SyncResponse{Object: s.object, AgeMS: -1, Agent: s.config.Agent, Totals: s.totals.list(s.wanted)}
	if !s.readAt.IsZero() {
		out.AgeMS = now.Sub(s.readAt).Milliseconds()
	}
	return out
}

func (s *State) setDocument(now time.Time, d *document.Document) {
	s.document = d
	s.plans = plansOf(d)
	s.wanted = map[target]bool{}
	for _, p := range s.plans {
		s.wanted[p.target] = true
		s.wanted[target{p.model, p.stable}] = true
	}
	if len(s.plans) > 0 && s.due.After(now.Add(syncEvery)) {
		s.due = now
	}
}

func plansOf(d *document.Document) []plan {
	var out []plan
	for _, m := range d.Models {
		stable := ""
		for _, v := range m.Versions {
			if v.State == document.Stable {
				stable = v.Name
			}
		}
		for _, v := range m.Versions {
			if v.State == document.RollOut && v.RollOut != nil {
				out = append(out, plan{target{m.Name, v.Name}, stable, planDigest(v.RollOut), v.RollOut})
			}
		}
	}
	return out
}

func (s *State) setView(v membership.View) {
	s.order = distribution.Ranked(v)
	s.rank = max(0, slices.IndexFunc(s.order[s.config.Zone], func(m membership.Member) bool { return m.VM == s.config.VM }))
}

// count adds a source's totals, and at the leader their news to the recent
// statistics.
func (s *State) count(now time.Time, from source, list []control.VersionCounters) {
	s.leader.count(s.totals.add(now, from, list))
}

// refresh gets the state: the first ranks of a zone from the platform, the
// others from the VM above them, and either from elsewhere after a failure.
func (s *State) refresh(now time.Time) []Action {
	if len(s.plans) == 0 && !s.leads() {
		s.due = now.Add(idleEvery)
		return nil
	}
	s.busy = true
	list := s.order[s.config.Zone]
	if s.rank < leaders || len(list) == 0 || s.attempt%3 == 2 {
		if s.attempt%2 == 1 {
			if a, ok := s.askElsewhere(); ok {
				return []Action{a}
			}
		}
		return append(s.pass(), Read{})
	}
	above := list[(s.rank-1)/fanOut]
	if s.attempt%3 == 1 {
		above = list[s.attempt%leaders]
	}
	return []Action{s.ask(above, true)}
}

// pass brings the statistics of a VM that reads from the platform to the first
// of its zone, where all of the zone's meet.
func (s *State) pass() []Action {
	if s.rank == 0 || s.leads() {
		return nil
	}
	return []Action{s.ask(s.order[s.config.Zone][0], false)}
}

// askElsewhere picks a VM of another zone, for a VM that is cut off from the
// platform.
func (s *State) askElsewhere() (Action, bool) {
	var zones []string
	for z := range s.order {
		if z != s.config.Zone {
			zones = append(zones, z)
		}
	}
	if len(zones) == 0 {
		return nil, false
	}
	slices.Sort(zones)
	return s.ask(s.order[zones[(s.attempt/2)%len(zones)]][0], true), true
}

// ask carries statistics only upwards inside the zone, and none of a leader:
// they would come back to it in what the others have added up.
func (s *State) ask(m membership.Member, above bool) SyncCall {
	request := SyncRequest{Agent: s.config.Agent}
	if m.Zone == s.config.Zone && !s.leads() {
		request.Totals = s.totals.list(s.wanted)
	}
	return SyncCall{VM: m.VM, Address: m.Agent, FetchState: above, Request: request}
}

func (s *State) read(now time.Time, m ReadDone) []Action {
	if m.Failed {
		s.fail(now)
		return nil
	}
	s.take(now, m.Object, m.Sent)
	s.version = m.Version
	s.observe(now, m.Object)
	if !s.mayLead(now) {
		s.done(now)
		return nil
	}
	next, halted := s.advance(now)
	out := []Action{Write{Object: next, Base: m.Version}}
	for _, p := range halted {
		out = append(out, Halted{Progress: p})
	}
	return append(out, s.askZones()...)
}

// take keeps a state that is at least as new as the own.
func (s *State) take(now time.Time, o Object, readAt time.Time) {
	if o.Count < s.object.Count || readAt.After(now) {
		return
	}
	s.object = o
	if readAt.After(s.readAt) {
		s.readAt = readAt
	}
}

// observe notes since when the object has been seen unchanged.
func (s *State) observe(now time.Time, o Object) {
	gap := s.lastRead.IsZero() || now.Sub(s.lastRead) > takeoverAfter/2
	if gap || o.Count != s.leader.seenCount {
		s.seen = now
	}
	s.leader.seenCount = o.Count
	s.lastRead = now
}

func (s *State) written(now time.Time, m WriteDone) {
	if m.Failed {
		// The next read shows who leads.
		s.fail(now)
		return
	}
	s.object, s.version = m.Object, m.Version
	s.leader.seenCount = m.Object.Count
	s.done(now)
}

func (s *State) synced(now time.Time, m SyncDone) {
	if m.Failed {
		if m.FetchState {
			s.fail(now)
		}
		return
	}
	s.addForeign(now, m)
	if !m.FetchState {
		return
	}
	if m.Response.AgeMS < 0 {
		s.fail(now)
		return
	}
	age := time.Duration(m.Response.AgeMS) * time.Millisecond
	s.take(now, m.Response.Object, m.Sent.Add(-age))
	if age > ShareTTL {
		s.fail(now)
		return
	}
	s.done(now)
}

func (s *State) done(now time.Time) {
	s.busy, s.failures, s.attempt = false, 0, 0
	s.due = now.Add(syncEvery - syncEvery/8 + s.jitter(syncEvery/4))
}

func (s *State) fail(now time.Time) {
	wait := min(syncEvery<<min(s.failures, 6), retryMost)
	s.failures++
	s.attempt++
	s.busy = false
	s.due = now.Add(wait/2 + s.jitter(wait/2))
}

// tell reports the shares in force when they or their ends have changed.
func (s *State) tell(now time.Time, out []Action) []Action {
	list := s.shares(now)
	if slices.Equal(list, s.told) {
		return out
	}
	s.told = list
	return append(out, Shares{List: list})
}

// shares gives each version in roll-out the share of the state; a version that
// the state does not know with this plan has none.
func (s *State) shares(now time.Time) []Share {
	out := make([]Share, 0, len(s.plans))
	for _, p := range s.plans {
		share := Share{Progress: Progress{Model: p.model, Version: p.version, Plan: p.digest, Reason: "not started"}}
		if i := s.object.find(p); i >= 0 {
			share.Progress = s.object.RollOuts[i]
			share.NotAfter = s.readAt.Add(ShareTTL)
			if share.Settled {
				share.NotAfter = s.readAt.Add(SettledShareTTL)
			}
		}
		if !now.Before(share.NotAfter) {
			share.Share = 0
		}
		out = append(out, share)
	}
	return out
}

// find returns the index of the plan's progress, or -1.
func (o *Object) find(p plan) int {
	return slices.IndexFunc(o.RollOuts, func(r Progress) bool {
		return r.Model == p.model && r.Version == p.version && r.Plan == p.digest
	})
}

func (s *State) jitter(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d) + 1))
}
