package cascade

import (
	"slices"
	"time"
)

const (
	// planTTL is how long a computed plan is reused.
	planTTL = time.Second
	// defaultDuration is the assumed duration of a step before one was measured.
	defaultDuration = 1500 * time.Millisecond
	// durationWeight is the weight of a new duration in the moving average.
	durationWeight = 0.1
	// maxUnratedSteps is the number of consecutive judged steps without a rating
	// after which the rating service counts as unavailable. A step is then judged
	// only every judgeProbeInterval.
	maxUnratedSteps    = 6
	judgeProbeInterval = 15 * time.Second
	// exploreInterval is the number of requests between trials of a cheaper option
	// that has fewer than minKnownRatings ratings. Such a step is always judged.
	exploreInterval = 50
	minKnownRatings = 20
	// A version turns bad if its recent mean rating is at least badDropThreshold
	// (on the scale from 0 to 1) below its earlier mean. This takes at least
	// minBadRatings recent ratings.
	badDropThreshold = 0.1
	minBadRatings    = 6
	// badDuration is the minimum time for which a version that turned bad is
	// avoided.
	badDuration = 5 * time.Minute
	// maxPlans bounds the cached plans.
	maxPlans = 4096
)

// Core is one VM's state of the cascade. It does no I/O, reads no clock and is
// not safe for concurrent use.
type Core struct {
	table    *table
	versions map[VersionKey]*versionState
	plans    map[planKey]*classPlan
	// unratedSteps is the number of judged steps since the last rating.
	unratedSteps int
	nextProbe    time.Time
}

// versionState holds what was measured for a version over all teams and classes.
type versionState struct {
	meanSeconds float64 // moving average of the duration of an answer
	badUntil    time.Time
	ratingDrop  float64 // fall of the mean rating, valid until badUntil
}

// NewCore returns the state of a VM. The origin identifies the VM's counters and
// must differ between incarnations of the VM.
func NewCore(origin string) *Core {
	return &Core{table: newTable(origin), versions: map[VersionKey]*versionState{}, plans: map[planKey]*classPlan{}}
}

func (c *Core) version(k VersionKey) *versionState {
	v := c.versions[k]
	if v == nil {
		v = &versionState{}
		c.versions[k] = v
	}
	return v
}

// AddRating adds one rating. It checks the version immediately, so that a version
// that turned bad is avoided after a few ratings.
func (c *Core) AddRating(r Rating, now time.Time) {
	c.unratedSteps = 0
	ms := now.UnixMilli()
	c.table.addRating(Key{r.Team, r.Class, r.Model, r.Version, r.Escalated}, r.Value, ms)
	c.table.addRating(Key{Model: r.Model, Version: r.Version, Escalated: r.Escalated}, r.Value, ms)
	c.detectBadVersion(VersionKey{r.Model, r.Version}, now)
}

// RecordDuration records how long a complete answer of a version took.
func (c *Core) RecordDuration(k VersionKey, d time.Duration) {
	v := c.version(k)
	if v.meanSeconds == 0 {
		v.meanSeconds = d.Seconds()
		return
	}
	v.meanSeconds += durationWeight * (d.Seconds() - v.meanSeconds)
}

// detectBadVersion compares a version's recent ratings with the earlier ones,
// separately for first and escalated answers.
func (c *Core) detectBadVersion(k VersionKey, now time.Time) {
	for _, escalated := range []bool{false, true} {
		c.detectRatingDrop(k, c.table.get(Key{Model: k.Model, Version: k.Version, Escalated: escalated}, now.UnixMilli()), now)
	}
}

func (c *Core) detectRatingDrop(k VersionKey, counter Counter, now time.Time) {
	if counter.RecentN < minBadRatings || counter.LongTermN <= counter.RecentN {
		return
	}
	// The earlier mean excludes the recent ratings.
	earlier := (counter.LongTermSum - counter.RecentSum) / (counter.LongTermN - counter.RecentN)
	drop := earlier - counter.RecentSum/counter.RecentN
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
		// The plan was made for requests with more time left.
		return shortTimeStep(&r, estimates, durations)
	}
	return c.policyStep(p, &r, estimates)
}

// estimateOptions estimates each option's rating and duration. The result
// estimates applies to all requests, escalated to requests for which an earlier
// option's answer was rated below the threshold.
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
		escalated[i] = estimateOf(clamp(estimates[i].mean-escalatedPenalty), c.table.get(Key{Model: o.Model, Version: o.Version, Escalated: true}, ms),
			c.table.get(Key{r.Team, r.Class, o.Model, o.Version, true}, ms), drop)
		durations[i] = defaultDuration
		if v := c.versions[k]; v != nil && v.meanSeconds > 0 {
			durations[i] = time.Duration(v.meanSeconds * float64(time.Second))
		}
	}
	return estimates, escalated, durations
}

// escalatedPenalty is the assumed reduction of the rating of escalated answers
// as long as none has been rated. Escalated requests are harder.
const escalatedPenalty = 0.03

// shouldJudge reports whether steps may be judged: the rating service is
// available, or it is time to probe it.
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

// twoStepsFit reports whether the fastest option before the last one, its rating
// and the last option fit into the time left.
func twoStepsFit(r *Request, durations []time.Duration) bool {
	last := len(durations) - 1
	return slices.Min(durations[:last])+judgeTime+durations[last] <= r.TimeLeft
}

// shortTimeStep runs the option with the highest expected rating that fits into
// the time left, or the fastest option if none fits.
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

// escalate chooses the next option after an answer was rated below the
// threshold. If no time is left for another answer, it keeps the last one.
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

// Digest returns the digest of this VM's entries, for an exchange with a peer.
func (c *Core) Digest() Digest { return c.table.digest() }

// NewerEntries returns at most limit entries that the sender of the digest lacks.
func (c *Core) NewerEntries(d Digest, limit int) []Entry { return c.table.newer(d, limit) }

// Merge applies entries of other VMs. They may arrive in any order and more than
// once.
func (c *Core) Merge(entries []Entry, now time.Time) {
	c.table.merge(entries, now.UnixMilli())
	for _, e := range entries {
		if e.Key.Class == "" {
			c.detectBadVersion(VersionKey{e.Key.Model, e.Key.Version}, now)
		}
	}
}

// EvictDecayed evicts counters whose weight has decayed.
func (c *Core) EvictDecayed(now time.Time) { c.table.evict(now.UnixMilli()) }

// Health returns the health of each version by its ratings.
func (c *Core) Health(now time.Time) []Health {
	var out []Health
	for k := range c.table.totals {
		if k.Class != "" || k.Escalated {
			continue
		}
		counter := c.table.get(k, now.UnixMilli())
		h := Health{VersionKey: VersionKey{k.Model, k.Version}, RecentN: counter.RecentN, LongTermN: counter.LongTermN}
		if counter.RecentN > 0 {
			h.Recent = counter.RecentSum / counter.RecentN
		}
		if counter.LongTermN > 0 {
			h.LongTerm = counter.LongTermSum / counter.LongTermN
		}
		h.Bad = c.ratingDrop(h.VersionKey, now) > 0
		out = append(out, h)
	}
	return out
}
