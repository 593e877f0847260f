package admission

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

const (
	// maxRetryAfter bounds the advice to come back.
	maxRetryAfter = time.Minute
	// minRetryAfter keeps refused callers from hammering.
	minRetryAfter = 50 * time.Millisecond
	// demandHalfLife is how fast the measured demand forgets.
	demandHalfLife = 2 * time.Second
	// idleForget is after how long an idle team leaves the state.
	idleTeamTTL = time.Minute
	// overloadRetryAfter is the advice under overload.
	overloadRetryAfter = time.Second
	// saturationLow is the saturation from which the least urgent class is
	// refused; the most urgent one is refused at 1.
	minSaturationThreshold = 0.5
	// reserveFactor is the room above Capacity that is kept for teams below
	// their fair part.
	reservedCapacityFactor = 1.25
	// leastUrgent is the largest priority.
	maxPriority = 9
)

// Core is one VM's spending of all teams' limits. It is pure and not safe for
// concurrent use.
type Core struct {
	vm string
	// known is the number of entry VMs that may spend, never below 1.
	knownVMs int
	capacity int
	// saturation is 0 for idle upstreams and 1 for full queues.
	saturation float64
	teams      map[string]*team
	inFlight   int
	// home is the allocator that was asked last, homeSince since when.
	allocatorVM    string
	allocatorSince time.Time
	// idleEnd is until when the newest grant lasts, and ttl its TTL.
	grantEnd time.Time
	grantTTL time.Duration
}

type team struct {
	name     string
	limits   Limits
	bucket   bucket
	inFlight int
	// peak is the most that wanted to run at once since the last report.
	peakConcurrent int
	demandRate     float64
	demandUpdated  time.Time
	share          Share
	shareEnd       time.Time
	lastUsed       time.Time
}

// NewCore returns the state of the VM. Capacity is the number of requests in
// progress from which fairness between teams is enforced.
func NewCore(vm string, capacity int) *Core {
	return &Core{vm: vm, knownVMs: 1, capacity: max(1, capacity), teams: map[string]*team{}}
}

// SetKnown sets the number of entry VMs that may spend the limits. A VM that
// seems dead may only be cut off and go on spending, so it counts until it is
// forgotten.
func (c *Core) SetKnown(n int) { c.knownVMs = max(1, n) }

// SetSaturation sets how full the upstreams' queues are, from 0 to 1.
func (c *Core) SetSaturation(s float64) { c.saturation = min(1, max(0, s)) }

// held returns the shares in force: the allotted ones while they last, and for
// one more TTL no more than them, else the floor of 1/known of the limit. The
// wait is what lets the allocator lend out what this VM does not use: shares
// given to others meanwhile have lapsed when it ends. Teams that the allocator
// was not asked for are held at the idle share under the same rule.
//
// Two exceptions keep small limits usable and are part of the bound: a VM may
// always run one request, and its bucket always holds one.
func (c *Core) currentShare(t *team, now time.Time) (rate float64, concurrent int) {
	rate, concurrent = floorRate(t.limits, c.knownVMs), floorConcurrent(t.limits, c.knownVMs)
	switch {
	case now.Before(t.shareEnd):
		return min(t.share.Rate, t.limits.Rate), min(t.share.Running, t.limits.Running)
	case now.Before(t.shareEnd.Add(c.grantTTL)):
		return min(t.share.Rate, rate), min(t.share.Running, concurrent)
	case now.Before(c.grantEnd.Add(c.grantTTL)):
		return idleFraction * rate, max(1, int(idleFraction*float64(t.limits.Running)/float64(c.knownVMs)))
	}
	return rate, concurrent
}

func floorRate(l Limits, knownVMs int) float64 { return l.Rate / float64(knownVMs) }

func floorConcurrent(l Limits, knownVMs int) int { return max(1, l.Running/knownVMs) }

// depth is the bucket's depth for a held rate.
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

// Admit lets a request in, or returns why not. Each admitted request is
// returned by one Release.
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
		return result.New(result.TeamOverLimit, "team %s has %d requests in progress here, its share of %d",
			name, t.inFlight, l.Running).WithRetryAfter(overloadRetryAfter)
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

// overload refuses by priority as the upstreams fill, and keeps a team above
// its fair part from taking the room of the others.
func (c *Core) checkOverload(t *team, priority int) *result.Error {
	fairShare := float64(c.capacity) / float64(c.activeTeams(t))
	belowFairShare := float64(t.inFlight) < fairShare
	threshold := minSaturationThreshold + (1-minSaturationThreshold)*(1-float64(min(max(priority, 0), maxPriority))/maxPriority)
	if belowFairShare {
		// A team below its fair part is refused only when nothing fits.
		threshold = 1
	}
	if c.saturation >= threshold {
		return result.New(result.Overloaded, "the upstreams are saturated for priority %d", priority).
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

// active counts the teams with work in progress, the asking one included.
func (c *Core) activeTeams(requesting *team) int {
	n := 0
	for _, t := range c.teams {
		if t.inFlight > 0 || t == requesting {
			n++
		}
	}
	return n
}

// Release returns an admitted request.
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

// Report sums up the demand for the allocator named home and begins a new
// period.
func (c *Core) Report(allocatorVM string, now time.Time) Report {
	if allocatorVM != c.allocatorVM {
		c.allocatorVM, c.allocatorSince = allocatorVM, now
	}
	r := Report{AtHome: now.Sub(c.allocatorSince), VM: c.vm, Known: c.knownVMs, IdleFor: max(0, c.grantEnd.Sub(now))}
	for name, t := range c.teams {
		if t.inFlight == 0 && now.Sub(t.lastUsed) > idleTeamTTL {
			// The share has to lapse first: what is held without it may be more.
			if !now.Before(t.shareEnd.Add(c.grantTTL)) {
				delete(c.teams, name)
			}
			continue
		}
		t.decayDemand(now)
		rate, concurrent := c.currentShare(t, now)
		r.Teams = append(r.Teams, Demand{
			Team: name, Rate: t.demandRate, Running: t.inFlight, Peak: max(t.peakConcurrent, t.inFlight),
			HeldRate: rate, HeldRunning: concurrent, HeldFor: max(0, t.shareEnd.Sub(now)),
		})
		t.peakConcurrent = t.inFlight
	}
	slices.SortFunc(r.Teams, func(a, b Demand) int { return strings.Compare(a.Team, b.Team) })
	return r
}

// Apply takes the allocator's answer to the report sent at the given time.
func (c *Core) Apply(g Grant, sent time.Time) {
	if end := sent.Add(g.TTL); end.After(c.grantEnd) {
		c.grantEnd, c.grantTTL = end, g.TTL
	}
	for _, s := range g.Teams {
		t := c.teams[s.Team]
		if t == nil || sent.Add(g.TTL).Before(t.shareEnd) {
			continue
		}
		// The old share's tokens are earned before the new one begins.
		rate, _ := c.currentShare(t, sent)
		t.bucket.refill(rate, bucketDepth(t.limits, rate), sent)
		t.share = s
		t.shareEnd = sent.Add(g.TTL)
	}
}
