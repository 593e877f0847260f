package admission

import "time"

// Allocator allocates the shares of all teams' limits to the VMs that report to
// it. It does no I/O and is not safe for concurrent use.
//
// Invariant: for each team, the shares of all VMs together are at most the limit,
// under any partition and loss of messages, provided that knownVMs is not below
// the number of VMs that admit requests. It follows from these rules:
//
//   - A VM that does not report to the allocator uses at most its floor,
//     limit/knownVMs. The pool that is allocated is the sum of the floors of the
//     settled VMs.
//   - A VM is settled two TTLs after it started to report to this allocator only.
//     Its previous allocator counts it for one TTL after its last report there,
//     and the shares of its floor that were given to other VMs until then expire
//     one TTL later.
//   - A VM whose share expires may raise it to the floor one TTL later (see
//     Core.currentShare). If that could happen before a share granted now expires,
//     the VM counts with its floor.
//   - Both the offered share and the share that the VM reported count, because the
//     answer with the offer may be lost.
type Allocator struct {
	ttl      time.Duration
	knownVMs int
	vms      map[string]*vmState
	teams    map[string]map[string]*allotment
}

// vmState is the state of one VM that reports to this allocator.
type vmState struct {
	reportingSince, expiresAt time.Time
	// belowFloorUntil is the time until which the VM limits teams without an
	// allotment to the idle share.
	belowFloorUntil time.Time
}

// allotment is the share of one team's limits that one VM may be using.
type allotment struct {
	demand            Demand
	offeredRate       float64
	offeredConcurrent int
	// belowFloorUntil is the earliest time at which the VM may raise its share to
	// its floor.
	belowFloorUntil time.Time
}

// maxReportDelay bounds the time between the sending and the receipt of a report.
const maxReportDelay = reportInterval

// NewAllocator returns an allocator that has not received any report.
func NewAllocator(ttl time.Duration) *Allocator {
	return &Allocator{ttl: ttl, knownVMs: 1, vms: map[string]*vmState{}, teams: map[string]map[string]*allotment{}}
}

// LimitsLookup returns a team's limits, and false if the team has been removed.
type LimitsLookup func(team string) (Limits, bool)

// Handle answers one report.
func (a *Allocator) Allocate(r DemandReport, limits LimitsLookup, now time.Time) Grant {
	a.expire(now)
	v := a.vms[r.VM]
	if v == nil {
		v = &vmState{reportingSince: now}
		a.vms[r.VM] = v
	}
	v.expiresAt = now.Add(a.ttl)
	if since := now.Add(-r.SameAllocatorFor); since.After(v.reportingSince) {
		v.reportingSince = since // the VM has reported to another allocator in between
	}
	v.belowFloorUntil = a.belowFloorUntil(r.IdleShareRemaining, now)
	// The larger count is the safe one: it leaves more to VMs that do not report.
	a.knownVMs = max(r.KnownVMs, len(a.vms))
	g := Grant{TTL: a.ttl}
	for _, d := range r.Teams {
		if l, ok := limits(d.Team); ok {
			g.Teams = append(g.Teams, a.allot(r.VM, d, l, now))
		}
	}
	return g
}

// belowFloorUntil returns the time until which a VM stays below its floor, given
// the time until its share expires. A VM without a share may already use its floor.
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
	e.belowFloorUntil = a.belowFloorUntil(d.ShareRemaining, now)
	s := Share{Team: d.Team}
	if a.settled(a.vms[vm], now) {
		s.Rate, s.Concurrent = a.settledShare(entries, vm, l, now)
	} else {
		s.Rate = min(d.ShareRate, floorRate(l, a.knownVMs))
		s.Concurrent = min(d.ShareConcurrent, floorConcurrent(l, a.knownVMs))
	}
	// One request at a time is always allowed; see Core.currentShare.
	s.Concurrent = max(1, s.Concurrent)
	e.offeredRate, e.offeredConcurrent = s.Rate, s.Concurrent
	return s
}

// settledShare returns a settled VM's share of the pool. The share is proportional
// to the VM's demand and leaves the maximum usage of the other settled VMs.
func (a *Allocator) settledShare(entries map[string]*allotment, vm string, l Limits, now time.Time) (float64, int) {
	pool, totalWeight, reserved := amount{}, amount{}, amount{}
	for name, v := range a.vms {
		if !a.settled(v, now) {
			continue
		}
		e := entries[name]
		pool.rate += floorRate(l, a.knownVMs)
		pool.concurrent += float64(l.Concurrent) / float64(a.knownVMs)
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

// amount is an amount of both limits, request rate and concurrent requests.
type amount struct{ rate, concurrent float64 }

func (p *amount) add(o amount) {
	p.rate += o.rate
	p.concurrent += o.concurrent
}

// maxUsage returns the most that a settled VM may use until a share that is granted
// now expires.
func (a *Allocator) maxUsage(e *allotment, v *vmState, l Limits, now time.Time) amount {
	floor := amount{floorRate(l, a.knownVMs), float64(l.Concurrent) / float64(a.knownVMs)}
	usage := amount{idleFraction * floor.rate, idleFraction * floor.concurrent}
	belowFloorUntil := v.belowFloorUntil
	if e != nil {
		d := e.demand
		usage.rate = max(usage.rate, d.ShareRate, e.offeredRate)
		usage.concurrent = max(usage.concurrent, float64(max(d.ShareConcurrent, e.offeredConcurrent, d.InFlight)))
		belowFloorUntil = e.belowFloorUntil
	}
	if belowFloorUntil.Before(now.Add(a.ttl)) {
		usage.rate = max(usage.rate, floor.rate)
		usage.concurrent = max(usage.concurrent, floor.concurrent)
	}
	return usage
}

// demandWeight returns a VM's demand plus a small amount, so that a VM without
// demand keeps a share for its first requests.
func demandWeight(e *allotment, l Limits, knownVMs int) amount {
	w := amount{idleFraction*floorRate(l, knownVMs) + 1e-9, idleFraction*float64(l.Concurrent)/float64(knownVMs) + 1e-9}
	if e != nil {
		w.add(amount{e.demand.Rate, float64(e.demand.PeakConcurrent)})
	}
	return w
}

// idleFraction is the fraction of its floor that a VM keeps for a team that sends
// it no requests.
const idleFraction = 0.25
