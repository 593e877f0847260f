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
	service    = "pool"
	oldVersion = "v1"
	newVersion = "v2"
	exposure   = 0.15
	duration   = 24 * time.Second
	ttl        = 5 * time.Second
)

var (
	begin    = time.Unix(1000, 0)
	limits   = Exposure{Share: exposure, Tolerance: exposureTolerance}
	versions = []string{oldVersion, newVersion}
)

func at(d time.Duration) time.Time { return begin.Add(d) }

func withRollOut(c *Core) *Core {
	c.SetRollOut(begin, RollOut{Service: service, NewVersion: newVersion, Duration: duration})
	return c
}

func newWithRollOut(name string) *Core { return withRollOut(New(name, limits, ttl)) }

// chosenVersion returns the version for a request if both have upstreams.
func chosenVersion(c *Core, now time.Time, session, id string) string {
	rule := c.Choose(now, service, session, id, versions)
	if rule.Preferred(newVersion) {
		return newVersion
	}
	return oldVersion
}

func shareOnNewVersion(c *Core, now time.Time) float64 {
	n := 0
	const all = 5000
	for i := range all {
		if chosenVersion(c, now, fmt.Sprintf("session-%d", i), "id") == newVersion {
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
		{"no sessions while the VMs exchange their sessions", time.Second, 0, 0},
		{"the trial stays below the exposure", 6 * time.Second, 0.05, exposure * 0.75},
		{"the trial lasts beyond the first half", 12 * time.Second, 0.05, exposure * 0.75},
		{"all sessions after the ramp", 16 * time.Second, 1, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			share := shareOnNewVersion(newWithRollOut("vm-1"), at(tt.after))
			assert.GreaterOrEqual(t, share, tt.from)
			assert.LessOrEqual(t, share, tt.to)
		})
	}
}

func TestAllVMsChooseTheSameVersion(t *testing.T) {
	a, b := newWithRollOut("vm-1"), newWithRollOut("vm-2")
	for i := range 2000 {
		session := fmt.Sprintf("session-%d", i)
		assert.Equal(t, chosenVersion(a, at(6*time.Second), session, "x"), chosenVersion(b, at(6*time.Second), session, "y"))
	}
}

func TestSessionKeepsItsVersionInTheTrial(t *testing.T) {
	c := newWithRollOut("vm-1")
	for i := range 500 {
		session := fmt.Sprintf("session-%d", i)
		c.AttemptStarted(at(time.Second), service, session, oldVersion)
	}
	assert.Zero(t, countOnNewVersion(c, at(3*time.Second), 500))
}

func countOnNewVersion(c *Core, now time.Time, n int) int {
	count := 0
	for i := range n {
		if chosenVersion(c, now, fmt.Sprintf("session-%d", i), "id") == newVersion {
			count++
		}
	}
	return count
}

// A session that uses the old version on one VM must stay on it when its next
// request reaches another VM.
func TestSessionStaysOnOldVersionAcrossVMs(t *testing.T) {
	a, b := newWithRollOut("vm-1"), newWithRollOut("vm-2")
	for i := range 500 {
		a.AttemptStarted(at(time.Second), service, fmt.Sprintf("session-%d", i), oldVersion)
	}
	for range 5 {
		for _, r := range a.Reports(at(2 * time.Second)) {
			b.Merge(at(2*time.Second), r)
		}
	}
	assert.Zero(t, countOnNewVersion(b, at(3*time.Second), 500))
}

func TestSessionStaysOnNewVersion(t *testing.T) {
	c := newWithRollOut("vm-1")
	c.AttemptStarted(at(5*time.Second), service, "s", newVersion)
	assert.Equal(t, newVersion, chosenVersion(c, at(6*time.Second), "s", "x"))
	rule := c.Choose(at(6*time.Second), service, "s", "x", versions)
	require.NotNil(t, rule.Fallback, "the session must be served even if the new version has no upstreams")
}

func TestNewVersionIsNotUsedBeforeItsRollOut(t *testing.T) {
	c := New("vm-1", limits, ttl)
	c.Choose(begin, service, "", "x", []string{oldVersion})
	rule := c.Choose(at(time.Second), service, "", "x", versions)
	assert.True(t, rule.Preferred(oldVersion))
	assert.False(t, rule.Preferred(newVersion))
	rule = c.Choose(at(2*time.Second), service, "", "x", []string{newVersion})
	assert.True(t, rule.Preferred(newVersion), "the old version is no longer listed")
}

