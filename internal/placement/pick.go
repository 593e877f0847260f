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

// pick returns the upstream named by r.PinnedTo or, if it has a free slot, by
// r.Prefer. Otherwise the policy chooses. With EarliestFinish, long work gets
// the first upstream of longOrder with a free slot, and other work the one with
// the lowest score among a random sample and the holders of the prompt's
// prefix. pick allocates nothing. A candidate without an upstream means that
// none has a free slot.
func (c *Core) pick(p *pool, r *Request, now time.Time) candidate {
	if r.PinnedTo != "" {
		return c.pickPinned(p, r, now)
	}
	var best candidate
	if u := c.byName[r.Prefer]; r.Prefer != "" && u != nil && u.serves(p) {
		if ok, isCold := c.hasSlot(u, p, r, c.load(u, now), now); ok {
			return candidate{u: u, cold: isCold}
		}
	}
	if c.cfg.Policy != EarliestFinish {
		return c.pickBaseline(p, r, now)
	}
	ignoreExclude := c.allExcluded(p, r, now)
	if bandOf(r) == bandLong && !c.cfg.NoSlotReserve {
		return c.pickLong(p, r, ignoreExclude, now)
	}
	holders := c.prefixes.holders(r.PrefixHash)
	if c.cfg.NoAffinity {
		holders = prefixHolders{}
	}
	for _, u := range holders {
		if u != nil && u.serves(p) {
			c.consider(&best, u, p, r, holders, ignoreExclude, now)
		}
	}
	draws := localCandidates
	if bandOf(r) == bandUrgent {
		draws = urgentCandidates
	}
	c.sample(&best, p.local, draws, p, r, holders, ignoreExclude, now)
	if best.u == nil || c.load(best.u, now) >= spillThreshold*float64(best.u.doc.Limit) {
		c.sample(&best, p.remote, remoteCandidates, p, r, holders, ignoreExclude, now)
	}
	if best.u == nil {
		// No sampled upstream has a free slot: consider all of them.
		c.sample(&best, p.local, len(p.local), p, r, holders, ignoreExclude, now)
	}
	if best.u == nil {
		c.sample(&best, p.remote, len(p.remote), p, r, holders, ignoreExclude, now)
	}
	return best
}

// pickLong returns the first upstream in longOrder with a free slot for long
// work.
func (c *Core) pickLong(p *pool, r *Request, ignoreExclude bool, now time.Time) candidate {
	for _, u := range p.longOrder {
		if !ignoreExclude && slices.Contains(r.Exclude, u.name) {
			continue
		}
		if ok, isCold := c.hasSlot(u, p, r, c.load(u, now), now); ok {
			return candidate{u: u, cold: isCold}
		}
	}
	return candidate{}
}

// serves reports whether the upstream belongs to the pool.
func (u *upstream) serves(p *pool) bool { return !u.removed && slices.Contains(u.doc.Serves, p.target) }

func (c *Core) pickPinned(p *pool, r *Request, now time.Time) candidate {
	u := c.byName[r.PinnedTo]
	if u == nil || !u.serves(p) {
		return candidate{}
	}
	ok, isCold := c.hasSlot(u, p, r, c.load(u, now), now)
	if !ok {
		return candidate{}
	}
	return candidate{u: u, cold: isCold}
}

// allExcluded reports whether every enabled upstream that is not ejected is
// excluded. The exclusion is lifted then, since a second attempt is better than
// a rejection.
func (c *Core) allExcluded(p *pool, r *Request, now time.Time) bool {
	if len(r.Exclude) == 0 {
		return false
	}
	for _, u := range p.all {
		if u.enabled && !u.ejection.active(now) && !slices.Contains(r.Exclude, u.name) {
			return false
		}
	}
	return true
}

// sample considers n upstreams of the list, drawn at random with replacement.
// If n is at least the list's length, it considers each upstream once, from a
// random start.
func (c *Core) sample(best *candidate, list []*upstream, n int, p *pool, r *Request, holders prefixHolders, ignoreExclude bool, now time.Time) {
	if len(list) == 0 {
		return
	}
	if n >= len(list) {
		from := c.rng.IntN(len(list))
		for i := range list {
			c.consider(best, list[(from+i)%len(list)], p, r, holders, ignoreExclude, now)
		}
		return
	}
	for range n {
		c.consider(best, list[c.rng.IntN(len(list))], p, r, holders, ignoreExclude, now)
	}
}

func (c *Core) consider(best *candidate, u *upstream, p *pool, r *Request, holders prefixHolders, ignoreExclude bool, now time.Time) {
	if best.u == u || (!ignoreExclude && slices.Contains(r.Exclude, u.name)) {
		return
	}
	load := c.load(u, now)
	ok, isCold := c.hasSlot(u, p, r, load, now)
	if !ok {
		return
	}
	cached := (holders[0] == u || holders[1] == u) && load <= maxAffinityLoad*c.meanLoad+1
	score := c.score(u, p, r, load, cached, isCold)
	if best.u == nil || score < best.score {
		*best = candidate{u: u, cold: isCold, cached: cached, score: score}
	}
}

// score estimates the time to the complete response, in seconds, increased for
// load, another zone, a cold start and recent failures. Lower is better.
func (c *Core) score(u *upstream, p *pool, r *Request, load float64, cached, isCold bool) float64 {
	load /= float64(max(1, u.doc.Limit))
	run := c.runTime(u, p, r)
	if u.isEngine() {
		prefill := float64(r.PromptTokens) * prefillPerToken.Seconds()
		if cached {
			prefill *= cachedPrefillFactor
		}
		run += prefill
	}
	s := run * (1 + load)
	if load > 1 {
		s += (load - 1) * p.bandRunTime(bandOf(r)).Seconds()
	}
	if !u.local {
		s += c.cfg.ZonePenalty.Seconds()
	}
	if isCold {
		s *= coldSlowdown
	}
	return s * (1 + float64(u.ejection.consecutiveFailures))
}

// coldSlowdown is how many times slower a cold upstream is expected to be.
const coldSlowdown = 3

// runTime is the expected time from dispatch to the end of the run, in seconds.
// It includes the average time to the first token; score adds the prefill time
// of the request's own prompt.
func (c *Core) runTime(u *upstream, p *pool, r *Request) float64 {
	if u.meanPerToken > 0 && r.MaxTokens > 0 {
		return u.meanFirstToken + u.meanPerToken*float64(r.MaxTokens)
	}
	return p.bandRunTime(bandOf(r)).Seconds() * u.boundedSlowdown()
}
