package fleet

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrypier/cranberrypier/internal/exchange"
)

// Query describes the upstream needed for one attempt.
type Query struct {
	Service     string
	ModelEngine bool
	Model       string
	// PromptID identifies the shared parts of the prompt; zero if there are none.
	PromptID uint64
	// SharedTokens and OwnTokens are the numbers of tokens in the shared parts and
	// in the rest.
	SharedTokens  int
	OwnTokens     int
	TargetLatency time.Duration
	// Exclude lists the IDs of upstreams that were already tried.
	Exclude []string
	// FirstAttempt is true for a request's first attempt. Only a first attempt may
	// use an upstream that was recently unreachable; others fail immediately instead.
	FirstAttempt bool
	// Waiting is true if the request found no room at a brittle service a short time ago.
	Waiting bool
	// Regions are lists of allowed regions. The upstream's region must be in each of
	// them; empty lists allow all regions.
	Regions [][]string
	// AllowVersion reports whether the request may run on a version.
	AllowVersion func(version string) bool
	// VersionShare is the share of each version's upstreams that the request may use,
	// the same ones on all VMs; zero for all.
	VersionShare float64
}

// promptKey returns the key that selects the prompt's preferred upstreams. Engines
// cache a prompt separately for each model. The key therefore contains the model,
// so that each model has its own preferred upstreams: if the router replaces a
// small model's answer, the larger model answers at its own preferred upstream,
// which should have the prompt cached too.
func (q Query) promptKey() uint64 {
	if q.PromptID == 0 {
		return 0
	}
	return promptKeyOf(q.PromptID, q.Model)
}

// Reason is why no upstream could be picked.
type Reason string

// Reasons for a failed pick; Picked stands for success.
const (
	Picked Reason = ""
	// NoneListed: the service has no listed upstreams.
	NoneListed Reason = "none_listed"
	// NoneAllowed: the query or the state of the upstreams rules all of them out.
	NoneAllowed Reason = "none_allowed"
	// ColdLimitReached: all allowed upstreams that this attempt may use are cold, and
	// this VM has used up its limit at each of them.
	ColdLimitReached Reason = "all_cold"
	// NoneReachable: some allowed upstreams were recently unreachable and may not be
	// tried by this attempt; the others, if any, are at their cold limit.
	NoneReachable Reason = "all_down"
	// AllFull: the service is brittle, and no allowed upstream has room for one more
	// request as far as this VM knows.
	AllFull Reason = "all_full"
	// AllLimited: the allowed upstreams name limits, of which this VM has used up its
	// share; the others, if any, are unavailable.
	AllLimited Reason = "all_limited"
	// AllPaused: all allowed upstreams want no requests for some time, except for
	// those of the other reasons.
	AllPaused Reason = "all_paused"
)

// Pick is the upstream chosen for one attempt. The attempt counts as in flight
// there until Done is called.
type Pick struct {
	Upstream
	// ExpectedLatency is the expected time to the first byte.
	ExpectedLatency time.Duration
	// WorkTime is how long work takes at the upstream as a multiple of the usual, as
	// ExpectedLatency includes it.
	WorkTime float64
	// Cost is the cost of the chosen upstream, EligibleCount the number of eligible
	// upstreams and UncachedTokens the prompt tokens that need prefilling, for the log.
	Cost           float64
	EligibleCount  int
	UncachedTokens int
	ZoneChoice     ZoneChoice

	model         string
	prefillTokens int     // prompt tokens to prefill
	prefillMs     float64 // expected time for these tokens
	startedAt     time.Time
	firstByteSeen bool
}

// Pick chooses the upstream with the lowest cost and counts the attempt as in
// flight there.
func (f *Fleet) Pick(now time.Time, q Query) (*Pick, Reason) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, reason := f.choose(now, q)
	if c.member == nil {
		if b := f.brittleOf(now, q.Service); b != nil && reason == AllFull && !q.Waiting {
			b.recordFullness(now, 1)
		}
		return nil, reason
	}
	return f.startAttempt(now, q, c), Picked
}

// LatencyEstimate is the expected latency of a request that arrives now.
type LatencyEstimate struct {
	// FirstByte is the expected time to the first byte at the best upstream.
	FirstByte time.Duration
	// PrefillBacklog is the prefill time of the prompts whose first token has not
	// arrived yet, averaged over the eligible upstreams.
	PrefillBacklog time.Duration
}

