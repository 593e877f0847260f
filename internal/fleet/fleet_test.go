package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/exchange"
)

const pool = "pool"

var begin = time.Now()

func at(d time.Duration) time.Time { return begin.Add(d) }

func upstream(i int) Upstream {
	return Upstream{ID: fmt.Sprintf("u%d", i), Service: pool, Address: fmt.Sprintf("10.0.0.%d:80", i), Zone: []string{"a", "b", "c"}[i%3], Version: "v1", Slots: 6, Incarnation: 1}
}

func newFleet(vm string, n int) *Fleet {
	f := New(Config{VM: vm, Zone: "a", ColdFactor: 1.5, ColdSlack: 5})
	list := make([]Upstream, n)
	for i := range list {
		list[i] = upstream(i)
	}
	f.Replace(at(-time.Minute), list)
	return f
}

func upsert(f *Fleet, now time.Time, u Upstream) { f.Apply(now, []Change{{Upstream: u}}) }

func query() Query {
	return Query{Service: pool, TargetLatency: time.Second, FirstAttempt: true, AllowVersion: func(string) bool { return true }}
}

func mustPick(t *testing.T, f *Fleet, now time.Time, q Query) *Pick {
	t.Helper()
	p, reason := f.Pick(now, q)
	require.NotNil(t, p, "no pick: %s", reason)
	return p
}

func TestPickLeavesOut(t *testing.T) {
	for _, tt := range []struct {
		name string
		do   func(f *Fleet, q *Query)
	}{
		{"a leaving upstream", func(f *Fleet, _ *Query) {
			u := upstream(0)
			u.Leaving = true
			upsert(f, begin, u)
		}},
		{"a removed upstream", func(f *Fleet, _ *Query) { f.Apply(begin, []Change{{Upstream: Upstream{ID: "u0"}, Removed: true}}) }},
		{"a withdrawn zone", func(f *Fleet, _ *Query) { f.SetWithdrawn([]string{"a"}) }},
		{"an upstream that was already tried", func(_ *Fleet, q *Query) { q.Exclude = []string{"u0"} }},
		{"another region", func(f *Fleet, q *Query) {
			f.cfg.RegionByZone = map[string]string{"a": "r1", "b": "r2", "c": "r2"}
			q.Regions = [][]string{{"r1", "r2"}, nil, {"r2"}}
		}},
		{"another version", func(f *Fleet, q *Query) {
			u := upstream(0)
			u.Version = "v2"
			upsert(f, begin, u)
			q.AllowVersion = func(v string) bool { return v == "v1" }
		}},
		{"an address that another incarnation uses", func(f *Fleet, _ *Query) {
			p, _ := f.Pick(begin, Query{Service: pool, Exclude: []string{"u1", "u2"}, FirstAttempt: true, AllowVersion: func(string) bool { return true }})
			f.Done(begin, p, OutcomeMisdirected)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f, q := newFleet("vm", 3), query()
			tt.do(f, &q)
			for range 50 {
				assert.NotEqual(t, "u0", mustPick(t, f, begin, q).ID)
			}
		})
	}
}

// The platform drops entries while the store is unavailable and restores those of
// live upstreams soon afterwards. Guards against losing live upstreams in between.
func TestRemovalsAreDelayedAfterStoreRecovery(t *testing.T) {
	f := newFleet("vm", 3)
	f.StoreRecovered(begin)
	f.Replace(begin, nil)
	mustPick(t, f, at(time.Second), query())
	upsert(f, at(time.Second), upstream(1))
	f.Expire(at(3 * time.Second))
	for range 10 {
		assert.Equal(t, "u1", mustPick(t, f, at(3*time.Second), query()).ID, "entries that were not restored are removed")
	}
}

func TestRemovalIsImmediateWithoutStoreOutage(t *testing.T) {
	f := newFleet("vm", 1)
	f.Apply(begin, []Change{{Upstream: Upstream{ID: "u0"}, Removed: true}})
	_, reason := f.Pick(begin, query())
	assert.Equal(t, NoneListed, reason)
}

