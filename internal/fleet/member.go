package fleet

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/cranberrypier/cranberrypier/internal/exchange"
)

const (
	// cacheEntries bounds the prompts that are remembered for one upstream.
	maxCachedPrompts = 256
	// cacheLife is how long a prompt is believed to stay in an upstream's cache
	// without use; engines evict by last use, well after this time.
	cachedPromptTTL = 30 * time.Second
	// reportLife is how long an upstream's report of its load counts.
	loadReportTTL = time.Second
	// failWeight is the weight of the newest outcome in the failure rate.
	failureWeight = 0.25
	// failHalfLife halves the failure rate without outcomes, so that an upstream
	// gets work again and can show that it recovered.
	failureHalfLife = 3 * time.Second
	// firstDown and longestDown bound the pause after a failed connection.
	minBackoff = 400 * time.Millisecond
	maxBackoff = 4 * time.Second
	// latencyWeight is the weight of the newest latency in the average.
	latencyWeight = 0.2
	// paceUp and paceDown are the weights of a sample above and below the pace;
	// their ratio makes the pace settle near the first quartile.
	msPerTokenUpWeight   = 0.03
	msPerTokenDownWeight = 0.09
	// slowLimit bounds how much slower than expected an upstream is taken to be.
	maxSlowdown = 10
)

// member is an upstream with what this VM knows of it.
type member struct {
	Upstream
	firstSeen time.Time
	// hash of the ID, for rendezvous hashing.
	hash uint64
	// lapsed is when a vanished entry is given up; zero while it is listed.
	removeAt time.Time

	inflight          int
	prefillMs         float64 // ms of prompt reading of own requests without a first token
	load              exchange.Load
	ownInflightAtLoad int
	loadAt            time.Time
	remoteLoads       map[string]remoteLoad // by VM

	failureRate   float64
	failureRateAt time.Time
	// misdirected is true after another incarnation answered at the address.
	misdirected  bool
	backoffUntil time.Time
	backoff      time.Duration

	latencyMs float64 // ms, average of answered plain calls
	slowdown  float64 // average ratio of actual to expected first-token time

	sentAt        []time.Time // own sends of the last second
	cachedPrompts *lru.Cache[uint64, time.Time]
}

func newMember(u Upstream, now time.Time) *member {
	cache, err := lru.New[uint64, time.Time](maxCachedPrompts)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &member{Upstream: u, hash: xxhash.Sum64String(u.ID), firstSeen: now, slowdown: 1, cachedPrompts: cache}
}

// failures is the failure rate as of now.
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

// down notes that the upstream can't be reached.
func (m *member) recordUnreachable(now time.Time) {
	m.backoff = min(max(2*m.backoff, minBackoff), maxBackoff)
	m.backoffUntil = now.Add(m.backoff)
}

func (m *member) recordLoad(now time.Time, l exchange.Load) {
	m.load, m.loadAt, m.ownInflightAtLoad = l, now, m.inflight
}

// remoteLoad is what another VM has in progress here.
type remoteLoad struct {
	inflight   int
	prefillMs  float64
	receivedAt time.Time
}

// remoteLife is how long another VM's word on its own requests counts.
const remoteLoadTTL = 1500 * time.Millisecond

// fromVMs sums what other VMs have told of their own requests here.
func (m *member) sumRemoteLoads(now time.Time) (inflight, prefillMs float64) {
	for _, r := range m.remoteLoads {
		if now.Sub(r.receivedAt) < remoteLoadTTL {
			inflight += float64(r.inflight)
			prefillMs += r.prefillMs
		}
	}
	return inflight, prefillMs
}

// others estimates the requests of other VMs here, from the latest report.
func (m *member) otherVMsInflight(now time.Time) float64 {
	age := now.Sub(m.loadAt)
	if m.loadAt.IsZero() || age >= loadReportTTL {
		return 0
	}
	n := m.load.Running + m.load.Waiting - m.ownInflightAtLoad
	return max(float64(n), 0) * (1 - float64(age)/float64(loadReportTTL))
}

// remembers reports whether this VM sent the prompt here lately.
func (m *member) hasCachedPrompt(now time.Time, key uint64) bool {
	sentAt, ok := m.cachedPrompts.Peek(key)
	return ok && now.Sub(sentAt) < cachedPromptTTL
}
