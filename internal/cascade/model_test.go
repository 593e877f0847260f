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

// workload is a model of one class's requests. Each request has a difficulty
// from 0 to 1; an option's rating falls with it and varies by chance.
type workload struct {
	name      string
	target    float64
	options   []Option
	base      []float64
	slope     []float64
	streaming float64 // part of the requests
}

const noise = 0.08

// workloads are alike the two deployments: the document's figures are off by up
// to 0.1.
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

// outcome sums up a run of a policy.
type outcome struct {
	cost, quality float64
	n             int
	late          int // requests after the version turned bad that it served
}

func (o outcome) meanCost() float64    { return o.cost / float64(o.n) }
func (o outcome) meanQuality() float64 { return o.quality / float64(o.n) }

// planner is the part of a policy under test.
type planner interface{ Plan(Request) Step }

// clocked runs a Core under a simulated clock.
type clocked struct {
	core *Core
	now  time.Time
}

func (c *clocked) Plan(r Request) Step { return c.core.Plan(r, c.now) }

// trial describes a run.
type trial struct {
	n int
	// ratedPart is the part of answers nobody waits for that is rated, and
	// judged is false while the rating service is away.
	ratedPart float64
	away      bool
	// worse lowers an option's ratings from request worseAt on.
	worse   int
	worseBy float64
	worseAt int
	skip    int // requests before the count begins
}

// serve runs n requests, five a second, and counts cost and true quality.
func serve(w *workload, p planner, tr trial, seed uint64) outcome {
	rng := rand.New(rand.NewPCG(seed, 6))
	var o outcome
	c, learns := p.(*clocked)
	for i := range tr.n {
		if learns {
			c.now = c.now.Add(200 * time.Millisecond)
		}
		ratings := w.ratings(rng)
		if tr.worseBy > 0 && i >= tr.worseAt {
			ratings[tr.worse] = clamp(ratings[tr.worse] - tr.worseBy)
		}
		r := Request{
			Team: "t", Class: "c", Target: w.target, Options: w.options, TimeLeft: time.Minute,
			Streaming: rng.Float64() < w.streaming,
		}
		cost, quality, last := one(r, p, ratings, w.options, tr, rng)
		if i >= tr.skip {
			o.n++
			o.cost += cost
			o.quality += quality
			if tr.worseBy > 0 && last == tr.worse {
				o.late++
			}
		}
	}
	return o
}

// one walks the cascade for one request as the router does.
func one(r Request, p planner, ratings []float64, options []Option, tr trial, rng *rand.Rand) (cost, quality float64, last int) {
	last = -1
	rate := func(i int) {
		if c, ok := p.(*clocked); ok && !tr.away {
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
		if !final || rng.Float64() < tr.ratedPart {
			rate(last)
		}
		r.Tried = last + 1
		if final {
			return cost, quality, last
		}
		if tr.away || quality >= s.Threshold {
			return cost, quality, last
		}
	}
}

// knowing is the cheapest cost of a planner that knows all distributions, but
// no single outcome: for a price of quality it picks the best way for streamed
// and for judged requests, and the price is found that meets the target.
func knowing(w *workload) float64 {
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
		return way{w.streaming*s.cost + (1-w.streaming)*j.cost, w.streaming*s.quality + (1-w.streaming)*j.quality}
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

// allKnowing is the cost of a planner that knows every single outcome in
// advance: a bound that no planner can reach.
func allKnowing(w *workload) float64 {
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

func newClocked() *clocked { return &clocked{NewCore("a"), t0} }

var usual = trial{n: 12_000, ratedPart: 0.1, skip: 1000}

// TestCostAtTheTarget holds quality and cost on both workloads.
func TestCostAtTheTarget(t *testing.T) {
	for _, w := range workloads {
		for seed := range uint64(3) {
			o := serve(&w, newClocked(), usual, seed)
			strongest := serve(&w, Strongest{}, usual, seed)
			t.Logf("%s seed %d: quality %.3f of %.2f, cost %.1f%% of always-strongest", w.name, seed, o.meanQuality(), w.target, 100*o.meanCost()/strongest.meanCost())
			require.GreaterOrEqual(t, o.meanQuality(), w.target-0.005)
			require.LessOrEqual(t, o.meanCost(), 0.6*strongest.meanCost())
		}
	}
}

// BenchmarkCost reports cost and quality of the policies on both workloads.
func BenchmarkCost(b *testing.B) {
	for _, w := range workloads {
		strongest := serve(&w, Strongest{}, usual, 1).meanCost()
		for _, p := range []struct {
			name string
			make func() planner
		}{
			{"always_strongest", func() planner { return Strongest{} }},
			{"cheapest_first", func() planner { return CheapestFirst{} }},
			{"ours", func() planner { return newClocked() }},
		} {
			b.Run(fmt.Sprintf("%s/%s", strings.ReplaceAll(w.name, " ", "_"), p.name), func(b *testing.B) {
				var o outcome
				for b.Loop() {
					o = serve(&w, p.make(), usual, 1)
				}
				b.ReportMetric(100*o.meanCost()/strongest, "cost-%")
				b.ReportMetric(o.meanQuality(), "quality")
				b.ReportMetric(100*knowing(&w)/strongest, "knowing-cost-%")
				b.ReportMetric(100*allKnowing(&w)/strongest, "all-knowing-cost-%")
			})
		}
	}
}
