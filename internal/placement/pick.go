package placement

import (
	"slices"
	"time"
)

// candidate is the best upstream found so far.
type candidate struct {
	u      *upstream
	cold   bool
	cached bool
	score  float64
}

// pick chooses the upstream with the least expected finish among a few drawn
// ones, the holders of the prompt's prefix and the preferred one. It allocates
// nothing. A nil upstream means that none has a place.
func (c *Core) pick(p *pool, r *Request, now time.Time) candidate {
	if r.Only != "" {
		return c.pickOnly(p, r, now)
	}
	var best candidate
	if u := c.byName[r.Prefer]; r.Prefer != "" && u != nil && u.serves(p) {
		if ok, isCold := c.free(u, p, r, c.load(u, now), now); ok {
			return candidate{u: u, cold: isCold}
		}
	}
	if c.cfg.Policy != EarliestFinish {
		return c.pickBaseline(p, r, now)
	}
	soft := c.allExcluded(p, r, now)
	if bandOf(r) == bandLong && !c.cfg.NoQueueReserve {
		return c.pickLong(p, r, soft, now)
	}
	hold := c.known.holders(r.PrefixHash)
	if c.cfg.NoAffinity {
		hold = holders{}
	}
	for _, u := range hold {
		if u != nil && u.serves(p) {
			c.consider(&best, u, p, r, hold, soft, now)
		}
	}
	draws := localCandidates
	if bandOf(r) == bandUrgent {
		draws = urgentCandidates
	}
	c.draw(&best, p.local, draws, p, r, hold, soft, now)
	if best.u == nil || c.load(best.u, now) >= spillLoad*float64(best.u.doc.Limit) {
		c.draw(&best, p.remote, remoteCandidates, p, r, hold, soft, now)
	}
	if best.u == nil {
		// No drawn one has a place: look at all, from a random one on.
		c.draw(&best, p.local, len(p.local), p, r, hold, soft, now)
	}
	if best.u == nil {
		c.draw(&best, p.remote, len(p.remote), p, r, hold, soft, now)
	}
	return best
}

// pickLong takes the first upstream of the common order that has a place for
// long work.
func (c *Core) pickLong(p *pool, r *Request, soft bool, now time.Time) candidate {
	for _, u := range p.longOrder {
		if !soft && slices.Contains(r.Exclude, u.name) {
			continue
		}
		if ok, isCold := c.free(u, p, r, c.load(u, now), now); ok {
			return candidate{u: u, cold: isCold}
		}
	}
	return candidate{}
}

// serves reports whether the upstream belongs to the pool.
func (u *upstream) serves(p *pool) bool { return !u.gone && slices.Contains(u.doc.Serves, p.target) }

func (c *Core) pickOnly(p *pool, r *Request, now time.Time) candidate {
	u := c.byName[r.Only]
	if u == nil || !u.serves(p) {
		return candidate{}
	}
	ok, isCold := c.free(u, p, r, c.load(u, now), now)
	if !ok {
		return candidate{}
	}
	return candidate{u: u, cold: isCold}
}

// allExcluded reports whether every upstream in service is excluded; then
// exclusion is lifted, since a second try beats a refusal.
func (c *Core) allExcluded(p *pool, r *Request, now time.Time) bool {
	if len(r.Exclude) == 0 {
		return false
	}
	for _, u := range p.all {
		if u.takes && !u.eject.out(now) && !slices.Contains(r.Exclude, u.name) {
			return false
		}
	}
	return true
}

// draw considers n upstreams of the list, from a random one on. With n below
// the list's length every draw is random.
func (c *Core) draw(best *candidate, list []*upstream, n int, p *pool, r *Request, hold holders, soft bool, now time.Time) {
	if len(list) == 0 {
		return
	}
	if n >= len(list) {
		from := c.rng.IntN(len(list))
		for i := range list {
			c.consider(best, list[(from+i)%len(list)], p, r, hold, soft, now)
		}
		return
	}
	for range n {
		c.consider(best, list[c.rng.IntN(len(list))], p, r, hold, soft, now)
	}
}

func (c *Core) consider(best *candidate, u *upstream, p *pool, r *Request, hold holders, soft bool, now time.Time) {
	if best.u == u || (!soft && slices.Contains(r.Exclude, u.name)) {
		return
	}
	load := c.load(u, now)
	ok, isCold := c.free(u, p, r, load, now)
	if !ok {
		return
	}
	cached := (hold[0] == u || hold[1] == u) && load <= affinityLoad*c.meanLoad+1
	score := c.score(u, p, r, load, cached, isCold)
	if best.u == nil || score < best.score {
		*best = candidate{u: u, cold: isCold, cached: cached, score: score}
	}
}

// score is the expected time to the whole answer, in seconds.
func (c *Core) score(u *upstream, p *pool, r *Request, load float64, cached, isCold bool) float64 {
	load /= float64(max(1, u.doc.Limit))
	run := c.runTime(u, p, r)
	if u.engine() {
		prefill := float64(r.PromptTokens) * prefillPerToken.Seconds()
		if cached {
			prefill *= cachedPrefill
		}
		run += prefill
	}
	s := run * (1 + load)
	if load > 1 {
		s += (load - 1) * p.serviceTime(bandOf(r)).Seconds()
	}
	if !u.local {
		s += c.cfg.ZonePenalty.Seconds()
	}
	if isCold {
		s *= coldFactor
	}
	return s * (1 + float64(u.eject.failures))
}

// coldFactor is how much slower a cold upstream is expected to be.
const coldFactor = 3

// runTime is the expected time of the run alone, in seconds.
func (c *Core) runTime(u *upstream, p *pool, r *Request) float64 {
	if u.perToken > 0 && r.MaxTokens > 0 {
		return u.firstToken + u.perToken*float64(r.MaxTokens)
	}
	return p.serviceTime(bandOf(r)).Seconds() * u.speed()
}
