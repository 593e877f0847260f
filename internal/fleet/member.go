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
	cacheEntries = 256
	// cacheLife is how long a prompt is believed to stay in an upstream's cache
	// without use; engines evict by last use, well after this time.
	cacheLife = 30 * time.Second
	// reportLife is how long an upstream's report of its load counts.
	reportLife = time.Second
	// failWeight is the weight of the newest outcome in the failure rate.
	failWeight = 0.25
	// failHalfLife halves the failure rate without outcomes, so that an upstream
	// gets work again and can show that it recovered.
	failHalfLife = 3 * time.Second
	// firstDown and longestDown bound the pause after a failed connection.
	firstDown   = 400 * time.Millisecond
	longestDown = 4 * time.Second
	// latencyWeight is the weight of the newest latency in the average.
	latencyWeight = 0.2
	// paceUp and paceDown are the weights of a sample above and below the pace;
	// their ratio makes the pace settle near the first quartile.
	paceUp   = 0.03
	paceDown = 0.09
	// slowLimit bounds how much slower than expected an upstream is taken to be.
	slowLimit = 10
)

// member is an upstream with what this VM knows of it.
type member struct {
	Upstream
	firstSeen time.Time
	// hash of the ID, for rendezvous hashing.
	hash uint64
	// lapsed is when a vanished entry is given up; zero while it is listed.
	lapsed time.Time

	inflight  int
	reading   float64 // ms of prompt reading of own requests without a first token
	load      exchange.Load
	ownAtLoad int
	loadAt    time.Time
	remote    map[string]remoteLoad // by VM

	failRate float64
	failAt   time.Time
	// misdirected is true after another incarnation answered at the address.
	misdirected bool
	downUntil   time.Time
	downFor     time.Duration

	latency float64 // ms, average of answered plain calls
	slow    float64 // average ratio of actual to expected first-token time

	sent   []time.Time // own sends of the last second
	cached *lru.Cache[uint64, time.Time]
}

func newMember(u Upstream, now time.Time) *member {
	cache, err := lru.New[uint64, time.Time](cacheEntries)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &member{Upstream: u, hash: xxhash.Sum64String(u.ID), firstSeen: now, slow: 1, cached: cache}
}

// failures is the failure rate as of now.
func (m *member) failures(now time.Time) float64 {
	if m.failRate == 0 {
		return 0
	}
	return m.failRate * math.Exp2(-float64(now.Sub(m.failAt))/float64(failHalfLife))
}

func (m *member) outcome(now time.Time, failed bool) {
	rate := m.failures(now) * (1 - failWeight)
	if failed {
		rate += failWeight
	}
	m.failRate, m.failAt = rate, now
}

// down notes that the upstream can't be reached.
func (m *member) down(now time.Time) {
	m.downFor = min(max(2*m.downFor, firstDown), longestDown)
	m.downUntil = now.Add(m.downFor)
}

func (m *member) reported(now time.Time, l exchange.Load) {
	m.load, m.loadAt, m.ownAtLoad = l, now, m.inflight
}

// remoteLoad is what another VM has in progress here.
type remoteLoad struct {
	inflight int
	reading  float64
	at       time.Time
}

// remoteLife is how long another VM's word on its own requests counts.
const remoteLife = 1500 * time.Millisecond

// fromVMs sums what other VMs have told of their own requests here.
func (m *member) fromVMs(now time.Time) (inflight, reading float64) {
	for _, r := range m.remote {
		if now.Sub(r.at) < remoteLife {
			inflight += float64(r.inflight)
			reading += r.reading
		}
	}
	return inflight, reading
}

// others estimates the requests of other VMs here, from the latest report.
func (m *member) others(now time.Time) float64 {
	age := now.Sub(m.loadAt)
	if m.loadAt.IsZero() || age >= reportLife {
		return 0
	}
	n := m.load.Running + m.load.Waiting - m.ownAtLoad
	return max(float64(n), 0) * (1 - float64(age)/float64(reportLife))
}

// remembers reports whether this VM sent the prompt here lately.
func (m *member) remembers(now time.Time, key uint64) bool {
	at, ok := m.cached.Peek(key)
	return ok && now.Sub(at) < cacheLife
}
