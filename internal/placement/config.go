package placement

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/seats"
)

// Config holds this VM's settings and the policy's parameters. A zero field
// takes its default.
type Config struct {
	// VM and Zone are this VM's name and availability zone.
	VM   string
	Zone string
	// Seed seeds the random choice of candidates.
	Seed uint64
	// ColdShare returns the share of a cold limit that the held seats grant.
	// Default seats.ColdShare.
	ColdShare func(limit int, upstream string, held seats.Held) int
	// WarmTTL is the age of an engine's last warm confirmation beyond which
	// the engine counts as cold again. Default 3s.
	WarmTTL time.Duration
	// ZonePenalty is the extra time expected for a run in another zone.
	// Default 5ms.
	ZonePenalty time.Duration
	// MaxQueue is the length of a target's queue from which on a team that has
	// its share of the queue is rejected. Twice this length is the absolute
	// maximum. Default 1024.
	QueueShareThreshold int
	// MaxSubsetSize is the maximum number of one target's upstreams that this
	// VM uses in a large fleet. Default 48.
	MaxSubsetSize int
	// MaxPrefixes bounds the number of prefixes in the affinity index. Default
	// 65536.
	MaxPrefixes int
	// Policy chooses among the upstreams with a free slot. Default
	// EarliestFinish; the others imply NoSlotReserve.
	Policy Policy
	// NoSlotReserve lets all work use all slots, and NoAffinity ignores cached
	// prefixes. Setting them is meant for benchmarks only.
	NoSlotReserve bool
	NoAffinity    bool
}

func (c Config) withDefaults() Config {
	if c.ColdShare == nil {
		c.ColdShare = func(limit int, upstream string, h seats.Held) int {
			return seats.ColdShare(limit, upstream, h.Seats)
		}
	}
	if c.WarmTTL <= 0 {
		c.WarmTTL = 3 * time.Second
	}
	if c.ZonePenalty <= 0 {
		c.ZonePenalty = 5 * time.Millisecond
	}
	if c.QueueShareThreshold <= 0 {
		c.QueueShareThreshold = 1024
	}
	if c.MaxSubsetSize <= 0 {
		c.MaxSubsetSize = 48
	}
	if c.MaxPrefixes <= 0 {
		c.MaxPrefixes = 1 << 16
	}
	if c.Policy == "" {
		c.Policy = EarliestFinish
	}
	if c.Policy != EarliestFinish {
		c.NoSlotReserve = true
	}
	return c
}

const (
	// minRampStart is the number of slots with which an upstream starts its
	// ramp after a cold start, unless its cold share is larger.
	minRampStart = 1
	// minSeatValidity is the minimum time for which a seat must still be valid
	// when a run starts on a cold upstream.
	minSeatValidity = 2 * time.Second
	// An engine becomes suspect if the first token of a response takes more
	// than slowFirstTokenFactor times the mean and more than
	// minSlowFirstToken.
	slowFirstTokenFactor = 8
	minSlowFirstToken    = 2 * time.Second
	// ejectionThreshold is the number of consecutive failures that eject an
	// upstream.
	ejectionThreshold = 5
	// baseEjectionTime is the duration of the first ejection. It doubles with
	// each further one, up to maxEjectionTime.
	baseEjectionTime = 5 * time.Second
	maxEjectionTime  = time.Minute
	// A pool must have at least minUpstreamsPerEjection upstreams for each one
	// that is ejected at the same time.
	minUpstreamsPerEjection = 3
	// reportHalfLife is the age at which a report has lost half its weight. From
	// this age on a report doesn't count as fresh.
	reportHalfLife = 2 * time.Second
	// ewmaWeight is the weight of a new sample in moving averages.
	ewmaWeight = 0.1
	// hedgeFraction is the fraction of urgent runs that take longer than the
	// hedge delay, the time after which an idempotent run is worth a second
	// attempt. It must be below the ratio of the retry budget. hedgeDelayStep
	// sets how fast the delay adapts.
	hedgeFraction  = 0.12
	hedgeDelayStep = 0.1
	// minSlowdown and maxSlowdown bound an upstream's slowdown relative to its
	// pool.
	minSlowdown = 0.7
	maxSlowdown = 4
	// defaultServiceTime is the assumed service time before the first measured
	// run.
	defaultServiceTime = 2 * time.Second
	// minMiddlePriority and minLongPriority are the smallest priority numbers
	// of middle and long work, which leave slots free for more urgent work. Work
	// below minMiddlePriority is urgent. Only the priority decides: work of low
	// priority is assumed to consist of long runs, other work of short ones.
	minMiddlePriority = 2
	minLongPriority   = 5
	// middleFraction is the fraction of an upstream's slots that middle work
	// may use where no long work runs.
	middleFraction = 0.5
	// Middle work leaves one in urgentReserveDivisor of an upstream's slots
	// free, and at least one.
	urgentReserveDivisor = 8
	// Long work leaves one in longReserveDivisor of an upstream's slots free
	// for other work, and at least one.
	longReserveDivisor = 4
	// localCandidates is the number of upstreams of the local zone sampled for
	// each choice, and urgentCandidates that for urgent work, where a better
	// choice is worth more comparisons. remoteCandidates upstreams of other
	// zones are sampled as well once the load of the best local one reaches
	// spillThreshold of its limit.
	localCandidates  = 3
	urgentCandidates = 8
	remoteCandidates = 2
	spillThreshold   = 0.5
	// maxAffinityLoad bounds prefix affinity: a candidate whose load is more
	// than this multiple of the mean load, plus one run, gets no advantage.
	maxAffinityLoad = 1.5
	// cachedPrefillFactor is the fraction of the prefill time that remains
	// with a cached prefix.
	cachedPrefillFactor = 0.15
	// prefillPerToken is the assumed prefill time per prompt token.
	prefillPerToken = 200 * time.Microsecond
)
