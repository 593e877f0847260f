package canary

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func recordPaces(c *Core, after time.Duration, version string, n int, perUnit func(i int) time.Duration) {
	for i := range n {
		c.RecordPace(at(after), Pace{Service: service, Version: version, Work: "model", PerUnit: perUnit(i), Running: i % 4})
	}
}

func fixed(d time.Duration) func(int) time.Duration { return func(int) time.Duration { return d } }

// busy returns paces as on loaded upstreams: a third is fast, a third is slow.
func busy(i int) time.Duration {
	return []time.Duration{20, 24, 45, 26, 50, 29, 60, 80, 100, 150}[i%10] * time.Millisecond
}

func isReverted(c *Core, after time.Duration) bool {
	for _, v := range c.Tick(at(after)) {
		if v.Phase == Reverted {
			return true
		}
	}
	return false
}

func TestSlowVersionIsJudgedByItsPace(t *testing.T) {
	for _, tt := range []struct {
		name   string
		after  time.Duration
		pace   func(int) time.Duration
		n      int
		judged bool
	}{
		{"four times slower", 8 * time.Second, fixed(90 * time.Millisecond), 5, true},
		{"idle and as fast", 8 * time.Second, fixed(20 * time.Millisecond), 50, false},
		{"somewhat slower", 8 * time.Second, fixed(45 * time.Millisecond), 2 * minAboveIdleOutcomes, true},
		{"somewhat slower, a few of them", 8 * time.Second, fixed(45 * time.Millisecond), 2*minAboveIdleOutcomes - 4, false},
		{"as busy as the old version", 8 * time.Second, busy, 50, false},
		{"too few", 8 * time.Second, fixed(90 * time.Millisecond), minBadOutcomes - 1, false},
		{"after the ramp, as busy as before", 17 * time.Second, busy, 50, false},
		{"after the ramp, somewhat slower", 17 * time.Second, fixed(45 * time.Millisecond), 50, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := New("vm-1", limits, ttl)
			recordPaces(c, -5*time.Second, oldVersion, 60, busy)
			withRollOut(c)
			recordPaces(c, 4*time.Second, oldVersion, 60, busy)
			recordPaces(c, tt.after, newVersion, tt.n, tt.pace)
			assert.Equal(t, tt.judged, isReverted(c, tt.after+100*time.Millisecond))
		})
	}
}

func TestPaceWithoutReferenceSaysNothing(t *testing.T) {
	c := newWithRollOut("vm-1")
	recordPaces(c, 8*time.Second, oldVersion, minPaces-1, fixed(time.Millisecond))
	recordPaces(c, 8*time.Second, newVersion, 50, fixed(time.Second))
	assert.False(t, isReverted(c, 9*time.Second))
}

func TestReferencesAreBounded(t *testing.T) {
	c := New("vm-1", limits, ttl)
	for i := range 3 * maxReferences {
		c.RecordPace(begin, Pace{Service: service, Version: oldVersion, Work: fmt.Sprint(i), PerUnit: time.Millisecond})
	}
	assert.Len(t, c.references, maxReferences)
}

// The estimate is near the fastest tenth, whatever the slow ones are.
func TestReferenceIsTheFastestTenth(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var r reference
	for range 500 {
		sample := 0.02 + 0.01*rng.Float64()
		if rng.IntN(2) == 0 {
			sample *= 1 + 9*rng.Float64()
		}
		r.addPace(sample)
	}
	assert.InDelta(t, 0.024, r.perUnit, 0.006)
}

// Guards against a version about twice as slow that is kept, because the trial brings
// too few attempts to tell it from a busy one.
func TestVersionSlowAtTheSameLoadIsReverted(t *testing.T) {
	for _, tt := range []struct {
		name   string
		factor float64
		n      int
		judged bool
	}{
		{"as fast", 1, 60, false},
		{"somewhat slower", 1.3, 60, false},
		{"twice as slow", 2.2, minLoadedOutcomes + 1, true},
		{"twice as slow, too few", 2.2, minLoadedOutcomes - 1, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newWithRollOut("vm-1")
			record := func(version string, n int, factor float64) {
				for i := range n {
					perUnit := time.Duration(float64(20+2*(i%4)) * factor * float64(time.Millisecond))
					c.RecordPace(at(8*time.Second), Pace{Service: service, Version: version, Work: fmt.Sprint("model-", i%2), PerUnit: perUnit, Running: i % 4})
				}
			}
			record(oldVersion, 120, 1)
			record(newVersion, tt.n, tt.factor)
			assert.Equal(t, tt.judged, isReverted(c, 8*time.Second))
		})
	}
}

func TestReferenceAtHigherLoads(t *testing.T) {
	r := &reference{}
	_, ok := r.atLoad(3)
	assert.False(t, ok)
	for i := range 3 * maxRecentPaces {
		r.add(Pace{PerUnit: time.Duration(10+i%3) * time.Millisecond, Running: 5})
	}
	for _, running := range []int{0, 3, 7} {
		median, ok := r.atLoad(running)
		assert.True(t, ok)
		assert.InDelta(t, 0.011, median, 1e-9)
	}
	for _, running := range []int{8, 1000, UnknownRunning} {
		_, ok = r.atLoad(running)
		assert.False(t, ok, running)
	}
}

// Guards against a good version that is reverted because a few of its first requests
// need much work.
func TestFewLongRequestsRevertNoVersion(t *testing.T) {
	c := newWithRollOut("vm-1")
	longEvery := func(n int) func(int) time.Duration {
		return func(i int) time.Duration {
			if i%n == 0 {
				return 38 * time.Millisecond
			}
			return 12 * time.Millisecond
		}
	}
	recordPaces(c, 8*time.Second, oldVersion, 120, longEvery(14))
	recordPaces(c, 8*time.Second, newVersion, 12, longEvery(3))
	assert.False(t, isReverted(c, 8*time.Second))
	for _, tt := range []struct {
		name          string
		newSide       Tally
		oldSide       Tally
		expectedCalls bool
	}{
		{"three of five", Tally{Total: 5, Bad: 3}, Tally{Total: 45, Bad: 4}, false},
		{"four of twelve", Tally{Total: 12, Bad: 4}, Tally{Total: 120, Bad: 9}, false},
		{"five of six", Tally{Total: 6, Bad: 5}, Tally{Total: 45, Bad: 5}, true},
		{"all of three", Tally{Total: 3, Bad: 3}, Tally{Total: 45, Bad: 4}, true},
	} {
		assert.Equal(t, tt.expectedCalls, isJudgedBad(callPaceKeyPrefix+"route", tt.newSide, tt.oldSide), tt.name)
	}
}

// Guards against a good version of a quick service that is reverted because its
// calls cross zones.
func TestNetworkTimeRevertsNoVersion(t *testing.T) {
	for _, tt := range []struct {
		name   string
		pace   time.Duration
		judged bool
	}{
		{"another zone", 8 * time.Millisecond, false},
		{"slow", 40 * time.Millisecond, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newWithRollOut("vm-1")
			call := func(version string, perUnit time.Duration) {
				c.RecordPace(at(8*time.Second), Pace{Service: service, Version: version, Work: "route", PerUnit: perUnit, Call: true, Running: UnknownRunning})
			}
			for range 60 {
				call(oldVersion, 2*time.Millisecond)
			}
			for range 5 {
				call(newVersion, tt.pace)
			}
			assert.Equal(t, tt.judged, isReverted(c, 8*time.Second))
		})
	}
}
