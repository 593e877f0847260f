package cascade

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/soak"
	"github.com/stretchr/testify/require"
)

func request(w *workload, streaming bool, left time.Duration, tried int) Request {
	return Request{Team: "t", Class: "c", Target: w.target, Options: w.options, TimeLeft: left, Tried: tried, Streaming: streaming}
}

func TestSteps(t *testing.T) {
	w := &workloads[0]
	tests := []struct {
		name    string
		req     Request
		prepare func(*Core)
		index   int
		judge   bool
		reason  string
	}{
		{"a single option is run without a judgement", Request{Options: w.options[:1], TimeLeft: time.Minute}, nil, 0, false, ReasonOnly},
		{"with enough time the cheap option is judged", request(w, false, time.Minute, 0), nil, 0, true, ReasonJudged},
		{"a rejected answer escalates to the strong option", request(w, false, time.Minute, 1), nil, 1, false, ReasonEscalate},
		{"without time for another answer the last one is kept", request(w, false, time.Second, 1), nil, -1, false, ReasonKeep},
		{"after the last option the answer is kept", request(w, false, time.Minute, 2), nil, -1, false, ReasonKeep},
		{"without time for two steps the strong option is run first", request(w, false, 2*time.Second, 0), nil, 1, false, ReasonShortTime},
		{"without time for the strong option the fastest is run", request(w, false, 2*time.Second, 0), func(c *Core) {
			c.RecordDuration(VersionKey{"large", "v1"}, 20*time.Second)
			c.RecordDuration(VersionKey{"small", "v1"}, time.Second)
		}, 0, false, ReasonShortTime},
		{"a streamed answer is never judged", request(w, true, time.Minute, 0), nil, 1, false, ReasonDirect},
		{"a cheap option that meets the target is not judged", request(w, true, time.Minute, 0), func(c *Core) {
			for range 200 {
				c.AddRating(Rating{Team: "t", Class: "c", Model: "small", Version: "v1", Value: 0.95}, t0)
			}
		}, 0, false, ReasonDirect},
		{"while ratings are unavailable no step is judged", request(w, false, time.Minute, 0), func(c *Core) {
			c.unratedSteps = maxUnratedSteps
			c.nextProbe = t0.Add(time.Minute)
		}, 1, false, ReasonDirect},
		{"while ratings are unavailable a step is judged as a probe", request(w, false, time.Minute, 0), func(c *Core) { c.unratedSteps = maxUnratedSteps }, 0, true, ReasonJudged},
		{"if no option meets the target the strongest is run", Request{Team: "t", Class: "c", Target: 0.99, Options: w.options, TimeLeft: time.Minute, Streaming: true}, nil, 1, false, ReasonStrongest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := NewCore("a")
			if tt.prepare != nil {
				tt.prepare(c)
			}
			s := c.Plan(tt.req, t0)
			require.Equal(t, tt.index, s.Index, "%+v", s)
			require.Equal(t, tt.judge, s.Judge, "%+v", s)
			require.Equal(t, tt.reason, s.Reason)
			if s.Judge {
				require.Positive(t, s.Threshold)
			}
		})
	}
}

// TestRatingsAbsent checks that without any rating the document's quality figures
// are used, and that only few answers wait for a rating.
func TestNoRatingService(t *testing.T) {
	for _, w := range workloads {
		p := newClockedPlanner()
		o := serve(&w, p, trial{n: 4000, ratingsUnavailable: true}, 1)
		strongest := serve(&w, Strongest{}, trial{n: 4000}, 1)
		t.Logf("%s: quality %.3f of %.2f, cost %.1f%%", w.name, o.meanQuality(), w.target, 100*o.meanCost()/strongest.meanCost())
		require.GreaterOrEqual(t, o.meanQuality(), w.target-0.02)
		require.LessOrEqual(t, p.core.unratedSteps, maxUnratedSteps+int(4000*200*time.Millisecond/judgeProbeInterval)+1)
	}
}

// TestVersionTurnsBad guards against serving many requests from a version whose
// ratings fell. It lowers the cheap version's ratings by 0.35 and counts the
// requests that are still served by it.
func TestVersionTurnsBad(t *testing.T) {
	for _, w := range workloads {
		tr := trial{n: 8000, ratedFraction: 0.1, degradedOption: 0, degradedBy: 0.35, degradedFrom: 5000, warmup: 5000}
		o := serve(&w, newClockedPlanner(), tr, 1)
		baseline := serve(&w, CheapestFirst{}, tr, 1)
		t.Logf("%s: %d of 3000 requests were served by the bad version (%d by cheapest first), quality %.3f of %.2f", w.name, o.servedByBad, baseline.servedByBad, o.meanQuality(), w.target)
		require.Less(t, o.servedByBad, 150)
		require.GreaterOrEqual(t, o.meanQuality(), w.target-0.02)
	}
}

