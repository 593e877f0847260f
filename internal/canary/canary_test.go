package canary

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	service  = "pool"
	oldV     = "v1"
	newV     = "v2"
	exposure = 0.15
	duration = 24 * time.Second
	ttl      = 5 * time.Second
)

var (
	begin    = time.Unix(1000, 0)
	versions = []string{oldV, newV}
)

func at(d time.Duration) time.Time { return begin.Add(d) }

func ordered(c *Core) *Core {
	c.SetRollOut(begin, RollOut{Service: service, Target: newV, Duration: duration})
	return c
}

func newOrdered(name string) *Core { return ordered(New(name, exposure, ttl)) }

// version is where a request runs when both versions have upstreams.
func version(c *Core, now time.Time, session, id string) string {
	rule := c.Choose(now, service, session, id, versions)
	if rule.Preferred(newV) {
		return newV
	}
	return oldV
}

func shareOf(c *Core, now time.Time) float64 {
	n := 0
	const all = 5000
	for i := range all {
		if version(c, now, fmt.Sprintf("session-%d", i), "id") == newV {
			n++
		}
	}
	return float64(n) / all
}

func TestShareOfTheNewVersion(t *testing.T) {
	for _, tt := range []struct {
		name     string
		after    time.Duration
		from, to float64
	}{
		{"the quiet time belongs to the old version", time.Second, 0, 0},
		{"the trial stays below the exposure", 6 * time.Second, 0.05, exposure * 0.75},
		{"the trial lasts beyond the first half", 12 * time.Second, 0.05, exposure * 0.75},
		{"all sessions after the ramp", 16 * time.Second, 1, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			share := shareOf(newOrdered("vm-1"), at(tt.after))
			assert.GreaterOrEqual(t, share, tt.from)
			assert.LessOrEqual(t, share, tt.to)
		})
	}
}

func TestAllVMsChooseAlike(t *testing.T) {
	a, b := newOrdered("vm-1"), newOrdered("vm-2")
	for i := range 2000 {
		session := fmt.Sprintf("session-%d", i)
		assert.Equal(t, version(a, at(6*time.Second), session, "x"), version(b, at(6*time.Second), session, "y"))
	}
}

func TestSessionKeepsItsVersionInTheTrial(t *testing.T) {
	c := newOrdered("vm-1")
	for i := range 500 {
		session := fmt.Sprintf("session-%d", i)
		c.AttemptStarted(at(time.Second), service, session, oldV)
	}
	assert.Zero(t, shareOfRange(c, at(3*time.Second), 500))
}

func shareOfRange(c *Core, now time.Time, n int) int {
	moved := 0
	for i := range n {
		if version(c, now, fmt.Sprintf("session-%d", i), "id") == newV {
			moved++
		}
	}
	return moved
}

// A session that one VM has on the old version must stay there also when its
// next request reaches another VM.
func TestOtherVMsKeepTheSessionToo(t *testing.T) {
	a, b := newOrdered("vm-1"), newOrdered("vm-2")
	for i := range 500 {
		a.AttemptStarted(at(time.Second), service, fmt.Sprintf("session-%d", i), oldV)
	}
	for range 5 {
		for _, r := range a.Reports(at(2 * time.Second)) {
			b.Merge(at(2*time.Second), r)
		}
	}
	assert.Zero(t, shareOfRange(b, at(3*time.Second), 500))
}

func TestSessionOnTheNewVersionStays(t *testing.T) {
	c := newOrdered("vm-1")
	c.AttemptStarted(at(5*time.Second), service, "s", newV)
	assert.Equal(t, newV, version(c, at(6*time.Second), "s", "x"))
	rule := c.Choose(at(6*time.Second), service, "s", "x", versions)
	require.NotNil(t, rule.Fallback, "without upstreams of the new version the session must be served")
}

func TestNewVersionIsNotUsedBeforeItsOrder(t *testing.T) {
	c := New("vm-1", exposure, ttl)
	c.Choose(begin, service, "", "x", []string{oldV})
	rule := c.Choose(at(time.Second), service, "", "x", versions)
	assert.True(t, rule.Preferred(oldV))
	assert.False(t, rule.Preferred(newV))
	rule = c.Choose(at(2*time.Second), service, "", "x", []string{newV})
	assert.True(t, rule.Preferred(newV), "the old version is gone")
}

func TestIsWorse(t *testing.T) {
	for _, tt := range []struct {
		name     string
		newSide  Tally
		oldSide  Tally
		expected bool
	}{
		{"nothing seen", Tally{}, Tally{}, false},
		{"all good", Tally{Total: 50}, Tally{Total: 500}, false},
		{"two failures say little", Tally{Total: 2, Bad: 2}, Tally{Total: 500}, false},
		{"a third fails", Tally{Total: 10, Bad: 3}, Tally{Total: 500, Bad: 2}, true},
		{"all fail", Tally{Total: 3, Bad: 3}, Tally{Total: 100, Bad: 3}, true},
		{"as bad as the old version", Tally{Total: 30, Bad: 5}, Tally{Total: 300, Bad: 50}, false},
		{"a few failures among many", Tally{Total: 100, Bad: 4}, Tally{Total: 900, Bad: 9}, false},
		{"twice as bad while much fails", Tally{Total: 20, Bad: 16}, Tally{Total: 200, Bad: 80}, true},
		{"somewhat worse while much fails", Tally{Total: 20, Bad: 9}, Tally{Total: 200, Bad: 70}, false},
	} {
		t.Run(tt.name, func(t *testing.T) { assert.Equal(t, tt.expected, bad(tt.newSide, tt.oldSide)) })
	}
}

func ended(c *Core, v, route string, wrong bool) {
	c.AttemptStarted(begin, service, "", v)
	c.AttemptEnded(Outcome{Service: service, Version: v, Route: route, Conclusive: true, Bad: wrong})
}

