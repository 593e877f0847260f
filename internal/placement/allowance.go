package placement

import (
	"math"
	"time"
)

// slotLimit returns how many of this VM's runs the upstream may hold now, and
// whether they count against its cold limit. load is the estimate of all VMs'
// runs there; callers pass it because one choice needs it several times.
func (c *Core) slotLimit(u *upstream, p *pool, band int, load float64, now time.Time) (n int, isCold bool) {
	if !u.acceptsWork() || u.ejection.active(now) {
		return 0, false
	}
	if u.isCold(c.cfg.WarmTTL, now) {
		return c.coldShare(u, now), true
	}
	n = c.warmShare(u, p, band, load, now)
	if u.ejection.probing {
		n = min(n, 1)
	}
	return n, false
}

// coldShare is the part of the cold limit that this VM's seats grant. Without
// a valid seat it is zero, so that the sum over all VMs never exceeds the
// limit.
func (c *Core) coldShare(u *upstream, now time.Time) int {
	// Seats belong to this VM's own zone, so a cold upstream receives no work
	// from other zones.
	if !u.local || len(c.heldSeats.Seats) == 0 || now.Add(minSeatValidity).After(c.heldSeats.NotAfter) {
		return 0
	}
	return c.cfg.ColdShare(u.doc.ColdLimit, u.name, c.heldSeats)
}

