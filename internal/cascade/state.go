package cascade

import (
	"slices"
	"time"
)

const (
	// planLife is how long a computed mix is used again.
	planTTL = time.Second
	// defaultTook is the assumed time of a step before any was seen.
	defaultDuration = 1500 * time.Millisecond
	// tookWeight is the weight of a new time in the moving average.
	durationWeight = 0.1
	// silentJudges is the number of judged steps without any rating after
	// which ratings count as absent, and judgeProbe how often one is then
	// tried again.
	maxUnratedSteps    = 6
	judgeProbeInterval = 15 * time.Second
	// exploreEvery is how often a cheaper option that is hardly known is tried
	// with a judgement, in requests, and exploreBelow the ratings until it is
	// known.
	exploreInterval = 50
	minKnownRatings = 20
	// badDrop is the fall of the recent mean below the usual one, in ratings
	// from 0 to 1, and badMinimum the recent ratings needed to see it.
	badDropThreshold = 0.1
	minBadRatings    = 6
	// badFor is how long a version that turned bad is avoided at least.
	badDuration = 5 * time.Minute
	// maxGroups bounds the cached plans.
	maxPlans = 4096
)

// Core is one VM's pure state of the cascade. It is not safe for concurrent
// use and reads no clock.
type Core struct {
	table    *table
	versions map[VersionKey]*versionState
	plans    map[planKey]*classPlan
	// asked is the number of judged steps since the last rating.
	unratedSteps int
	nextProbe    time.Time
}

// version is what is known of a version over all teams and classes.
type versionState struct {
	meanSeconds float64 // seconds
	badUntil    time.Time
	ratingDrop  float64
}

// NewCore returns the state of the VM named own; the name has to differ
// between incarnations.
func NewCore(own string) *Core {
	return &Core{table: newTable(own), versions: map[VersionKey]*versionState{}, plans: map[planKey]*classPlan{}}
}

func (c *Core) version(k VersionKey) *versionState {
	v := c.versions[k]
	if v == nil {
		v = &versionState{}
		c.versions[k] = v
	}
	return v
}

// Rated takes one rating. It judges the version at once, so that a version
// that turned bad is left after a handful of ratings.
func (c *Core) Rated(r Rating, now time.Time) {
	c.unratedSteps = 0
	ms := now.UnixMilli()
	c.table.addRating(Key{r.Team, r.Class, r.Model, r.Version, r.Escalated}, r.Value, ms)
	c.table.addRating(Key{Model: r.Model, Version: r.Version, Hard: r.Escalated}, r.Value, ms)
	c.detectBadVersion(VersionKey{r.Model, r.Version}, now)
}

// Took takes the time of one whole answer.
func (c *Core) Took(k VersionKey, d time.Duration) {
	v := c.version(k)
	if v.meanSeconds == 0 {
		v.meanSeconds = d.Seconds()
		return
	}
	v.meanSeconds += durationWeight * (d.Seconds() - v.meanSeconds)
}

// judgeVersion compares the recent ratings with the usual ones.
func (c *Core) detectBadVersion(k VersionKey, now time.Time) {
	for _, hard := range []bool{false, true} {
		c.detectRatingDrop(k, c.table.get(Key{Model: k.Model, Version: k.Version, Hard: hard}, now.UnixMilli()), now)
	}
}

func (c *Core) detectRatingDrop(k VersionKey, counter Counter, now time.Time) {
	if counter.FastN < minBadRatings || counter.N <= counter.FastN {
		return
	}
	// The usual mean leaves the recent ratings out.
	usual := (counter.Sum - counter.Fast) / (counter.N - counter.FastN)
	drop := usual - counter.Fast/counter.FastN
	if drop < badDropThreshold {
		return
	}
	v := c.version(k)
	if !now.Before(v.badUntil) {
		for _, plan := range c.plans {
			plan.validUntil = time.Time{}
		}
	}
	v.badUntil = now.Add(badDuration)
	v.ratingDrop = drop
}

func (c *Core) ratingDrop(k VersionKey, now time.Time) float64 {
	if v := c.versions[k]; v != nil && now.Before(v.badUntil) {
		return v.ratingDrop
	}
	return 0
}

// Plan returns the next step of a request.
func (c *Core) Plan(r Request, now time.Time) Step {
	remaining := len(r.Options) - r.Tried
	switch {
	case remaining <= 0:
		return Step{Index: -1, Reason: ReasonKeep}
	case len(r.Options) == 1:
		return Step{Index: 0, Reason: ReasonOnly}
	}
	estimates, escalated, durations := c.estimateOptions(&r, now)
	if r.Tried > 0 {
		return c.escalate(&r, escalated, durations)
	}
	candidates, shortOfTime := feasiblePolicies(r.Options, estimates, escalated, durations, &r, c.shouldJudge(now))
	if len(candidates) == 0 || (shortOfTime && !r.Streaming && !twoStepsFit(&r, durations)) {
		return shortTimeStep(&r, estimates, durations)
	}
	plan := c.currentPlan(&r, candidates, now)
	if s, ok := c.explore(plan, &r, estimates, durations, now); ok {
		return s
	}
	p := plan.choosePolicy(kindOf(&r))
	if !containsPolicy(candidates, &p) {
		// This request has less time than the plan was made for.
		return shortTimeStep(&r, estimates, durations)
	}
	return c.policyStep(p, &r, estimates)
}