func TestBadOnOneRouteOnly(t *testing.T) {
	c := newOrdered("vm-1")
	for range 60 {
		ended(c, newV, "good", false)
		ended(c, oldV, "good", false)
		ended(c, oldV, "sick", false)
	}
	for range 4 {
		ended(c, newV, "sick", true)
	}
	verdicts := c.Tick(at(8 * time.Second))
	require.Len(t, verdicts, 1)
	assert.Equal(t, Reverted, verdicts[0].Phase)
	assert.Equal(t, oldV, version(c, at(8*time.Second), "any", "x"))
}

// Each VM sees too little; together they see that the version is bad.
func TestPooledVerdict(t *testing.T) {
	cores := make([]*Core, 8)
	for i := range cores {
		cores[i] = newOrdered(fmt.Sprintf("vm-%d", i))
		for range 40 {
			ended(cores[i], oldV, "r", false)
		}
		ended(cores[i], newV, "r", i%2 == 0)
		assert.Empty(t, cores[i].Tick(at(6*time.Second)))
	}
	for range 4 {
		for _, from := range cores {
			for _, r := range from.Reports(at(6 * time.Second)) {
				for _, to := range cores {
					to.Merge(at(6*time.Second), r)
				}
			}
		}
	}
	for _, c := range cores {
		assert.NotEmpty(t, c.Tick(at(7*time.Second)))
	}
}

func TestGoodVersionIsCompletedInTime(t *testing.T) {
	c := newOrdered("vm-1")
	for range 100 {
		ended(c, newV, "r", false)
		ended(c, oldV, "r", false)
	}
	c.AttemptStarted(at(10*time.Second), service, "", oldV)
	assert.Empty(t, c.Tick(at(18*time.Second)), "a request still runs on the old version")
	verdicts := c.Tick(at(22 * time.Second))
	require.Len(t, verdicts, 1, "the order's time is nearly over")
	assert.Equal(t, Completed, verdicts[0].Phase)
}

func TestReportedPhaseIsFinal(t *testing.T) {
	c := newOrdered("vm-1")
	c.SetRollOut(at(time.Second), RollOut{Service: service, Target: newV, Duration: duration, Phase: Reverted})
	c.SetRollOut(at(2*time.Second), RollOut{Service: service, Target: newV, Duration: duration})
	assert.Equal(t, oldV, version(c, at(20*time.Second), "s", "x"))
	c.SetRollOut(at(3*time.Second), RollOut{Service: service, Target: "v3", Duration: duration})
	rule := c.Choose(at(3*time.Second+duration), service, "s", "x", []string{oldV, "v3"})
	assert.True(t, rule.Preferred("v3"), "a new order begins anew")
}

func TestLateVMReceivesRollOutAge(t *testing.T) {
	late := New("vm-late", exposure, ttl)
	late.SetRollOut(at(16*time.Second), RollOut{Service: service, Target: newV, Duration: duration})
	assert.Equal(t, oldV, version(late, at(17*time.Second), "any", "x"))
	for _, r := range newOrdered("vm-1").Reports(at(16 * time.Second)) {
		late.Merge(at(16*time.Second), r)
	}
	assert.Equal(t, newV, version(late, at(17*time.Second), "any", "x"))
}

// A bad version gets at most the allowed exposure, also with VMs that hear of
// each other late, and is condemned soon; a good one never is. The seeds vary
// the share of bad answers, the traffic and the loss of reports.
func TestRandomRollOuts(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { randomRollOut(t, rand.New(rand.NewPCG(seed, 7))) })
	}
}

func randomRollOut(t *testing.T, rng *rand.Rand) {
	const vms = 8
	badShare := []float64{0, 0.33, 0.6}[rng.IntN(3)]
	perTick := 3 + rng.IntN(4)
	lost := rng.Float64() * 0.5
	cores := make([]*Core, vms)
	for i := range cores {
		cores[i] = New(fmt.Sprintf("vm-%d", i), exposure, ttl)
		cores[i].SetRollOut(at(time.Duration(rng.IntN(300))*time.Millisecond), RollOut{Service: service, Target: newV, Duration: duration})
	}
	all, exposed, reverted := 0, 0, false
	for now := 300 * time.Millisecond; now < duration && !reverted; now += 100 * time.Millisecond {
		for range perTick {
			c := cores[rng.IntN(vms)]
			session := fmt.Sprintf("s%d", rng.IntN(4000))
			v := version(c, at(now), session, "")
			c.AttemptStarted(at(now), service, session, v)
			all++
			wrong := rng.Float64() < 0.01
			if v == newV {
				exposed++
				wrong = wrong || rng.Float64() < badShare
			}
			c.AttemptEnded(Outcome{Service: service, Version: v, Route: "r", Conclusive: true, Bad: wrong})
		}
		if now%time.Second == 0 {
			exchange(rng, cores, at(now), lost)
		}
		for _, c := range cores {
			for _, v := range c.Tick(at(now)) {
				reverted = reverted || v.Phase == Reverted
			}
		}
	}
	if badShare == 0 {
		assert.False(t, reverted, "a good version was condemned")
		return
	}
	assert.True(t, reverted, "a bad version was not condemned")
	expectedTotal := perTick * 10 * int(duration.Seconds())
	assert.LessOrEqual(t, float64(exposed), exposure*float64(expectedTotal)+30)
}

func exchange(rng *rand.Rand, cores []*Core, now time.Time, lost float64) {
	for _, from := range cores {
		for _, r := range from.Reports(now) {
			for _, to := range cores {
				if rng.Float64() >= lost {
					to.Merge(now, r)
				}
			}
		}
	}
}
