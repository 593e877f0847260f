package admission

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

const (
	// maxRetryAfter bounds the Retry-After time of rejected requests.
	maxRetryAfter = time.Minute
	// minRetryAfter keeps rejected callers from retrying in a tight loop.
	minRetryAfter = 50 * time.Millisecond
	// demandHalfLife is the half-life of the moving average of the demand.
	demandHalfLife = 2 * time.Second
	// idleTeamTTL is how long the state of an idle team is kept.
	idleTeamTTL = time.Minute
	// overloadRetryAfter is the Retry-After time under overload.
	overloadRetryAfter = time.Second
	// minSaturationThreshold is the saturation from which requests of the least
	// urgent priority are rejected. Those of the most urgent one are rejected at 1.
	minSaturationThreshold = 0.5
	// reservedCapacityFactor times Capacity is the VM's limit of requests in flight
	// for teams below their fair share. For other teams the limit is Capacity.
	reservedCapacityFactor = 1.25
	// maxPriority is the largest priority, the least urgent one.
	maxPriority = 9
)

// Core is one VM's usage of all teams' limits. It does no I/O, reads no clock and
// is not safe for concurrent use.
type Core struct {
	vm string
	// knownVMs is the number of entry VMs that may admit requests, at least 1.
	knownVMs int
	capacity int
	// saturation is 0 for idle upstreams and 1 for full queues.
	saturation float64
	teams      map[string]*team
	inFlight   int
	// allocatorVM is the allocator of the last report, allocatorSince the time of
	// the first report to it.
	allocatorVM    string
	allocatorSince time.Time
	// grantEnd is when the newest grant expires, and grantTTL its TTL.
	grantEnd time.Time
	grantTTL time.Duration
}

type team struct {
	name     string
	limits   Limits
	bucket   bucket
	inFlight int
	// peakConcurrent is the maximum number of concurrent requests since the last
	// report, counting a request that asked for admission.
	peakConcurrent int
	demandRate     float64
	demandUpdated  time.Time
	share          Share
	shareEnd       time.Time
	lastUsed       time.Time
}

// NewCore returns the state of a VM. Capacity is the number of requests in flight
// from which fairness between teams is enforced.
func NewCore(vm string, capacity int) *Core {
	return &Core{vm: vm, knownVMs: 1, capacity: max(1, capacity), teams: map[string]*team{}}
}

// SetKnownVMs sets the number of entry VMs that may use the limits. A VM that appears
// dead may only be partitioned and still admit requests, so it counts until it is
// removed from the view.
func (c *Core) SetKnownVMs(n int) { c.knownVMs = max(1, n) }

// SetSaturation sets how full the upstreams' queues are, from 0 to 1.
func (c *Core) SetSaturation(s float64) { c.saturation = min(1, max(0, s)) }

// currentShare returns the share in force: the granted share until it expires, the
// lower of that share and the floor for one more TTL, and then the floor, which is
// limit/knownVMs. The additional TTL allows the allocator to give the unused part of
// this VM's floor to other VMs: their shares have expired when it ends. Teams that
// were not in a report are limited to the idle share by the same rule.
//
// Two exceptions keep small limits usable and are part of the bound: a VM may
// always run one request, and its bucket always has room for one token.
func (c *Core) currentShare(t *team, now time.Time) (rate float64, concurrent int) {
	rate, concurrent = floorRate(t.limits, c.knownVMs), floorConcurrent(t.limits, c.knownVMs)
	switch {
	case now.Before(t.shareEnd):
		return min(t.share.Rate, t.limits.Rate), min(t.share.Concurrent, t.limits.Concurrent)
	case now.Before(t.shareEnd.Add(c.grantTTL)):
		return min(t.share.Rate, rate), min(t.share.Concurrent, concurrent)
	case now.Before(c.grantEnd.Add(c.grantTTL)):
		return idleFraction * rate, max(1, int(idleFraction*float64(t.limits.Concurrent)/float64(c.knownVMs)))
	}
	return rate, concurrent
}

func floorRate(l Limits, knownVMs int) float64 { return l.Rate / float64(knownVMs) }

func floorConcurrent(l Limits, knownVMs int) int { return max(1, l.Concurrent/knownVMs) }

// bucketDepth returns the bucket's depth for the VM's share of the rate.
func bucketDepth(l Limits, rate float64) float64 {
	if l.Rate <= 0 {
		return 1
	}
	return math.Max(1, float64(l.Burst)*rate/l.Rate)
}

func (c *Core) team(name string, l Limits, now time.Time) *team {
	t := c.teams[name]
	if t == nil {
		t = &team{name: name, demandUpdated: now}
		c.teams[name] = t
	}
	t.limits = l
	t.lastUsed = now
	return t
}

