package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cranberrypier/cranberrypier/internal/fleet"
)

// A partitioned zone has no usable upstream of its own, so every request fails.
// The VM must soon report not ready, and the Retry-After of rejected requests
// must cover the time until the platform sends callers to other VMs.
func TestIsolationOfPartitionedZone(t *testing.T) {
	s := &Proxy{fleet: fleet.New(fleet.Config{})}
	begin := time.Now()
	for i := range 20 {
		s.isolation.recordUnserved(begin.Add(time.Duration(i) * 50 * time.Millisecond))
		if i < minUnservedRequests {
			assert.False(t, s.isolation.isIsolated(), "a few failures must not isolate the VM")
		}
	}
	assert.True(t, s.isolation.isIsolated())
	assert.Greater(t, s.retryAfter(fleet.NoneReachable, "orders"), coldRetryAfter)
	s.isolation.recordReachable()
	assert.False(t, s.isolation.isIsolated())
	assert.Equal(t, shortRetryAfter, s.retryAfter(fleet.NoneReachable, "orders"))
}

func TestOccasionalResponsePreventsIsolation(t *testing.T) {
	var i isolation
	begin := time.Now()
	for n := range 40 {
		i.recordUnserved(begin.Add(time.Duration(n) * 50 * time.Millisecond))
		if n%5 == 4 {
			i.recordReachable()
		}
	}
	assert.False(t, i.isIsolated())
}

// The pause may end between the choice of an upstream and the response.
func TestRetryAfterOfAPauseThatHasJustEnded(t *testing.T) {
	s := &Proxy{fleet: fleet.New(fleet.Config{})}
	for range minUnservedRequests {
		s.isolation.recordUnserved(time.Now())
	}
	assert.Equal(t, shortRetryAfter, s.retryAfter(fleet.AllPaused, "orders"))
}
