package fleet

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrypier/cranberrypier/internal/exchange"
)

// Query asks for an upstream for one attempt.
type Query struct {
	Service     string
	ModelEngine bool
	Model       string
	// Prompt identifies the shared parts of the prompt; zero when there are none.
	PromptID uint64
	// Shared and Own are the tokens of the shared parts and of the rest.
	SharedTokens  int
	OwnTokens     int
	TargetLatency time.Duration
	// Exclude names upstreams that were tried already.
	Exclude []string
	// Fresh is true for a request's first attempt. Only then is an upstream
	// tried that could not be reached lately: the others are refused at once.
	FirstAttempt bool
	// Regions are lists that each bind the upstream's region; empty ones do not.
	Regions [][]string
	// Allow reports whether a version may get the request.
	AllowVersion func(version string) bool
}

// home is what the prompt's homes are chosen by. Each model has its own cache
// of a prompt and so its own homes: an answer that is dropped for a larger
// model's must come from elsewhere, and should still find the prompt.
func (q Query) home() uint64 {
	if q.PromptID == 0 {
		return 0
	}
	return cacheKey(q.PromptID, q.Model)
}

// Reason says why no upstream could be picked.
type Reason string

// Reasons of an empty pick.
const (
	Picked      Reason = ""
	NoneListed  Reason = "none_listed"
	NoneAllowed Reason = "none_allowed"
	AllCold     Reason = "all_cold"
	AllDown     Reason = "all_down"
)

// Pick is an upstream that one attempt goes to. It counts there until Done.
type Pick struct {
	Upstream
	// Expect is the expected time to the first byte.
	ExpectedLatency time.Duration
	// Cost and Candidates are what decided, for the log.
	Cost           float64
	Candidates     int
	UncachedTokens int

	model   string
	pending int     // prompt tokens to read
	reading float64 // ms of reading them
	began   time.Time
	first   bool
}

// Pick chooses the upstream with the least cost and counts the attempt there.
func (f *Fleet) Pick(now time.Time, q Query) (*Pick, Reason) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, reason := f.choose(now, q)
	if c.member == nil {
		return nil, reason
	}
	return f.take(now, q, c), Picked
}

// Outlook is what a request may expect if it came now.
type LatencyEstimate struct {
	// Expect is the time to the first byte at the best upstream.
	FirstByte time.Duration
	// Backlog is the time of the prompts that wait to be read, as a mean over
	// the upstreams.
	PrefillBacklog time.Duration
}

// Estimate returns the outlook of a request; false when there is no upstream
// for it.
func (f *Fleet) Estimate(now time.Time, q Query) (LatencyEstimate, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, _ := f.choose(now, q)
	return LatencyEstimate{FirstByte: inMillis(c.candidate.ExpectedLatencyMs()), PrefillBacklog: inMillis(c.backlog)}, c.member != nil
}

func inMillis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// choice is the upstream with the least cost.
type choice struct {
	member    *member
	candidate Candidate
	cost      float64
	among     int
	backlog   float64 // mean reading over the eligible, in ms
}

func (f *Fleet) choose(now time.Time, q Query) (choice, Reason) {
	list := f.byService[q.Service]
	if len(list) == 0 {
		return choice{}, NoneListed
	}
	eligible, reason := f.eligible(now, q, list)
	if len(eligible) == 0 {
		return choice{}, reason
	}
	key, pace := q.home(), f.paceOf(q.Model)
	home, second := homesOf(eligible, key)
	atHome, atSecond := discounts(len(eligible))
	best := choice{among: len(eligible)}
	for _, m := range eligible {
		discount := 1.0
		switch m {
		case home:
			discount = atHome
		case second:
			discount = atSecond
		}
		c := f.candidate(now, q, m, prompt{key: key, pace: pace, discount: discount})
		best.backlog += c.PrefillBacklogMs / float64(len(eligible))
		cost := c.Cost(q.TargetLatency)
		if best.member == nil || cost < best.cost {
			best.member, best.candidate, best.cost = m, c, cost
		}
	}
	return best, Picked
}

// eligible lists the upstreams that may get the request. Upstreams that could
// not be reached lately are used only when there is no other.
func (f *Fleet) eligible(now time.Time, q Query, list []*member) ([]*member, Reason) {
	up, down := f.up[:0], f.down[:0]
	defer func() { f.up, f.down = up[:0], down[:0] }() // the lists are used under the lock only
	cold := false
	for _, m := range list {
		if !f.usable(m) || slices.Contains(q.Exclude, m.ID) || !f.home(m, q.Regions) || !q.AllowVersion(m.Version) {
			continue
		}
		switch {
		case now.Before(m.downUntil) || !m.lapsed.IsZero() || f.zoneOf(m).suspect(now):
			down = append(down, m)
		case f.spared(now, m):
			cold = true
		default:
			up = append(up, m)
		}
	}
	switch {
	case len(up) > 0:
		return up, Picked
	case len(down) > 0 && q.FirstAttempt && !cold:
		down = slices.DeleteFunc(down, func(m *member) bool { return f.spared(now, m) })
		if len(down) == 0 {
			return nil, AllCold
		}
		return down, Picked
	case len(down) > 0:
		return nil, AllDown
	case cold:
		return nil, AllCold
	}
	return nil, NoneAllowed
}

// usable reports whether an upstream may get any request.
func (f *Fleet) usable(m *member) bool {
	return !m.Draining && !m.misdirected && !f.withdrawn[m.Zone]
}

