package admission

import "time"

// Allocator allots the shares of all teams' limits to the VMs that report to
// it. It is pure and not safe for concurrent use.
//
// Invariant: for each team, all VMs together hold at most the limit, whoever is
// cut off from whom and whichever messages are lost, as long as known is not
// below the number of VMs that spend. It rests on these rules:
//
//   - A VM that the allocator does not hear spends at most its floor,
//     limit/known. The pool that is allotted is the floors of the settled VMs.
//   - A VM settles two TTLs after it began to report here and nowhere else:
//     another allocator counts it for one TTL after its last report there, and
//     what it lent of its floor until then lapses one TTL later.
//   - A VM whose share lapses may raise it to the floor one TTL later (see
//     Core.held). While that could happen before a share given now lapses, the
//     VM counts with its floor.
//   - What was offered and what the VM said it holds both count, since the
//     answer may be lost.
type Allocator struct {
	ttl      time.Duration
	knownVMs int
	vms      map[string]*vmState
	teams    map[string]map[string]*allotment
}

// vmState is what is known of one VM that reports here.
type vmState struct {
	reportingSince, expiresAt time.Time
	// sure is until when a team without an entry is held at the idle share.
	belowFloorUntil time.Time
}

// entry is what one VM may be spending of one team's limits.
type allotment struct {
	demand            Demand
	offeredRate       float64
	offeredConcurrent int
	// sure is until when the VM surely does not fall back to its floor.
	belowFloorUntil time.Time
}

// transit bounds the time that a report may have been on its way.
const maxReportDelay = reportInterval

// NewAllocator returns an allocator that has heard nobody yet.
func NewAllocator(ttl time.Duration) *Allocator {
	return &Allocator{ttl: ttl, knownVMs: 1, vms: map[string]*vmState{}, teams: map[string]map[string]*allotment{}}
}

// Lookup finds a team's limits; false for a team that is gone.
type Lookup func(team string) (Limits, bool)

// Handle answers one report.
func (a *Allocator) Handle(r Report, limits Lookup, now time.Time) Grant {
	a.expire(now)
	v := a.vms[r.VM]
	if v == nil {
		v = &vmState{reportingSince: now}
		a.vms[r.VM] = v
	}
	v.expiresAt = now.Add(a.ttl)
	if since := now.Add(-r.AtHome); since.After(v.reportingSince) {
		v.reportingSince = since // it reported elsewhere meanwhile
	}
	v.belowFloorUntil = a.belowFloorUntil(r.IdleFor, now)
	// The larger count is the safer one: it leaves more to VMs not heard.
	a.knownVMs = max(r.Known, len(a.vms))
	g := Grant{TTL: a.ttl}
	for _, d := range r.Teams {
		if l, ok := limits(d.Team); ok {
			g.Teams = append(g.Teams, a.allot(r.VM, d, l, now))
		}
	}
	return g
}

// sure is until when a VM whose share lasts for the given time stays below its
// floor; a VM without a share may be at it already.
func (a *Allocator) belowFloorUntil(remaining time.Duration, now time.Time) time.Time {
	if remaining <= 0 {
		return now
	}
	return now.Add(remaining + a.ttl - maxReportDelay)
}

func (a *Allocator) expire(now time.Time) {
	for name, v := range a.vms {
		if now.Before(v.expiresAt) {
			continue
		}
		delete(a.vms, name)
		for team, entries := range a.teams {
			delete(entries, name)
			if len(entries) == 0 {
				delete(a.teams, team)
			}
		}
	}
}

func (a *Allocator) settled(v *vmState, now time.Time) bool {
	return now.Sub(v.reportingSince) >= 2*a.ttl
}

func (a *Allocator) allot(vm string, d Demand, l Limits, now time.Time) Share {
	entries := a.teams[d.Team]
	if entries == nil {
		entries = map[string]*allotment{}
		a.teams[d.Team] = entries
	}
	e := entries[vm]
	if e == nil {
		e = &allotment{}
		entries[vm] = e
	}
	e.demand = d
	e.belowFloorUntil = a.belowFloorUntil(d.HeldFor, now)
	s := Share{Team: d.Team}
	if a.settled(a.vms[vm], now) {
		s.Rate, s.Running = a.settledShare(entries, vm, l, now)
	} else {
		s.Rate = min(d.HeldRate, floorRate(l, a.knownVMs))
		s.Running = min(d.HeldRunning, floorConcurrent(l, a.knownVMs))
	}
	// One request at a time is always allowed; see Core.held.
	s.Running = max(1, s.Running)
	e.offeredRate, e.offeredConcurrent = s.Rate, s.Running
	return s
}

// target is a settled VM's share: its part of the pool by demand, bounded by
// what the other settled VMs may hold.
func (a *Allocator) settledShare(entries map[string]*allotment, vm string, l Limits, now time.Time) (float64, int) {
	pool, totalWeight, reserved := amount{}, amount{}, amount{}
	for name, v := range a.vms {
		if !a.settled(v, now) {
			continue
		}
		e := entries[name]
		pool.rate += floorRate(l, a.knownVMs)
		pool.concurrent += float64(l.Running) / float64(a.knownVMs)
		totalWeight.add(demandWeight(e, l, a.knownVMs))
		if name != vm {
			reserved.add(a.maxUsage(e, v, l, now))
		}
	}
	w := demandWeight(entries[vm], l, a.knownVMs)
	rate := min(pool.rate*w.rate/totalWeight.rate, pool.rate-reserved.rate)
	concurrent := min(pool.concurrent*w.concurrent/totalWeight.concurrent, pool.concurrent-reserved.concurrent)
	return max(0, rate), int(max(0, concurrent))
}

// part is an amount of both limits.
type amount struct{ rate, concurrent float64 }

func (p *amount) add(o amount) {
	p.rate += o.rate
	p.concurrent += o.concurrent
}

// reserve is the most that a settled VM may hold before a share that is given
// now lapses.
func (a *Allocator) maxUsage(e *allotment, v *vmState, l Limits, now time.Time) amount {
	floor := amount{floorRate(l, a.knownVMs), float64(l.Running) / float64(a.knownVMs)}
	usage := amount{idleFraction * floor.rate, idleFraction * floor.concurrent}
	belowFloorUntil := v.belowFloorUntil
	if e != nil {
		d := e.demand
		usage.rate = max(usage.rate, d.HeldRate, e.offeredRate)
		usage.concurrent = max(usage.concurrent, float64(max(d.HeldRunning, e.offeredConcurrent, d.Running)))
		belowFloorUntil = e.belowFloorUntil
	}
	if belowFloorUntil.Before(now.Add(a.ttl)) {
		usage.rate = max(usage.rate, floor.rate)
		usage.concurrent = max(usage.concurrent, floor.concurrent)
	}
	return usage
}

// weight is a VM's demand with a little added, so that a VM without demand
// keeps something to begin with.
func demandWeight(e *allotment, l Limits, knownVMs int) amount {
	w := amount{idleFraction*floorRate(l, knownVMs) + 1e-9, idleFraction*float64(l.Running)/float64(knownVMs) + 1e-9}
	if e != nil {
		w.add(amount{e.demand.Rate, float64(e.demand.Peak)})
	}
	return w
}

// idleWeight is the part of its floor that a VM keeps of a team that sends it
// nothing.
const idleFraction = 0.25