// Admit admits a request, or returns why it is rejected. Each admitted request
// must be followed by one Release.
func (c *Core) Admit(name string, l Limits, priority int, now time.Time) *result.Error {
	t := c.team(name, l, now)
	t.decayDemand(now)
	t.demandRate += math.Ln2 / demandHalfLife.Seconds()
	t.peakConcurrent = max(t.peakConcurrent, t.inFlight+1)
	if e := c.checkOverload(t, priority); e != nil {
		return e
	}
	rate, concurrent := c.currentShare(t, now)
	if t.inFlight >= concurrent {
		return result.New(result.TeamOverLimit, "team %s has %d requests in progress at this VM, its full share of the limit of %d",
			name, t.inFlight, l.Concurrent).WithRetryAfter(overloadRetryAfter)
	}
	t.bucket.refill(rate, bucketDepth(l, rate), now)
	if wait, ok := t.bucket.takeToken(rate); !ok {
		return result.New(result.TeamOverLimit, "team %s is over its rate of %g requests a second", name, l.Rate).
			WithRetryAfter(max(wait, minRetryAfter))
	}
	t.inFlight++
	c.inFlight++
	return nil
}

// checkOverload rejects requests by priority as the upstreams become saturated. It
// also keeps a team above its fair share from using the capacity of other teams.
func (c *Core) checkOverload(t *team, priority int) *result.Error {
	fairShare := float64(c.capacity) / float64(c.activeTeams(t))
	belowFairShare := float64(t.inFlight) < fairShare
	threshold := minSaturationThreshold + (1-minSaturationThreshold)*(1-float64(min(max(priority, 0), maxPriority))/maxPriority)
	if belowFairShare {
		// A team below its fair share is rejected for saturation only at 1.
		threshold = 1
	}
	if c.saturation >= threshold {
		return result.New(result.Overloaded, "the upstreams are too saturated to accept requests of priority %d", priority).
			WithRetryAfter(overloadRetryAfter)
	}
	maxInFlight := c.capacity
	if belowFairShare {
		maxInFlight = int(reservedCapacityFactor * float64(c.capacity))
	}
	if c.inFlight >= maxInFlight {
		return result.New(result.Overloaded, "%d requests are in progress at this VM", c.inFlight).
			WithRetryAfter(overloadRetryAfter)
	}
	return nil
}

// activeTeams counts the teams with requests in flight and the requesting team.
func (c *Core) activeTeams(requesting *team) int {
	n := 0
	for _, t := range c.teams {
		if t.inFlight > 0 || t == requesting {
			n++
		}
	}
	return n
}

// Release records the end of an admitted request.
func (c *Core) Release(name string) {
	if t := c.teams[name]; t != nil && t.inFlight > 0 {
		t.inFlight--
		c.inFlight--
	}
}

func (t *team) decayDemand(now time.Time) {
	if d := now.Sub(t.demandUpdated); d > 0 {
		t.demandRate *= math.Exp2(-d.Seconds() / demandHalfLife.Seconds())
		t.demandUpdated = now
	}
}

// Report returns the demand since the last report, to be sent to the VM
// allocatorVM, and starts a new period.
func (c *Core) Report(allocatorVM string, now time.Time) DemandReport {
	if allocatorVM != c.allocatorVM {
		c.allocatorVM, c.allocatorSince = allocatorVM, now
	}
	r := DemandReport{SameAllocatorFor: now.Sub(c.allocatorSince), VM: c.vm, KnownVMs: c.knownVMs, IdleShareRemaining: max(0, c.grantEnd.Sub(now))}
	for name, t := range c.teams {
		if t.inFlight == 0 && now.Sub(t.lastUsed) > idleTeamTTL {
			// The share must expire first, because without the team's state the VM
			// might apply a larger one.
			if !now.Before(t.shareEnd.Add(c.grantTTL)) {
				delete(c.teams, name)
			}
			continue
		}
		t.decayDemand(now)
		rate, concurrent := c.currentShare(t, now)
		r.Teams = append(r.Teams, Demand{
			Team: name, Rate: t.demandRate, InFlight: t.inFlight, PeakConcurrent: max(t.peakConcurrent, t.inFlight),
			ShareRate: rate, ShareConcurrent: concurrent, ShareRemaining: max(0, t.shareEnd.Sub(now)),
		})
		t.peakConcurrent = t.inFlight
	}
	slices.SortFunc(r.Teams, func(a, b Demand) int { return strings.Compare(a.Team, b.Team) })
	return r
}

// Apply applies the allocator's answer to the report sent at the given time.
func (c *Core) Apply(g Grant, sent time.Time) {
	if end := sent.Add(g.TTL); end.After(c.grantEnd) {
		c.grantEnd, c.grantTTL = end, g.TTL
	}
	for _, s := range g.Teams {
		t := c.teams[s.Team]
		if t == nil || sent.Add(g.TTL).Before(t.shareEnd) {
			continue
		}
		// Add the tokens earned at the old rate before the new share applies.
		rate, _ := c.currentShare(t, sent)
		t.bucket.refill(rate, bucketDepth(t.limits, rate), sent)
		t.share = s
		t.shareEnd = sent.Add(g.TTL)
	}
}
