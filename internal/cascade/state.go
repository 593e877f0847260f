package cascade

import (
	"slices"
	"time"
)

const (
	// planLife is how long a computed mix is used again.
	planLife = time.Second
	// defaultTook is the assumed time of a step before any was seen.
	defaultTook = 1500 * time.Millisecond
	// tookWeight is the weight of a new time in the moving average.
	tookWeight = 0.1
	// silentJudges is the number of judged steps without any rating after
	// which ratings count as absent, and judgeProbe how often one is then
	// tried again.
	silentJudges = 6
	judgeProbe   = 15 * time.Second
	// exploreEvery is how often a cheaper option that is hardly known is tried
	// with a judgement, in requests, and exploreBelow the ratings until it is
	// known.
	exploreEvery = 50
	exploreBelow = 20
	// badDrop is the fall of the recent mean below the usual one, in ratings
	// from 0 to 1, and badMinimum the recent ratings needed to see it.
	badDrop    = 0.1
	badMinimum = 6
	// badFor is how long a version that turned bad is avoided at least.
	badFor = 5 * time.Minute
	// maxGroups bounds the cached plans.
	maxGroups = 4096
)

// Core is one VM's pure state of the cascade. It is not safe for concurrent
// use and reads no clock.
type Core struct {
	table    *table
	versions map[VersionKey]*version
	groups   map[groupKey]*group
	// asked is the number of judged steps since the last rating.
	asked   int
	probeAt time.Time
}

// version is what is known of a version over all teams and classes.
type version struct {
	took     float64 // seconds
	badUntil time.Time
	shift    float64
}

// NewCore returns the state of the VM named own; the name has to differ
// between incarnations.
func NewCore(own string) *Core {
	return &Core{table: newTable(own), versions: map[VersionKey]*version{}, groups: map[groupKey]*group{}}
}

func (c *Core) version(k VersionKey) *version {
	v := c.versions[k]
	if v == nil {
		v = &version{}
		c.versions[k] = v
	}
	return v
}

// Rated takes one rating. It judges the version at once, so that a version
// that turned bad is left after a handful of ratings.
func (c *Core) AddRating(r Rating, now time.Time) {
	c.asked = 0
	ms := now.UnixMilli()
	c.table.rate(Key{r.Team, r.Class, r.Model, r.Version, r.Escalated}, r.Value, ms)
	c.table.rate(Key{Model: r.Model, Version: r.Version, Escalated: r.Escalated}, r.Value, ms)
	c.judgeVersion(VersionKey{r.Model, r.Version}, now)
}

// Took takes the time of one whole answer.
func (c *Core) RecordDuration(k VersionKey, d time.Duration) {
	v := c.version(k)
	if v.took == 0 {
		v.took = d.Seconds()
		return
	}
	v.took += tookWeight * (d.Seconds() - v.took)
}

// judgeVersion compares the recent ratings with the usual ones.
func (c *Core) judgeVersion(k VersionKey, now time.Time) {
	for _, hard := range []bool{false, true} {
		c.judgeRatings(k, c.table.get(Key{Model: k.Model, Version: k.Version, Escalated: hard}, now.UnixMilli()), now)
	}
}

func (c *Core) judgeRatings(k VersionKey, n Counter, now time.Time) {
	if n.FastN < badMinimum || n.N <= n.FastN {
		return
	}
	// The usual mean leaves the recent ratings out.
	usual := (n.Sum - n.FastSum) / (n.N - n.FastN)
	drop := usual - n.FastSum/n.FastN
	if drop < badDrop {
		return
	}
	v := c.version(k)
	if !now.Before(v.badUntil) {
		for _, g := range c.groups {
			g.until = time.Time{}
		}
	}
	v.badUntil = now.Add(badFor)
	v.shift = drop
}

func (c *Core) shift(k VersionKey, now time.Time) float64 {
	if v := c.versions[k]; v != nil && now.Before(v.badUntil) {
		return v.shift
	}
	return 0
}

// Plan returns the next step of a request.
func (c *Core) Plan(r Request, now time.Time) Step {
	left := len(r.Options) - r.Tried
	switch {
	case left <= 0:
		return Step{Index: -1, Reason: ReasonKeep}
	case len(r.Options) == 1:
		return Step{Index: 0, Reason: ReasonOnly}
	}
	est, hard, took := c.look(&r, now)
	if r.Tried > 0 {
		return c.escalate(&r, hard, took)
	}
	all, short := policies(r.Options, est, hard, took, &r, c.judging(now))
	if len(all) == 0 || (short && !r.Streaming && !fits(&r, took)) {
		return shortStep(&r, est, took)
	}
	g := c.group(&r, all, now)
	if s, ok := c.explore(g, &r, est, took, now); ok {
		return s
	}
	p := g.choose(kindOf(&r))
	if !possible(all, &p) {
		// This request has less time than the plan was made for.
		return shortStep(&r, est, took)
	}
	return c.step(p, &r, est)
}

