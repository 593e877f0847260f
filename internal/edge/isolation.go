package edge

import (
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// Thresholds for isolation and probing.
const (
	// The VM counts as isolated once no upstream has been reachable for
	// minUnservedDuration and at least minUnservedRequests requests have failed
	// for lack of an upstream.
	minUnservedDuration = 500 * time.Millisecond
	minUnservedRequests = 3
	// probeInterval is the interval between probe rounds while a service is
	// unreachable.
	probeInterval = 500 * time.Millisecond
	// maxProbesPerRound limits how many upstreams of a service one probe round tries, and
	// maxProbeRoundTime how long it goes on to the next.
	maxProbesPerRound = 16
	maxProbeRoundTime = upstreamDialTimeout
)

// isolation detects that this VM can reach no upstream at all: its zone is
// partitioned from the others and has no usable upstream of its own. The VM
// then reports not ready, so that the platform sends the zone's callers to VMs
// that can serve them.
type isolation struct {
	mu            sync.Mutex
	firstUnserved time.Time // first unserved request since an upstream was last reachable
	isolatedAt    time.Time // when the VM became isolated
	unserved      int
	isolated      bool
}

// recordReachable records that an upstream responded or accepted a connection.
func (i *isolation) recordReachable() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reset()
}

func (i *isolation) reset() {
	if i.isolated {
		klog.InfoS("isolation: an upstream is reachable again")
	}
	i.firstUnserved, i.unserved, i.isolated = time.Time{}, 0, false
}

// recordUnserved records a request that reached no upstream.
func (i *isolation) recordUnserved(now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.unserved == 0 {
		i.firstUnserved = now
	}
	i.unserved++
	if !i.isolated && i.unserved >= minUnservedRequests && now.Sub(i.firstUnserved) >= minUnservedDuration {
		i.isolated, i.isolatedAt = true, now
		klog.InfoS("isolation: no upstream is reachable; this VM reports not ready", "since", now.Sub(i.firstUnserved), "unserved", i.unserved)
	}
}

// status returns how long the VM has been isolated, and whether it is at least
// suspected to be isolated: true if it is isolated, or if at least
// minUnservedRequests requests have failed since an upstream was last reachable.
func (i *isolation) status(now time.Time) (time.Duration, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.isolated {
		return 0, i.unserved >= minUnservedRequests
	}
	return now.Sub(i.isolatedAt), true
}

// isIsolated reports whether the VM is isolated.
func (i *isolation) isIsolated() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.isolated
}

// gauge returns 1 while the VM is isolated, else 0.
func (i *isolation) gauge() float64 {
	if i.isIsolated() {
		return 1
	}
	return 0
}
