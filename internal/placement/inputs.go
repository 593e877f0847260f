package placement

import (
	"slices"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/seats"
)

// SetIndex applies a document. Whoever waits is looked at again: for the
// upstreams that are still there, or refused.
func (c *Core) SetIndex(idx *document.Index, now time.Time) {
	old := c.idx
	c.idx = idx
	for _, u := range c.byName {
		u.takes, u.gone = false, true
	}
	for _, p := range c.pools {
		p.all = p.all[:0]
	}
	for i := range idx.Document().Upstreams {
		c.addUpstream(&idx.Document().Upstreams[i])
	}
	c.noteReturns(old, idx, now)
	for name, u := range c.byName {
		if u.gone && u.inflight == 0 {
			c.known.forget(u)
			delete(c.byName, name)
		}
	}
	for _, p := range c.pools {
		c.assign(p)
	}
	c.Tick(now)
	for t, p := range c.pools {
		if len(p.all) == 0 && p.queue.len() == 0 {
			delete(c.pools, t)
		}
	}
}

// SetLeaving applies the addresses of upstreams that leave by the platform's
// list. What the list lacks may still leave by other signs.
func (c *Core) SetLeaving(addresses []string, now time.Time) {
	c.leaving = addresses
	for _, u := range c.byName {
		u.listed = slices.Contains(addresses, u.doc.Address)
	}
	c.Tick(now)
}

func (c *Core) addUpstream(d *document.Upstream) {
	u := c.byName[d.Name]
	if u == nil || u.doc.Address != d.Address {
		// Another address is another upstream: nothing is known of it. Runs on
		// the old one end on their tickets.
		u = &upstream{name: d.Name}
		c.byName[d.Name] = u
	}
	u.doc, u.zone = d, d.Zone
	u.local = d.Zone == c.cfg.Zone
	u.listed = slices.Contains(c.leaving, d.Address)
	u.gone = false
	u.takes = c.idx.TakesNewWork(d)
	for _, t := range d.Serves {
		p := c.pools[t]
		if p == nil {
			p = &pool{target: t}
			c.pools[t] = p
		}
		p.all = append(p.all, u)
	}
}

// noteReturns begins the ramp of zones that came back into service. Their
// engines count as unknown, since nothing was sent to them for a while.
func (c *Core) noteReturns(old, idx *document.Index, now time.Time) {
	if old == nil {
		return
	}
	for i := range idx.Document().Zones {
		z := &idx.Document().Zones[i]
		if z.TakenOut {
			delete(c.returned, z.Name)
			continue
		}
		if was, ok := old.Zone(z.Name); !ok || !was.TakenOut {
			continue
		}
		c.returned[z.Name] = zoneReturn{at: now, ramp: z.Ramp.D()}
		for _, u := range c.byName {
			if u.zone == z.Name && !u.gone && u.engine() {
				u.doubt(unknown, now)
			}
		}
	}
}

// SetSeats applies the seats that this VM holds.
func (c *Core) SetSeats(h seats.Held, now time.Time) {
	c.held = h
	c.Tick(now)
}

// SetFleet sets the number of routers that deal with the upstreams.
func (c *Core) SetRouterCount(total int) {
	c.routersTotal = max(1, total)
	c.otherRouters = float64(min(c.routersTotal-1, maxAlike))
	for _, p := range c.pools {
		c.assign(p)
	}
}

// maxAlike bounds the number of VMs that are thought to act alike.
const maxAlike = 8

// Observe applies a load report.
func (c *Core) Observe(r LoadReport, now time.Time) {
	u := c.byName[r.Upstream]
	if u == nil {
		return
	}
	before := u.incarnation
	u.observe(r, now)
	c.giveCredit(u, now)
	if before != "" && u.incarnation != before {
		c.known.forget(u)
	}
	c.serve(u, now)
}

// CacheEvents applies cache events of an upstream.
func (c *Core) CacheEvents(name string, events []CacheEvent) {
	if u := c.byName[name]; u != nil {
		c.known.events(u, events)
	}
}
