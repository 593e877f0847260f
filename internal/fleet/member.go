package fleet

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/cranberrypier/cranberrypier/internal/exchange"
)

const (
	// maxCachedPrompts is the maximum number of prompts recorded per upstream.
	maxCachedPrompts = 256
	// cachedPromptTTL is how long a prompt is assumed to stay in an upstream's cache
	// without use. Engines evict the least recently used prompts, well after this
	// time.
	cachedPromptTTL = 30 * time.Second
	// upstreamLoadTTL is how long an upstream's report of its own load is used.
	upstreamLoadTTL = time.Second
	// failureWeight is the weight of the newest outcome in the failure rate.
	failureWeight = 0.25
	// failureHalfLife is the time in which the failure rate halves without new
	// outcomes, so that an upstream receives requests again and can show that it
	// has recovered.
	failureHalfLife = 3 * time.Second
	// minBackoff is the shortest backoff after a failed connection.
	minBackoff = 400 * time.Millisecond
	// MaxBackoff is the longest backoff after a failed connection: a sound upstream that
	// was silent for a moment is out of use for as long at most.
	MaxBackoff = time.Second
	// latencyWeight is the weight of the newest sample in the average latency.
	latencyWeight = 0.2
	// maxSlowdown is the upper bound of an upstream's slowdown; the lower bound is 0.5.
	maxSlowdown = 10
)

// member is an upstream with its state as observed by this VM.
type member struct {
	Upstream
	firstSeen time.Time
	// hash is the hash of the ID, for rendezvous hashing.
	hash uint64
	// versionRank is the rank of the hash among the versionCount members of the version.
	versionRank, versionCount int
	// removeAt is when a removed entry is dropped from the inventory; zero while
	// the entry is listed.
	removeAt time.Time

	inflight          int
	prefillMs         float64 // expected prefill time of this VM's requests whose first token has not arrived yet
	load              exchange.Load
	ownInflightAtLoad int
	loadAt            time.Time
	// sentBadLoad is true once a load report of the upstream could not be parsed.
	sentBadLoad bool
	// remoteInflight and remotePrefillMs are the sums of the loads that other VMs
	// have reported; see vmReport.
	remoteInflight  int
	remotePrefillMs float64

	failureRate   float64
	failureRateAt time.Time
	// addressTaken is true once another incarnation has answered at the address. The
	// upstream receives no more requests then.
	addressTaken bool
	backoffUntil time.Time
	backoff      time.Duration
	// health is that of the zone; nil until it is first needed.
	health *zoneHealth
	// pausedUntil is the end of the pause that the upstream asked for.
	pausedUntil time.Time

	// latencyMs is the average of answered plain calls, and slowdown the factor by which first
	// tokens arrive later than their prefill time predicts, both while work takes as long as
	// usual.
	latencyMs float64
	slowdown  float64
	work      workTime
	calls     callTime // for the choice by zone

	sentAt        []time.Time // this VM's requests in the cold window
	coldShare     coldShare
	room          upstreamRoom
	limit         rateLimit
	cachedPrompts *lru.Cache[uint64, time.Time]
}

func newMember(u Upstream, now time.Time) *member {
	cache, err := lru.New[uint64, time.Time](maxCachedPrompts)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &member{Upstream: u, hash: xxhash.Sum64String(u.ID), firstSeen: now, slowdown: 1, cachedPrompts: cache}
}

// currentFailureRate returns the failure rate, decayed to now.
func (m *member) currentFailureRate(now time.Time) float64 {
	if m.failureRate == 0 {
		return 0
	}
	return m.failureRate * math.Exp2(-float64(now.Sub(m.failureRateAt))/float64(failureHalfLife))
}

func (m *member) recordOutcome(now time.Time, failed bool) {
	rate := m.currentFailureRate(now) * (1 - failureWeight)
	if failed {
		rate += failureWeight
	}
	m.failureRate, m.failureRateAt = rate, now
}

// recordUnreachable starts the backoff after a failed connection. Failures during the
// backoff are of connections that were opened before it, and show nothing new.
func (m *member) recordUnreachable(now time.Time) {
	if now.Before(m.backoffUntil) {
		return
	}
	m.backoff = min(max(2*m.backoff, minBackoff), MaxBackoff)
	m.backoffUntil = now.Add(m.backoff)
}

func (m *member) recordLoad(now time.Time, l exchange.Load) {
	m.load, m.loadAt, m.ownInflightAtLoad = l, now, m.inflight
}

// RecordBadLoad records that the load report of a pick's upstream could not be parsed,
// and reports whether it is the first one.
func (f *Fleet) RecordBadLoad(p *Pick) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.memberOf(p)
	if m == nil || m.sentBadLoad {
		return false
	}
	m.sentBadLoad = true
	return true
}

// otherVMsInflight estimates the other VMs' requests at this upstream from its
// latest report of its own load, with a weight that falls with the report's age.
func (m *member) otherVMsInflight(now time.Time) float64 {
	age := now.Sub(m.loadAt)
	if m.loadAt.IsZero() || age >= upstreamLoadTTL {
		return 0
	}
	n := m.load.Running + m.load.Waiting - m.ownInflightAtLoad
	return max(float64(n), 0) * (1 - float64(age)/float64(upstreamLoadTTL))
}

// hasCachedPrompt reports whether this VM sent the prompt here recently, so that
// it is probably still cached.
func (m *member) hasCachedPrompt(now time.Time, key uint64) bool {
	sentAt, ok := m.cachedPrompts.Peek(key)
	return ok && now.Sub(sentAt) < cachedPromptTTL
}
