package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// dueHeartbeats returns the heartbeats that are due now.
func (s *State) dueHeartbeats(now time.Time) []Action {
	var out []Action
	if !now.Before(s.schedule.heartbeat) {
		s.schedule.heartbeat = now.Add(heartbeatInterval - heartbeatInterval/10 + s.jitter(heartbeatInterval/5))
		out = append(out, s.heartbeatFingers(now, 1)...)
	}
	if s.updatesPending && !now.Before(s.schedule.eager) {
		s.updatesPending = false
		s.schedule.eager = now.Add(minEagerInterval)
		out = append(out, s.heartbeatFingers(now, eagerTargets)...)
	}
	out = append(out, s.sendSummaries(now)...)
	out = append(out, s.reportInForce(now)...)
	out = append(out, s.probeDead(now)...)
	return append(out, s.join(now)...)
}

// startHeartbeat starts a heartbeat unless one to the address is in progress.
func (s *State) startHeartbeat(now time.Time, vm, address string) []Action {
	if s.inFlight[address] || address == "" || address == s.self.Agent {
		return nil
	}
	s.inFlight[address] = true
	zone := s.self.Zone
	if e, ok := s.entries[vm]; ok {
		zone = e.Zone
	}
	x := s.exchange(zone)
	s.requestSync(now, vm, &x)
	return []Action{SendHeartbeat{VM: vm, Address: address, Exchange: x}}
}

// heartbeatFingers sends heartbeats to the next fingers, which are the members
// at distances of powers of two in the own zone's ring. The fingers are the
// same in each round, so that each VM keeps few connections. The number of VMs
// that have an update still doubles from round to round.
func (s *State) heartbeatFingers(now time.Time, count int) []Action {
	ring := s.ring()
	self := slices.Index(ring, s.self)
	var fingers []*entry
	for d := 1; d < len(ring) && len(fingers) < maxFingers; d *= 2 {
		fingers = append(fingers, ring[(self+d)%len(ring)])
	}
	var out []Action
	for range min(count, len(fingers)) {
		s.schedule.fingerIndex++
		e := fingers[s.schedule.fingerIndex%len(fingers)]
		out = append(out, s.startHeartbeat(now, e.VM, e.Agent)...)
	}
	return out
}

// ring returns the members of the own zone that are not dead, sorted by name.
func (s *State) ring() []*entry {
	if s.cache.ring == nil {
		for _, e := range s.sorted() {
			if e.Zone == s.self.Zone && e.Condition != ConditionDead {
				s.cache.ring = append(s.cache.ring, e)
			}
		}
	}
	return s.cache.ring
}

// ranked returns the zone's members that are neither dead nor leaving, sorted
// by the hash of their names. The first speakersPerZone are its speakers.
func (s *State) ranked(name string) []*entry {
	if list, ok := s.cache.ranked[name]; ok {
		return list
	}
	var out []*entry
	for _, e := range s.entries {
		if e.Zone == name && e.Condition != ConditionDead && !e.Leaving {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.VM), xxhash.Sum64String(b.VM)), cmp.Compare(a.VM, b.VM))
	})
	if s.cache.ranked == nil {
		s.cache.ranked = map[string][]*entry{}
	}
	s.cache.ranked[name] = out
	return out
}

// sendSummaries exchanges summaries with other zones. The member of rank 0 sends
// every summaryInterval and rank 1 a third as often. The others send only to a
// zone that is about to become suspect, each at a longer interval than the rank
// before, so that the zone makes few calls.
func (s *State) sendSummaries(now time.Time) []Action {
	if len(s.zones) < 2 {
		return nil
	}
	rank := slices.Index(s.ranked(s.self.Zone), s.self)
	if rank < 0 {
		return nil
	}
	early := s.zoneUpdatesPending && rank == 0
	s.zoneUpdatesPending = false
	var out []Action
	for _, z := range s.sortedZones() {
		if early {
			z.nextSummary = earlierOf(z.nextSummary, z.lastSummary.Add(minSummaryInterval))
		}
		if z.name == s.self.Zone || now.Before(z.nextSummary) {
			continue
		}
		if rank > 1 && now.Sub(z.lastBeat) < zoneSuspectTimeout-summaryInterval {
			continue
		}
		period := summaryInterval * time.Duration(1+2*rank)
		z.lastSummary = now
		z.nextSummary = now.Add(period - period/10 + s.jitter(period/5))
		out = append(out, s.sendSummary(now, z)...)
	}
	return out
}

func earlierOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// sendSummary sends a heartbeat to the zone's first member by rank. Each
// failure advances to the next member, at last to leaving and dead ones.
func (s *State) sendSummary(now time.Time, z *zone) []Action {
	s.zones[s.self.Zone].beat++
	list := slices.Clone(s.ranked(z.name))
	for _, e := range s.sorted() {
		if e.Zone == z.name && !slices.Contains(list, e) {
			list = append(list, e)
		}
	}
	if len(list) == 0 {
		return nil
	}
	e := list[z.targetIndex%len(list)]
	return s.startHeartbeat(now, e.VM, e.Agent)
}

// reportInForce sends the generation in force at this VM to the speakers of the
// own zone, without waiting for heartbeatInterval, until they have confirmed it.
func (s *State) reportInForce(now time.Time) []Action {
	if now.Before(s.schedule.report) {
		return nil
	}
	var out []Action
	list := s.ranked(s.self.Zone)
	for _, e := range list[:min(len(list), speakersPerZone)] {
		if e != s.self && e.confirmedInForce < s.inForce {
			out = append(out, s.startHeartbeat(now, e.VM, e.Agent)...)
		}
	}
	if len(out) > 0 {
		s.schedule.report = now.Add(heartbeatInterval)
	}
	return out
}

// probeDead periodically sends a heartbeat to a dead member of the own zone.
func (s *State) probeDead(now time.Time) []Action {
	if now.Before(s.schedule.deadProbe) {
		return nil
	}
	s.schedule.deadProbe = now.Add(deadProbeInterval/2 + s.jitter(deadProbeInterval))
	var dead []*entry
	for _, e := range s.sorted() {
		if e.Zone == s.self.Zone && e.Condition == ConditionDead {
			dead = append(dead, e)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	s.schedule.deadIndex++
	e := dead[s.schedule.deadIndex%len(dead)]
	return s.startHeartbeat(now, e.VM, e.Agent)
}

// join sends heartbeats to configured and candidate addresses that no known
// member has.
func (s *State) join(now time.Time) []Action {
	if now.Before(s.schedule.join) {
		return nil
	}
	interval := joinInterval
	if len(s.entries) == 1 {
		interval = aloneJoinInterval
	}
	s.schedule.join = now.Add(interval/2 + s.jitter(interval))
	known := map[string]bool{s.self.Agent: true}
	for _, e := range s.entries {
		if e.Condition != ConditionDead {
			known[e.Agent] = true
		}
	}
	var unknown []string
	for _, a := range slices.Concat(s.seeds, s.candidates) {
		if !known[a] && !slices.Contains(unknown, a) {
			unknown = append(unknown, a)
		}
	}
	if len(unknown) == 0 {
		return nil
	}
	s.schedule.candidateIndex++
	return s.startHeartbeat(now, "", unknown[s.schedule.candidateIndex%len(unknown)])
}

func (s *State) jitter(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d) + 1))
}
