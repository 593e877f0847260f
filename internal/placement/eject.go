package placement

import "time"

// ejection is the outlier-detection state of one upstream.
type ejection struct {
	consecutiveFailures int
	// consecutiveEjections counts the ejections since the last complete
	// response.
	consecutiveEjections int
	until                time.Time
	// probing is true from an ejection until the first complete response;
	// meanwhile only one run at a time is allowed.
	probing bool
}

// active reports whether the upstream is ejected now.
func (e *ejection) active(now time.Time) bool { return now.Before(e.until) }

func isFailure(end End) bool {
	switch end {
	case EndReset, EndUnreachable, EndInvalid, EndStalled, EndStatus:
		return true
	}
	return false
}

// recordFailure records a failed request and reports whether the failure counts
// against the upstream. A request that failed on two upstreams is probably
// itself the cause, so its failures count against neither: the failure on the
// first upstream is subtracted again.
func (c *Core) recordFailure(request string, u *upstream) bool {
	first, ok := c.firstFailures.Get(request)
	if !ok {
		c.firstFailures.Add(request, u.name)
		return true
	}
	if first == u.name {
		return true
	}
	if f := c.byName[first]; f != nil && f.ejection.consecutiveFailures > 0 {
		f.ejection.consecutiveFailures--
	}
	return false
}

// updateEjection updates the ejection state after a run.
func (c *Core) updateEjection(request string, u *upstream, end End, now time.Time) {
	e := &u.ejection
	if end == EndOK {
		e.consecutiveFailures = 0
		if e.probing {
			e.probing, e.consecutiveEjections = false, 0
		}
		return
	}
	if !isFailure(end) || !c.recordFailure(request, u) {
		return
	}
	e.consecutiveFailures++
	if !e.probing && e.consecutiveFailures < ejectionThreshold {
		return
	}
	if !c.mayEject(u, now) {
		return
	}
	// The shift is bounded so that it can't overflow.
	e.until = now.Add(min(baseEjectionTime<<min(e.consecutiveEjections, 8), maxEjectionTime))
	e.consecutiveEjections++
	e.consecutiveFailures = 0
	e.probing = true
	c.ejections++
}

// mayEject reports whether the upstream may be ejected: at most a third of
// each pool is ejected at a time. If more upstreams fail, the cause is not the
// upstreams.
func (c *Core) mayEject(u *upstream, now time.Time) bool {
	for _, p := range u.pools(c) {
		ejected := 1
		for _, o := range p.all {
			if o != u && o.ejection.active(now) {
				ejected++
			}
		}
		if ejected*minUpstreamsPerEjection > len(p.all) {
			return false
		}
	}
	return true
}
