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
	ttl   time.Duration
	known int
	vms   map[string]*vmState
	teams map[string]map[string]*entry
}

// vmState is what is known of one VM that reports here.
type vmState struct {
	joined, until time.Time
	// sure is until when a team without an entry is held at the idle share.
	sure time.Time
}

// entry is what one VM may be spending of one team's limits.
type entry struct {
	demand         Demand
	offeredRate    float64
	offeredRunning int
	// sure is until when the VM surely does not fall back to its floor.
	sure time.Time
}

// transit bounds the time that a report may have been on its way.
const transit = reportPeriod

// NewAllocator returns an allocator that has heard nobody yet.
func NewAllocator(ttl time.Duration) *Allocator {
	return &Allocator{ttl: ttl, known: 1, vms: map[string]*vmState{}, teams: map[string]map[string]*entry{}}
}

// Lookup finds a team's limits; false for a team that is gone.
type LimitsLookup func(team string) (Limits, bool)

// Handle answers one report.
func (a *Allocator) Handle(r Report, limits LimitsLookup, now time.Time) Grant {
	a.expire(now)
	v := a.vms[r.VM]
	if v == nil {
		v = &vmState{joined: now}
		a.vms[r.VM] = v
	}
	v.until = now.Add(a.ttl)
	if since := now.Add(-r.SameAllocatorFor); since.After(v.joined) {
		v.joined = since // it reported elsewhere meanwhile
	}
	v.sure = a.sure(r.IdleShareRemaining, now)
	// The larger count is the safer one: it leaves more to VMs not heard.
	a.known = max(r.KnownVMs, len(a.vms))
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
func (a *Allocator) sure(left time.Duration, now time.Time) time.Time {
	if left <= 0 {
		return now
	}
	return now.Add(left + a.ttl - transit)
}

func (a *Allocator) expire(now time.Time) {
	for name, v := range a.vms {
		if now.Before(v.until) {
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

func (a *Allocator) settled(v *vmState, now time.Time) bool { return now.Sub(v.joined) >= 2*a.ttl }

func (a *Allocator) allot(vm string, d Demand, l Limits, now time.Time) Share {
	entries := a.teams[d.Team]
	if entries == nil {
		entries = map[string]*entry{}
		a.teams[d.Team] = entries
	}
	e := entries[vm]
	if e == nil {
		e = &entry{}
		entries[vm] = e
	}
	e.demand = d
	e.sure = a.sure(d.ShareRemaining, now)
	s := Share{Team: d.Team}
	if a.settled(a.vms[vm], now) {
		s.Rate, s.Concurrent = a.target(entries, vm, l, now)
	} else {
		s.Rate = min(d.ShareRate, floorRate(l, a.known))
		s.Concurrent = min(d.ShareConcurrent, floorRunning(l, a.known))
	}
	// One request at a time is always allowed; see Core.held.
	s.Concurrent = max(1, s.Concurrent)
	e.offeredRate, e.offeredRunning = s.Rate, s.Concurrent
	return s
}

// target is a settled VM's share: its part of the pool by demand, bounded by
// what the other settled VMs may hold.
func (a *Allocator) target(entries map[string]*entry, vm string, l Limits, now time.Time) (float64, int) {
	pool, sum, others := part{}, part{}, part{}
	for name, v := range a.vms {
		if !a.settled(v, now) {
			continue
		}
		e := entries[name]
		pool.rate += floorRate(l, a.known)
		pool.running += float64(l.Concurrent) / float64(a.known)
		sum.add(weight(e, l, a.known))
		if name != vm {
			others.add(a.reserve(e, v, l, now))
		}
	}
	w := weight(entries[vm], l, a.known)
	rate := min(pool.rate*w.rate/sum.rate, pool.rate-others.rate)
	running := min(pool.running*w.running/sum.running, pool.running-others.running)
	return max(0, rate), int(max(0, running))
}

// part is an amount of both limits.
type part struct{ rate, running float64 }

func (p *part) add(o part) {
	p.rate += o.rate
	p.running += o.running
}

// reserve is the most that a settled VM may hold before a share that is given
// now lapses.
func (a *Allocator) reserve(e *entry, v *vmState, l Limits, now time.Time) part {
	floor := part{floorRate(l, a.known), float64(l.Concurrent) / float64(a.known)}
	r := part{idleWeight * floor.rate, idleWeight * floor.running}
	sure := v.sure
	if e != nil {
		d := e.demand
		r.rate = max(r.rate, d.ShareRate, e.offeredRate)
		r.running = max(r.running, float64(max(d.ShareConcurrent, e.offeredRunning, d.InFlight)))
		sure = e.sure
	}
	if sure.Before(now.Add(a.ttl)) {
		r.rate = max(r.rate, floor.rate)
		r.running = max(r.running, floor.running)
	}
	return r
}

// weight is a VM's demand with a little added, so that a VM without demand
// keeps something to begin with.
func weight(e *entry, l Limits, known int) part {
	w := part{idleWeight*floorRate(l, known) + 1e-9, idleWeight*float64(l.Concurrent)/float64(known) + 1e-9}
	if e != nil {
		w.add(part{e.demand.Rate, float64(e.demand.PeakConcurrent)})
	}
	return w
}

// idleWeight is the part of its floor that a VM keeps of a team that sends it
// nothing.
const idleWeight = 0.25
