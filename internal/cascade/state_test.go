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
		{"one option is taken as it is", Request{Options: w.options[:1], TimeLeft: time.Minute}, nil, 0, false, ReasonOnly},
		{"with time the cheap option is judged", request(w, false, time.Minute, 0), nil, 0, true, ReasonJudged},
		{"a short answer goes on to the strong option", request(w, false, time.Minute, 1), nil, 1, false, ReasonEscalate},
		{"without time for another answer the one at hand is kept", request(w, false, time.Second, 1), nil, -1, false, ReasonKeep},
		{"after the last option the answer is kept", request(w, false, time.Minute, 2), nil, -1, false, ReasonKeep},
		{"too little time for two steps goes straight to the strong option", request(w, false, 2*time.Second, 0), nil, 1, false, ReasonShortTime},
		{"too little time for the strong one takes the quick one", request(w, false, 2*time.Second, 0), func(c *Core) {
			c.RecordDuration(VersionKey{"large", "v1"}, 20*time.Second)
			c.RecordDuration(VersionKey{"small", "v1"}, time.Second)
		}, 0, false, ReasonShortTime},
		{"a streamed answer is never judged", request(w, true, time.Minute, 0), nil, 1, false, ReasonDirect},
		{"a cheap option that is good enough needs no judgement", request(w, true, time.Minute, 0), func(c *Core) {
			for range 200 {
				c.AddRating(Rating{Team: "t", Class: "c", Model: "small", Version: "v1", Value: 0.95}, t0)
			}
		}, 0, false, ReasonDirect},
		{"without any rating coming, nothing waits for one", request(w, false, time.Minute, 0), func(c *Core) {
			c.asked = silentJudges
			c.probeAt = t0.Add(time.Minute)
		}, 1, false, ReasonDirect},
		{"while ratings are away one is tried now and then", request(w, false, time.Minute, 0), func(c *Core) { c.asked = silentJudges }, 0, true, ReasonJudged},
		{"if nothing meets the target the strongest is taken", Request{Team: "t", Class: "c", Target: 0.99, Options: w.options, TimeLeft: time.Minute, Streaming: true}, nil, 1, false, ReasonStrongest},
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

// TestRatingsAbsent serves without any rating: the document's figures count,
// and no answer waits for a judge for long.
func TestRatingsAbsent(t *testing.T) {
	for _, w := range workloads {
		p := newClocked()
		o := serve(&w, p, trial{n: 4000, away: true}, 1)
		strongest := serve(&w, Strongest{}, trial{n: 4000}, 1)
		t.Logf("%s: quality %.3f of %.2f, cost %.1f%%", w.name, o.meanQuality(), w.target, 100*o.meanCost()/strongest.meanCost())
		require.GreaterOrEqual(t, o.meanQuality(), w.target-0.02)
		require.LessOrEqual(t, p.core.asked, silentJudges+int(4000*200*time.Millisecond/judgeProbe)+1)
	}
}

// TestVersionTurnsBad lowers the cheap version's ratings by 0.35 and counts who
// is still served by it.
func TestVersionTurnsBad(t *testing.T) {
	for _, w := range workloads {
		tr := trial{n: 8000, ratedPart: 0.1, worse: 0, worseBy: 0.35, worseAt: 5000, skip: 5000}
		o := serve(&w, newClocked(), tr, 1)
		plain := serve(&w, CheapestFirst{}, tr, 1)
		t.Logf("%s: %d of 3000 requests were served by the bad version (%d by cheapest first), quality %.3f of %.2f", w.name, o.late, plain.late, o.meanQuality(), w.target)
		require.Less(t, o.late, 150)
		require.GreaterOrEqual(t, o.meanQuality(), w.target-0.02)
	}
}