func TestIsWorse(t *testing.T) {
	for _, tt := range []struct {
		name     string
		newSide  Tally
		oldSide  Tally
		expected bool
	}{
		{"no outcomes", Tally{}, Tally{}, false},
		{"all good", Tally{Total: 50}, Tally{Total: 500}, false},
		{"two failures are too few", Tally{Total: 2, Bad: 2}, Tally{Total: 500}, false},
		{"a third fails", Tally{Total: 10, Bad: 3}, Tally{Total: 500, Bad: 2}, true},
		{"all fail", Tally{Total: 3, Bad: 3}, Tally{Total: 100, Bad: 3}, true},
		{"as bad as the old version", Tally{Total: 30, Bad: 5}, Tally{Total: 300, Bad: 50}, false},
		{"a few failures among many", Tally{Total: 100, Bad: 4}, Tally{Total: 900, Bad: 9}, false},
		{"twice as bad while much fails", Tally{Total: 30, Bad: 24}, Tally{Total: 200, Bad: 80}, true},
		{"twice as bad in few outcomes while much fails", Tally{Total: 20, Bad: 16}, Tally{Total: 200, Bad: 80}, false},
		{"a fifth more while a seventh fails", Tally{Total: 120, Bad: 38}, Tally{Total: 300, Bad: 42}, true},
		{"somewhat worse while much fails", Tally{Total: 20, Bad: 9}, Tally{Total: 200, Bad: 70}, false},
	} {
		t.Run(tt.name, func(t *testing.T) { assert.Equal(t, tt.expected, isJudgedBad("route", tt.newSide, tt.oldSide)) })
	}
}

func recordOutcome(c *Core, v, route string, bad bool) {
	c.AttemptStarted(begin, service, "", v)
	c.AttemptEnded(Outcome{Service: service, Version: v, Route: route, Conclusive: true, Bad: bad})
}

func TestVersionBadOnOneRouteIsReverted(t *testing.T) {
	c := newWithRollOut("vm-1")
	for range 60 {
		recordOutcome(c, newVersion, "good", false)
		recordOutcome(c, oldVersion, "good", false)
		recordOutcome(c, oldVersion, "bad", false)
	}
	for range 4 {
		recordOutcome(c, newVersion, "bad", true)
	}
	verdicts := c.Tick(at(8 * time.Second))
	require.Len(t, verdicts, 1)
	assert.Equal(t, Reverted, verdicts[0].Phase)
	assert.Equal(t, oldVersion, chosenVersion(c, at(8*time.Second), "any", "x"))
}

// Guards against a good version that is reverted because a few of its first requests
// fail on every version.
func TestFailuresByChanceRevertNoVersion(t *testing.T) {
	for _, tt := range []struct {
		name     string
		newSide  Tally
		oldSide  Tally
		expected bool
	}{
		{"three of nine", Tally{Total: 9, Bad: 3}, Tally{Total: 60, Bad: 6}, false},
		{"three of eight", Tally{Total: 8, Bad: 3}, Tally{Total: 50, Bad: 4}, false},
		{"four of eight", Tally{Total: 8, Bad: 4}, Tally{Total: 43, Bad: 5}, false},
		{"half of eight, few failures before", Tally{Total: 8, Bad: 4}, Tally{Total: 60, Bad: 3}, false},
		{"half of sixteen, few failures before", Tally{Total: 16, Bad: 8}, Tally{Total: 60, Bad: 3}, true},
		{"half of sixteen, some failures before", Tally{Total: 16, Bad: 8}, Tally{Total: 60, Bad: 9}, false},
		{"half, some failures before", Tally{Total: 40, Bad: 20}, Tally{Total: 60, Bad: 9}, true},
		{"six of nine", Tally{Total: 9, Bad: 6}, Tally{Total: 139, Bad: 22}, false},
		{"seven of 26", Tally{Total: 26, Bad: 7}, Tally{Total: 156, Bad: 18}, false},
	} {
		t.Run(tt.name, func(t *testing.T) { assert.Equal(t, tt.expected, isJudgedBad("route", tt.newSide, tt.oldSide)) })
	}
}

// Guards against a good version that is reverted because its first requests come on
// a route that fails on every version.
func TestRouteThatAlwaysFailsRevertsNoVersion(t *testing.T) {
	c := newWithRollOut("vm-1")
	for i := range 78 {
		recordOutcome(c, oldVersion, "good", false)
		if i%13 == 0 {
			recordOutcome(c, oldVersion, "failing", true)
		}
	}
	recordOutcome(c, newVersion, "good", false)
	for range 3 {
		recordOutcome(c, newVersion, "failing", true)
	}
	assert.Empty(t, c.Tick(at(8*time.Second)))
	for range 4 {
		recordOutcome(c, newVersion, "good", true)
	}
	assert.True(t, isReverted(c, 8*time.Second), "the other route fails on the new version only")
}