// Estimate returns the expected latency of a request, or false if no upstream is
// eligible.
func (f *Fleet) Estimate(now time.Time, q Query) (LatencyEstimate, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, _ := f.choose(now, q)
	return LatencyEstimate{FirstByte: millisToDuration(c.candidate.ExpectedLatencyMs()), PrefillBacklog: millisToDuration(c.backlogMs)}, c.member != nil
}

func millisToDuration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// choice is the upstream with the lowest cost.
type choice struct {
	member    *member
	candidate Candidate
	cost      float64
	eligible  int
	zone      ZoneChoice
	backlogMs float64 // prefill time of the prompts without a first token, averaged over the eligible upstreams
}

func (f *Fleet) choose(now time.Time, q Query) (choice, Reason) {
	p := f.pools[q.Service]
	if p == nil {
		return choice{}, NoneListed
	}
	f.expireVMReports(now)
	eligible, reason := f.candidates(now, q, p)
	if len(eligible) == 0 {
		return choice{}, reason
	}
	if b := f.brittleOf(now, q.Service); b != nil {
		eligible = f.preferRoom(now, b, q.FirstAttempt, eligible)
	}
	key, msPerToken := q.promptKey(), f.prefillTimes.of(q.Model).msPerToken()
	preferred, second := p.preferred(key, eligible)
	preferredShare, secondShare := uncachedShares(len(p.members))
	best := choice{eligible: len(eligible)}
	byZone := f.prefersLocal(now, q, p)
	if byZone {
		f.locality.reset(averageCallTime(now, eligible))
	}
	for _, m := range eligible {
		uncachedShare := 1.0
		switch m {
		case preferred:
			uncachedShare = preferredShare
		case second:
			uncachedShare = secondShare
		}
		c := f.candidate(now, q, m, prompt{key: key, msPerToken: msPerToken, uncachedShare: uncachedShare})
		if byZone {
			c.LatencyMs = m.calls.estimate(now, f.locality.averageCallMs)
		}
		best.backlogMs += c.PrefillBacklogMs / float64(len(eligible))
		cost := c.Cost(q.TargetLatency)
		if best.member == nil || cost < best.cost {
			best.member, best.candidate, best.cost = m, c, cost
		}
		if byZone {
			f.locality.add(m, &c, cost)
		}
	}
	if byZone {
		chosen, zone := f.locality.choose(f.rng, q.TargetLatency)
		if best.zone = zone; chosen.member != nil && chosen.member != best.member {
			best.member, best.cost = chosen.member, chosen.cost
			best.candidate = f.candidateByZone(now, q, chosen.member)
		}
	}
	return best, Picked
}

// candidates returns the upstreams of a pool among which one is chosen. In a large
// pool these are the available ones of a draw, or of all if the draw has none.
func (f *Fleet) candidates(now time.Time, q Query, p *servicePool) ([]*member, Reason) {
	if len(p.members) > maxFullChoice {
		f.drawnBuf = p.draw(f.rng, q.promptKey(), f.drawnBuf[:0])
		drawn := slices.DeleteFunc(f.drawnBuf, func(m *member) bool {
			return !f.isAllowed(q, m) || f.availabilityOf(now, q, m) != available
		})
		if len(drawn) > 0 {
			return drawn, Picked
		}
	}
	return f.eligible(now, q, p.members)
}

// availability is whether an upstream that is allowed may receive a request now.
type availability int

const (
	available availability = iota
	// paused upstreams want no requests for some time.
	paused
	// unreachable upstreams were recently unreachable.
	unreachable
	// full upstreams are brittle, and have no room as far as this VM knows.
	full
	// limited upstreams name a limit, of which this VM has used up its share.
	limited
	// coldLimited upstreams are cold, and this VM has used up its limit for them.
	coldLimited
)

func (f *Fleet) availabilityOf(now time.Time, q Query, m *member) availability {
	switch {
	case now.Before(m.pausedUntil):
		return paused
	case now.Before(m.backoffUntil) || !m.removeAt.IsZero() || f.zoneHealthOf(m).isUnreachable(now):
		return unreachable
	case f.coldLimitReached(now, m):
		return coldLimited
	case f.isFull(now, q, m):
		return full
	case f.limitReached(now, m):
		return limited
	}
	return available
}

