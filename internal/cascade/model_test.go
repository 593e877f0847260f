package cascade

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// workload models one class's requests. Each request has a random difficulty from
// 0 to 1. An option's rating decreases with the difficulty and has random noise.
type workload struct {
	name             string
	target           float64
	options          []Option
	base             []float64
	slope            []float64
	streamedFraction float64 // fraction of the requests
}

const noise = 0.08

// workloads differ in the options' costs and in the fraction of streamed requests.
// The document's quality figures are wrong by up to 0.1.
var workloads = []workload{
	{
		"workshop drafts", 0.8,
		[]Option{{"small", "v1", 1, 0.7}, {"large", "v1", 10, 0.85}},
		[]float64{0.95, 0.97},
		[]float64{0.4, 0.12},
		0.5,
	},
	{
		"registry letters", 0.78,
		[]Option{{"tiny", "v1", 0.5, 0.7}, {"medium", "v1", 3, 0.8}, {"large", "v1", 12, 0.9}},
		[]float64{0.95, 0.96, 0.97},
		[]float64{0.7, 0.3, 0.1},
		0.2,
	},
}

func (w *workload) ratings(rng *rand.Rand) []float64 {
	h := rng.Float64()
	out := make([]float64, len(w.options))
	for i := range out {
		out[i] = clamp(w.base[i] - w.slope[i]*h + noise*rng.NormFloat64())
	}
	return out
}

// outcome sums up a run of a planner.
type outcome struct {
	cost, quality float64
	n             int
	servedByBad   int // requests after the warmup that degradedOption served, if degradedBy > 0
}

func (o outcome) meanCost() float64    { return o.cost / float64(o.n) }
func (o outcome) meanQuality() float64 { return o.quality / float64(o.n) }

// planner is the interface of the planners under test.
type planner interface{ Plan(Request) Step }

// clockedPlanner runs a Core with a simulated clock.
type clockedPlanner struct {
	core *Core
	now  time.Time
}

func (c *clockedPlanner) Plan(r Request) Step { return c.core.Plan(r, c.now) }

// trial holds the parameters of a run.
type trial struct {
	n int
	// ratedFraction is the fraction of unjudged answers that are rated, and
	// ratingsUnavailable is true if the rating service is unavailable.
	ratedFraction      float64
	ratingsUnavailable bool
	// degradedBy lowers the ratings of degradedOption from request degradedFrom on;
	// 0 leaves all ratings as they are.
	degradedOption int
	degradedBy     float64
	degradedFrom   int
	warmup         int // requests that are not counted at the start
}

// serve runs n requests at five a second. It sums their cost and the ratings of the
// returned answers, including answers whose rating the planner does not receive.
func serve(w *workload, p planner, tr trial, seed uint64) outcome {
	rng := rand.New(rand.NewPCG(seed, 6))
	var o outcome
	c, learns := p.(*clockedPlanner)
	for i := range tr.n {
		if learns {
			c.now = c.now.Add(200 * time.Millisecond)
		}
		ratings := w.ratings(rng)
		if tr.degradedBy > 0 && i >= tr.degradedFrom {
			ratings[tr.degradedOption] = clamp(ratings[tr.degradedOption] - tr.degradedBy)
		}
		r := Request{
			Team: "t", Class: "c", Target: w.target, Options: w.options, TimeLeft: time.Minute,
			Streaming: rng.Float64() < w.streamedFraction,
		}
		cost, quality, last := serveOne(r, p, ratings, w.options, tr, rng)
		if i >= tr.warmup {
			o.n++
			o.cost += cost
			o.quality += quality
			if tr.degradedBy > 0 && last == tr.degradedOption {
				o.servedByBad++
			}
		}
	}
	return o
}

// serveOne runs the cascade for one request as the router does.
func serveOne(r Request, p planner, ratings []float64, options []Option, tr trial, rng *rand.Rand) (cost, quality float64, last int) {
	last = -1
	rate := func(i int) {
		if c, ok := p.(*clockedPlanner); ok && !tr.ratingsUnavailable {
			c.core.AddRating(Rating{r.Team, r.Class, options[i].Model, options[i].Version, ratings[i], r.Tried > 0 && r.Tried <= i}, c.now)
		}
	}
	for {
		s := p.Plan(r)
		if s.Index < 0 {
			return cost, quality, last
		}
		last = s.Index
		cost += options[last].Cost
		quality = ratings[last]
		final := !s.Judge || last+1 >= len(options)
		if !final || rng.Float64() < tr.ratedFraction {
			rate(last)
		}
		r.Tried = last + 1
		if final {
			return cost, quality, last
		}
		if tr.ratingsUnavailable || quality >= s.Threshold {
			return cost, quality, last
		}
	}
}