// No VM has enough outcomes on its own; only the pooled outcomes show that the
// version is bad.
func TestPooledVerdict(t *testing.T) {
	cores := make([]*Core, 8)
	for i := range cores {
		cores[i] = newWithRollOut(fmt.Sprintf("vm-%d", i))
		for range 40 {
			recordOutcome(cores[i], oldVersion, "r", false)
		}
		recordOutcome(cores[i], newVersion, "r", i%2 == 0)
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
	c := newWithRollOut("vm-1")
	for range 100 {
		recordOutcome(c, newVersion, "r", false)
		recordOutcome(c, oldVersion, "r", false)
	}
	c.AttemptStarted(at(10*time.Second), service, "", oldVersion)
	assert.Empty(t, c.Tick(at(18*time.Second)), "a request still runs on the old version")
	verdicts := c.Tick(at(22 * time.Second))
	require.Len(t, verdicts, 1, "the roll-out's duration is nearly over")
	assert.Equal(t, Completed, verdicts[0].Phase)
}

func TestReportedPhaseIsFinal(t *testing.T) {
	c := newWithRollOut("vm-1")
	c.SetRollOut(at(time.Second), RollOut{Service: service, NewVersion: newVersion, Duration: duration, Phase: Reverted})
	c.SetRollOut(at(2*time.Second), RollOut{Service: service, NewVersion: newVersion, Duration: duration})
	assert.Equal(t, oldVersion, chosenVersion(c, at(20*time.Second), "s", "x"))
	c.SetRollOut(at(3*time.Second), RollOut{Service: service, NewVersion: "v3", Duration: duration})
	rule := c.Choose(at(3*time.Second+duration), service, "s", "x", []string{oldVersion, "v3"})
	assert.True(t, rule.Preferred("v3"), "a new roll-out starts from the beginning")
}

func TestLateVMReceivesRollOutAge(t *testing.T) {
	late := New("vm-late", limits, ttl)
	late.SetRollOut(at(16*time.Second), RollOut{Service: service, NewVersion: newVersion, Duration: duration})
	assert.Equal(t, oldVersion, chosenVersion(late, at(17*time.Second), "any", "x"))
	for _, r := range newWithRollOut("vm-1").Reports(at(16 * time.Second)) {
		late.Merge(at(16*time.Second), r)
	}
	assert.Equal(t, newVersion, chosenVersion(late, at(17*time.Second), "any", "x"))
}

// Guards against a bad version receiving more than the allowed exposure or not
// being judged as bad soon, and against a good version being judged as bad, also if
// VMs receive reports late. The seeds vary the share of bad outcomes, the traffic and
// the loss of reports.
func TestRandomRollOuts(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { randomRollOut(t, rand.New(rand.NewPCG(seed, 7))) })
	}
}

func randomRollOut(t *testing.T, rng *rand.Rand) {
	const vms = 8
	badShare := []float64{0, 0.33, 0.6}[rng.IntN(3)]
	perTick := 3 + rng.IntN(4)
	lossRate := rng.Float64() * 0.5
	cores := make([]*Core, vms)
	for i := range cores {
		cores[i] = New(fmt.Sprintf("vm-%d", i), limits, ttl)
		cores[i].SetRollOut(at(time.Duration(rng.IntN(300))*time.Millisecond), RollOut{Service: service, NewVersion: newVersion, Duration: duration})
	}
	all, exposed, reverted := 0, 0, false
	for now := 300 * time.Millisecond; now < duration && !reverted; now += 100 * time.Millisecond {
		for range perTick {
			c := cores[rng.IntN(vms)]
			session := fmt.Sprintf("s%d", rng.IntN(4000))
			v := chosenVersion(c, at(now), session, "")
			c.AttemptStarted(at(now), service, session, v)
			all++
			bad := rng.Float64() < 0.01
			if v == newVersion {
				exposed++
				bad = bad || rng.Float64() < badShare
			}
			c.AttemptEnded(Outcome{Service: service, Version: v, Route: "r", Conclusive: true, Bad: bad})
		}
		if now%time.Second == 0 {
			exchangeReports(rng, cores, at(now), lossRate)
		}
		for _, c := range cores {
			for _, v := range c.Tick(at(now)) {
				reverted = reverted || v.Phase == Reverted
			}
		}
	}
	if badShare == 0 {
		assert.False(t, reverted, "a good version was judged as bad")
		return
	}
	assert.True(t, reverted, "a bad version was not judged as bad")
	expectedTotal := perTick * 10 * int(duration.Seconds())
	assert.LessOrEqual(t, float64(exposed), exposure*float64(expectedTotal)+30)
}

func exchangeReports(rng *rand.Rand, cores []*Core, now time.Time, lossRate float64) {
	for _, from := range cores {
		for _, r := range from.Reports(now) {
			for _, to := range cores {
				if rng.Float64() >= lossRate {
					to.Merge(now, r)
				}
			}
		}
	}
}

