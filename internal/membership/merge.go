package membership

import (
	"cmp"
	"slices"
	"time"
)

// handleReply processes the response to a heartbeat of this VM.
func (s *State) handleReply(now time.Time, reply HeartbeatResponse) []Action {
	out := s.mergeExchange(now, reply.Exchange)
	if e, ok := s.entries[reply.Exchange.From.VM]; ok {
		e.confirmedInForce = max(e.confirmedInForce, reply.Heartbeat.Exchange.InForce)
		if z := s.zones[e.Zone]; e.Zone != s.self.Zone {
			z.nextSummary = laterOf(z.nextSummary, now.Add(summaryInterval))
		}
	}
	s.compareDigests(reply.Exchange.From.VM, reply.Exchange.Zones)
	return out
}

// mergeExchange merges the records that a peer sent.
func (s *State) mergeExchange(now time.Time, x Exchange) []Action {
	s.merge(now, x.From)
	s.fullSync = len(x.Updates) > maxSummaryUpdates
	for _, r := range x.Updates {
		s.merge(now, r)
	}
	s.fullSync = false
	s.updateBeats(now, x.Zones)
	if e, ok := s.entries[x.From.VM]; ok && e != s.self {
		e.inForce = x.InForce
	}
	if x.Generation > s.generation {
		return []Action{NewerDocument{Address: x.From.Agent, Generation: x.Generation}}
	}
	return nil
}

// merge applies one received record if it is newer than the cached one.
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
		s.add(&entry{Record: r, conditionSince: now})
		return
	}
	if !r.supersedes(&e.Record) {
		return
	}
	if r.Zone != e.Zone {
		s.zoneFor(e.Zone).digest ^= e.hash()
		e.Zone, e.Condition = r.Zone, ConditionDead
	}
	s.replace(e, r, now)
}

// refute handles a record of this VM that a peer sent. A record that differs
// from the own one and is at least as new is superseded by a higher revision.
// One with a higher incarnation comes from an earlier process whose clock was
// ahead, and is superseded by a higher incarnation.
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

// updateBeats applies the beats that are higher than the cached ones.
func (s *State) updateBeats(now time.Time, list []ZoneSummary) {
	for _, z := range s.zones {
		for _, sum := range list {
			if sum.Zone == z.hash && sum.Beat > z.beat {
				z.beat = sum.Beat
				z.lastBeat = now
			}
		}
	}
}

// compareDigests counts the zones for which the peer's digest differs. Gossip
// usually removes a difference; one that persists causes a full comparison in
// the next heartbeat to that peer.
func (s *State) compareDigests(vm string, list []ZoneSummary) {
	for _, sum := range list {
		z := s.zoneByHash(sum.Zone)
		switch {
		case z == nil:
			s.unknownZones[sum.Zone] = true
		case uint32(z.digest) == sum.Digest:
			delete(z.mismatches, vm)
		default:
			z.mismatches[vm]++
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

// exchange builds the body of a heartbeat to a member of the zone.
func (s *State) exchange(zone string) Exchange {
	out := Exchange{From: s.self.Record, Generation: s.generation, InForce: s.inForce}
	for _, z := range s.zones {
		out.Zones = append(out.Zones, ZoneSummary{Zone: z.hash, Digest: uint32(z.digest), Beat: z.beat})
	}
	slices.SortFunc(out.Zones, func(a, b ZoneSummary) int { return cmp.Compare(a.Zone, b.Zone) })
	out.Updates = s.updates()
	if zone != s.self.Zone {
		out.Updates = s.appendRecent(out.Updates)
	}
	return out
}

// updates returns up to maxUpdates records with the most sends remaining and
// counts one send of each.
func (s *State) updates() []Record {
	var pending []*entry
	for _, e := range s.entries {
		if e.remainingSends > 0 {
			pending = append(pending, e)
		}
	}
	slices.SortFunc(pending, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.remainingSends, a.remainingSends), cmp.Compare(a.VM, b.VM))
	})
	pending = pending[:min(len(pending), maxUpdates)]
	out := make([]Record, 0, len(pending))
	for _, e := range pending {
		e.remainingSends--
		if e != s.self {
			out = append(out, e.Record)
		}
	}
	return out
}

// appendRecent adds the recently changed records of the own zone. Heartbeats
// inside the zone may have used up a record's sends before a speaker could
// send it to another zone.
func (s *State) appendRecent(updates []Record) []Record {
	for _, e := range s.sorted() {
		if len(updates) >= maxSummaryUpdates {
			break
		}
		if e.Zone == s.self.Zone && e != s.self && s.lastStep.Sub(e.recordChanged) < 2*summaryInterval && !containsVM(updates, e.VM) {
			updates = append(updates, e.Record)
		}
	}
	return updates
}

// requestSync requests a full comparison of unknown zones and of zones whose
// digests have differed from the peer's in consecutive exchanges. It adds all
// records of the latter.
func (s *State) requestSync(now time.Time, vm string, x *Exchange) {
	for h := range s.unknownZones {
		if s.zoneByHash(h) == nil {
			x.Sync = append(x.Sync, h)
		}
	}
	clear(s.unknownZones)
	slices.Sort(x.Sync)
	for _, z := range s.sortedZones() {
		if z.mismatches[vm] < 2 || now.Sub(z.lastSync) < minSyncInterval {
			continue
		}
		delete(z.mismatches, vm)
		z.lastSync = now
		x.Sync = append(x.Sync, z.hash)
		x.Updates = s.appendZone(x.Updates, z.name)
	}
}

// appendZone adds all records of a zone that are not among the updates yet.
func (s *State) appendZone(updates []Record, name string) []Record {
	for _, e := range s.sorted() {
		if e.Zone == name && e != s.self && !containsVM(updates, e.VM) {
			updates = append(updates, e.Record)
		}
	}
	return updates
}

// respondToSync adds the records of the requested zones that the sender lacks.
func (s *State) respondToSync(in Exchange, reply *Exchange) {
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

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