func TestNewIncarnationStartsWithFreshState(t *testing.T) {
	f := newFleet("vm", 1)
	p := mustPick(t, f, begin, query())
	u := upstream(0)
	u.Incarnation = 2
	upsert(f, begin, u)
	f.Done(begin, p, OutcomeFailed) // an attempt at the previous incarnation
	assert.Zero(t, f.members["u0"].currentFailureRate(begin))
	assert.Zero(t, f.members["u0"].inflight)
}

func TestFailingUpstreamIsAvoided(t *testing.T) {
	f := newFleet("vm", 3)
	for range 10 {
		p := mustPick(t, f, begin, Query{Service: pool, Exclude: []string{"u1", "u2"}, FirstAttempt: true, AllowVersion: query().AllowVersion})
		f.Done(begin, p, OutcomeFailed)
	}
	for range 20 {
		p := mustPick(t, f, begin, query())
		assert.NotEqual(t, "u0", p.ID)
		f.Done(begin, p, OutcomeSuccess)
	}
	got := false
	for range 40 {
		p := mustPick(t, f, at(40*time.Second), query())
		got = got || p.ID == "u0"
	}
	assert.True(t, got, "it receives requests again after a while")
}

func TestPickSucceedsWhenAllUpstreamsFail(t *testing.T) {
	f := newFleet("vm", 3)
	for i := range 60 {
		p := mustPick(t, f, begin, Query{Service: pool, Exclude: []string{fmt.Sprintf("u%d", i%3)}, FirstAttempt: true, AllowVersion: query().AllowVersion})
		f.Done(begin, p, OutcomeFailed)
	}
	mustPick(t, f, begin, query())
}

// A whole zone becomes unreachable. After failed connections to two of its
// upstreams, requests go to other zones without trying the rest of the zone.
func TestUnreachableZoneIsAvoidedAfterTwoFailures(t *testing.T) {
	f := newFleet("vm", 90)
	q := query()
	tried := 0
	for range 300 {
		p := mustPick(t, f, begin, q)
		if p.Zone == "a" {
			tried++
			f.Done(begin, p, OutcomeUnreachable)
			continue
		}
		f.FirstByte(begin, p, nil)
		f.Done(begin, p, OutcomeSuccess)
	}
	assert.Equal(t, zoneUnreachableThreshold, tried)
	later := mustPick(t, f, at(10*time.Second), q)
	f.FirstByte(at(10*time.Second), later, nil)
	assert.Equal(t, "a", later.Zone, "the zone is tried again after the backoff")
}

func TestOnlyFirstAttemptsUseUnreachableUpstreams(t *testing.T) {
	f := newFleet("vm", 1)
	f.Done(begin, mustPick(t, f, begin, query()), OutcomeUnreachable)
	mustPick(t, f, begin, query())
	again := query()
	again.FirstAttempt = false
	_, reason := f.Pick(begin, again)
	assert.Equal(t, NoneReachable, reason)
}

func promptQuery(prompt uint64) Query {
	q := query()
	q.ModelEngine, q.Model, q.PromptID, q.SharedTokens, q.OwnTokens = true, "m", prompt, 13000, 1000
	return q
}

// VMs that exchange no messages must send a prompt to the same upstream.
func TestPromptHasSamePreferredUpstreamOnAllVMs(t *testing.T) {
	a, b := newFleet("vm-a", 9), newFleet("vm-b", 9)
	for prompt := uint64(1); prompt < 200; prompt++ {
		q := promptQuery(prompt)
		pa, pb := mustPick(t, a, begin, q), mustPick(t, b, begin, q)
		assert.Equal(t, pa.ID, pb.ID)
		a.Done(begin, pa, OutcomeNeutral)
		b.Done(begin, pb, OutcomeNeutral)
	}
}

