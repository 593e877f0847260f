package membership

import (
	"cmp"
	"slices"
	"time"
)

// replied takes the response to an own heartbeat.
func (s *State) replied(now time.Time, m PingReplied) []Action {
	out := s.take(now, m.Exchange)
	if e, ok := s.entries[m.Exchange.From.VM]; ok {
		e.told = max(e.told, m.Ping.Exchange.InForce)
		if z := s.zones[e.Zone]; e.Zone != s.self.Zone {
			z.nextSpeak = later(z.nextSpeak, now.Add(speakEvery))
		}
	}
	s.compare(m.Exchange.From.VM, m.Exchange.Zones)
	return out
}

// take merges what a peer sent.
func (s *State) take(now time.Time, in Exchange) []Action {
	s.merge(now, in.From)
	s.bulk = len(in.Updates) > maxSummary
	for _, r := range in.Updates {
		s.merge(now, r)
	}
	s.bulk = false
	s.takeBeats(now, in.Zones)
	if e, ok := s.entries[in.From.VM]; ok && e != s.self {
		e.inForce = in.InForce
	}
	if in.Generation > s.generation {
		return []Action{NewerDocument{Address: in.From.Agent, Generation: in.Generation}}
	}
	return nil
}

// merge takes one record.
func (s *State) merge(now time.Time, r Record) {
	if r.VM == "" || r.Zone == "" || r.Condition > ConditionDead {
		return
	}
	if r.VM == s.self.VM {
		s.refute(now, r)
		return
	}
	e, ok := s.entries[r.VM]
	if !ok {
		if r.Condition == ConditionDead {
			return
		}
		s.add(&entry{Record: r, since: now})
		return
	}
	if !r.supersedes(&e.Record) {
		return
	}
	if r.Zone != e.Zone {
		s.zone(e.Zone).digest ^= e.hash()
		e.Zone, e.Condition = r.Zone, ConditionDead
	}
	s.replace(e, r, now)
}

// refute answers what others hold of this VM: a record at least as new as the
// own that differs from it is superseded by a higher revision, and one of a
// higher incarnation, left by a process before this one whose clock was
// ahead, by a higher incarnation.
func (s *State) refute(now time.Time, r Record) {
	own := s.self.Record
	switch {
	case r.Incarnation > own.Incarnation:
		own.Incarnation = r.Incarnation + 1
		own.Revision = 0
	case r.Incarnation < own.Incarnation || r.Revision < own.Revision:
		return
	case r.Revision == own.Revision && r.Condition == ConditionAlive:
		return
	default:
		own.Revision = r.Revision + 1
	}
	s.replace(s.self, own, now)
}

// takeBeats notes which zones have been heard of.
func (s *State) takeBeats(now time.Time, list []ZoneSummary) {
	for _, z := range s.zones {
		for _, sum := range list {
			if sum.Zone == z.hash && sum.Beat > z.beat {
				z.beat = sum.Beat
				z.heard = now
			}
		}
	}
}

// compare looks for zones on which the peer's knowledge differs. Gossip
// usually evens them out; a difference that stays is settled by a full
// comparison in the next heartbeat to that peer.
func (s *State) compare(vm string, list []ZoneSummary) {
	for _, sum := range list {
		z := s.zoneByHash(sum.Zone)
		switch {
		case z == nil:
			s.missing[sum.Zone] = true
		case uint32(z.digest) == sum.Digest:
			delete(z.differs, vm)
		default:
			z.differs[vm]++
		}
	}
}

func (s *State) zoneByHash(h uint32) *zone {
	for _, z := range s.zones {
		if z.hash == h {
			return z
		}
	}
	return nil
}

// exchange builds a heartbeat's message to a member of the zone.
func (s *State) exchange(zone string) Exchange {
	out := Exchange{From: s.self.Record, Generation: s.generation, InForce: s.inForce}
	for _, z := range s.zones {
		out.Zones = append(out.Zones, ZoneSummary{Zone: z.hash, Digest: uint32(z.digest), Beat: z.beat})
	}
	slices.SortFunc(out.Zones, func(a, b ZoneSummary) int { return cmp.Compare(a.Zone, b.Zone) })
	out.Updates = s.updates()
	if zone != s.self.Zone {
		out.Updates = s.recent(out.Updates)
	}
	return out
}

// updates picks the records that have been passed on least.
func (s *State) updates() []Record {
	var waiting []*entry
	for _, e := range s.entries {
		if e.sends > 0 {
			waiting = append(waiting, e)
		}
	}
	slices.SortFunc(waiting, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.sends, a.sends), cmp.Compare(a.VM, b.VM))
	})
	waiting = waiting[:min(len(waiting), maxUpdates)]
	out := make([]Record, 0, len(waiting))
	for _, e := range waiting {
		e.sends--
		if e != s.self {
			out = append(out, e.Record)
		}
	}
	return out
}

// recent adds what has changed lately in the own zone. Heartbeats inside the
// zone may have used up a record's sends before a speaker passes it on.
func (s *State) recent(list []Record) []Record {
	for _, e := range s.sorted() {
		if len(list) >= maxSummary {
			break
		}
		if e.Zone == s.self.Zone && e != s.self && s.last.Sub(e.changed) < 2*speakEvery && !containsVM(list, e.VM) {
			list = append(list, e.Record)
		}
	}
	return list
}

// askSync adds the records of zones that have differed for a while.
func (s *State) askSync(now time.Time, vm string, x *Exchange) {
	for h := range s.missing {
		if s.zoneByHash(h) == nil {
			x.Sync = append(x.Sync, h)
		}
	}
	clear(s.missing)
	slices.Sort(x.Sync)
	for _, z := range s.sortedZones() {
		if z.differs[vm] < 2 || now.Sub(z.synced) < syncEvery {
			continue
		}
		delete(z.differs, vm)
		z.synced = now
		x.Sync = append(x.Sync, z.hash)
		x.Updates = s.withZone(x.Updates, z.name)
	}
}

// withZone adds all records of a zone that are not in the list yet.
func (s *State) withZone(list []Record, name string) []Record {
	for _, e := range s.sorted() {
		if e.Zone == name && e != s.self && !containsVM(list, e.VM) {
			list = append(list, e.Record)
		}
	}
	return list
}

// answerSync adds the records of the asked zones that the asker lacks.
func (s *State) answerSync(in Exchange, reply *Exchange) {
	if len(in.Sync) == 0 {
		return
	}
	sent := map[string]Record{in.From.VM: in.From}
	for _, r := range in.Updates {
		sent[r.VM] = r
	}
	for _, e := range s.sorted() {
		if !slices.Contains(in.Sync, zoneHash(e.Zone)) || e == s.self || containsVM(reply.Updates, e.VM) {
			continue
		}
		if r, ok := sent[e.VM]; !ok || e.supersedes(&r) {
			reply.Updates = append(reply.Updates, e.Record)
		}
	}
}

func (s *State) sorted() []*entry {
	if s.cache.sorted != nil {
		return s.cache.sorted
	}
	out := make([]*entry, 0, len(s.entries))
	for _, e := range s.entries {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *entry) int { return cmp.Compare(a.VM, b.VM) })
	s.cache.sorted = out
	return out
}

func (s *State) sortedZones() []*zone {
	out := make([]*zone, 0, len(s.zones))
	for _, z := range s.zones {
		out = append(out, z)
	}
	slices.SortFunc(out, func(a, b *zone) int { return cmp.Compare(a.name, b.name) })
	return out
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
