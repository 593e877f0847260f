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

// State is the state machine of one VM for all roll-outs. It reads the state
// from the store or from its parent in the zone's tree, sends statistics up the
// tree, and leads when it is the VM's turn.
//
// Invariants: a halted plan never gets a share again. A share in force at this
// VM expires ShareTTL (SettledShareTTL after the last step) after the state was
// read from the store, through however many VMs it was passed on.
type State struct {
	config   Config
	random   *rand.Rand
	document *document.Document
	plans    []plan
	tracked  map[target]bool
	ranked   map[string][]membership.Member
	rank     int
	totals   *totals
	object   StoredState
	version  platform.Version
	// readAt is when the newest state was read from the store. It is zero when
	// it never was.
	readAt time.Time
	// unchangedSince is when the object was first seen in its present form, by
	// reads without a gap.
	unchangedSince time.Time
	lastRead       time.Time
	refreshing     bool
	nextRefresh    time.Time
	failures       int
	attempt        int
	leader         leader
	published      []Share
}

// plan is the plan of one version in roll-out, with the model's stable version.
type plan struct {
	target
	stable string
	digest string
	plan   *document.RollOutPlan
}

// New returns a state machine without a document.
func New(c Config, random *rand.Rand) *State {
	return &State{config: c, random: random, totals: newTotals(), leader: newLeader()}
}

// Step applies one message and returns the resulting actions.
func (s *State) Step(now time.Time, m Message) []Action {
	var out []Action
	switch m := m.(type) {
	case DocumentSet:
		s.setDocument(now, m.Document)
	case ViewSet:
		s.setView(m.View)
	case RouterTotals:
		s.addTotals(now, source{s.config.VM, "router", m.RouterIncarnation}, m.Totals)
	case ReadDone:
		out = s.readDone(now, m)
	case WriteDone:
		s.writeDone(now, m)
	case SyncDone:
		s.syncDone(now, m)
	case Tick:
	}
	if !s.refreshing && !now.Before(s.nextRefresh) {
		out = append(out, s.refresh(now)...)
	}
	return s.publish(now, out)
}

// HandleSync handles the call of a VM that sends its statistics and gets the
// state.
func (s *State) HandleSync(now time.Time, vm string, in SyncRequest) SyncResponse {
	s.addTotals(now, source{vm, "agent", in.Incarnation}, in.Totals)
	out := SyncResponse{Object: s.object, AgeMS: -1, Incarnation: s.config.Incarnation, Totals: s.totals.list(s.tracked)}
	if !s.readAt.IsZero() {
		out.AgeMS = now.Sub(s.readAt).Milliseconds()
	}
	return out
}