// costKnowingDistributions returns the lowest cost of a planner that knows the
// rating distributions but not the single ratings. For a price of quality it
// chooses the best policy for streamed and for judged requests, and it searches
// for the price that meets the target.
func costKnowingDistributions(w *workload) float64 {
	const n = 40_000
	rng := rand.New(rand.NewPCG(77, 7))
	sample := make([][]float64, n)
	for i := range sample {
		sample[i] = w.ratings(rng)
	}
	type way struct{ cost, quality float64 }
	var direct, judged []way
	for i, o := range w.options {
		q := 0.0
		for _, s := range sample {
			q += s[i]
		}
		direct = append(direct, way{o.Cost, q / n})
		for j := i + 1; j < len(w.options); j++ {
			for th := 0.02; th < 1; th += 0.02 {
				v := way{}
				for _, s := range sample {
					v.cost += o.Cost
					v.quality += s[i]
					if s[i] < th {
						v.cost += w.options[j].Cost
						v.quality += s[j] - s[i]
					}
				}
				judged = append(judged, way{v.cost / n, v.quality / n})
			}
		}
	}
	judged = append(judged, direct...)
	best := func(ways []way, price float64) way {
		return slices.MinFunc(ways, func(a, b way) int {
			return int(math.Copysign(1, (a.cost-price*a.quality)-(b.cost-price*b.quality)))
		})
	}
	at := func(price float64) way {
		s, j := best(direct, price), best(judged, price)
		return way{w.streamedFraction*s.cost + (1-w.streamedFraction)*j.cost, w.streamedFraction*s.quality + (1-w.streamedFraction)*j.quality}
	}
	low, high := 0.0, 1e6
	for range 60 {
		if mid := (low + high) / 2; at(mid).quality >= w.target {
			high = mid
		} else {
			low = mid
		}
	}
	a, b := at(low), at(high)
	if b.quality <= a.quality {
		return b.cost
	}
	f := (w.target - a.quality) / (b.quality - a.quality)
	return a.cost + clamp(f)*(b.cost-a.cost)
}

// costKnowingOutcomes returns the cost of a planner that knows each rating in
// advance. It is a lower bound that no real planner can reach.
func costKnowingOutcomes(w *workload) float64 {
	const n = 40_000
	at := func(price float64) (cost, quality float64) {
		rng := rand.New(rand.NewPCG(77, 7))
		for range n {
			r := w.ratings(rng)
			best := 0
			for i, o := range w.options {
				if o.Cost-price*r[i] < w.options[best].Cost-price*r[best] {
					best = i
				}
			}
			cost += w.options[best].Cost / n
			quality += r[best] / n
		}
		return cost, quality
	}
	low, high := 0.0, 1e4
	for range 40 {
		mid := (low + high) / 2
		if _, q := at(mid); q >= w.target {
			high = mid
		} else {
			low = mid
		}
	}
	cost, _ := at(high)
	return cost
}

func newClockedPlanner() *clockedPlanner { return &clockedPlanner{NewCore("a"), t0} }

var standardTrial = trial{n: 12_000, ratedFraction: 0.1, warmup: 1000}

// TestCostAtTheTarget checks that quality meets the target at a limited cost on
// both workloads.
func TestCostAtTheTarget(t *testing.T) {
	for _, w := range workloads {
		for seed := range uint64(3) {
			o := serve(&w, newClockedPlanner(), standardTrial, seed)
			strongest := serve(&w, Strongest{}, standardTrial, seed)
			t.Logf("%s seed %d: quality %.3f of %.2f, cost %.1f%% of always-strongest", w.name, seed, o.meanQuality(), w.target, 100*o.meanCost()/strongest.meanCost())
			require.GreaterOrEqual(t, o.meanQuality(), w.target-0.005)
			require.LessOrEqual(t, o.meanCost(), 0.6*strongest.meanCost())
		}
	}
}

// BenchmarkCost reports cost and quality of the planners on both workloads.
func BenchmarkCost(b *testing.B) {
	for _, w := range workloads {
		strongest := serve(&w, Strongest{}, standardTrial, 1).meanCost()
		for _, p := range []struct {
			name string
			make func() planner
		}{
			{"always_strongest", func() planner { return Strongest{} }},
			{"cheapest_first", func() planner { return CheapestFirst{} }},
			{"ours", func() planner { return newClockedPlanner() }},
		} {
			b.Run(fmt.Sprintf("%s/%s", strings.ReplaceAll(w.name, " ", "_"), p.name), func(b *testing.B) {
				var o outcome
				for b.Loop() {
					o = serve(&w, p.make(), standardTrial, 1)
				}
				b.ReportMetric(100*o.meanCost()/strongest, "cost-%")
				b.ReportMetric(o.meanQuality(), "quality")
				b.ReportMetric(100*costKnowingDistributions(&w)/strongest, "knowing-cost-%")
				b.ReportMetric(100*costKnowingOutcomes(&w)/strongest, "all-knowing-cost-%")
			})
		}
	}
}