// TestVersionTurnsGoodAgain lets the bad time pass: the version is used again.
func TestVersionTurnsGoodAgain(t *testing.T) {
	w := &workloads[0]
	p := newClocked()
	serve(w, p, trial{n: 3000, ratedPart: 0.1}, 1)
	serve(w, p, trial{n: 500, ratedPart: 0.1, worseBy: 0.35}, 2)
	require.NotZero(t, p.core.shift(VersionKey{"small", "v1"}, p.now))
	p.now = p.now.Add(badFor)
	o := serve(w, p, trial{n: 6000, ratedPart: 0.1, skip: 3000}, 3)
	strongest := serve(w, Strongest{}, trial{n: 3000}, 3)
	require.Less(t, o.meanCost(), 0.4*strongest.meanCost())
}

// TestCountersMerge exchanges counters between VMs with loss, repeats and any
// order, and a restart under a new origin.
func TestCountersMerge(t *testing.T) {
	for seed := range soak.Seeds(20, 3_000) {
		rng := rand.New(rand.NewPCG(seed, 2))
		cores := []*Core{NewCore("a"), NewCore("b"), NewCore("c"), NewCore("d")}
		now, sum, n := t0, 0.0, 0.0
		var old []Entry
		for step := range 3000 {
			i, j := rng.IntN(4), rng.IntN(4)
			switch {
			case rng.IntN(2) == 0 && step < 2000:
				v := rng.Float64()
				cores[i].AddRating(Rating{Team: fmt.Sprint("t", rng.IntN(3)), Class: "c", Model: "m", Version: "v", Value: v, Escalated: rng.IntN(4) == 0}, now)
				sum, n = sum+v, n+1
			case len(old) > 0 && rng.IntN(4) == 0:
				cores[i].Merge(old[:rng.IntN(len(old))], now) // late and repeated
			default:
				got := cores[i].NewerEntries(cores[j].Digest(), 1+rng.IntN(20))
				if rng.IntN(4) > 0 {
					cores[j].Merge(got, now)
				}
				if len(got) > 0 && got[0].Sequence == 1 {
					old = got // from the beginning of an origin: no hole
				}
			}
		}
		for range 10 { // the last exchanges arrive
			for i := range cores {
				for j := range cores {
					cores[j].Merge(cores[i].NewerEntries(cores[j].Digest(), 1000), now)
				}
			}
		}
		for i, c := range cores {
			total := c.table.get(Key{Model: "m", Version: "v"}, now.UnixMilli()).plus(c.table.get(Key{Model: "m", Version: "v", Escalated: true}, now.UnixMilli()))
			require.InDelta(t, n, total.N, 1e-6, "seed %d VM %d", seed, i)
			require.InDelta(t, sum, total.Sum, 1e-6)
		}
		later := now.Add(3 * time.Hour)
		cores[0].EvictDecayed(later)
		require.Empty(t, cores[0].table.total, "what has decayed is dropped")
	}
}

// TestSharingRatings gives one VM of four the ratings of all.
func TestSharingRatings(t *testing.T) {
	w := &workloads[0]
	alone := newClocked()
	teacher := newClocked()
	serve(w, teacher, trial{n: 3000, ratedPart: 0.1}, 1)
	pupil := newClocked()
	pupil.now = teacher.now
	pupil.core = NewCore("b")
	pupil.core.Merge(teacher.core.NewerEntries(Digest{}, 1000), pupil.now)
	tr := trial{n: 150, ratedPart: 0.1}
	a, b := serve(w, alone, tr, 5), serve(w, pupil, tr, 5)
	t.Logf("first 150 requests: alone cost %.2f quality %.3f, taught cost %.2f quality %.3f", a.meanCost(), a.meanQuality(), b.meanCost(), b.meanQuality())
	require.Less(t, b.meanCost(), a.meanCost())
}

func BenchmarkPlan(b *testing.B) {
	w := &workloads[1]
	p := newClocked()
	serve(w, p, trial{n: 2000, ratedPart: 0.1}, 1)
	r := request(w, false, time.Minute, 0)
	b.ReportAllocs()
	for b.Loop() {
		p.core.Plan(r, p.now)
	}
}
