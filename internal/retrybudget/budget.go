// Package retrybudget limits how often requests are retried. The limit holds over
// all VMs without any messages between them: each VM retries at most a ratio of its
// own requests, plus its share of the slack, which is divided in advance.
package retrybudget

import (
	"sync"
	"time"
)

const (
	windowBuckets = 10
	// ratioShare is the part of the allowed ratio that is used. The rest is a reserve
	// for retries whose requests were counted in an earlier window.
	ratioShare = 0.9
	// minAssumedVMs is the number of VMs assumed to share the slack while fewer have
	// been discovered.
	minAssumedVMs = 32
	// settlingVMs is the number assumed during Config.SettleTime.
	settlingVMs = 512
	// vmCountMemory is how long the highest number of VMs is kept after fewer are
	// known: those that are out of reach still use their shares.
	vmCountMemory = 10 * time.Minute
)

// Config is the fleet-wide limit: per Window, Ratio retries for each request plus
// Slack retries.
type Config struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
	// SettleTime is the time after the first call in which this VM may not know most
	// of the others yet.
	SettleTime time.Duration
}

// Budget counts requests and retries of each service in a sliding window.
type Budget struct {
	cfg             Config
	mu              sync.Mutex
	countsByService map[string]*counts
	// vmCount is the highest number of VMs in vmCountMemory, last known at vmCountAt.
	vmCount   int
	vmCountAt time.Time
	// epoch is the start of the first bucket. Buckets are counted from it with the
	// monotonic clock, because the wall clock may jump.
	epoch time.Time
}

type counts struct {
	bucketNumber [windowBuckets]int64
	requests     [windowBuckets]int
	retries      [windowBuckets]int
}

// New returns a budget without any requests or retries.
func New(cfg Config) *Budget {
	return &Budget{cfg: cfg, countsByService: make(map[string]*counts)}
}

// RecordRequest counts a caller's request for a service.
func (b *Budget) RecordRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, i := b.currentBucket(now, service)
	c.requests[i]++
}

// TryRetry reports whether a request may be retried, and counts the retry if so.
func (b *Budget) TryRetry(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, i := b.currentBucket(now, service)
	if b.remaining(now, c) < 1 {
		return false
	}
	c.retries[i]++
	return true
}

// Remaining returns how many retries of a service are allowed now.
func (b *Budget) Remaining(now time.Time, service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, _ := b.currentBucket(now, service)
	return b.remaining(now, c)
}

func (b *Budget) remaining(now time.Time, c *counts) float64 {
	oldest := b.bucketNumber(now) - windowBuckets + 1
	requests, retries := 0, 0
	for i := range windowBuckets {
		if c.bucketNumber[i] >= oldest {
			requests += c.requests[i]
			retries += c.retries[i]
		}
	}
	return b.cfg.Ratio*ratioShare*float64(requests) + b.cfg.Slack/float64(b.assumedVMs(now)) - float64(retries)
}

// assumedVMs returns the number of VMs among which the slack is divided.
func (b *Budget) assumedVMs(now time.Time) int {
	if now.Sub(b.epoch) < b.cfg.SettleTime {
		return max(b.vmCount, settlingVMs)
	}
	return max(b.vmCount, minAssumedVMs)
}

func (b *Budget) bucketNumber(now time.Time) int64 {
	if b.epoch.IsZero() {
		b.epoch = now
	}
	// The offset makes the zero number of an unused bucket older than any window.
	return windowBuckets + int64(now.Sub(b.epoch)/(b.cfg.Window/windowBuckets))
}

// currentBucket returns the counts of a service and the index of the current bucket.
// It clears the bucket if its counts belong to an earlier window.
func (b *Budget) currentBucket(now time.Time, service string) (*counts, int) {
	c := b.countsByService[service]
	if c == nil {
		c = &counts{}
		b.countsByService[service] = c
	}
	n := b.bucketNumber(now)
	i := int(n % windowBuckets)
	if c.bucketNumber[i] != n {
		c.bucketNumber[i], c.requests[i], c.retries[i] = n, 0, 0
	}
	return c, i
}

// SetVMCount sets the number of VMs that share the slack. A lower number than before
// takes effect only after vmCountMemory.
func (b *Budget) SetVMCount(now time.Time, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n >= b.vmCount || now.Sub(b.vmCountAt) > vmCountMemory {
		b.vmCount, b.vmCountAt = n, now
	}
}
