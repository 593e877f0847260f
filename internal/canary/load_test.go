package canary

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a verdict that does not say at what load a version was judged.
func TestVerdictStatesTheLoads(t *testing.T) {
	a, b := newWithRollOut("vm-1"), newWithRollOut("vm-2")
	end := func(c *Core, version string, running ...int) {
		for _, n := range running {
			c.AttemptEnded(Outcome{Service: service, Version: version, Route: "r", Conclusive: true, Running: n})
		}
	}
	end(a, newVersion, 1, 3)
	end(a, oldVersion, 4, UnknownRunning)
	end(b, newVersion, 2)
	end(b, oldVersion, 9, 5)
	for _, r := range b.Reports(at(time.Second)) {
		a.Merge(at(time.Second), r)
	}
	verdicts := a.Tick(at(duration + maxHold + time.Second))
	require.Len(t, verdicts, 1)
	assert.Equal(t, Load{Reports: 3, Sum: 6, Most: 3}, verdicts[0].NewLoad)
	assert.Equal(t, Load{Reports: 3, Sum: 18, Most: 9}, verdicts[0].OldLoad)
	assert.InDelta(t, 2, verdicts[0].NewLoad.Mean(), 0)
}