// The store may come back from an older copy, which lacks the verdict or still has
// an earlier roll-out.
func TestStoreRestored(t *testing.T) {
	c := newWithRollOut("vm-1")
	done := RollOut{Service: service, NewVersion: newVersion, Duration: duration, Phase: Completed}
	require.True(t, c.SetRollOut(at(20*time.Second), done))
	assert.Empty(t, c.Tick(at(21*time.Second)))
	c.StoreRestored(at(22 * time.Second))
	withRollOut(c)
	verdicts := c.Tick(at(22 * time.Second))
	require.Len(t, verdicts, 1, "the verdict is due again")
	assert.Equal(t, Completed, verdicts[0].Phase)
	require.True(t, c.SetRollOut(at(23*time.Second), done))
	assert.Empty(t, c.Tick(at(23*time.Second)))

	next := RollOut{Service: service, NewVersion: "v3", Duration: duration}
	require.True(t, c.SetRollOut(at(24*time.Second), next))
	c.StoreRestored(at(25 * time.Second))
	assert.False(t, c.SetRollOut(at(25*time.Second), done), "a roll-out that was replaced")
	assert.True(t, c.SetRollOut(at(25*time.Second), next))
	assert.True(t, c.SetRollOut(at(25*time.Second).Add(rewriteTimeout), done), "operators may go back to a version")
}

// largeFleet is a fleet whose VMs send their reports to a few others, as package
// gossip does.
type largeFleet struct {
	rng   *rand.Rand
	cores []*Core
}

func newLargeFleet(seed uint64, vms int) *largeFleet {
	f := &largeFleet{rng: rand.New(rand.NewPCG(seed, 3))}
	for i := range vms {
		f.cores = append(f.cores, New(fmt.Sprintf("vm-%d", i), limits, ttl))
	}
	return f
}

func (f *largeFleet) exchange(now time.Time, targets int) {
	for _, from := range f.cores {
		for _, r := range from.Reports(now) {
			for range targets {
				if f.rng.Float64() > 0.05 {
					f.cores[f.rng.IntN(len(f.cores))].Merge(now, r)
				}
			}
		}
	}
}

// session is a caller's session whose requests reach any VM.
type session struct {
	name    string
	version string
	endedAt time.Duration
	nextAt  time.Duration
}

// Sessions whose requests reach any VM of a large fleet must keep their version
// during the trial, also those that began just before it.
func TestSessionsKeepTheirVersionInALargeFleet(t *testing.T) {
	const vms, sessionCount, step = 295, 3000, 100 * time.Millisecond
	for seed := range uint64(2) {
		f := newLargeFleet(seed, vms)
		sessions := make([]session, sessionCount)
		for i := range sessions {
			sessions[i].name = fmt.Sprint("s", i)
			sessions[i].nextAt = time.Duration(f.rng.Int64N(int64(5 * time.Second)))
		}
		moved, onNew := 0, 0
		const announcedAt = 4 * time.Second
		for now := time.Duration(0); now < announcedAt+duration/2; now += step {
			if now >= announcedAt && now < announcedAt+300*time.Millisecond {
				for i := range f.cores { // the VMs receive the roll-out within 0.3 s
					if i%3 == int((now-announcedAt)/step) {
						f.cores[i].SetRollOut(at(now), RollOut{Service: service, NewVersion: newVersion, Duration: duration})
					}
				}
			}
			for i := range sessions {
				s := &sessions[i]
				if now < s.nextAt {
					continue
				}
				c := f.cores[f.rng.IntN(vms)]
				v := chosenVersion(c, at(now), s.name, "")
				if now < announcedAt+300*time.Millisecond {
					v = oldVersion // not all VMs list the new version yet
				}
				if s.version != "" && s.version != v && now-s.endedAt < ttl {
					moved++
				}
				if v == newVersion {
					onNew++
				}
				c.AttemptStarted(at(now), service, s.name, v)
				s.version, s.endedAt = v, now+400*time.Millisecond
				s.nextAt = s.endedAt + time.Duration(f.rng.Int64N(int64(ttl)))
				if f.rng.IntN(3) == 0 { // the next request begins another session
					s.name, s.version = fmt.Sprint(s.name, "+"), ""
				}
			}
			interval := time.Second
			if f.cores[0].IsUrgent(at(now)) {
				interval = 200 * time.Millisecond
			}
			if now%interval == 0 {
				f.exchange(at(now), 12)
			}
		}
		assert.LessOrEqual(t, moved, 1, "seed %d: sessions that changed their version", seed)
		assert.Greater(t, onNew, 100, "seed %d: requests on the new version", seed)
	}
}