// isAllowed reports whether the query and the state of an upstream allow it to
// receive the request at some time.
func (f *Fleet) isAllowed(q Query, m *member) bool {
	return f.usable(m) && !slices.Contains(q.Exclude, m.ID) && f.inAllowedRegions(m, q.Regions) && q.AllowVersion(m.Version) && m.isInShare(q.VersionShare)
}

// eligible returns the upstreams that may receive the request. Recently unreachable
// upstreams are used only for a first attempt and only if no other upstream is
// allowed. One that is merely at its cold limit, or outside of the version's share,
// counts as allowed.
func (f *Fleet) eligible(now time.Time, q Query, list []*member) ([]*member, Reason) {
	reachable, unreached := f.reachableBuf[:0], f.unreachableBuf[:0]
	defer func() { f.reachableBuf, f.unreachableBuf = reachable[:0], unreached[:0] }() // the lists are used under the lock only
	var seen [coldLimited + 1]bool
	for _, m := range list {
		if !f.isAllowed(q, m) {
			continue
		}
		a := f.availabilityOf(now, q, m)
		seen[a] = true
		switch a {
		case available:
			reachable = append(reachable, m)
		case unreachable:
			unreached = append(unreached, m)
		}
	}
	switch {
	case len(reachable) > 0:
		return reachable, Picked
	case seen[full]:
		return nil, AllFull
	case seen[limited]:
		return nil, AllLimited
	case len(unreached) > 0 && q.FirstAttempt && q.VersionShare == 0 && !seen[coldLimited]:
		unreached = slices.DeleteFunc(unreached, func(m *member) bool {
			return f.coldLimitReached(now, m) || f.isFull(now, q, m) || f.limitReached(now, m)
		})
		if len(unreached) == 0 {
			return nil, ColdLimitReached
		}
		return unreached, Picked
	case len(unreached) > 0:
		return nil, NoneReachable
	case seen[coldLimited]:
		return nil, ColdLimitReached
	case seen[paused]:
		return nil, AllPaused
	}
	return nil, NoneAllowed
}

// usable reports whether an upstream may receive any requests.
func (f *Fleet) usable(m *member) bool {
	return !m.Leaving && !m.addressTaken && !f.withdrawn[m.Zone]
}

// inAllowedRegions reports whether all lists allow the upstream's region.
func (f *Fleet) inAllowedRegions(m *member, regions [][]string) bool {
	for _, list := range regions {
		if len(list) > 0 && !slices.Contains(list, f.cfg.RegionByZone[m.Zone]) {
			return false
		}
	}
	return true
}

// prompt holds a prompt's inputs for the cost of a candidate.
type prompt struct {
	// key identifies the shared parts for the model; zero if there are none.
	key uint64
	// msPerToken is the model's prefill time per uncached prompt token, in ms.
	msPerToken float64
	// uncachedShare is the share of the shared tokens that counts as uncached at an
	// upstream to which this VM has not sent them.
	uncachedShare float64
}

func (f *Fleet) candidate(now time.Time, q Query, m *member, p prompt) Candidate {
	c := Candidate{
		Slots: m.Slots, WorkTime: m.work.at(now), LatencyMs: m.latencyMs, Slowdown: m.slowdown, FailureRate: m.currentFailureRate(now),
		SameZone: m.Zone == f.cfg.Zone, ModelEngine: q.ModelEngine, MsPerToken: p.msPerToken,
	}
	// There are two estimates of the other VMs' requests: the upstream's report and
	// the VMs' reports. The larger one counts.
	c.InFlight = float64(m.inflight) + max(m.otherVMsInflight(now), float64(m.remoteInflight))
	c.PrefillBacklogMs = m.prefillMs + m.remotePrefillMs
	c.UncachedTokens = q.OwnTokens + int(p.uncachedShare*float64(q.SharedTokens))
	if p.key != 0 && m.hasCachedPrompt(now, p.key) {
		c.UncachedTokens = q.OwnTokens
	}
	return c
}

func promptKeyOf(prompt uint64, model string) uint64 {
	return prompt ^ xxhash.Sum64String(model)
}