// warmShare returns this VM's share of the warm limit, which is divided
// equally between the VMs that use the upstream. If a fresh report shows spare
// slots, the VM may borrow beyond its share. It borrows only a part of them,
// since other VMs may borrow at the same time. Urgent and middle work, whose
// runs are assumed to be short, may borrow at least one spare slot. Long work
// is limited by longCredit instead.
func (c *Core) warmShare(u *upstream, p *pool, band int, load float64, now time.Time) int {
	limit := float64(u.doc.Limit)
	share := math.Ceil(limit / p.vmsPerUpstream)
	switch {
	case !u.hasFreshReport(now):
		// Only the equal share is safe without a fresh report.
	case band == bandLong && !c.cfg.NoSlotReserve:
		share = float64(u.inflight + u.longCredit)
	case band == bandMiddle && !c.cfg.NoSlotReserve:
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

// borrow is how many more runs this VM may start on an upstream that other VMs
// use too: borrowFactor times its equal share of the spare slots, but no more
// than all of them, and at least one if there are any.
func (p *pool) borrow(spare float64) float64 {
	if spare < 1 {
		return 0
	}
	return max(1, math.Floor(spare/max(1, p.vmsPerUpstream/borrowFactor)))
}

// hasFreshReport reports whether the newest load report is recent enough to
// rely on.
func (u *upstream) hasFreshReport(now time.Time) bool {
	return !u.reportedAt.IsZero() && now.Sub(u.reportedAt) < reportHalfLife
}

// updateLongCredit sets, with each report, how many long runs this VM may
// start on the upstream until the next report: its part of the spare slots
// below longThreshold, rounded at random. Without the credit, each VM could
// start a run on the same spare slot and the fleet's total could exceed the
// threshold by up to the number of VMs. Long runs last for many reports, so it
// is enough that the total converges to the threshold.
func (c *Core) updateLongCredit(u *upstream, now time.Time) {
	u.longCredit = 0
	for _, p := range u.pools(c) {
		share := max(0, c.longThreshold(u, p, now)-c.load(u, now)) / p.vmsPerUpstream
		n := int(share)
		if c.rng.Float64() < share-float64(n) {
			n++
		}
		u.longCredit = max(u.longCredit, n)
	}
}

// longThreshold is the number of all VMs' runs on the upstream below which
// long work may start there. In zones with at least minZoneSizeForReserve
// upstreams, a quarter of them accepts no long work if other work arrived
// within nonLongWindow or if the upstream has a single slot; the rest leave one
// slot free. In smaller zones each upstream leaves a quarter of its slots free.
// If no other work arrived within nonLongWindow, one free slot is enough. A
// single slot is not left free.
func (c *Core) longThreshold(u *upstream, p *pool, now time.Time) float64 {
	limit := float64(u.doc.Limit)
	switch {
	case c.cfg.NoSlotReserve:
		return limit
	case p.longLimits[u] == longNone && (p.hasRecentNonLong(now) || limit < 2):
		return 0
	case !p.hasRecentNonLong(now) || p.longLimits[u] == longAllButOne:
		return max(1, limit-1)
	default:
		return limit - float64(c.reservedSlots(p, u.doc.Limit, now))
	}
}

// middleThreshold is the number of all VMs' runs below which middle work may
// start. On upstreams without long work it leaves half of the slots to urgent
// work, which concentrates there because score favors upstreams with less load.
func (c *Core) middleThreshold(u *upstream, p *pool) float64 {
	limit := float64(u.doc.Limit)
	if p.longLimits[u] == longNone {
		return math.Ceil(limit * middleFraction)
	}
	return limit - max(1, math.Floor(limit/urgentReserveDivisor))
}

// hasRecentNonLong reports whether urgent or middle work arrived within
// nonLongWindow.
func (p *pool) hasRecentNonLong(now time.Time) bool {
	return !p.lastNonLongAt.IsZero() && now.Sub(p.lastNonLongAt) <= nonLongWindow
}

// borrowFactor is the multiple of its equal share of an upstream's spare slots
// that a VM may borrow. It is above 1, since not all VMs borrow between two
// reports.
const borrowFactor = 2

func (c *Core) rampStartSlots(u *upstream, now time.Time) float64 {
	return float64(max(minRampStart, c.coldShare(u, now)))
}

// zoneRampFactor is the fraction of its slots that an upstream may use after
// its zone returned to service.
func (c *Core) zoneRampFactor(u *upstream, now time.Time) float64 {
	r, ok := c.zoneReturns[u.zone]
	if !ok || r.ramp <= 0 {
		return 1
	}
	return min(1, max(0, float64(now.Sub(r.at))/float64(r.ramp)))
}

// hasSlot reports whether the request may start on the upstream now. Long work
// leaves slots free for urgent work, since a run that has started is not
// preempted.
func (c *Core) hasSlot(u *upstream, p *pool, r *Request, load float64, now time.Time) (ok, isCold bool) {
	n, isCold := c.slotLimit(u, p, bandOf(r), load, now)
	if u.inflight >= n || (r.Isolated && u.inflight > 0) {
		return false, isCold
	}
	if isCold && c.outlivesSeats(u, p, r, now) {
		return false, true
	}
	if bandOf(r) == bandLong && !c.cfg.NoSlotReserve {
		return isCold || u.hasFreshReport(now) || !c.longShareFull(u, p, n, now), isCold
	}
	return true, isCold
}

// longShareFull reports, for an upstream without a fresh report, whether long
// work uses its whole share of this VM's slots there or in the pool.
func (c *Core) longShareFull(u *upstream, p *pool, n int, now time.Time) bool {
	return u.longInflight >= n-c.reservedSlots(p, n, now) || p.longInflight >= p.slots-c.reservedSlots(p, p.slots, now)
}

// reservedSlots is how many of n slots, of an upstream or of the whole pool,
// long work leaves free. A single slot can't be left free.
func (c *Core) reservedSlots(p *pool, n int, now time.Time) int {
	if n < 2 {
		return 0
	}
	if !p.hasRecentNonLong(now) {
		return 1
	}
	return max(1, n/longReserveDivisor)
}

// nonLongWindow is how long the full reserve is kept after the last urgent or
// middle work arrived.
const nonLongWindow = 30 * time.Second

// outlivesSeats reports whether a run on a cold upstream would last longer
// than this VM's seats. Afterwards another VM may hold their slots.
func (c *Core) outlivesSeats(u *upstream, p *pool, r *Request, now time.Time) bool {
	remaining := c.heldSeats.NotAfter.Sub(now)
	return c.runTime(u, p, r) > remaining.Seconds()
}

// load estimates the number of all VMs' runs on the upstream. This VM's own
// runs are known. Those of other VMs are the runs in the newest report, minus
// this VM's runs at the time of the report. As the report ages, the mean over
// the upstreams replaces it. The other VMs saw the same report and have
// probably started or ended runs in the same way as this VM since then;
// vmCorrelation accounts for that. Without it, all VMs would send their work to
// the upstream that was reported idle.
func (c *Core) load(u *upstream, now time.Time) float64 {
	others := c.meanOtherRuns
	if !u.reportedAt.IsZero() {
		otherRuns := float64(max(0, u.reportedRunning+u.reportedQueued-u.ownAtReport))
		w := reportWeight(now.Sub(u.reportedAt))
		others = w*otherRuns + (1-w)*others + vmCorrelation*float64(u.inflight-u.ownAtReport)*c.correlatedVMs
	}
	return float64(u.inflight) + max(0, others)
}

// vmCorrelation is the part of this VM's own change since the report that each
// other VM is assumed to have made as well.
const vmCorrelation = 0.25

// reportWeight is the weight of a report by age: 1 at age zero, one half at
// reportHalfLife. It approximates exponential decay to first order, because it
// is computed for every candidate.
func reportWeight(age time.Duration) float64 {
	return 1 / (1 + max(0, float64(age)/float64(reportHalfLife)))
}
