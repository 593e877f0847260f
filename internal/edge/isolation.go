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
	isolatedAfter = 500 * time.Millisecond
	isolatedLeast = 3
	// probeTime is the pause between two probes while isolated.
	probeTime = 500 * time.Millisecond
	// probeUpstreams is how many upstreams one probe tries.
	probeUpstreams = 2
)

// isolation notices that this VM reaches no upstream at all: its zone is cut
// off and has none left of its own. It then is not ready, so that the platform
// sends its zone's callers to VMs that can serve them.
type isolation struct {
	mu       sync.Mutex
	since    time.Time // first request without an upstream after the last answer
	at       time.Time // when the VM was found isolated
	unserved int
	isolated bool
}

// answered notes that an upstream answered.
func (i *isolation) answered() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.clear()
}

func (i *isolation) clear() {
	if i.isolated {
		klog.InfoS("isolation: upstreams regained")
	}
	i.since, i.unserved, i.isolated = time.Time{}, 0, false
}

// failed notes a request that reached no upstream.
func (i *isolation) failed(now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.unserved == 0 {
		i.since = now
	}
	i.unserved++
	if !i.isolated && i.unserved >= isolatedLeast && now.Sub(i.since) >= isolatedAfter {
		i.isolated, i.at = true, now
		klog.InfoS("isolation: no upstream in reach", "since", now.Sub(i.since), "unserved", i.unserved)
	}
}

// outOfReach reports whether no upstream has answered since some requests
// reached none, and how long the VM has been isolated.
func (i *isolation) outOfReach(now time.Time) (time.Duration, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.isolated {
		return 0, i.unserved >= isolatedLeast
	}
	return now.Sub(i.at), true
}

// now reports whether the VM is isolated.
func (i *isolation) now() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.isolated
}

// gauge is 1 while the VM is isolated.
func (i *isolation) gauge() float64 {
	if i.now() {
		return 1
	}
	return 0
}

// probe connects to some upstreams while the VM is isolated, until ctx ends.
// Without callers only a probe can tell that the upstreams are back.
func (s *Service) probe(ctx context.Context) {
	tick := time.NewTicker(probeTime)
	defer tick.Stop()
	d := dialer(upstreamDial)
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if !s.isolation.now() {
			continue
		}
		addresses := s.fleet.UsableAddresses()
		rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
		for _, a := range addresses[:min(probeUpstreams, len(addresses))] {
			conn, err := d.DialContext(ctx, "tcp", a)
			if err != nil {
				continue // still out of reach
			}
			_ = conn.Close() // nothing was sent
			s.isolation.answered()
			break
		}
	}
}
