package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

const (
	// ruleWindow, ruleFactor and ruleSlack bound the requests to an upstream with a limit:
	// in each window ruleFactor times what the limit allows, and ruleSlack.
	ruleWindow = 4 * time.Second
	ruleFactor = 1.5
	ruleSlack  = 5
	// minUse is the least share of a limit that is used while there is work for it.
	minUse = 0.8
)

// sharedLimit is a limit that the turns of many VMs divide, without inventory or
// messages.
type sharedLimit struct {
	perSecond float64
	turns     []turns
	offsets   []time.Duration // of the VMs' clocks
	down      []bool
	sent      []time.Time
}

func newSharedLimit(perSecond float64, vms int, maxOffset time.Duration, rng *rand.Rand) *sharedLimit {
	s := &sharedLimit{perSecond: perSecond, turns: make([]turns, vms), offsets: make([]time.Duration, vms), down: make([]bool, vms)}
	for i := range s.offsets {
		if maxOffset > 0 && rng.IntN(3) == 0 {
			s.offsets[i] = time.Duration(rng.Int64N(int64(2*maxOffset))) - maxOffset
		}
	}
	return s
}

// step lets each VM that is up and has work send what it may.
func (s *sharedLimit) step(now time.Time, hasWork func(vm int) bool) {
	for i := range s.turns {
		if s.down[i] {
			continue
		}
		t := &s.turns[i]
		t.advance(now.Add(s.offsets[i]), limitShare*s.perSecond, turnOrder{rank: i, vms: len(s.turns)})
		for len(t.unused) > 0 && hasWork(i) {
			t.take()
			s.sent = append(s.sent, now)
		}
	}
}

// most returns the most requests in a window, and mean the requests per second.
func (s *sharedLimit) most() int {
	most, first := 0, 0
	for i := range s.sent {
		for s.sent[i].Sub(s.sent[first]) >= ruleWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (s *sharedLimit) allowed() float64 {
	return ruleFactor*s.perSecond*ruleWindow.Seconds() + ruleSlack
}

// Guards against VMs that together exceed a limit, or leave it unused.
func TestTurnsKeepALimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Custom(func(t *rapid.T) float64 {
			return float64(rapid.IntRange(1, 1000).Draw(t, "n")) * []float64{0.05, 0.1, 0.5}[rapid.IntRange(0, 2).Draw(t, "unit")]
		}).Draw(t, "perSecond")
		vms := rapid.IntRange(1, 330).Draw(t, "vms")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		maxOffset := time.Duration(rapid.IntRange(0, 3).Draw(t, "maxOffset")) * time.Second
		churn := rapid.Bool().Draw(t, "churn")
		s := newSharedLimit(perSecond, vms, maxOffset, rng)
		begin := time.Unix(1_800_000_000, rng.Int64N(1e9))
		const steps, step = 600, 50 * time.Millisecond // 30 s
		for i := range steps {
			if churn && i%20 == 0 {
				vm := rng.IntN(vms)
				s.down[vm] = !s.down[vm]
				if rng.IntN(2) == 0 {
					s.turns[vm] = turns{} // a restart instead of a freeze
				}
			}
			s.step(begin.Add(time.Duration(i)*step), func(int) bool { return true })
		}
		if got := float64(s.most()); got > s.allowed() {
			t.Fatalf("%v requests in %v, allowed %v", got, ruleWindow, s.allowed())
		}
		if want := minUse * perSecond * steps * step.Seconds(); !churn && float64(len(s.sent)) < want-1 {
			t.Fatalf("%d requests, %.1f wanted", len(s.sent), want)
		}
	})
}

// Guards against unused turns that are saved up for a burst.
func TestTurnsAreNotSavedUp(t *testing.T) {
	for _, perSecond := range []float64{0.1, 1, 7.5, 100} {
		for _, vms := range []int{1, 7, 60, 300} {
			s := newSharedLimit(perSecond, vms, 0, nil)
			begin := time.Unix(1_800_000_000, 0)
			for i := range 400 {
				s.step(begin.Add(time.Duration(i)*50*time.Millisecond), func(int) bool { return i >= 300 })
			}
			assert.LessOrEqual(t, float64(s.most()), s.allowed(), "%v a second, %d VMs", perSecond, vms)
		}
	}
}

// Guards against VMs that stop sending, or burst, after their clocks were set.
func TestTurnsAfterTheClockWasSet(t *testing.T) {
	for _, jump := range []time.Duration{-time.Hour, -2 * time.Second, 2 * time.Second, time.Hour} {
		s := newSharedLimit(2, 7, 0, nil)
		begin := time.Unix(1_800_000_000, 0)
		for i := range 800 {
			if i == 300 {
				for vm := range 3 {
					s.offsets[vm] = jump
				}
			}
			s.step(begin.Add(time.Duration(i)*50*time.Millisecond), func(int) bool { return true })
		}
		assert.LessOrEqual(t, float64(s.most()), s.allowed(), "%v", jump)
		last := slices.IndexFunc(s.sent, func(at time.Time) bool { return at.After(begin.Add(30 * time.Second)) })
		assert.GreaterOrEqual(t, len(s.sent)-last, int(minUse*2*10), "%v", jump)
	}
}

