// Package retrybudget bounds how often requests are sent once more. The bound
// holds over all VMs with no message: each VM repeats at most a ratio of its
// own requests, plus a share of the slack that is divided in advance.
package retrybudget

import (
	"sync"
	"time"
)

const (
	// slots divide the window.
	windowSlots = 10
	// ratioUse is the part of the allowed ratio that is used; the rest covers
	// requests that count in another window than their repeats.
	ratioShare = 0.9
	// slackParts divides the slack while fewer VMs are known.
	minAssumedVMs = 32
)

// Config is the fleet-wide bound.
type Config struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Budget counts requests and repeats of each service in a sliding window.
type Budget struct {
	cfg             Config
	mu              sync.Mutex
	countsByService map[string]*counts
	vmCount         int
	// began anchors the slots to the steady clock; the time of day may jump.
	epoch time.Time
}

type counts struct {
	slotNumber [windowSlots]int64
	requests   [windowSlots]int
	retries    [windowSlots]int
}

// New returns a budget with nothing spent.
func New(cfg Config) *Budget {
	return &Budget{cfg: cfg, countsByService: make(map[string]*counts)}
}

// Request counts a caller's request for a service.
func (b *Budget) Request(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, i := b.currentSlot(now, service)
	c.requests[i]++
}

// Repeat reports whether a request may be sent once more, and counts it.
func (b *Budget) Repeat(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, i := b.currentSlot(now, service)
	if b.remaining(now, c) < 1 {
		return false
	}
	c.retries[i]++
	return true
}

// Left is how many repeats of a service are left now.
func (b *Budget) Left(now time.Time, service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, _ := b.currentSlot(now, service)
	return b.remaining(now, c)
}

func (b *Budget) remaining(now time.Time, c *counts) float64 {
	oldest := b.slotNumber(now) - windowSlots + 1
	requests, retries := 0, 0
	for i := range windowSlots {
		if c.slotNumber[i] >= oldest {
			requests += c.requests[i]
			retries += c.retries[i]
		}
	}
	return b.cfg.Ratio*ratioShare*float64(requests) + b.cfg.Slack/float64(max(b.vmCount, minAssumedVMs)) - float64(retries)
}

func (b *Budget) slotNumber(now time.Time) int64 {
	if b.epoch.IsZero() {
		b.epoch = now
	}
	return windowSlots + int64(now.Sub(b.epoch)/(b.cfg.Window/windowSlots))
}

// at finds the current slot of a service.
func (b *Budget) currentSlot(now time.Time, service string) (*counts, int) {
	c := b.countsByService[service]
	if c == nil {
		c = &counts{}
		b.countsByService[service] = c
	}
	n := b.slotNumber(now)
	i := int(n % windowSlots)
	if c.slotNumber[i] != n {
		c.slotNumber[i], c.requests[i], c.retries[i] = n, 0, 0
	}
	return c, i
}

// SetVMs sets how many VMs share the slack.
func (b *Budget) SetVMs(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.vmCount = n
}