// TestVersionTurnsGoodAgain checks that a version with good ratings is used again
// after badDuration.
func TestBadVersionIsUsedAgain(t *testing.T) {
	w := &workloads[0]
	p := newClockedPlanner()
	serve(w, p, trial{n: 3000, ratedFraction: 0.1}, 1)
	serve(w, p, trial{n: 500, ratedFraction: 0.1, degradedBy: 0.35}, 2)
	require.NotZero(t, p.core.ratingDrop(VersionKey{"small", "v1"}, p.now))
	p.now = p.now.Add(badDuration)
	o := serve(w, p, trial{n: 6000, ratedFraction: 0.1, warmup: 3000}, 3)
	strongest := serve(w, Strongest{}, trial{n: 3000}, 3)
	require.Less(t, o.meanCost(), 0.4*strongest.meanCost())
}

// TestCountersMerge checks that the VMs' totals agree after exchanges with lost,
// duplicated and reordered messages.
func TestCountersMerge(t *testing.T) {
	for seed := range soak.Seeds(20, 3_000) {
		rng := rand.New(rand.NewPCG(seed, 2))
		cores := []*Core{NewCore("a"), NewCore("b"), NewCore("c"), NewCore("d")}
		now, sum, n := t0, 0.0, 0.0
		var earlier []Entry
		for step := range 3000 {
			i, j := rng.IntN(4), rng.IntN(4)
			switch {
			case rng.IntN(2) == 0 && step < 2000:
				v := rng.Float64()
				cores[i].AddRating(Rating{Team: fmt.Sprint("t", rng.IntN(3)), Class: "c", Model: "m", Version: "v", Value: v, Escalated: rng.IntN(4) == 0}, now)
				sum, n = sum+v, n+1
			case len(earlier) > 0 && rng.IntN(4) == 0:
				cores[i].Merge(earlier[:rng.IntN(len(earlier))], now) // delayed and duplicated
			default:
				got := cores[i].NewerEntries(cores[j].Digest(), 1+rng.IntN(20))
				if rng.IntN(4) > 0 {
					cores[j].Merge(got, now)
				}
				if len(got) > 0 && got[0].Sequence == 1 {
					earlier = got // starts at the origin's first entry, so it leaves no gap
				}
			}
		}
		for range 10 { // exchanges without loss
			for i := range cores {
				for j := range cores {
					cores[j].Merge(cores[i].NewerEntries(cores[j].Digest(), 1000), now)
				}
			}
		}
		for i, c := range cores {
			total := c.table.get(Key{Model: "m", Version: "v"}, now.UnixMilli()).plus(c.table.get(Key{Model: "m", Version: "v", Escalated: true}, now.UnixMilli()))
			require.InDelta(t, n, total.LongTermN, 1e-6, "seed %d VM %d", seed, i)
			require.InDelta(t, sum, total.LongTermSum, 1e-6)
		}
		later := now.Add(3 * time.Hour)
		cores[0].EvictDecayed(later)
		require.Empty(t, cores[0].table.totals, "decayed counters are evicted")
	}
}

// TestSharingRatings checks that a VM that has received another VM's counters
// serves its first requests at a lower cost than a VM without them.
func TestSharingRatings(t *testing.T) {
	w := &workloads[0]
	alone := newClockedPlanner()
	source := newClockedPlanner()
	serve(w, source, trial{n: 3000, ratedFraction: 0.1}, 1)
	receiver := newClockedPlanner()
	receiver.now = source.now
	receiver.core = NewCore("b")
	receiver.core.Merge(source.core.NewerEntries(Digest{}, 1000), receiver.now)
	tr := trial{n: 150, ratedFraction: 0.1}
	a, b := serve(w, alone, tr, 5), serve(w, receiver, tr, 5)
	t.Logf("first 150 requests: cost %.2f and quality %.3f without shared ratings, cost %.2f and quality %.3f with them", a.meanCost(), a.meanQuality(), b.meanCost(), b.meanQuality())
	require.Less(t, b.meanCost(), a.meanCost())
}

func BenchmarkPlan(b *testing.B) {
	w := &workloads[1]
	p := newClockedPlanner()
	serve(w, p, trial{n: 2000, ratedFraction: 0.1}, 1)
	r := request(w, false, time.Minute, 0)
	b.ReportAllocs()
	for b.Loop() {
		p.core.Plan(r, p.now)
	}
}