// limitedFleet returns a fleet of several VMs with two upstreams, of which the first names
// a limit.
func limitedFleet(now time.Time) *Fleet {
	f := New(Config{VM: "vm-1", Zone: "a"})
	f.Replace(now, []Upstream{
		{ID: "u1", Service: "s", Zone: "a", Version: "v1", Slots: 8, Incarnation: 1},
		{ID: "u2", Service: "s", Zone: "a", Version: "v1", Slots: 8, Incarnation: 1},
	})
	f.SetVMs([]string{"vm-1", "vm-2", "vm-3", "vm-4"})
	return f
}

func anyVersion() Query {
	return Query{Service: "s", FirstAttempt: true, AllowVersion: func(string) bool { return true }}
}

func pickOf(f *Fleet, id string) *Pick { return &Pick{Upstream: f.members[id].Upstream} }

func TestLimitedUpstreamIsPassedOver(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	f := limitedFleet(now)
	now = now.Add(time.Minute)
	assert.Equal(t, LimitChange{After: 1}, f.RecordLimit(now, pickOf(f, "u1"), 1))
	counts := make(map[string]int)
	for i := range 400 {
		at := now.Add(time.Duration(i) * 50 * time.Millisecond)
		p, reason := f.Pick(at, anyVersion())
		assert.Equal(t, Picked, reason)
		counts[p.ID]++
		f.Done(at, p, OutcomeSuccess)
	}
	assert.InDelta(t, limitShare*20/4, counts["u1"], 1, "this VM's share in 20 s")
	f.RecordLimit(now.Add(20*time.Second), pickOf(f, "u2"), 0.5)
	q := anyVersion()
	q.Exclude = []string{"u1"}
	_, reason := f.Pick(now.Add(20*time.Second), q)
	assert.Equal(t, AllLimited, reason)
	wait := f.LimitWait(now.Add(20*time.Second), "s")
	assert.Positive(t, wait)
	assert.LessOrEqual(t, wait, maxRoomWait, "other VMs have turns before")
	assert.Equal(t, 2, f.LimitedUpstreams())
}

func TestLimitEndsWhenAnswersStopNamingIt(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	f := limitedFleet(now)
	p := pickOf(f, "u1")
	f.RecordLimit(now, p, 3)
	assert.False(t, f.RecordLimit(now.Add(limitEndTime/2), p, 0).Changed(), "answers overtake each other")
	assert.Equal(t, LimitChange{Before: 3, After: 2.5}, f.RecordLimit(now.Add(limitEndTime/2), p, 2.5))
	assert.Equal(t, LimitChange{Before: 2.5}, f.RecordLimit(now.Add(2*limitEndTime), p, 0))
	assert.Zero(t, f.LimitedUpstreams())
	f.RecordLimit(now.Add(3*limitEndTime), p, 3)
	f.Replace(now, []Upstream{{ID: "u1", Service: "s", Zone: "a", Version: "v1", Slots: 8, Incarnation: 2}})
	assert.Zero(t, f.LimitedUpstreams(), "another start of the upstream has named none")
}

func TestLimitsAreTold(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	a, b, c := limitedFleet(now), limitedFleet(now), limitedFleet(now)
	tell := func(from, to *Fleet, at time.Time) (changed bool) {
		for _, r := range from.LimitReports(at) {
			changed = to.MergeLimit(at.Add(time.Millisecond), r).Changed() || changed
		}
		return changed
	}
	a.RecordLimit(now, pickOf(a, "u1"), 4)
	assert.True(t, tell(a, b, now))
	assert.True(t, tell(b, c, now), "a VM passes on what it was told")
	for i := range 50 {
		at := now.Add(time.Duration(i) * 100 * time.Millisecond)
		assert.False(t, tell(a, b, at) || tell(b, a, at), "nothing new")
	}
	assert.Less(t, b.members["u1"].limit.heardAt.Sub(now), limitAccuracy, "telling does not make it newer")
	later := now.Add(10 * time.Second)
	b.RecordLimit(later, pickOf(b, "u1"), 0)
	assert.False(t, tell(a, b, later), "an older report does not bring it back")
	assert.True(t, tell(b, a, later))
	assert.False(t, tell(a, b, later))
	assert.True(t, tell(b, c, later))
	assert.Zero(t, c.LimitedUpstreams())
	old := LimitReport{Upstream: "u1", Incarnation: 7, PerSecond: 1, HeardMS: 0}
	assert.False(t, b.MergeLimit(later.Add(time.Second), old).Changed(), "another start of the upstream")
}

func TestManyLimitsTakeTurnsInReports(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	f := New(Config{VM: "vm-1"})
	var list []Upstream
	for i := range 3 * maxReportedLimits {
		list = append(list, Upstream{ID: fmt.Sprint("u", i), Service: "s", Slots: 8})
	}
	f.Replace(now, list)
	for _, u := range list {
		f.RecordLimit(now, &Pick{Upstream: u}, 1)
	}
	told := make(map[string]bool)
	for i := range 3 {
		reports := f.LimitReports(now.Add(time.Duration(i) * 100 * time.Millisecond))
		assert.Len(t, reports, maxReportedLimits)
		for _, r := range reports {
			told[r.Upstream] = true
		}
	}
	assert.Len(t, told, len(list))
}
