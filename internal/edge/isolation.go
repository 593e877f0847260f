package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// Thresholds of isolation.
const (
	// isolatedAfter is how long every request has to fail for want of an
	// upstream, and isolatedLeast how many of them.
	minIsolationDuration = 500 * time.Millisecond
	minUnservedRequests  = 3
	// probeTime is the pause between two probes while isolated.
	probeInterval = 500 * time.Millisecond
	// probeUpstreams is how many upstreams one probe tries.
	maxProbesPerRound = 2
)

// isolation notices that this VM reaches no upstream at all: its zone is cut
// off and has none left of its own. It then is not ready, so that the platform
// sends its zone's callers to VMs that can serve them.
type isolation struct {
	mu            sync.Mutex
	firstUnserved time.Time // first request without an upstream after the last answer
	isolatedAt    time.Time // when the VM was found isolated
	unserved      int
	isolated      bool
}

// answered notes that an upstream answered.
func (i *isolation) recordReachable() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reset()
}

func (i *isolation) reset() {
	if i.isolated {
		klog.InfoS("isolation: upstreams regained")
	}
	i.firstUnserved, i.unserved, i.isolated = time.Time{}, 0, false
}

// failed notes a request that reached no upstream.
func (i *isolation) recordUnserved(now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.unserved == 0 {
		i.firstUnserved = now
	}
	i.unserved++
	if !i.isolated && i.unserved >= minUnservedRequests && now.Sub(i.firstUnserved) >= minIsolationDuration {
		i.isolated, i.isolatedAt = true, now
		klog.InfoS("isolation: no upstream in reach", "since", now.Sub(i.firstUnserved), "unserved", i.unserved)
	}
}

// outOfReach reports whether no upstream has answered since some requests
// reached none, and how long the VM has been isolated.
func (i *isolation) unreachable(now time.Time) (time.Duration, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.isolated {
		return 0, i.unserved >= minUnservedRequests
	}
	return now.Sub(i.isolatedAt), true
}

// now reports whether the VM is isolated.
func (i *isolation) isIsolated() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.isolated
}

// gauge is 1 while the VM is isolated.
func (i *isolation) gauge() float64 {
	if i.isIsolated() {
		return 1
	}
	return 0
}

// probe connects to some upstreams while the VM is isolated, until ctx ends.
// Without callers only a probe can tell that the upstreams are back.
func (s *Service) probeWhileIsolated(ctx context.Context) {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	d := newDialer(upstreamDialTimeout)
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if !s.isolation.isIsolated() {
			continue
		}
		addresses := s.fleet.Usable()
		rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
		for _, a := range addresses[:min(maxProbesPerRound, len(addresses))] {
			conn, err := d.DialContext(ctx, "tcp", a)
			if err != nil {
				continue // still out of reach
			}
			_ = conn.Close() // nothing was sent
			s.isolation.recordReachable()
			break
		}
	}
}
