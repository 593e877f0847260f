package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cranberrypier/cranberrypier/internal/fleet"
)

// A zone is cut off while its own upstreams are withdrawn: every request fails
// for want of an upstream. The VM gives up readiness soon, and callers are told
// to come back when the platform has sent them elsewhere.
func TestIsolationOfPartitionedZone(t *testing.T) {
	s := &Service{}
	begin := time.Now()
	for i := range 20 {
		s.isolation.recordUnserved(begin.Add(time.Duration(i) * 50 * time.Millisecond))
		if i < minUnservedRequests {
			assert.False(t, s.isolation.isIsolated(), "a few failures say little")
		}
	}
	assert.True(t, s.isolation.isIsolated())
	assert.Greater(t, s.retryAfter(fleet.AllDown), coldRetryAfter)
	s.isolation.recordReachable()
	assert.False(t, s.isolation.isIsolated())
	assert.Equal(t, busyRetryAfter, s.retryAfter(fleet.AllDown))
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
