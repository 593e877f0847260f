package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cranberrypier/cranberrypier/internal/canary"
	"github.com/cranberrypier/cranberrypier/internal/exchange"
	"github.com/cranberrypier/cranberrypier/internal/fleet"
	"github.com/cranberrypier/cranberrypier/internal/routing"
)

func timedAttempt(took time.Duration, workTime, expectedWorkTime float64) *attempt {
	return &attempt{
		pick: &fleet.Pick{
			Upstream: fleet.Upstream{Version: "v2"}, WorkTime: expectedWorkTime,
			ExpectedLatency: time.Duration(100 * expectedWorkTime * float64(time.Millisecond)),
		},
		state: &requestState{req: &exchange.Request{Service: &routing.Service{Name: "s"}, Route: &routing.Route{Name: "r"}}},
		head:  &exchange.Head{Load: &exchange.Load{WorkTime: workTime}}, timeToHead: took, attemptStatus: exchange.Answered,
	}
}

// Guards against a version that is held to be bad because machines of its upstreams report
// that work takes longer there at the moment, and against one that is excused for more than
// that: the figure counts once, also if the expected latency includes it.
func TestReportedSlownessIsHeldAgainstTheVersion(t *testing.T) {
	now := time.Now()
	for _, tt := range []struct {
		took               time.Duration
		workTime, expected float64
		late               bool
	}{
		{450 * time.Millisecond, 0, 1, true},
		{450 * time.Millisecond, 1, 1, true},
		{450 * time.Millisecond, 0.5, 1, true},
		{450 * time.Millisecond, 2.5, 1, false},
		{900 * time.Millisecond, 2.5, 2.5, false},
		{1100 * time.Millisecond, 2.5, 2.5, true},
		{450 * time.Millisecond, 1, 2.5, true},
		{900 * time.Millisecond, 0, 2.5, false},
		{3 * time.Second, 900, 1, true},
	} {
		assert.Equal(t, tt.late, timedAttempt(tt.took, tt.workTime, tt.expected).late(now), "%+v", tt)
	}
	assert.Equal(t, 40*time.Millisecond, timedAttempt(100*time.Millisecond, 2.5, 1).versionPace().PerUnit)
	assert.Equal(t, 100*time.Millisecond, timedAttempt(100*time.Millisecond, 0.5, 1).versionPace().PerUnit)

	// One call in seven, on either version, finds a machine that is slow.
	c := canary.New("vm-1", canary.Exposure{Share: 0.5}, time.Second)
	c.SetRollOut(now, canary.RollOut{Service: "s", NewVersion: "v2", Duration: time.Minute, Phase: canary.InProgress})
	for i := range 280 {
		a := timedAttempt(30*time.Millisecond, 1, 1)
		if i%14 >= 7 {
			a.pick.Version = "v1"
		}
		if a.pick.Version == "v2" && i%7 < 4 { // more of them at the new version, by chance
			a = timedAttempt(90*time.Millisecond, 2.5, 1)
		}
		c.RecordPace(now, a.versionPace())
	}
	for _, counters := range c.Reports(now)[0].CountersByIncarnation {
		assert.NotEmpty(t, counters.New)
		for key, tally := range counters.New {
			assert.Zero(t, tally.Bad, "%q", key)
		}
	}
}