// look estimates each option for any request and, in hard, for one that an
// earlier option answered short.
func (c *Core) estimateOptions(r *Request, now time.Time) (estimates, escalated []estimate, durations []time.Duration) {
	ms := now.UnixMilli()
	estimates = make([]estimate, len(r.Options))
	escalated = make([]estimate, len(r.Options))
	durations = make([]time.Duration, len(r.Options))
	for i, o := range r.Options {
		k := VersionKey{o.Model, o.Version}
		drop := c.ratingDrop(k, now)
		estimates[i] = estimateOf(o.Quality, c.table.get(Key{Model: o.Model, Version: o.Version}, ms),
			c.table.get(Key{r.Team, r.Class, o.Model, o.Version, false}, ms), drop)
		escalated[i] = estimateOf(clamp(estimates[i].mean-escalatedPenalty), c.table.get(Key{Model: o.Model, Version: o.Version, Hard: true}, ms),
			c.table.get(Key{r.Team, r.Class, o.Model, o.Version, true}, ms), drop)
		durations[i] = defaultDuration
		if v := c.versions[k]; v != nil && v.meanSeconds > 0 {
			durations[i] = time.Duration(v.meanSeconds * float64(time.Second))
		}
	}
	return estimates, escalated, durations
}

// hardPrior is how much lower answers to harder requests are rated before any
// was seen.
const escalatedPenalty = 0.03

// judging reports whether ratings are expected to come.
func (c *Core) shouldJudge(now time.Time) bool {
	if c.unratedSteps < maxUnratedSteps {
		return true
	}
	if now.Before(c.nextProbe) {
		return false
	}
	c.nextProbe = now.Add(judgeProbeInterval)
	return true
}

// fits reports whether some pair of steps fits into the time left.
func twoStepsFit(r *Request, durations []time.Duration) bool {
	last := len(durations) - 1
	return slices.Min(durations[:last])+judgeTime+durations[last] <= r.TimeLeft
}

// shortStep goes straight to the strongest option that fits into the time
// left, or to the quickest if none does.
func shortTimeStep(r *Request, estimates []estimate, durations []time.Duration) Step {
	best, fastest := -1, 0
	for i := range estimates {
		if durations[i] < durations[fastest] {
			fastest = i
		}
		if durations[i] <= r.TimeLeft && (best < 0 || estimates[i].mean > estimates[best].mean) {
			best = i
		}
	}
	if best < 0 {
		best = fastest
	}
	return Step{Index: best, Reason: ReasonShortTime}
}

// escalate chooses the next option after a judged answer was short. Without
// time for another one the answer at hand is kept.
func (c *Core) escalate(r *Request, estimates []estimate, durations []time.Duration) Step {
	i := r.Tried + cheapestSufficient(estimates[r.Tried:], r.Target)
	if plan := c.plans[planKey{r.Team, r.Class}]; plan != nil {
		if next, ok := plan.nextOption(r.Tried - 1); ok && next < len(estimates) {
			i = next
		}
	}
	if durations[i] > r.TimeLeft {
		return Step{Index: -1, Reason: ReasonKeep}
	}
	return Step{Index: i, Reason: ReasonEscalate}
}

// Digest says what is known here, for an exchange with another VM.
func (c *Core) Digest() Digest { return c.table.digest() }

// Newer returns what the sender of the digest lacks, at most limit entries.
func (c *Core) Newer(d Digest, limit int) []Entry { return c.table.newer(d, limit) }

// Merge takes entries of other VMs, in any order and any number of times.
func (c *Core) Merge(entries []Entry, now time.Time) {
	c.table.merge(entries, now.UnixMilli())
	for _, e := range entries {
		if e.Key.Class == "" {
			c.detectBadVersion(VersionKey{e.Key.Model, e.Key.Version}, now)
		}
	}
}

// Forget drops what has decayed.
func (c *Core) Forget(now time.Time) { c.table.evict(now.UnixMilli()) }

// Health returns the ratings' view of each version.
func (c *Core) Health(now time.Time) []Health {
	var out []Health
	for k := range c.table.totals {
		if k.Class != "" || k.Hard {
			continue
		}
		counter := c.table.get(k, now.UnixMilli())
		h := Health{VersionKey: VersionKey{k.Model, k.Version}, RecentN: counter.FastN, UsualN: counter.N}
		if counter.FastN > 0 {
			h.Recent = counter.Fast / counter.FastN
		}
		if counter.N > 0 {
			h.Usual = counter.Sum / counter.N
		}
		h.Bad = c.ratingDrop(h.VersionKey, now) > 0
		out = append(out, h)
	}
	return out
}