// home reports whether the upstream is in a region that all lists allow.
func (f *Fleet) home(m *member, regions [][]string) bool {
	for _, list := range regions {
		if len(list) > 0 && !slices.Contains(list, f.cfg.Regions[m.Zone]) {
			return false
		}
	}
	return true
}

// homesOf are the two upstreams that all VMs agree on for a prompt, by
// rendezvous hashing, so that its shared parts are read once without any message.
func homesOf(list []*member, key uint64) (home, second *member) {
	if key == 0 {
		return nil, nil
	}
	var most, next uint64
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], key)
	for _, m := range list {
		binary.LittleEndian.PutUint64(buf[8:], m.hash)
		switch h := xxhash.Sum64(buf[:]); {
		case home == nil || h > most:
			second, next = home, most
			home, most = m, h
		case second == nil || h > next:
			second, next = m, h
		}
	}
	return home, second
}

// prompt is what a request's prompt adds to a candidate.
type prompt struct {
	// key identifies the shared parts for the model; zero when there are none.
	key uint64
	// pace is the time of one token of the model, in ms.
	pace float64
	// discount is the share of the shared tokens that counts as uncached where
	// this VM has not sent them.
	discount float64
}

func (f *Fleet) candidate(now time.Time, q Query, m *member, p prompt) Candidate {
	c := Candidate{
		Slots: m.Slots, LatencyMs: m.latency, Slowdown: m.slow, FailureRate: m.failures(now),
		SameZone: m.Zone == f.cfg.Zone, ModelEngine: q.ModelEngine, MsPerToken: p.pace,
	}
	inflight, reading := m.fromVMs(now)
	c.InFlight = float64(m.inflight) + max(m.others(now), inflight)
	c.PrefillBacklogMs = m.reading + reading
	c.UncachedTokens = q.OwnTokens + int(p.discount*float64(q.SharedTokens))
	if p.key != 0 && m.remembers(now, p.key) {
		c.UncachedTokens = q.OwnTokens
	}
	return c
}

func (f *Fleet) paceOf(model string) float64 {
	if p := f.pace[model]; p > 0 {
		return p
	}
	return defaultPace
}

func cacheKey(prompt uint64, model string) uint64 {
	return prompt ^ xxhash.Sum64String(model)
}

func (f *Fleet) take(now time.Time, q Query, best choice) *Pick {
	m, c := best.member, best.candidate
	p := &Pick{
		Upstream: m.Upstream, Cost: best.cost, Candidates: best.among, UncachedTokens: c.UncachedTokens,
		ExpectedLatency: inMillis(c.ExpectedLatencyMs()), model: q.Model, began: now,
	}
	if q.ModelEngine {
		p.pending = c.UncachedTokens + tokenFloor
		p.reading = float64(p.pending) * c.MsPerToken
	}
	m.inflight++
	m.reading += p.reading
	if f.coldRate[m.Service] > 0 {
		m.forget(now)
		m.sent = append(m.sent, now)
	}
	if key := q.home(); key != 0 {
		m.cached.Add(key, now)
	}
	return p
}

// FirstByte notes that the answer to a pick has begun.
func (f *Fleet) FirstByte(now time.Time, p *Pick, load *exchange.Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.of(p)
	if m == nil || p.first {
		return
	}
	p.first = true
	m.reading -= p.reading
	f.zoneOf(m).reached()
	m.downFor = 0
	m.downUntil = time.Time{}
	if load != nil {
		m.reported(now, *load)
	}
	took := float64(now.Sub(p.began).Microseconds()) / 1000
	if p.pending == 0 {
		m.latency = average(m.latency, took)
		return
	}
	ratio := took / max(float64(p.ExpectedLatency.Microseconds())/1000, 1)
	m.slow = min(max(average(m.slow, m.slow*ratio), 0.5), slowLimit)
	f.pace[p.model] = lowerQuartile(f.paceOf(p.model), took/float64(p.pending))
}

// lowerQuartile moves an estimate towards the first quartile of the samples: a first token that waited for other
// prompts says little about the reading of its own.
func lowerQuartile(old, sample float64) float64 {
	weight := paceUp
	if sample < old {
		weight = paceDown
	}
	return old + weight*(sample-old)
}

func average(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + latencyWeight*(sample-old)
}

// End is how an attempt at an upstream ended, for its standing.
type Outcome int

// The ends of an attempt.
const (
	// EndGood: the answer was whole.
	OutcomeSuccess Outcome = iota
	// EndFailed: an error, a broken answer, or silence.
	OutcomeFailed
	// EndUnreachable: no connection could be made.
	OutcomeUnreachable
	// EndRejected: the upstream had no room.
	OutcomeRejected
	// EndMisdirected: another incarnation has the address.
	OutcomeMisdirected
	// EndNeutral: the caller left, or the attempt was dropped by choice.
	OutcomeNeutral
)

// Done ends a pick.
func (f *Fleet) Done(now time.Time, p *Pick, end Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.of(p)
	if m == nil {
		return
	}
	m.inflight--
	if !p.first {
		p.first = true
		m.reading -= p.reading
	}
	switch end {
	case OutcomeSuccess:
		m.outcome(now, false)
	case OutcomeFailed, OutcomeRejected:
		m.outcome(now, true)
	case OutcomeUnreachable:
		m.outcome(now, true)
		m.down(now)
		f.zoneOf(m).unreachable(now, m.ID)
	case OutcomeMisdirected:
		m.misdirected = true
	}
}

// of finds the member of a pick; nil when its incarnation is gone.
func (f *Fleet) of(p *Pick) *member {
	m := f.members[p.ID]
	if m == nil || m.Incarnation != p.Incarnation || m.Address != p.Address {
		return nil
	}
	return m
}
