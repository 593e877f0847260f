package placement

import (
	"math"
	"time"
)

// places is the number of this VM's runs that the upstream may hold now, and
// whether they count against its cold limit. Load is the estimate of all VMs'
// runs there, passed on since it is needed several times a choice.
func (c *Core) slotLimit(u *upstream, p *pool, band int, load float64, now time.Time) (n int, isCold bool) {
	if !u.acceptsWork() || u.ejection.active(now) {
		return 0, false
	}
	if u.isCold(c.cfg.SuspectAfter, now) {
		return c.coldShare(u, now), true
	}
	n = c.warmShare(u, p, band, load, now)
	if u.ejection.probing {
		n = min(n, 1)
	}
	return n, false
}

// coldShare is what this VM's seats carry of the cold limit. Without a valid
// seat it is nothing: the sum over all VMs never exceeds the limit.
func (c *Core) coldShare(u *upstream, now time.Time) int {
	// The seats are those of this VM's own zone: an upstream that is cold takes
	// nothing from other zones.
	if !u.local || len(c.heldSeats.Seats) == 0 || now.Add(minSeatValidity).After(c.heldSeats.NotAfter) {
		return 0
	}
	return c.cfg.ColdShare(u.doc.ColdLimit, u.name, c.heldSeats)
}

// warmShare divides the warm limit between the VMs that deal with the
// upstream. Beyond its equal part a VM borrows from what a fresh report shows
// to be spare, a part of it only, since others may borrow at the same time;
// urgent work, which is short, at least one place. Long work lives on credit.
func (c *Core) warmShare(u *upstream, p *pool, band int, load float64, now time.Time) int {
	limit := float64(u.doc.Limit)
	share := math.Ceil(limit / p.routersPerUpstream)
	switch {
	case !u.hasFreshReport(now):
	case band == bandLong && !c.cfg.NoQueueReserve:
		share = float64(u.inflight + u.longCredit)
	case band == bandMiddle && !c.cfg.NoQueueReserve:
		share = float64(u.inflight) + p.borrow(c.middleThreshold(u, p)-load)
	default:
		share = max(share, float64(u.inflight)+p.borrow(limit-load))
	}
	if u.isEngine() {
		share = min(share, c.rampStartSlots(u, now)+u.ramp)
	}
	if f := c.zoneRampFactor(u, now); f < 1 {
		share = min(share, max(1, math.Floor(share*f)))
	}
	return int(min(share, limit))
}

// borrow is how many more runs this VM may begin on an upstream that others use
// too: its part of what is spare, at least one.
func (p *pool) borrow(spare float64) float64 {
	if spare < 1 {
		return 0
	}
	return max(1, math.Floor(spare/max(1, p.routersPerUpstream/expectedBorrowers)))
}

// fresh reports whether the newest report may be built on.
func (u *upstream) hasFreshReport(now time.Time) bool {
	return !u.reportedAt.IsZero() && now.Sub(u.reportedAt) < reportHalfLife
}

// giveCredit sets, with each report, how many long runs this VM may begin on
// the upstream until the next one: its part of what is spare below the mark,
// rounded at random. Long runs outlive many reports, so the fleet's sum settles
// at the mark instead of overshooting it by the number of VMs.
func (c *Core) updateLongCredit(u *upstream, now time.Time) {
	u.longCredit = 0
	for _, p := range u.pools(c) {
		share := max(0, c.longThreshold(u, p, now)-c.load(u, now)) / p.routersPerUpstream
		n := int(share)
		if c.rng.Float64() < share-float64(n) {
			n++
		}
		u.longCredit = max(u.longCredit, n)
	}
}

// longMark is the number of all VMs' runs on the upstream up to which long work
// may begin there. A quarter of each zone's upstreams takes none while there is
// other work; of the rest one place is left. Small pools leave a quarter of
// each upstream instead.
func (c *Core) longThreshold(u *upstream, p *pool, now time.Time) float64 {
	limit := float64(u.doc.Limit)
	switch {
	case c.cfg.NoQueueReserve:
		return limit
	case p.longLimits[u] == longNone && (p.hasRecentShortWork(now) || limit < 2):
		return 0
	case !p.hasRecentShortWork(now) || p.longLimits[u] == longAllButOne:
		return max(1, limit-1)
	default:
		return limit - float64(c.reservedSlots(p, u.doc.Limit, now))
	}
}

