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
	idleForget = time.Minute
	// overloadRetryAfter is the advice under overload.
	overloadRetryAfter = time.Second
	// saturationLow is the saturation from which the least urgent class is
	// refused; the most urgent one is refused at 1.
	saturationLow = 0.5
	// reserveFactor is the room above Capacity that is kept for teams below
	// their fair part.
	reserveFactor = 1.25
	// leastUrgent is the largest priority.
	leastUrgent = 9
)

// Core is one VM's spending of all teams' limits. It is pure and not safe for
// concurrent use.
type Core struct {
	vm string
	// known is the number of entry VMs that may spend, never below 1.
	known    int
	capacity int
	// saturation is 0 for idle upstreams and 1 for full queues.
	saturation float64
	teams      map[string]*team
	running    int
	// home is the allocator that was asked last, homeSince since when.
	home      string
	homeSince time.Time
	// idleEnd is until when the newest grant lasts, and ttl its TTL.
	idleEnd time.Time
	ttl     time.Duration
}

type team struct {
	name    string
	limits  Limits
	bucket  bucket
	running int
	// peak is the most that wanted to run at once since the last report.
	peak     int
	demand   float64
	demandAt time.Time
	share    Share
	shareEnd time.Time
	used     time.Time
}

// NewCore returns the state of the VM. Capacity is the number of requests in
// progress from which fairness between teams is enforced.
func NewCore(vm string, capacity int) *Core {
	return &Core{vm: vm, known: 1, capacity: max(1, capacity), teams: map[string]*team{}}
}

// SetKnown sets the number of entry VMs that may spend the limits. A VM that
// seems dead may only be cut off and go on spending, so it counts until it is
// forgotten.
func (c *Core) SetKnownVMs(n int) { c.known = max(1, n) }

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
func (c *Core) held(t *team, now time.Time) (rate float64, running int) {
	rate, running = floorRate(t.limits, c.known), floorRunning(t.limits, c.known)
	switch {
	case now.Before(t.shareEnd):
		return min(t.share.Rate, t.limits.Rate), min(t.share.Concurrent, t.limits.Concurrent)
	case now.Before(t.shareEnd.Add(c.ttl)):
		return min(t.share.Rate, rate), min(t.share.Concurrent, running)
	case now.Before(c.idleEnd.Add(c.ttl)):
		return idleWeight * rate, max(1, int(idleWeight*float64(t.limits.Concurrent)/float64(c.known)))
	}
	return rate, running
}

func floorRate(l Limits, known int) float64 { return l.Rate / float64(known) }

func floorRunning(l Limits, known int) int { return max(1, l.Concurrent/known) }

// depth is the bucket's depth for a held rate.
func depth(l Limits, rate float64) float64 {
	if l.Rate <= 0 {
		return 1
	}
	return math.Max(1, float64(l.Burst)*rate/l.Rate)
}

func (c *Core) team(name string, l Limits, now time.Time) *team {
	t := c.teams[name]
	if t == nil {
		t = &team{name: name, demandAt: now}
		c.teams[name] = t
	}
	t.limits = l
	t.used = now
	return t
}

// Admit lets a request in, or returns why not. Each admitted request is
// returned by one Release.
func (c *Core) Admit(name string, l Limits, priority int, now time.Time) *result.Error {
	t := c.team(name, l, now)
	t.decay(now)
	t.demand += math.Ln2 / demandHalfLife.Seconds()
	t.peak = max(t.peak, t.running+1)
	if e := c.overload(t, priority); e != nil {
		return e
	}
	rate, running := c.held(t, now)
	if t.running >= running {
		return result.New(result.TeamOverLimit, "team %s has %d requests in progress here, its share of %d",
			name, t.running, l.Concurrent).WithRetryAfter(overloadRetryAfter)
	}
	t.bucket.fill(rate, depth(l, rate), now)
	if wait, ok := t.bucket.take(rate); !ok {
		return result.New(result.TeamOverLimit, "team %s is over its rate of %g requests a second", name, l.Rate).
			WithRetryAfter(max(wait, minRetryAfter))
	}
	t.running++
	c.running++
	return nil
}

// overload refuses by priority as the upstreams fill, and keeps a team above
// its fair part from taking the room of the others.
func (c *Core) overload(t *team, priority int) *result.Error {
	fair := float64(c.capacity) / float64(c.active(t))
	below := float64(t.running) < fair
	limit := saturationLow + (1-saturationLow)*(1-float64(min(max(priority, 0), leastUrgent))/leastUrgent)
	if below {
		// A team below its fair part is refused only when nothing fits.
		limit = 1
	}
	if c.saturation >= limit {
		return result.New(result.Overloaded, "the upstreams are saturated for priority %d", priority).
			WithRetryAfter(overloadRetryAfter)
	}
	room := c.capacity
	if below {
		room = int(reserveFactor * float64(c.capacity))
	}
	if c.running >= room {
		return result.New(result.Overloaded, "%d requests are in progress at this VM", c.running).
			WithRetryAfter(overloadRetryAfter)
	}
	return nil
}

// active counts the teams with work in progress, the asking one included.
func (c *Core) active(asking *team) int {
	n := 0
	for _, t := range c.teams {
		if t.running > 0 || t == asking {
			n++
		}
	}
	return n
}

// Release returns an admitted request.
func (c *Core) Release(name string) {
	if t := c.teams[name]; t != nil && t.running > 0 {
		t.running--
		c.running--
	}
}

func (t *team) decay(now time.Time) {
	if d := now.Sub(t.demandAt); d > 0 {
		t.demand *= math.Exp2(-d.Seconds() / demandHalfLife.Seconds())
		t.demandAt = now
	}
}

// Report sums up the demand for the allocator named home and begins a new
// period.
func (c *Core) Report(home string, now time.Time) Report {
	if home != c.home {
		c.home, c.homeSince = home, now
	}
	r := Report{SameAllocatorFor: now.Sub(c.homeSince), VM: c.vm, KnownVMs: c.known, IdleShareRemaining: max(0, c.idleEnd.Sub(now))}
	for name, t := range c.teams {
		if t.running == 0 && now.Sub(t.used) > idleForget {
			// The share has to lapse first: what is held without it may be more.
			if !now.Before(t.shareEnd.Add(c.ttl)) {
				delete(c.teams, name)
			}
			continue
		}
		t.decay(now)
		rate, running := c.held(t, now)
		r.Teams = append(r.Teams, Demand{
			Team: name, Rate: t.demand, InFlight: t.running, PeakConcurrent: max(t.peak, t.running),
			ShareRate: rate, ShareConcurrent: running, ShareRemaining: max(0, t.shareEnd.Sub(now)),
		})
		t.peak = t.running
	}
	slices.SortFunc(r.Teams, func(a, b Demand) int { return strings.Compare(a.Team, b.Team) })
	return r
}

// Apply takes the allocator's answer to the report sent at the given time.
func (c *Core) Apply(g Grant, sent time.Time) {
	if end := sent.Add(g.TTL); end.After(c.idleEnd) {
		c.idleEnd, c.ttl = end, g.TTL
	}
	for _, s := range g.Teams {
		t := c.teams[s.Team]
		if t == nil || sent.Add(g.TTL).Before(t.shareEnd) {
			continue
		}
		// The old share's tokens are earned before the new one begins.
		rate, _ := c.held(t, sent)
		t.bucket.fill(rate, depth(t.limits, rate), sent)
		t.share = s
		t.shareEnd = sent.Add(g.TTL)
	}
}
