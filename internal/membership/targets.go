package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// due returns the heartbeats that are due now.
func (s *State) due(now time.Time) []Action {
	var out []Action
	if !now.Before(s.schedule.beat) {
		s.schedule.beat = now.Add(beatEvery - beatEvery/10 + s.jitter(beatEvery/5))
		out = append(out, s.beat(now, 1)...)
	}
	if s.news && !now.Before(s.schedule.eager) {
		s.news = false
		s.schedule.eager = now.Add(eagerEvery)
		out = append(out, s.beat(now, eagerTargets)...)
	}
	out = append(out, s.speak(now)...)
	out = append(out, s.report(now)...)
	out = append(out, s.revive(now)...)
	return append(out, s.join(now)...)
}

// ping starts a heartbeat unless one to the address is in progress.
func (s *State) ping(now time.Time, vm, address string) []Action {
	if s.inFlight[address] || address == "" || address == s.self.Agent {
		return nil
	}
	s.inFlight[address] = true
	zone := s.self.Zone
	if e, ok := s.entries[vm]; ok {
		zone = e.Zone
	}
	x := s.exchange(zone)
	s.askSync(now, vm, &x)
	return []Action{Ping{VM: vm, Address: address, Exchange: x}}
}

// beat talks to the next members of the own zone. The members at distances of
// powers of two in the zone's ring are the same in each round, so that each VM
// keeps few connections, and news still doubles from round to round.
func (s *State) beat(now time.Time, count int) []Action {
	ring := s.ring()
	at := slices.Index(ring, s.self)
	var fingers []*entry
	for d := 1; d < len(ring) && len(fingers) < maxFingers; d *= 2 {
		fingers = append(fingers, ring[(at+d)%len(ring)])
	}
	var out []Action
	for range min(count, len(fingers)) {
		s.schedule.finger++
		e := fingers[s.schedule.finger%len(fingers)]
		out = append(out, s.ping(now, e.VM, e.Agent)...)
	}
	return out
}

// ring is the own zone's members that are not dead, by name.
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

// ranked orders a zone's members that may speak for it.
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

// speak exchanges summaries with other zones. The first by rank does so all
// the time, the second seldom; the others only after a zone has been silent,
// each less often than the one before, so that a zone's calls stay few.
func (s *State) speak(now time.Time) []Action {
	if len(s.zones) < 2 {
		return nil
	}
	rank := slices.Index(s.ranked(s.self.Zone), s.self)
	if rank < 0 {
		return nil
	}
	news := s.zoneNews && rank == 0
	s.zoneNews = false
	var out []Action
	for _, z := range s.sortedZones() {
		if news {
			z.nextSpeak = earlier(z.nextSpeak, z.spoke.Add(speakNews))
		}
		if z.name == s.self.Zone || now.Before(z.nextSpeak) {
			continue
		}
		if rank > 1 && now.Sub(z.heard) < zoneSuspect-speakEvery {
			continue
		}
		period := speakEvery * time.Duration(1+2*rank)
		z.spoke = now
		z.nextSpeak = now.Add(period - period/10 + s.jitter(period/5))
		out = append(out, s.speakTo(now, z)...)
	}
	return out
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// speakTo talks to the zone's speakers in turn while they do not answer, and
// then to any of its members, dead ones included.
func (s *State) speakTo(now time.Time, z *zone) []Action {
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
	e := list[z.attempt%len(list)]
	return s.ping(now, e.VM, e.Agent)
}

// report tells the own zone's speakers at once which document is in force
// here, until they have confirmed it.
func (s *State) report(now time.Time) []Action {
	if now.Before(s.schedule.report) {
		return nil
	}
	var out []Action
	list := s.ranked(s.self.Zone)
	for _, e := range list[:min(len(list), speakers)] {
		if e != s.self && e.told < s.inForce {
			out = append(out, s.ping(now, e.VM, e.Agent)...)
		}
	}
	if len(out) > 0 {
		s.schedule.report = now.Add(beatEvery)
	}
	return out
}

// revive talks to dead members of the own zone now and then.
func (s *State) revive(now time.Time) []Action {
	if now.Before(s.schedule.revive) {
		return nil
	}
	s.schedule.revive = now.Add(reviveEvery/2 + s.jitter(reviveEvery))
	var dead []*entry
	for _, e := range s.sorted() {
		if e.Zone == s.self.Zone && e.Condition == ConditionDead {
			dead = append(dead, e)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	s.schedule.dead++
	e := dead[s.schedule.dead%len(dead)]
	return s.ping(now, e.VM, e.Agent)
}

// join tries addresses at which no member is known.
func (s *State) join(now time.Time) []Action {
	if now.Before(s.schedule.hint) {
		return nil
	}
	every := hintEvery
	if len(s.entries) == 1 {
		every = hintAlone
	}
	s.schedule.hint = now.Add(every/2 + s.jitter(every))
	known := map[string]bool{s.self.Agent: true}
	for _, e := range s.entries {
		if e.Condition != ConditionDead {
			known[e.Agent] = true
		}
	}
	var unknown []string
	for _, a := range slices.Concat(s.seeds, s.hints) {
		if !known[a] && !slices.Contains(unknown, a) {
			unknown = append(unknown, a)
		}
	}
	if len(unknown) == 0 {
		return nil
	}
	s.schedule.hintAt++
	return s.ping(now, "", unknown[s.schedule.hintAt%len(unknown)])
}

func (s *State) jitter(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d) + 1))
}
