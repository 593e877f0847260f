package placement

import (
	"math"
	"time"
)

// places is the number of this VM's runs that the upstream may hold now, and
// whether they count against its cold limit. Load is the estimate of all VMs'
// runs there, passed on since it is needed several times a choice.
func (c *Core) places(u *upstream, p *pool, band int, load float64, now time.Time) (n int, isCold bool) {
	if !u.takesWork() || u.eject.out(now) {
		return 0, false
	}
	if u.isCold(c.cfg.WarmTTL, now) {
		return c.coldShare(u, now), true
	}
	n = c.warmShare(u, p, band, load, now)
	if u.eject.probing {
		n = min(n, 1)
	}
	return n, false
}

// coldShare is what this VM's seats carry of the cold limit. Without a valid
// seat it is nothing: the sum over all VMs never exceeds the limit.
func (c *Core) coldShare(u *upstream, now time.Time) int {
	// The seats are those of this VM's own zone: an upstream that is cold takes
	// nothing from other zones.
	if !u.local || len(c.held.Seats) == 0 || now.Add(minColdTime).After(c.held.NotAfter) {
		return 0
	}
	return c.cfg.ColdShare(u.doc.ColdLimit, u.name, c.held)
}

// warmShare divides the warm limit between the VMs that deal with the
// upstream. Beyond its equal part a VM borrows from what a fresh report shows
// to be spare, a part of it only, since others may borrow at the same time;
// urgent work, which is short, at least one place. Long work lives on credit.
func (c *Core) warmShare(u *upstream, p *pool, band int, load float64, now time.Time) int {
	limit := float64(u.doc.Limit)
	part := math.Ceil(limit / p.routers)
	switch {
	case !u.fresh(now):
	case band == bandLong && !c.cfg.NoQueueReserve:
		part = float64(u.inflight + u.credit)
	case band == bandMiddle && !c.cfg.NoQueueReserve:
		part = float64(u.inflight) + p.borrow(c.middleMark(u, p)-load)
	default:
		part = max(part, float64(u.inflight)+p.borrow(limit-load))
	}
	if u.engine() {
		part = min(part, c.rampStart(u, now)+u.ramp)
	}
	if f := c.zoneRamp(u, now); f < 1 {
		part = min(part, max(1, math.Floor(part*f)))
	}
	return int(min(part, limit))
}

// borrow is how many more runs this VM may begin on an upstream that others use
// too: its part of what is spare, at least one.
func (p *pool) borrow(spare float64) float64 {
	if spare < 1 {
		return 0
	}
	return max(1, math.Floor(spare/max(1, p.routers/borrowers)))
}

// fresh reports whether the newest report may be built on.
func (u *upstream) fresh(now time.Time) bool {
	return !u.reported.IsZero() && now.Sub(u.reported) < reportHalfLife
}

// giveCredit sets, with each report, how many long runs this VM may begin on
// the upstream until the next one: its part of what is spare below the mark,
// rounded at random. Long runs outlive many reports, so the fleet's sum settles
// at the mark instead of overshooting it by the number of VMs.
func (c *Core) giveCredit(u *upstream, now time.Time) {
	u.credit = 0
	for _, p := range u.pools(c) {
		part := max(0, c.longMark(u, p, now)-c.load(u, now)) / p.routers
		n := int(part)
		if c.rng.Float64() < part-float64(n) {
			n++
		}
		u.credit = max(u.credit, n)
	}
}

// longMark is the number of all VMs' runs on the upstream up to which long work
// may begin there. A quarter of each zone's upstreams takes none while there is
// other work; of the rest one place is left. Small pools leave a quarter of
// each upstream instead.
func (c *Core) longMark(u *upstream, p *pool, now time.Time) float64 {
	limit := float64(u.doc.Limit)
	switch {
	case c.cfg.NoQueueReserve:
		return limit
	case p.longHere[u] == longNone && (p.shared(now) || limit < 2):
		return 0
	case !p.shared(now) || p.longHere[u] == longAll:
		return max(1, limit-1)
	default:
		return limit - float64(c.reserve(p, u.doc.Limit, now))
	}
}

