package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/invariant"
)

// State is one VM's knowledge of the members.
//
// Invariants: the incarnation known of a VM never falls; a member that talks
// to this VM is told when it counts as suspect or dead here, and its next
// record supersedes that; the number of messages that a VM sends in a second
// does not grow with the fleet.
type State struct {
	random     *rand.Rand
	self       *entry
	seeds      []string
	candidates []string
	entries    map[string]*entry
	zones      map[string]*zone
	// generation and inForce are the own document.
	generation uint64
	inForce    uint64
	lastStep   time.Time
	schedule   schedule
	// inFlight holds the addresses with a heartbeat in progress.
	inFlight map[string]bool
	// missing holds zones of which a peer told and no member is known here.
	unknownZones map[uint32]bool
	cache        cache
	viewNumber   uint64
	view         View
	dirty        bool
	// news is true while there is something to spread at once, zoneNews when
	// it is of the own zone.
	updatesPending     bool
	zoneUpdatesPending bool
	// bulk is true while a full comparison is merged: its records are old
	// news, which other comparisons bring to whoever lacks them.
	fullSync bool
}

// cache holds orderings of the entries until an entry changes.
type cache struct {
	sorted []*entry
	ring   []*entry
	ranked map[string][]*entry
}

// entry is a record with what this VM knows beside it.
type entry struct {
	Record
	// since is when the condition last changed here, changed when the record
	// did.
	conditionSince time.Time
	recordChanged  time.Time
	// inForce is the document in force, from a direct exchange.
	inForce uint64
	// told is the own inForce that the member has confirmed.
	confirmedInForce uint64
	// sends is how often the record is still to be passed on.
	remainingSends int
}

// zone is what this VM knows of an availability zone as a whole.
type zone struct {
	name string
	hash uint32
	// digest is the exclusive or of the records' hashes.
	digest uint64
	beat   uint64
	// heard is when the beat last grew.
	lastBeat time.Time
	// differs counts, by peer, the exchanges in a row in which the peer's
	// digest differed, and synced is when one was last compared in full.
	mismatches map[string]int
	lastSync   time.Time
	// nextSpeak is when to talk to the zone, spoke when that was last done,
	// and attempt the member to try.
	nextSummary time.Time
	lastSummary time.Time
	targetIndex int
	status      Status
}

// schedule holds when the next heartbeats of each kind are due.
type schedule struct {
	heartbeat      time.Time
	join           time.Time
	deadProbe      time.Time
	eager          time.Time
	report         time.Time
	fingerIndex    int
	candidateIndex int
	deadIndex      int
}

// New returns a state that knows only itself. Random only spreads heartbeats
// in time.
func New(c Config, random *rand.Rand) *State {
	s := &State{
		random:       random,
		seeds:        slices.Clone(c.Seeds),
		entries:      map[string]*entry{},
		zones:        map[string]*zone{},
		inFlight:     map[string]bool{},
		unknownZones: map[uint32]bool{},
		dirty:        true,
	}
	s.self = &entry{Record: c.Self}
	s.add(s.self)
	return s
}

// View returns the last view.
func (s *State) View() View { return s.view }

// Step takes one message and returns what to do.
func (s *State) Step(now time.Time, m Message) []Action {
	s.adjustForPause(now)
	var out []Action
	switch m := m.(type) {
	case Replied:
		delete(s.inFlight, m.Ping.Address)
		out = s.handleReply(now, m)
	case Failed:
		delete(s.inFlight, m.Ping.Address)
		s.handleFailure(now, m.Ping)
	case SetSelf:
		s.setSelf(m)
	case Hints:
		s.candidates = slices.Clone(m.Addresses)
	case Tick:
		s.expire(now)
	}
	out = append(out, s.dueHeartbeats(now)...)
	return append(out, s.viewChange(now)...)
}

// Receive takes a heartbeat and returns the response.
func (s *State) Receive(now time.Time, in Exchange) (Exchange, []Action) {
	s.adjustForPause(now)
	out := s.mergeExchange(now, in)
	reply := s.exchange(in.From.Zone)
	s.respondToSync(in, &reply)
	if e, ok := s.entries[in.From.VM]; ok && e.Condition != Live && !containsVM(reply.Updates, e.VM) {
		reply.Updates = append(reply.Updates, e.Record)
	}
	out = append(out, s.dueHeartbeats(now)...)
	return reply, append(out, s.viewChange(now)...)
}