// middleMark is the number of all VMs' runs up to which middle work may begin.
// Where no long work goes, it leaves half to urgent work, which gathers there.
func (c *Core) middleThreshold(u *upstream, p *pool) float64 {
	limit := float64(u.doc.Limit)
	if p.longLimits[u] == longNone {
		return math.Ceil(limit * middleFraction)
	}
	return limit - max(1, math.Floor(limit/urgentReserveDivisor))
}

// shared reports whether other than long work was seen lately.
func (p *pool) hasRecentShortWork(now time.Time) bool {
	return !p.shortWorkAt.IsZero() && now.Sub(p.shortWorkAt) <= shortWorkWindow
}

// borrowers is the number of VMs that are expected to borrow spare places of
// one upstream between two reports.
const expectedBorrowers = 2

func (c *Core) rampStartSlots(u *upstream, now time.Time) float64 {
	return float64(max(minRampStart, c.coldShare(u, now)))
}

// zoneRamp is the part of its places that a returning zone's upstream has.
func (c *Core) zoneRampFactor(u *upstream, now time.Time) float64 {
	r, ok := c.zoneReturns[u.zone]
	if !ok || r.ramp <= 0 {
		return 1
	}
	return min(1, max(0, float64(now.Sub(r.at))/float64(r.ramp)))
}

// free reports whether the upstream can take the request now. Long work
// leaves places to urgent work, since a run that has begun is not stopped.
func (c *Core) hasSlot(u *upstream, p *pool, r *Request, load float64, now time.Time) (ok, isCold bool) {
	n, isCold := c.slotLimit(u, p, bandOf(r), load, now)
	if u.inflight >= n || (r.Alone && u.inflight > 0) {
		return false, isCold
	}
	if isCold && c.outlivesSeats(u, p, r, now) {
		return false, true
	}
	if bandOf(r) == bandLong && !c.cfg.NoQueueReserve {
		return isCold || u.hasFreshReport(now) || !c.longShareFull(u, p, n, now), isCold
	}
	return true, isCold
}

// longFull reports, for an upstream without a fresh report, whether long work
// has its part of this VM's places there or in the pool.
func (c *Core) longShareFull(u *upstream, p *pool, n int, now time.Time) bool {
	return u.longInflight >= n-c.reservedSlots(p, n, now) || p.longInflight >= p.slots-c.reservedSlots(p, p.slots, now)
}

// reserve is the number of n places that long work leaves free, of an upstream
// and of the whole pool: of a single place nothing can be left.
func (c *Core) reservedSlots(p *pool, n int, now time.Time) int {
	if n < 2 {
		return 0
	}
	if !p.hasRecentShortWork(now) {
		return 1
	}
	return max(1, n/longReserveDivisor)
}

// urgentMemory is how long after urgent work its whole reserve is kept.
const shortWorkWindow = 30 * time.Second

// tooLong reports whether a run on a cold upstream would outlive the seats,
// whose places another VM may hold after them.
func (c *Core) outlivesSeats(u *upstream, p *pool, r *Request, now time.Time) bool {
	remaining := c.heldSeats.NotAfter.Sub(now)
	return c.runTime(u, p, r) > remaining.Seconds()
}

// load estimates all VMs' runs on the upstream: this VM's own, which are
// known, and the others', which the newest report shows less this VM's runs
// when it was taken. With age the report fades into the pool's mean. What this
// VM has begun or ended there since the report, the others have likely done in
// part as well, since they saw the same report; without that guess all VMs
// would run to the upstream that was reported idle.
func (c *Core) load(u *upstream, now time.Time) float64 {
	others := c.meanOtherRuns
	if !u.reportedAt.IsZero() {
		seen := float64(max(0, u.reportedRunning+u.reportedQueued-u.ownAtReport))
		w := reportWeight(now.Sub(u.reportedAt))
		others = w*seen + (1-w)*others + routerCorrelation*float64(u.inflight-u.ownAtReport)*c.correlatedRouters
	}
	return float64(u.inflight) + max(0, others)
}

// likeness is how much the other VMs are expected to do alike.
const routerCorrelation = 0.25

// weightOf is 1 for a report of now and halves each reportHalfLife, to first
// order; it is called for every candidate.
func reportWeight(age time.Duration) float64 {
	return 1 / (1 + max(0, float64(age)/float64(reportHalfLife)))
}