// middleMark is the number of all VMs' runs up to which middle work may begin.
// Where no long work goes, it leaves half to urgent work, which gathers there.
func (c *Core) middleMark(u *upstream, p *pool) float64 {
	limit := float64(u.doc.Limit)
	if p.longHere[u] == longNone {
		return math.Ceil(limit * middlePart)
	}
	return limit - max(1, math.Floor(limit/urgentPart))
}

// shared reports whether other than long work was seen lately.
func (p *pool) shared(now time.Time) bool {
	return !p.urgentAt.IsZero() && now.Sub(p.urgentAt) <= urgentMemory
}

// borrowers is the number of VMs that are expected to borrow spare places of
// one upstream between two reports.
const borrowers = 2

func (c *Core) rampStart(u *upstream, now time.Time) float64 {
	return float64(max(rampStart, c.coldShare(u, now)))
}

// zoneRamp is the part of its places that a returning zone's upstream has.
func (c *Core) zoneRamp(u *upstream, now time.Time) float64 {
	r, ok := c.returned[u.zone]
	if !ok || r.ramp <= 0 {
		return 1
	}
	return min(1, max(0, float64(now.Sub(r.at))/float64(r.ramp)))
}

// free reports whether the upstream can take the request now. Long work
// leaves places to urgent work, since a run that has begun is not stopped.
func (c *Core) free(u *upstream, p *pool, r *Request, load float64, now time.Time) (ok, isCold bool) {
	n, isCold := c.places(u, p, bandOf(r), load, now)
	if u.inflight >= n || (r.Isolated && u.inflight > 0) {
		return false, isCold
	}
	if isCold && c.tooLong(u, p, r, now) {
		return false, true
	}
	if bandOf(r) == bandLong && !c.cfg.NoQueueReserve {
		return isCold || u.fresh(now) || !c.longFull(u, p, n, now), isCold
	}
	return true, isCold
}

// longFull reports, for an upstream without a fresh report, whether long work
// has its part of this VM's places there or in the pool.
func (c *Core) longFull(u *upstream, p *pool, n int, now time.Time) bool {
	return u.low >= n-c.reserve(p, n, now) || p.long >= p.places-c.reserve(p, p.places, now)
}

// reserve is the number of n places that long work leaves free, of an upstream
// and of the whole pool: of a single place nothing can be left.
func (c *Core) reserve(p *pool, n int, now time.Time) int {
	if n < 2 {
		return 0
	}
	if !p.shared(now) {
		return 1
	}
	return max(1, n/reservePart)
}

// urgentMemory is how long after urgent work its whole reserve is kept.
const urgentMemory = 30 * time.Second

// tooLong reports whether a run on a cold upstream would outlive the seats,
// whose places another VM may hold after them.
func (c *Core) tooLong(u *upstream, p *pool, r *Request, now time.Time) bool {
	left := c.held.NotAfter.Sub(now)
	return c.runTime(u, p, r) > left.Seconds()
}

// load estimates all VMs' runs on the upstream: this VM's own, which are
// known, and the others', which the newest report shows less this VM's runs
// when it was taken. With age the report fades into the pool's mean. What this
// VM has begun or ended there since the report, the others have likely done in
// part as well, since they saw the same report; without that guess all VMs
// would run to the upstream that was reported idle.
func (c *Core) load(u *upstream, now time.Time) float64 {
	others := c.meanOthers
	if !u.reported.IsZero() {
		seen := float64(max(0, u.running+u.queued-u.ownThen))
		w := weightOf(now.Sub(u.reported))
		others = w*seen + (1-w)*others + likeness*float64(u.inflight-u.ownThen)*c.otherRouters
	}
	return float64(u.inflight) + max(0, others)
}

// likeness is how much the other VMs are expected to do alike.
const likeness = 0.25

// weightOf is 1 for a report of now and halves each reportHalfLife, to first
// order; it is called for every candidate.
func weightOf(age time.Duration) float64 {
	return 1 / (1 + max(0, float64(age)/float64(reportHalfLife)))
}
