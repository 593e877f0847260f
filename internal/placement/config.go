package placement

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/seats"
)

// Config is the VM's part of the settings and the policy's constants; a zero
// field takes its default.
type Config struct {
	// VM and Zone are this VM's name and availability zone.
	VM   string
	Zone string
	// Seed feeds the random choice of candidates.
	Seed uint64
	// ColdShare is the part of a cold limit that the held seats carry. Default
	// seats.ColdShare.
	ColdShare func(limit int, upstream string, held seats.Held) int
	// SuspectAfter is how old the newest sign of a warm engine may be before
	// it counts as cold again. Default 3s.
	WarmTTL time.Duration
	// ZonePenalty is the extra time that a run in another zone is expected to
	// take. Default 5ms.
	ZonePenalty time.Duration
	// MaxQueue bounds the requests that wait for one target. Default 1024.
	MaxQueue int
	// Subset is the number of upstreams of one target that this VM deals
	// with in a large fleet. Default 48.
	MaxSubsetSize int
	// MaxPrefixes bounds the known prefixes. Default 65536.
	MaxPrefixes int
	// Policy chooses among the upstreams with a place. Default Finish; the
	// others imply NoQueueReserve.
	Policy Policy
	// NoQueueReserve and NoAffinity switch mechanisms off for
	// measurements.
	NoQueueReserve bool
	NoAffinity     bool
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
	if c.MaxQueue <= 0 {
		c.MaxQueue = 1024
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
		c.NoQueueReserve = true
	}
	return c
}

const (
	// rampStart is the number of places with which an upstream leaves a cold
	// start when its cold share is smaller.
	rampStart = 1
	// minColdTime is the least time that a seat must still last for a run on
	// a cold upstream.
	minColdTime = 2 * time.Second
	// slowFirstToken is how many times the usual first-token time makes an
	// engine suspect, and slowFirstTokenMin the least such time.
	slowFirstToken    = 8
	slowFirstTokenMin = 2 * time.Second
	// ejectAfter is the number of failures in a row that eject an upstream.
	ejectAfter = 5
	// ejectBase and ejectMax bound the time of an ejection.
	ejectBase = 5 * time.Second
	ejectMax  = time.Minute
	// ejectPart is the part of a pool that may be ejected: one in ejectPart.
	ejectPart = 3
	// reportHalfLife is how fast a report loses weight with age.
	reportHalfLife = 2 * time.Second
	// ewmaWeight is the weight of a new sample in moving averages.
	ewmaWeight = 0.1
	// hedgePart is the part of urgent runs that outlast the time after which
	// an idempotent one is worth a second attempt; it has to lie below the
	// retry budget. slowStep is how fast that time follows.
	hedgePart = 0.12
	slowStep  = 0.1
	// paceMin and paceMax bound an upstream's pace beside its pool.
	paceMin = 0.7
	paceMax = 4
	// defaultService is the assumed service time before any was seen.
	defaultService = 2 * time.Second
	// middleFrom and longFrom are the priorities from which a request counts
	// as middle and as long work, which leave places to what is more urgent.
	middleFrom = 2
	longFrom   = 5
	// middlePart of an upstream that long work leaves free is middle work's.
	middlePart = 0.5
	// urgentPart of an upstream's places, one in urgentPart and at least one,
	// is left by middle work.
	urgentPart = 8
	// reservePart of an upstream's places, one in reservePart and at least
	// one, is left to others by long work.
	reservePart = 4
	// localCandidates of the own zone are drawn for each choice,
	// urgentCandidates for urgent work, which is worth a better look, and
	// remoteCandidates of others once the best local one holds spillLoad of
	// its limit.
	localCandidates  = 3
	urgentCandidates = 8
	remoteCandidates = 2
	spillLoad        = 0.5
	// affinityLoad bounds prefix affinity: a candidate with more than this
	// many times the pool's mean load gets no advantage.
	affinityLoad = 1.5
	// cachedPrefill is the part of the prefill time left with a cached prefix.
	cachedPrefill = 0.15
	// prefillPerToken is the assumed prefill time of a prompt token.
	prefillPerToken = 200 * time.Microsecond
)
