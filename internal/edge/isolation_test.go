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
func TestIsolationOfACutZone(t *testing.T) {
	s := &Service{}
	begin := time.Now()
	for i := range 20 {
		s.isolation.failed(begin.Add(time.Duration(i) * 50 * time.Millisecond))
		if i < isolatedLeast {
			assert.False(t, s.isolation.now(), "a few failures say little")
		}
	}
	assert.True(t, s.isolation.now())
	assert.Greater(t, s.returnTime(fleet.AllDown), coldReturn)
	s.isolation.answered()
	assert.False(t, s.isolation.now())
	assert.Equal(t, busyReturn, s.returnTime(fleet.AllDown))
}

func TestOneAnswerIsReachEnough(t *testing.T) {
	var i isolation
	begin := time.Now()
	for n := range 40 {
		i.failed(begin.Add(time.Duration(n) * 50 * time.Millisecond))
		if n%5 == 4 {
			i.answered()
		}
	}
	assert.False(t, i.now())
}
