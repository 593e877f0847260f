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
	random  *rand.Rand
	self    *entry
	seeds   []string
	hints   []string
	entries map[string]*entry
	zones   map[string]*zone
	// generation and inForce are the own document.
	generation uint64
	inForce    uint64
	last       time.Time
	schedule   schedule
	// inFlight holds the addresses with a heartbeat in progress.
	inFlight map[string]bool
	// missing holds zones of which a peer told and no member is known here.
	missing map[uint32]bool
	cache   cache
	number  uint64
	view    View
	dirty   bool
	// news is true while there is something to spread at once, zoneNews when
	// it is of the own zone.
	news     bool
	zoneNews bool
	// bulk is true while a full comparison is merged: its records are old
	// news, which other comparisons bring to whoever lacks them.
	bulk bool
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
	since   time.Time
	changed time.Time
	// inForce is the document in force, from a direct exchange.
	inForce uint64
	// told is the own inForce that the member has confirmed.
	told uint64
	// sends is how often the record is still to be passed on.
	sends int
}

// zone is what this VM knows of an availability zone as a whole.
type zone struct {
	name string
	hash uint32
	// digest is the exclusive or of the records' hashes.
	digest uint64
	beat   uint64
	// heard is when the beat last grew.
	heard time.Time
	// differs counts, by peer, the exchanges in a row in which the peer's
	// digest differed, and synced is when one was last compared in full.
	differs map[string]int
	synced  time.Time
	// nextSpeak is when to talk to the zone, spoke when that was last done,
	// and attempt the member to try.
	nextSpeak time.Time
	spoke     time.Time
	attempt   int
	status    Status
}

// schedule holds when the next heartbeats of each kind are due.
type schedule struct {
	beat   time.Time
	hint   time.Time
	revive time.Time
	eager  time.Time
	report time.Time
	finger int
	hintAt int
	dead   int
}

// New returns a state that knows only itself. Random only spreads heartbeats
// in time.
func New(c Config, random *rand.Rand) *State {
	s := &State{
		random:   random,
		seeds:    slices.Clone(c.Seeds),
		entries:  map[string]*entry{},
		zones:    map[string]*zone{},
		inFlight: map[string]bool{},
		missing:  map[uint32]bool{},
		dirty:    true,
	}
	s.self = &entry{Record: c.Self}
	s.add(s.self)
	return s
}

// View returns the last view.
func (s *State) View() View { return s.view }

// Step takes one message and returns what to do.
func (s *State) Step(now time.Time, m Message) []Action {
	s.wake(now)
	var out []Action
	switch m := m.(type) {
	case PingReplied:
		delete(s.inFlight, m.Ping.Address)
		out = s.replied(now, m)
	case PingFailed:
		delete(s.inFlight, m.Ping.Address)
		s.failed(now, m.Ping)
	case SetSelf:
		s.setSelf(m)
	case CandidateAddresses:
		s.hints = slices.Clone(m.Addresses)
	case Tick:
		s.expire(now)
	}
	out = append(out, s.due(now)...)
	return append(out, s.changed(now)...)
}

// Receive takes a heartbeat and returns the response.
func (s *State) Receive(now time.Time, in Exchange) (Exchange, []Action) {
	s.wake(now)
	out := s.take(now, in)
	reply := s.exchange(in.From.Zone)
	s.answerSync(in, &reply)
	if e, ok := s.entries[in.From.VM]; ok && e.Condition != ConditionAlive && !containsVM(reply.Updates, e.VM) {
		reply.Updates = append(reply.Updates, e.Record)
	}
	out = append(out, s.due(now)...)
	return reply, append(out, s.changed(now)...)
}

// wake shifts what was measured while this process stood still.
func (s *State) wake(now time.Time) {
	gap := now.Sub(s.last)
	if !s.last.IsZero() && gap > stall {
		for _, e := range s.entries {
			e.since = e.since.Add(gap)
		}
		for _, z := range s.zones {
			z.heard = z.heard.Add(gap)
		}
	}
	if s.last.IsZero() {
		for _, z := range s.zones {
			z.heard = now
		}
	}
	s.last = now
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
	s.replace(s.self, r, s.last)
}

// expire turns suspects into dead members and forgets dead ones.
func (s *State) expire(now time.Time) {
	for _, e := range s.entries {
		switch {
		case e == s.self || e.Condition == ConditionAlive:
		case e.Condition == ConditionSuspect && s.judges(e) && now.Sub(e.since) >= suspectTime:
			r := e.Record
			r.Condition = ConditionDead
			s.replace(e, r, now)
		case e.Condition == ConditionDead && now.Sub(e.since) >= forgetAfter:
			s.forget(e)
		}
	}
}

func (s *State) forget(e *entry) {
	delete(s.entries, e.VM)
	for _, z := range s.zones {
		delete(z.differs, e.VM)
	}
	s.touch()
}

// judges reports whether this VM may declare the member dead: only VMs of the
// same zone do, since others can't tell a dead member from a cut.
func (s *State) judges(e *entry) bool { return e.Zone == s.self.Zone }

// failed suspects a member of the own zone that did not answer.
func (s *State) failed(now time.Time, p Ping) {
	e, ok := s.entries[p.VM]
	if !ok {
		return
	}
	if !s.judges(e) {
		s.zones[e.Zone].attempt++
		return
	}
	if e.Condition != ConditionAlive || e == s.self {
		return
	}
	r := e.Record
	r.Condition = ConditionSuspect
	s.replace(e, r, now)
}

// add puts in a new entry.
func (s *State) add(e *entry) {
	s.entries[e.VM] = e
	s.zone(e.Zone).digest ^= e.hash()
	s.fresh(e)
}

// replace changes an entry's record to a newer one.
func (s *State) replace(e *entry, r Record, now time.Time) {
	invariant.Check(r.Incarnation >= e.Incarnation, IncarnationMonotone,
		"%s: incarnation %d after %d", r.VM, r.Incarnation, e.Incarnation)
	s.zone(e.Zone).digest ^= e.hash()
	if r.Condition != e.Condition || r.Incarnation != e.Incarnation {
		e.since = now
	}
	if r.Incarnation != e.Incarnation {
		e.told = 0
	}
	e.Record = r
	s.zone(e.Zone).digest ^= e.hash()
	s.fresh(e)
}

// fresh makes an entry's record news.
func (s *State) fresh(e *entry) {
	e.sends = s.sends()
	if s.bulk {
		e.sends = 1
	}
	e.changed = s.last
	s.news = true
	s.zoneNews = s.zoneNews || e.Zone == s.self.Zone
	s.touch()
}

// touch notes that an entry has changed.
func (s *State) touch() {
	s.dirty = true
	s.cache = cache{}
}

// sends is how often a record is passed on: enough for the doubling of those
// who know it to reach the fleet, with some to spare for lost messages.
func (s *State) sends() int {
	n := 3
	for size := len(s.entries); size > 0; size >>= 1 {
		n++
	}
	return n
}

func (s *State) zone(name string) *zone {
	z, ok := s.zones[name]
	if !ok {
		z = &zone{name: name, hash: zoneHash(name), heard: s.last, status: Alive, differs: map[string]int{}}
		s.zones[name] = z
	}
	return z
}

func containsVM(list []Record, vm string) bool {
	return slices.ContainsFunc(list, func(r Record) bool { return r.VM == vm })
}
