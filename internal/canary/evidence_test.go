package canary

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against evidence that is not a number, or has the wrong sign, for many outcomes.
func TestLogHarmFactor(t *testing.T) {
	for _, tt := range []struct {
		name               string
		newTally, oldTally Tally
		bad, good          bool
	}{
		{"nothing is known", Tally{}, Tally{}, false, false},
		{"no outcome of the new version", Tally{}, Tally{Total: 500, Bad: 5}, false, false},
		{"ten good ones", Tally{Total: 10}, Tally{Total: 300}, false, true},
		{"many good ones", Tally{Total: 1_000_000, Bad: 10_000}, Tally{Total: 1_000_000, Bad: 10_000}, false, true},
		{"many bad ones", Tally{Total: 1_000_000, Bad: 400_000}, Tally{Total: 1_000_000, Bad: 10_000}, true, false},
		{"all fail on both", Tally{Total: 1000, Bad: 1000}, Tally{Total: 1000, Bad: 1000}, false, false},
		{"a third of thirty", Tally{Total: 30, Bad: 10}, Tally{Total: 300, Bad: 6}, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := logHarmFactor(tt.newTally, tt.oldTally)
			assert.False(t, math.IsNaN(f) || math.IsInf(f, 0), "%v", f)
			assert.Equal(t, tt.bad, f > math.Log(shownBadFactor), "%v", f)
			assert.Equal(t, tt.good, f < -math.Log(shownGoodFactor), "%v", f)
		})
	}
}

// Guards against a roll-out that is late without a word, or that speaks of it again and
// again.
func TestHeldRollOutIsReportedOnce(t *testing.T) {
	c := newWithRollOut("vm-1")
	for range 60 {
		recordOutcome(c, oldVersion, "r", false)
	}
	recordOutcome(c, newVersion, "r", false)
	assert.Empty(t, c.Tick(at(duration/2)))
	assert.Empty(t, c.NewHolds())
	assert.Empty(t, c.Tick(at(duration)))
	holds := c.NewHolds()
	assert.Len(t, holds, 1)
	assert.Equal(t, "r", holds[0].Key)
	assert.Empty(t, c.NewHolds())
	for range 30 {
		recordOutcome(c, newVersion, "r", false)
	}
	assert.Len(t, c.Tick(at(duration)), 1)
}