// A popular prompt must not overload its preferred upstream; the excess goes to
// other upstreams.
func TestPopularPromptSpillsOver(t *testing.T) {
	f := newFleet("vm", 9)
	got := make(map[string]int)
	for range 60 {
		p := mustPick(t, f, begin, promptQuery(7))
		got[p.ID]++
	}
	for id, n := range got {
		assert.LessOrEqual(t, n, 30, "%s received more than half of a burst", id)
	}
	assert.GreaterOrEqual(t, len(got), 3)
}

func TestRemoteLoadAffectsPick(t *testing.T) {
	f := newFleet("vm", 9)
	preferred := mustPick(t, f, begin, promptQuery(7))
	f.Done(begin, preferred, OutcomeNeutral)
	f.SetRemoteLoads(begin, "other", []VMLoad{{Upstream: preferred.ID, Inflight: 3, PrefillMs: 4000}})
	p := mustPick(t, f, begin, promptQuery(7))
	assert.NotEqual(t, preferred.ID, p.ID)
	f.Done(begin, p, OutcomeNeutral)
	fresh := newFleet("vm", 9) // no prompts cached, so only the load report could change the pick
	fresh.SetRemoteLoads(begin, "other", []VMLoad{{Upstream: preferred.ID, Inflight: 3, PrefillMs: 4000}})
	assert.Equal(t, preferred.ID, mustPick(t, fresh, at(3*time.Second), promptQuery(7)).ID, "an expired load report is ignored")
}

// Guards against an attempt that, whatever its outcome and order, leaves its
// request or prefill time in an upstream's load after it has ended.
func TestLoadIsZeroAfterAllAttemptsEnded(t *testing.T) {
	f := newFleet("vm", 3)
	rng := rand.New(rand.NewPCG(1, 1))
	var open []*Pick
	for range 2000 {
		if len(open) > 0 && rng.IntN(2) == 0 {
			i := rng.IntN(len(open))
			if rng.IntN(3) > 0 {
				f.FirstByte(begin, open[i], &exchange.Load{Running: rng.IntN(9), Slots: 6})
			}
			f.Done(begin, open[i], []Outcome{OutcomeSuccess, OutcomeFailed, OutcomeRejected, OutcomeNeutral}[rng.IntN(4)])
			open = append(open[:i], open[i+1:]...)
			continue
		}
		open = append(open, mustPick(t, f, begin, promptQuery(rng.Uint64N(9)+1)))
	}
	for _, p := range open {
		f.Done(begin, p, OutcomeNeutral)
	}
	for id, m := range f.members {
		assert.Zero(t, m.inflight, id)
		assert.InDelta(t, 0, m.prefillMs, 1e-6, id)
	}
}

// BenchmarkApply applies a batch of 500 changes to 3,000 upstreams, more than the
// 940 that the design targets.
func BenchmarkApply(b *testing.B) {
	f := newFleet("vm", 3000)
	changes := make([]Change, 500)
	for i := range changes {
		changes[i] = Change{Upstream: upstream(i)}
	}
	for b.Loop() {
		f.Apply(begin, changes)
	}
}

// BenchmarkPick picks among 940 upstreams, the number that the design targets.
func BenchmarkPick(b *testing.B) {
	f := newFleet("vm", 940)
	q := promptQuery(7)
	for b.Loop() {
		p, _ := f.Pick(begin, q)
		f.Done(begin, p, OutcomeNeutral)
	}
}

// BenchmarkSetRemoteLoads applies another VM's load report.
func BenchmarkSetRemoteLoads(b *testing.B) {
	f := newFleet("vm", 940)
	loads := []VMLoad{{Upstream: "u1", Inflight: 1, PrefillMs: 10}, {Upstream: "u2", Inflight: 2, PrefillMs: 20}}
	for b.Loop() {
		f.SetRemoteLoads(begin, "other", loads)
	}
}
