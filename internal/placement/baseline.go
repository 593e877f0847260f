package placement

import (
	"slices"
	"time"
)

// Policy chooses among the upstreams that have a place.
type Policy string

// Policies. The baselines keep every limit (cold, leaving, zones taken out,
// ejection, the VM's part of an upstream's places) and drop what is a matter of
// choice: expected finish, prefix affinity, the own zone first and the places
// that long work leaves to urgent work.
const (
	// Finish takes the least expected finish; it is the default.
	EarliestFinish Policy = "finish"
	// RoundRobin takes the next upstream of the pool that has a place.
	RoundRobin Policy = "round-robin"
	// Random takes any upstream of the pool that has a place.
	Random Policy = "random"
)

// pickBaseline tries as many upstreams as the pool has: the random policy draws
// each try, so that a full upstream's work goes to all others alike, and walks
// the pool once when the draws found no place.
func (c *Core) pickBaseline(p *pool, r *Request, now time.Time) candidate {
	n := len(p.local) + len(p.remote)
	if n == 0 {
		return candidate{}
	}
	soft := c.allExcluded(p, r, now)
	if c.cfg.Policy == Random {
		for range n {
			if b := c.take(p.nth(c.rng.IntN(n)), p, r, soft, now); b.u != nil {
				return b
			}
		}
	}
	from := p.turn
	for i := range n {
		at := (from + i) % n
		if b := c.take(p.nth(at), p, r, soft, now); b.u != nil {
			p.turn = at + 1
			return b
		}
	}
	return candidate{}
}

// take returns the upstream if it may and can take the request.
func (c *Core) take(u *upstream, p *pool, r *Request, soft bool, now time.Time) candidate {
	if !soft && slices.Contains(r.Exclude, u.name) {
		return candidate{}
	}
	ok, isCold := c.free(u, p, r, c.load(u, now), now)
	if !ok {
		return candidate{}
	}
	return candidate{u: u, cold: isCold}
}

// nth counts through the local upstreams, then the remote ones.
func (p *pool) nth(i int) *upstream {
	if i < len(p.local) {
		return p.local[i]
	}
	return p.remote[i-len(p.local)]
}