// wake shifts what was measured while this process stood still.
func (s *State) adjustForPause(now time.Time) {
	gap := now.Sub(s.lastStep)
	if !s.lastStep.IsZero() && gap > pauseThreshold {
		for _, e := range s.entries {
			e.conditionSince = e.conditionSince.Add(gap)
		}
		for _, z := range s.zones {
			z.lastBeat = z.lastBeat.Add(gap)
		}
	}
	if s.lastStep.IsZero() {
		for _, z := range s.zones {
			z.lastBeat = now
		}
	}
	s.lastStep = now
}

// setSelf changes the own record; only what others need to know at once
// raises the revision.
func (s *State) setSelf(m SetSelf) {
	s.generation = m.Generation
	s.inForce = m.InForce
	s.self.inForce = m.InForce
	if s.self.RouterUp == m.RouterUp && s.self.Leaving == m.Leaving && s.self.Platform == m.Platform {
		return
	}
	r := s.self.Record
	r.Revision++
	r.RouterUp = m.RouterUp
	r.Leaving = m.Leaving
	r.Platform = m.Platform
	s.replace(s.self, r, s.lastStep)
}

// expire turns suspects into dead members and forgets dead ones.
func (s *State) expire(now time.Time) {
	for _, e := range s.entries {
		switch {
		case e == s.self || e.Condition == Live:
		case e.Condition == Suspected && s.mayDeclareDead(e) && now.Sub(e.conditionSince) >= suspectTimeout:
			r := e.Record
			r.Condition = Gone
			s.replace(e, r, now)
		case e.Condition == Gone && now.Sub(e.conditionSince) >= deadRetention:
			s.remove(e)
		}
	}
}

func (s *State) remove(e *entry) {
	delete(s.entries, e.VM)
	for _, z := range s.zones {
		delete(z.mismatches, e.VM)
	}
	s.invalidate()
}

// judges reports whether this VM may declare the member dead: only VMs of the
// same zone do, since others can't tell a dead member from a cut.
func (s *State) mayDeclareDead(e *entry) bool { return e.Zone == s.self.Zone }

// failed suspects a member of the own zone that did not answer.
func (s *State) handleFailure(now time.Time, p Ping) {
	e, ok := s.entries[p.VM]
	if !ok {
		return
	}
	if !s.mayDeclareDead(e) {
		s.zones[e.Zone].targetIndex++
		return
	}
	if e.Condition != Live || e == s.self {
		return
	}
	r := e.Record
	r.Condition = Suspected
	s.replace(e, r, now)
}

// add puts in a new entry.
func (s *State) add(e *entry) {
	s.entries[e.VM] = e
	s.zoneFor(e.Zone).digest ^= e.hash()
	s.markUpdated(e)
}

// replace changes an entry's record to a newer one.
func (s *State) replace(e *entry, r Record, now time.Time) {
	invariant.Check(r.Incarnation >= e.Incarnation, IncarnationMonotone,
		"%s: incarnation %d after %d", r.VM, r.Incarnation, e.Incarnation)
	s.zoneFor(e.Zone).digest ^= e.hash()
	if r.Condition != e.Condition || r.Incarnation != e.Incarnation {
		e.conditionSince = now
	}
	if r.Incarnation != e.Incarnation {
		e.confirmedInForce = 0
	}
	e.Record = r
	s.zoneFor(e.Zone).digest ^= e.hash()
	s.markUpdated(e)
}

// fresh makes an entry's record news.
func (s *State) markUpdated(e *entry) {
	e.remainingSends = s.sendCount()
	if s.fullSync {
		e.remainingSends = 1
	}
	e.recordChanged = s.lastStep
	s.updatesPending = true
	s.zoneUpdatesPending = s.zoneUpdatesPending || e.Zone == s.self.Zone
	s.invalidate()
}

// touch notes that an entry has changed.
func (s *State) invalidate() {
	s.dirty = true
	s.cache = cache{}
}

// sends is how often a record is passed on: enough for the doubling of those
// who know it to reach the fleet, with some to spare for lost messages.
func (s *State) sendCount() int {
	n := 3
	for size := len(s.entries); size > 0; size >>= 1 {
		n++
	}
	return n
}

func (s *State) zoneFor(name string) *zone {
	z, ok := s.zones[name]
	if !ok {
		z = &zone{name: name, hash: zoneHash(name), lastBeat: s.lastStep, status: Alive, mismatches: map[string]int{}}
		s.zones[name] = z
	}
	return z
}

func containsVM(list []Record, vm string) bool {
	return slices.ContainsFunc(list, func(r Record) bool { return r.VM == vm })
}
