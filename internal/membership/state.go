package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/invariant"
)

// State is one VM's state machine of the membership.
//
// Invariants:
//   - The cached incarnation of a VM never decreases.
//   - A member that is suspect or dead at this VM receives that record in the
//     response to its heartbeat, and its next record supersedes it.
//   - The number of messages that a VM sends per second does not grow with the
//     fleet.
type State struct {
	random     *rand.Rand
	self       *entry
	seeds      []string
	candidates []string
	entries    map[string]*entry
	zones      map[string]*zone
	// generation is the generation of the document that can be fetched from
	// this agent, inForce that of the document in force at this VM.
	generation uint64
	inForce    uint64
	lastStep   time.Time
	schedule   schedule
	// inFlight holds the addresses with a heartbeat in progress.
	inFlight map[string]bool
	// unknownZones holds the hashes of zones that a peer's summary contained
	// and of which this VM has no member.
	unknownZones map[uint32]bool
	cache        cache
	viewNumber   uint64
	view         View
	dirty        bool
	// updatesPending is true while there are updates for an eager round of
	// heartbeats, zoneUpdatesPending while the own zone has updates for an
	// early summary.
	updatesPending     bool
	zoneUpdatesPending bool
	// fullSync is true while the records of a full comparison are merged.
	// They are sent on only once, since VMs that lack them get them from their
	// own full comparisons.
	fullSync bool
}

// cache holds orderings of the entries until an entry changes.
type cache struct {
	sorted []*entry
	ring   []*entry
	ranked map[string][]*entry
}

// entry is a member's record with this VM's local state for that member.
type entry struct {
	Record
	// conditionSince is the time of the last change of the condition at this
	// VM, recordChanged that of the record.
	conditionSince time.Time
	recordChanged  time.Time
	// inForce is the generation of the document in force at the member, from
	// the last direct exchange.
	inForce uint64
	// confirmedInForce is the newest own inForce that the member has confirmed.
	confirmedInForce uint64
	// remainingSends is the number of further heartbeats that carry the record.
	remainingSends int
}

// zone is this VM's state for an availability zone.
type zone struct {
	name string
	hash uint32
	// digest is the exclusive or of the records' hashes.
	digest uint64
	beat   uint64
	// lastBeat is when the beat last increased.
	lastBeat time.Time
	// mismatches counts by peer the consecutive exchanges in which the peer's
	// digest differed; lastSync is the time of the last full comparison.
	mismatches map[string]int
	lastSync   time.Time
	// nextSummary is when the next summary to the zone is due, lastSummary
	// when the last one was sent. targetIndex selects the member to send to.
	nextSummary time.Time
	lastSummary time.Time
	targetIndex int
	status      Status
}

// schedule holds the times at which the next heartbeats of each kind are due,
// and the positions in the rotations of their targets.
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

// New returns a state whose only member is this VM. Random is used only for
// the jitter of heartbeats.
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

// Step processes one message and returns the actions to perform.
func (s *State) Step(now time.Time, m Message) []Action {
	s.adjustForPause(now)
	var out []Action
	switch m := m.(type) {
	case HeartbeatResponse:
		delete(s.inFlight, m.Heartbeat.Address)
		out = s.handleReply(now, m)
	case HeartbeatFailed:
		delete(s.inFlight, m.Heartbeat.Address)
		s.handleFailure(now, m.Heartbeat)
	case SetSelf:
		s.setSelf(m)
	case CandidateAddresses:
		s.candidates = slices.Clone(m.Addresses)
	case Tick:
		s.expire(now)
	}
	out = append(out, s.dueHeartbeats(now)...)
	return append(out, s.viewChange(now)...)
}

// Receive processes a heartbeat of a peer and returns the response.
func (s *State) Receive(now time.Time, in Exchange) (Exchange, []Action) {
	s.adjustForPause(now)
	out := s.mergeExchange(now, in)
	reply := s.exchange(in.From.Zone)
	s.respondToSync(in, &reply)
	if e, ok := s.entries[in.From.VM]; ok && e.Condition != ConditionAlive && !containsVM(reply.Updates, e.VM) {
		reply.Updates = append(reply.Updates, e.Record)
	}
	out = append(out, s.dueHeartbeats(now)...)
	return reply, append(out, s.viewChange(now)...)
}

// adjustForPause shifts the start of running timeouts by the time during which
// this process was paused.
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

// setSelf updates the own record. Generations are sent with every heartbeat, so
// only the other fields increase the revision.
func (s *State) setSelf(m SetSelf) {
	s.generation = m.Generation
	s.inForce = m.InForce
	s.self.inForce = m.InForce
	if s.self.RouterUp == m.RouterUp && s.self.Leaving == m.Leaving && s.self.Platform == m.ReachesPlatform {
		return
	}
	r := s.self.Record
	r.Revision++
	r.RouterUp = m.RouterUp
	r.Leaving = m.Leaving
	r.Platform = m.ReachesPlatform
	s.replace(s.self, r, s.lastStep)
}

// expire declares suspects dead after suspectTimeout and removes dead members
// after deadRetention.
func (s *State) expire(now time.Time) {
	for _, e := range s.entries {
		switch {
		case e == s.self || e.Condition == ConditionAlive:
		case e.Condition == ConditionSuspect && s.mayDeclareDead(e) && now.Sub(e.conditionSince) >= suspectTimeout:
			r := e.Record
			r.Condition = ConditionDead
			s.replace(e, r, now)
		case e.Condition == ConditionDead && now.Sub(e.conditionSince) >= deadRetention:
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

// mayDeclareDead reports whether this VM may declare the member dead. Only VMs
// of the same zone may, since others can't distinguish a dead member from a
// network partition between the zones.
func (s *State) mayDeclareDead(e *entry) bool { return e.Zone == s.self.Zone }

// handleFailure marks a member of the own zone that did not respond as
// suspected. For another zone it selects the next member to send to.
func (s *State) handleFailure(now time.Time, p SendHeartbeat) {
	e, ok := s.entries[p.VM]
	if !ok {
		return
	}
	if !s.mayDeclareDead(e) {
		s.zones[e.Zone].targetIndex++
		return
	}
	if e.Condition != ConditionAlive || e == s.self {
		return
	}
	r := e.Record
	r.Condition = ConditionSuspect
	s.replace(e, r, now)
}

// add inserts a new entry.
func (s *State) add(e *entry) {
	s.entries[e.VM] = e
	s.zoneFor(e.Zone).digest ^= e.hash()
	s.markUpdated(e)
}

// replace replaces an entry's record with a newer one.
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

// markUpdated schedules the entry's record for the next heartbeats.
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

// invalidate discards the cached orderings after a change of an entry.
func (s *State) invalidate() {
	s.dirty = true
	s.cache = cache{}
}

// sendCount returns how many heartbeats carry a changed record: the logarithm
// of the fleet's size, since the number of VMs that have the record doubles
// with each round, plus a margin for lost messages.
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