// look estimates each option for any request and, in hard, for one that an
// earlier option answered short.
func (c *Core) look(r *Request, now time.Time) (est, hard []estimate, took []time.Duration) {
	ms := now.UnixMilli()
	est = make([]estimate, len(r.Options))
	hard = make([]estimate, len(r.Options))
	took = make([]time.Duration, len(r.Options))
	for i, o := range r.Options {
		k := VersionKey{o.Model, o.Version}
		shift := c.shift(k, now)
		est[i] = estimateOf(o.Quality, c.table.get(Key{Model: o.Model, Version: o.Version}, ms),
			c.table.get(Key{r.Team, r.Class, o.Model, o.Version, false}, ms), shift)
		hard[i] = estimateOf(clamp(est[i].mean-hardPrior), c.table.get(Key{Model: o.Model, Version: o.Version, Escalated: true}, ms),
			c.table.get(Key{r.Team, r.Class, o.Model, o.Version, true}, ms), shift)
		took[i] = defaultTook
		if v := c.versions[k]; v != nil && v.took > 0 {
			took[i] = time.Duration(v.took * float64(time.Second))
		}
	}
	return est, hard, took
}

// hardPrior is how much lower answers to harder requests are rated before any
// was seen.
const hardPrior = 0.03

// judging reports whether ratings are expected to come.
func (c *Core) judging(now time.Time) bool {
	if c.asked < silentJudges {
		return true
	}
	if now.Before(c.probeAt) {
		return false
	}
	c.probeAt = now.Add(judgeProbe)
	return true
}

// fits reports whether some pair of steps fits into the time left.
func fits(r *Request, took []time.Duration) bool {
	last := len(took) - 1
	return slices.Min(took[:last])+judgeTime+took[last] <= r.TimeLeft
}

// shortStep goes straight to the strongest option that fits into the time
// left, or to the quickest if none does.
func shortStep(r *Request, est []estimate, took []time.Duration) Step {
	best, quick := -1, 0
	for i := range est {
		if took[i] < took[quick] {
			quick = i
		}
		if took[i] <= r.TimeLeft && (best < 0 || est[i].mean > est[best].mean) {
			best = i
		}
	}
	if best < 0 {
		best = quick
	}
	return Step{Index: best, Reason: ReasonShortTime}
}

// escalate chooses the next option after a judged answer was short. Without
// time for another one the answer at hand is kept.
func (c *Core) escalate(r *Request, est []estimate, took []time.Duration) Step {
	i := r.Tried + strongEnough(est[r.Tried:], r.Target)
	if g := c.groups[groupKey{r.Team, r.Class}]; g != nil {
		if next, ok := g.next(r.Tried - 1); ok && next < len(est) {
			i = next
		}
	}
	if took[i] > r.TimeLeft {
		return Step{Index: -1, Reason: ReasonKeep}
	}
	return Step{Index: i, Reason: ReasonEscalate}
}

// Digest says what is known here, for an exchange with another VM.
func (c *Core) Digest() Digest { return c.table.digest() }

// Newer returns what the sender of the digest lacks, at most limit entries.
func (c *Core) NewerEntries(d Digest, limit int) []Entry { return c.table.newer(d, limit) }

// Merge takes entries of other VMs, in any order and any number of times.
func (c *Core) Merge(entries []Entry, now time.Time) {
	c.table.merge(entries, now.UnixMilli())
	for _, e := range entries {
		if e.Key.Class == "" {
			c.judgeVersion(VersionKey{e.Key.Model, e.Key.Version}, now)
		}
	}
}

// Forget drops what has decayed.
func (c *Core) EvictDecayed(now time.Time) { c.table.forget(now.UnixMilli()) }

// Health returns the ratings' view of each version.
func (c *Core) Health(now time.Time) []Health {
	var out []Health
	for k := range c.table.total {
		if k.Class != "" || k.Escalated {
			continue
		}
		n := c.table.get(k, now.UnixMilli())
		h := Health{VersionKey: VersionKey{k.Model, k.Version}, RecentN: n.FastN, LongTermN: n.N}
		if n.FastN > 0 {
			h.Recent = n.FastSum / n.FastN
		}
		if n.N > 0 {
			h.LongTerm = n.Sum / n.N
		}
		h.Bad = c.shift(h.VersionKey, now) > 0
		out = append(out, h)
	}
	return out
}