func (f *Fleet) startAttempt(now time.Time, q Query, best choice) *Pick {
	m, c := best.member, best.candidate
	p := &Pick{
		Upstream: m.Upstream, Cost: best.cost, EligibleCount: best.eligible, UncachedTokens: c.UncachedTokens, ZoneChoice: best.zone,
		ExpectedLatency: millisToDuration(c.ExpectedLatencyMs()), model: q.Model, WorkTime: c.WorkTime, startedAt: now,
	}
	if q.ModelEngine {
		p.prefillTokens = c.UncachedTokens + firstTokenOverheadTokens
		p.prefillMs = float64(p.prefillTokens) * c.MsPerToken
	}
	f.takeRoom(now, m, q.FirstAttempt)
	f.takeLimit(now, m)
	m.inflight++
	m.prefillMs += p.prefillMs
	if f.coldRates[m.Service] > 0 {
		m.dropOldSends(now)
		m.sentAt = append(m.sentAt, now)
	}
	if key := q.promptKey(); key != 0 {
		m.cachedPrompts.Add(key, now)
	}
	return p
}

// FirstByte records that the upstream of a pick has started to answer.
func (f *Fleet) FirstByte(now time.Time, p *Pick, load *exchange.Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.memberOf(p)
	if m == nil || p.firstByteSeen {
		return
	}
	p.firstByteSeen = true
	m.prefillMs -= p.prefillMs
	f.zoneHealthOf(m).recordReachable()
	m.backoff = 0
	m.backoffUntil = time.Time{}
	if load != nil {
		m.recordLoad(now, *load)
		m.work.record(now, load.WorkTime)
	}
	// What is learned of the upstream is its lasting speed. The work time that it reports
	// with the answer is that of the attempt.
	work := m.work.at(now)
	elapsedMs := float64(now.Sub(p.startedAt).Microseconds()) / 1000
	if p.prefillTokens == 0 {
		m.latencyMs = movingAverage(m.latencyMs, elapsedMs/work)
		m.calls.record(now, elapsedMs/work)
		return
	}
	f.prefillTimes.record(p.model, elapsedMs/(work*float64(p.prefillTokens)))
	// The upstream's slowdown is relative to what is known of the model now, so that the first
	// samples of a model, which make its estimate, do not count a second time.
	relearned := f.prefillTimes.of(p.model).msPerToken() * float64(p.prefillTokens) / p.prefillMs
	expectedMs := float64(p.ExpectedLatency.Microseconds()) / 1000 * work / p.WorkTime * relearned
	// ExpectedLatency includes the previous slowdown, hence the product.
	m.slowdown = min(max(movingAverage(m.slowdown, m.slowdown*elapsedMs/max(expectedMs, 1)), 0.5), maxSlowdown)
}

func movingAverage(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + latencyWeight*(sample-old)
}

// Outcome is how an attempt ended, as far as it affects the upstream's failure
// rate, backoff and eligibility.
type Outcome int

// The outcomes of an attempt.
const (
	// OutcomeSuccess: the response was complete.
	OutcomeSuccess Outcome = iota
	// OutcomeFailed: an error, an invalid or truncated response, or a timeout.
	OutcomeFailed
	// OutcomeUnreachable: no connection could be established.
	OutcomeUnreachable
	// OutcomeRejected: the upstream rejected the request because it had no capacity.
	OutcomeRejected
	// OutcomeMisdirected: another incarnation answered at the address.
	OutcomeMisdirected
	// OutcomeNeutral: the caller canceled, or the router dropped the attempt by choice.
	OutcomeNeutral
)

// Done records the end of a pick's attempt.
func (f *Fleet) Done(now time.Time, p *Pick, outcome Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.memberOf(p)
	if m == nil {
		return
	}
	m.inflight--
	if p.firstByteSeen {
		f.leavePlace(now, m)
	} else {
		p.firstByteSeen = true
		m.prefillMs -= p.prefillMs
	}
	switch outcome {
	case OutcomeSuccess:
		m.recordOutcome(now, false)
	case OutcomeFailed, OutcomeRejected:
		m.recordOutcome(now, true)
	case OutcomeUnreachable:
		m.recordOutcome(now, true)
		m.recordUnreachable(now)
		m.dropPlaces(now)
		f.zoneHealthOf(m).recordUnreachable(now, m.ID)
	case OutcomeMisdirected:
		m.addressTaken = true
	}
}

// memberOf returns the member of a pick, or nil if its incarnation is no longer
// listed.
func (f *Fleet) memberOf(p *Pick) *member {
	m := f.members[p.ID]
	if m == nil || m.Incarnation != p.Incarnation || m.Address != p.Address {
		return nil
	}
	return m
}
