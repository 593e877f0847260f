package placement

import (
	"slices"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// drainQueuesOf grants an upstream's free slots to the requests that wait for
// it.
func (c *Core) drainQueuesOf(u *upstream, now time.Time) {
	for _, t := range u.doc.Serves {
		if p := c.pools[t]; p != nil {
			c.drainQueue(p, now)
		}
	}
}

// drainQueue grants free slots to the pinned requests and then to the head of
// each band, as long as it can be placed.
func (c *Core) drainQueue(p *pool, now time.Time) {
	for _, w := range slices.Clone(p.queue.pinned) {
		c.tryGrant(p, w, now)
	}
	for b := range bandCount {
		for w := p.queue.bands[b].head(); w != nil; w = p.queue.bands[b].head() {
			if !c.tryGrant(p, w, now) {
				break
			}
		}
	}
}

func (c *Core) tryGrant(p *pool, w *waiter, now time.Time) bool {
	best := c.pick(p, &w.req, now)
	if best.u == nil {
		return false
	}
	c.endWait(w, Grant{Waiter: w.id, Slot: c.grant(best, p, &w.req, now)})
	return true
}

func (c *Core) endWait(w *waiter, g Grant) {
	w.pool.queue.remove(w, g.Err == nil)
	delete(c.waiting, w.id)
	c.grants = append(c.grants, g)
}

// Cancel removes a waiter. It returns false if the waiter's Grant was already
// made; the slot must then be released.
func (c *Core) Cancel(id WaiterID) bool {
	w, ok := c.waiting[id]
	if !ok {
		return false
	}
	w.pool.queue.remove(w, false)
	delete(c.waiting, id)
	return true
}

// Grants returns the grants made since the last call. The slice is valid until
// the next call of any method.
func (c *Core) Grants() []Grant {
	g := c.grants
	c.grants = c.grants[:0]
	return g
}

// Tick updates the mean loads, rejects queued requests that can no longer be served
// in time, and grants the slots that have become available with time.
func (c *Core) Tick(now time.Time) {
	c.updateMeanLoads()
	for _, p := range c.pools {
		p.slots, p.freeSlots = c.countSlots(p, now)
		c.expireWaiters(p, now)
		c.drainQueue(p, now)
	}
}

// HedgeDelay is how long an urgent idempotent run of the target may take
// before a second attempt is worth its cost.
func (c *Core) HedgeDelay(target string) time.Duration {
	p := c.pools[target]
	if p == nil || p.hedgeDelay == 0 {
		return defaultHedgeDelay
	}
	return max(minHedgeDelay, time.Duration(p.hedgeDelay*float64(time.Second)))
}

// defaultHedgeDelay applies before the first measured run. minHedgeDelay is
// the shortest delay.
const (
	defaultHedgeDelay = 250 * time.Millisecond
	minHedgeDelay     = 10 * time.Millisecond
)

// countSlots counts this VM's slots in the pool and the free ones among them.
func (c *Core) countSlots(p *pool, now time.Time) (slots, free int) {
	for _, list := range [...][]*upstream{p.local, p.remote} {
		for _, u := range list {
			n, _ := c.slotLimit(u, p, bandUrgent, c.load(u, now), now)
			slots += n
			free += max(0, n-u.inflight)
		}
	}
	return slots, free
}

// Saturation is the largest saturation of any pool: the fraction of its slots
// in use, but at most the expected wait in its queue divided by maxWait.
func (c *Core) Saturation(maxWait time.Duration) float64 {
	highest := 0.0
	for _, p := range c.pools {
		if p.slots == 0 {
			continue
		}
		s := 1 - float64(p.freeSlots)/float64(p.slots)
		// The mean run time of middle work stands for all bands.
		expectedWait := time.Duration(float64(p.bandRunTime(bandMiddle)) * float64(p.queue.len()) / float64(p.slots))
		if expectedWait < maxWait {
			s = min(s, float64(expectedWait)/float64(maxWait))
		}
		highest = max(highest, s)
	}
	return highest
}

func (c *Core) expireWaiters(p *pool, now time.Time) {
	if p.queue.len() == 0 {
		return
	}
	inService := p.inService()
	p.queue.each(func(w *waiter) {
		if !now.Before(w.req.Deadline) {
			c.endWait(w, Grant{Waiter: w.id, Err: result.New(result.DeadlineExceeded, "no slot became free before the deadline").
				WithRun(result.NotRun)})
			return
		}
		unservable := !inService
		if w.req.PinnedTo != "" {
			u := c.byName[w.req.PinnedTo]
			unservable = u == nil || !u.acceptsWork() || !u.serves(p)
		}
		if unservable {
			c.endWait(w, Grant{Waiter: w.id, Err: result.New(result.NoUpstream, "no upstream of %s is in service", w.req.Target)})
		}
	})
}

// inService reports whether any upstream in this VM's subset accepts work.
func (p *pool) inService() bool {
	accepts := func(u *upstream) bool { return u.acceptsWork() }
	return slices.ContainsFunc(p.local, accepts) || slices.ContainsFunc(p.remote, accepts)
}

func (c *Core) updateMeanLoads() {
	n, others, load := 0, 0.0, 0.0
	for _, u := range c.byName {
		if !u.enabled {
			continue
		}
		n++
		otherRuns := max(0, u.reportedRunning+u.reportedQueued-u.ownAtReport)
		others += float64(otherRuns)
		load += float64(u.inflight + otherRuns)
	}
	if n > 0 {
		c.meanOtherRuns, c.meanLoad = others/float64(n), load/float64(n)
	}
}
