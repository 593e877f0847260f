package placement

import (
	"slices"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/seats"
)

// SetIndex applies a document and reevaluates the queued requests: they keep
// waiting for the upstreams that remain, or are rejected.
func (c *Core) SetIndex(idx *document.Index, now time.Time) {
	old := c.idx
	c.idx = idx
	for _, u := range c.byName {
		u.enabled, u.removed = false, true
	}
	for _, p := range c.pools {
		p.all = p.all[:0]
	}
	for i := range idx.Document().Upstreams {
		c.addUpstream(&idx.Document().Upstreams[i])
	}
	c.startZoneRamps(old, idx, now)
	for name, u := range c.byName {
		if u.removed && u.inflight == 0 {
			c.prefixes.removeUpstream(u)
			delete(c.byName, name)
		}
	}
	for _, p := range c.pools {
		c.assignSubset(p)
	}
	c.Tick(now)
	for t, p := range c.pools {
		if len(p.all) == 0 && p.queue.len() == 0 {
			delete(c.pools, t)
		}
	}
}

// SetLeaving applies the addresses of the upstreams that the platform lists as
// leaving. An upstream that is not listed may still be leaving according to
// the document or its own reports.
func (c *Core) SetLeaving(addresses []string, now time.Time) {
	c.leavingAddresses = addresses
	for _, u := range c.byName {
		u.listedLeaving = slices.Contains(addresses, u.doc.Address)
	}
	c.Tick(now)
}

func (c *Core) addUpstream(d *document.Upstream) {
	u := c.byName[d.Name]
	if u == nil || u.doc.Address != d.Address {
		// A new address means a different upstream, which starts without
		// state. Runs on the old one are released through their reservations.
		u = &upstream{name: d.Name}
		c.byName[d.Name] = u
	}
	u.doc, u.zone = d, d.Zone
	u.local = d.Zone == c.cfg.Zone
	u.listedLeaving = slices.Contains(c.leavingAddresses, d.Address)
	u.removed = false
	u.enabled = c.idx.AcceptsNewRequests(d)
	for _, t := range d.Serves {
		p := c.pools[t]
		if p == nil {
			p = &pool{target: t}
			c.pools[t] = p
		}
		p.all = append(p.all, u)
	}
}

// startZoneRamps starts the ramp of zones that returned to service. Their
// engines become unknown, because they have received no work for a while.
func (c *Core) startZoneRamps(old, idx *document.Index, now time.Time) {
	if old == nil {
		return
	}
	for i := range idx.Document().Zones {
		z := &idx.Document().Zones[i]
		if z.Withdrawn {
			delete(c.zoneReturns, z.Name)
			continue
		}
		if oldZone, ok := old.Zone(z.Name); !ok || !oldZone.Withdrawn {
			continue
		}
		c.zoneReturns[z.Name] = zoneReturn{at: now, ramp: z.Ramp.D()}
		for _, u := range c.byName {
			if u.zone == z.Name && !u.removed && u.isEngine() {
				u.markNotWarm(warmthUnknown, now)
			}
		}
	}
}

// SetSeats applies the seats that this VM holds.
func (c *Core) SetSeats(h seats.Held, now time.Time) {
	c.heldSeats = h
	c.Tick(now)
}

// SetVMCount sets the number of VMs that use the upstreams.
func (c *Core) SetVMCount(total int) {
	c.vmCount = max(1, total)
	c.correlatedVMs = float64(min(c.vmCount-1, maxCorrelatedVMs))
	for _, p := range c.pools {
		c.assignSubset(p)
	}
}

// maxCorrelatedVMs bounds the number of VMs that are assumed to react like
// this one.
const maxCorrelatedVMs = 8

// Observe applies a load report.
func (c *Core) Observe(r LoadReport, now time.Time) {
	u := c.byName[r.Upstream]
	if u == nil {
		return
	}
	before := u.incarnation
	u.applyReport(r, now)
	c.updateLongCredit(u, now)
	if before != "" && u.incarnation != before {
		c.prefixes.removeUpstream(u)
	}
	c.drainQueuesOf(u, now)
}

// CacheEvents applies cache events of an upstream.
func (c *Core) CacheEvents(name string, events []CacheEvent) {
	if u := c.byName[name]; u != nil {
		c.prefixes.applyEvents(u, events)
	}
}
