package placement

import (
	"slices"
	"time"
)

// Policy chooses among the upstreams with a free slot.
type Policy string

// Policies. The baseline policies keep every limit (cold limits, leaving
// upstreams, withdrawn zones, ejection, the VM's share of an upstream's
// slots). They omit the optimizations: expected finish time, prefix affinity,
// preference for the local zone, and the slots that long work leaves to urgent
// work.
const (
	// EarliestFinish picks the upstream with the earliest expected finish; it
	// is the default.
	EarliestFinish Policy = "finish"
	// RoundRobin picks the next upstream of the pool with a free slot.
	RoundRobin Policy = "round-robin"
	// Random picks a random upstream of the pool with a free slot.
	Random Policy = "random"
)

// pickBaseline tries as many upstreams as the pool has. The random policy
// draws each one independently, so that work that a full upstream can't run
// spreads evenly over all others. If no draw finds a free slot, it scans the
// pool once.
func (c *Core) pickBaseline(p *pool, r *Request, now time.Time) candidate {
	n := len(p.local) + len(p.remote)
	if n == 0 {
		return candidate{}
	}
	ignoreExclude := c.allExcluded(p, r, now)
	if c.cfg.Policy == Random {
		for range n {
			if b := c.tryUpstream(p.nth(c.rng.IntN(n)), p, r, ignoreExclude, now); b.u != nil {
				return b
			}
		}
	}
	from := p.nextRoundRobin
	for i := range n {
		index := (from + i) % n
		if b := c.tryUpstream(p.nth(index), p, r, ignoreExclude, now); b.u != nil {
			p.nextRoundRobin = index + 1
			return b
		}
	}
	return candidate{}
}

// tryUpstream returns the upstream as candidate if the request may run on it
// and it has a free slot.
func (c *Core) tryUpstream(u *upstream, p *pool, r *Request, ignoreExclude bool, now time.Time) candidate {
	if !ignoreExclude && slices.Contains(r.Exclude, u.name) {
		return candidate{}
	}
	ok, isCold := c.hasSlot(u, p, r, c.load(u, now), now)
	if !ok {
		return candidate{}
	}
	return candidate{u: u, cold: isCold}
}

// nth returns the upstream with index i, counting the local ones before the
// remote ones.
func (p *pool) nth(i int) *upstream {
	if i < len(p.local) {
		return p.local[i]
	}
	return p.remote[i-len(p.local)]
}
