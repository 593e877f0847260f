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
	slots = 10
	// ratioUse is the part of the allowed ratio that is used; the rest covers
	// requests that count in another window than their repeats.
	ratioUse = 0.9
	// slackParts divides the slack while fewer VMs are known.
	slackParts = 32
)

// Config is the fleet-wide bound.
type Config struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Budget counts requests and repeats of each service in a sliding window.
type Budget struct {
	cfg Config
	mu  sync.Mutex
	all map[string]*counts
	vms int
	// began anchors the slots to the steady clock; the time of day may jump.
	began time.Time
}

type counts struct {
	slot     [slots]int64
	requests [slots]int
	repeats  [slots]int
}

// New returns a budget with nothing spent.
func New(cfg Config) *Budget {
	return &Budget{cfg: cfg, all: make(map[string]*counts)}
}

// Request counts a caller's request for a service.
func (b *Budget) RecordRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, i := b.at(now, service)
	c.requests[i]++
}

// Repeat reports whether a request may be sent once more, and counts it.
func (b *Budget) TryRetry(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, i := b.at(now, service)
	if b.left(now, c) < 1 {
		return false
	}
	c.repeats[i]++
	return true
}

// Left is how many repeats of a service are left now.
func (b *Budget) Remaining(now time.Time, service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, _ := b.at(now, service)
	return b.left(now, c)
}

func (b *Budget) left(now time.Time, c *counts) float64 {
	oldest := b.number(now) - slots + 1
	requests, repeats := 0, 0
	for i := range slots {
		if c.slot[i] >= oldest {
			requests += c.requests[i]
			repeats += c.repeats[i]
		}
	}
	return b.cfg.Ratio*ratioUse*float64(requests) + b.cfg.Slack/float64(max(b.vms, slackParts)) - float64(repeats)
}

func (b *Budget) number(now time.Time) int64 {
	if b.began.IsZero() {
		b.began = now
	}
	return slots + int64(now.Sub(b.began)/(b.cfg.Window/slots))
}

// at finds the current slot of a service.
func (b *Budget) at(now time.Time, service string) (*counts, int) {
	c := b.all[service]
	if c == nil {
		c = &counts{}
		b.all[service] = c
	}
	n := b.number(now)
	i := int(n % slots)
	if c.slot[i] != n {
		c.slot[i], c.requests[i], c.repeats[i] = n, 0, 0
	}
	return c, i
}

// SetVMs sets how many VMs share the slack.
func (b *Budget) SetVMCount(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.vms = n
}