func (s *State) setDocument(now time.Time, d *document.Document) {
	s.document = d
	s.plans = plansOf(d)
	s.tracked = map[target]bool{}
	for _, p := range s.plans {
		s.tracked[p.target] = true
		s.tracked[target{p.model, p.stable}] = true
	}
	if len(s.plans) > 0 && s.nextRefresh.After(now.Add(syncInterval)) {
		s.nextRefresh = now
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
	s.ranked = distribution.Ranked(v)
	s.rank = max(0, slices.IndexFunc(s.ranked[s.config.Zone], func(m membership.Member) bool { return m.VM == s.config.VM }))
}

// addTotals adds a source's totals. On the leader it also adds the new counts
// to the recent statistics.
func (s *State) addTotals(now time.Time, from source, list []control.VersionCounters) {
	s.leader.addRecent(s.totals.add(now, from, list))
}

// refresh gets the state. The first ranks of a zone read it from the store, the
// other VMs call their parent. After failures, each of them tries other
// sources.
func (s *State) refresh(now time.Time) []Action {
	if len(s.plans) == 0 && !s.isLeader() {
		s.nextRefresh = now.Add(idleInterval)
		return nil
	}
	s.refreshing = true
	list := s.ranked[s.config.Zone]
	if s.rank < leadersPerZone || len(list) == 0 || s.attempt%3 == 2 {
		if s.attempt%2 == 1 {
			if a, ok := s.syncOtherZone(); ok {
				return []Action{a}
			}
		}
		return append(s.forwardTotals(), Read{})
	}
	parent := list[(s.rank-1)/fanOut]
	if s.attempt%3 == 1 {
		parent = list[s.attempt%leadersPerZone]
	}
	return []Action{s.syncWith(parent, true)}
}

// forwardTotals sends the statistics of a VM that reads from the store to the
// first VM of its zone, which collects the statistics of the whole zone.
func (s *State) forwardTotals() []Action {
	if s.rank == 0 || s.isLeader() {
		return nil
	}
	return []Action{s.syncWith(s.ranked[s.config.Zone][0], false)}
}

// syncOtherZone calls a VM of another zone to get the state, for a VM that
// cannot reach the store.
func (s *State) syncOtherZone() (Action, bool) {
	var zones []string
	for z := range s.ranked {
		if z != s.config.Zone {
			zones = append(zones, z)
		}
	}
	if len(zones) == 0 {
		return nil, false
	}
	slices.Sort(zones)
	return s.syncWith(s.ranked[zones[(s.attempt/2)%len(zones)]][0], true), true
}

// syncWith sends statistics only up the tree of its own zone. The leader sends
// none: it would receive them again in the sums that the other VMs return.
func (s *State) syncWith(m membership.Member, fetchState bool) SyncCall {
	request := SyncRequest{Incarnation: s.config.Incarnation}
	if m.Zone == s.config.Zone && !s.isLeader() {
		request.Totals = s.totals.list(s.tracked)
	}
	return SyncCall{VM: m.VM, Address: m.Agent, FetchState: fetchState, Request: request}
}

func (s *State) readDone(now time.Time, m ReadDone) []Action {
	if m.Failed {
		s.scheduleRetry(now)
		return nil
	}
	s.applyObject(now, m.Object, m.Sent)
	s.version = m.ObjectVersion
	s.trackUnchanged(now, m.Object)
	if !s.tryLead(now) {
		s.scheduleNext(now)
		return nil
	}
	next, halted := s.advance(now)
	out := []Action{Write{Object: next, Base: m.ObjectVersion}}
	for _, p := range halted {
		out = append(out, Halted{Progress: p})
	}
	return append(out, s.syncZones()...)
}

// applyObject keeps the state unless the current one is newer.
func (s *State) applyObject(now time.Time, o StoredState, readAt time.Time) {
	if o.Count < s.object.Count || readAt.After(now) {
		return
	}
	s.object = o
	if readAt.After(s.readAt) {
		s.readAt = readAt
	}
}

// trackUnchanged records since when the object has been unchanged.
func (s *State) trackUnchanged(now time.Time, o StoredState) {
	gap := s.lastRead.IsZero() || now.Sub(s.lastRead) > takeoverTimeout/2
	if gap || o.Count != s.leader.observedCount {
		s.unchangedSince = now
	}
	s.leader.observedCount = o.Count
	s.lastRead = now
}

func (s *State) writeDone(now time.Time, m WriteDone) {
	if m.Failed {
		// The next read shows which VM leads.
		s.scheduleRetry(now)
		return
	}
	s.object, s.version = m.Object, m.ObjectVersion
	s.leader.observedCount = m.Object.Count
	s.scheduleNext(now)
}

func (s *State) syncDone(now time.Time, m SyncDone) {
	if m.Failed {
		if m.FetchState {
			s.scheduleRetry(now)
		}
		return
	}
	s.addOtherZone(now, m)
	if !m.FetchState {
		return
	}
	if m.Response.AgeMS < 0 {
		s.scheduleRetry(now)
		return
	}
	age := time.Duration(m.Response.AgeMS) * time.Millisecond
	s.applyObject(now, m.Response.Object, m.Sent.Add(-age))
	if age > ShareTTL {
		s.scheduleRetry(now)
		return
	}
	s.scheduleNext(now)
}

func (s *State) scheduleNext(now time.Time) {
	s.refreshing, s.failures, s.attempt = false, 0, 0
	s.nextRefresh = now.Add(syncInterval - syncInterval/8 + s.jitter(syncInterval/4))
}

func (s *State) scheduleRetry(now time.Time) {
	wait := min(syncInterval<<min(s.failures, 6), maxBackoff)
	s.failures++
	s.attempt++
	s.refreshing = false
	s.nextRefresh = now.Add(wait/2 + s.jitter(wait/2))
}

// publish emits the shares in force when they or their expiry times have
// changed.
func (s *State) publish(now time.Time, out []Action) []Action {
	list := s.shares(now)
	if slices.Equal(list, s.published) {
		return out
	}
	s.published = list
	return append(out, Shares{List: list})
}

// shares returns the share of each version in roll-out. A version whose current
// plan is not in the state has none.
func (s *State) shares(now time.Time) []Share {
	out := make([]Share, 0, len(s.plans))
	for _, p := range s.plans {
		share := Share{Progress: Progress{Model: p.model, Version: p.version, PlanDigest: p.digest, Reason: "not started"}}
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
func (o *StoredState) find(p plan) int {
	return slices.IndexFunc(o.RollOuts, func(r Progress) bool {
		return r.Model == p.model && r.Version == p.version && r.PlanDigest == p.digest
	})
}

func (s *State) jitter(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d) + 1))
}
