package load

import (
	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/fake/engine"
)

// Bound compares a stream's cost with what other choices would have cost for
// the same answered requests.
type Bound struct {
	Stream   string
	Requests int
	Target   float64
	// Quality and Cost are as measured.
	Quality, Cost float64
	// Strongest is the last model of the cascade for each request.
	StrongestQuality, StrongestCost float64
	// Cheapest is the first model of the cascade for each request.
	CheapestQuality, CheapestCost float64
	// Perfect is the cheapest choice whose mean quality meets the target, with
	// the true quality of every answer known before.
	PerfectQuality, PerfectCost float64
	// PerfectMet is false when no choice meets the target.
	PerfectMet bool
	// MeansQuality and MeansCost are those of the cheapest fixed mix of models
	// that meets the target, knowing each model's true mean quality and cost
	// but nothing of single requests.
	MeansQuality, MeansCost float64
}

// choice is what one version would give for one request.
type option struct{ quality, cost float64 }

// Bounds computes the bound of each stream of chats for model "auto".
func (r *Run) Bounds(d *document.Document) []Bound {
	costs, index := r.costs(d), document.NewIndex(d)
	var out []Bound
	for i := range r.Mix.Streams {
		s := &r.Mix.Streams[i]
		if s.Kind != Chat || s.Model != "auto" {
			continue
		}
		b := Bound{Stream: s.Name, Target: s.Quality}
		var all [][]option
		for j := range r.Records {
			rec := &r.Records[j]
			if rec.Stream != s.Name || !rec.Measured || !rec.OK() {
				continue
			}
			options := r.options(index, s, rec)
			if len(options) == 0 {
				continue
			}
			all = append(all, options)
			b.Requests++
			b.Quality += rec.Quality
			b.Cost += costs[rec.ID]
		}
		if b.Requests > 0 {
			b.compute(all)
			out = append(out, b)
		}
	}
	return out
}

func (b *Bound) compute(all [][]option) {
	n := float64(b.Requests)
	b.Quality /= n
	last := func(o []option) option { return o[len(o)-1] }
	first := func(o []option) option { return o[0] }
	b.StrongestQuality, b.StrongestCost = qualityAndCost(all, last)
	b.CheapestQuality, b.CheapestCost = qualityAndCost(all, first)
	b.PerfectQuality, b.PerfectCost, b.PerfectMet = perfectChoice(all, b.Target)
	b.MeansQuality, b.MeansCost = fixedMix(all, b.Target)
}

// fixedMix returns the cheapest mix of two models whose mean quality meets the
// target; the best model alone when none does. A mix of more than two is never
// cheaper, as a linear program with one bound has a solution with two.
func fixedMix(all [][]option, target float64) (quality, cost float64) {
	models := len(all[0])
	for _, o := range all {
		models = min(models, len(o))
	}
	means := make([]option, models)
	for i := range means {
		means[i].quality, means[i].cost = qualityAndCost(all, func(o []option) option { return o[i] })
	}
	strongest := means[0]
	for _, m := range means {
		if m.quality > strongest.quality {
			strongest = m
		}
	}
	cheapest := strongest
	for _, low := range means {
		for _, high := range means {
			m := high
			if low.quality < target && high.quality > target {
				share := (target - low.quality) / (high.quality - low.quality)
				m = option{target, low.cost + share*(high.cost-low.cost)}
			}
			if m.quality >= target && (cheapest.quality < target || m.cost < cheapest.cost) {
				cheapest = m
			}
		}
	}
	return cheapest.quality, cheapest.cost
}

// total returns the mean quality and the sum of costs of a choice.
func qualityAndCost(all [][]option, pick func([]option) option) (quality, cost float64) {
	for _, o := range all {
		c := pick(o)
		quality += c.quality
		cost += c.cost
	}
	return quality / float64(len(all)), cost
}

// perfect finds the cheapest choice whose mean quality meets the target: each
// request takes the option with the best quality less price, and the price of
// quality is found by bisection. Between the last price that misses the target
// and the first that meets it, requests switch one by one.
func perfectChoice(all [][]option, target float64) (quality, cost float64, met bool) {
	const (
		maxPrice = 1e6
		steps    = 60
	)
	if q, c := qualityAndCost(all, bestAtPrice(maxPrice)); q < target {
		return q, c, false
	}
	low, high := 0.0, maxPrice
	for range steps {
		mid := (low + high) / 2
		if q, _ := qualityAndCost(all, bestAtPrice(mid)); q >= target {
			high = mid
		} else {
			low = mid
		}
	}
	cheaper, costlier := bestAtPrice(low), bestAtPrice(high)
	quality, cost = qualityAndCost(all, cheaper)
	n := float64(len(all))
	for _, o := range all {
		if quality >= target {
			break
		}
		quality += (costlier(o).quality - cheaper(o).quality) / n
		cost += costlier(o).cost - cheaper(o).cost
	}
	return quality, cost, true
}

// best returns the rule that takes the option with the best quality less
// price, when quality is worth so much.
func bestAtPrice(qualityPrice float64) func([]option) option {
	return func(o []option) option {
		picked := o[0]
		for _, c := range o[1:] {
			if qualityPrice*c.quality-c.cost > qualityPrice*picked.quality-picked.cost {
				picked = c
			}
		}
		return picked
	}
}

// choices are the stable versions of the class's cascade that the team may
// use, in the cascade's order, with the true quality and cost for a request.
func (r *Run) options(index *document.Index, s *Stream, rec *Record) []option {
	team, ok := index.Team(rec.Team)
	if !ok {
		return nil
	}
	name := s.Class
	if name == "" {
		name = team.DefaultClass
	}
	class, ok := index.Class(name)
	if !ok {
		return nil
	}
	var out []option
	for _, m := range class.Cascade {
		v, ok := index.StableVersion(m)
		if !ok || !index.Allowed(rec.Team, m, v.Name) {
			continue
		}
		target := m + "@" + v.Name
		set, mean, ok := r.findEngine(target)
		if !ok {
			continue
		}
		shape := engine.Shape{MinTokens: set.MinTokens, MaxTokens: set.MaxTokens, Spread: set.QualitySpread}
		a := engine.NewAnswer(target, rec.Prompt, mean, shape, rec.MaxTokens)
		out = append(out, option{a.Quality, v.Cost * float64(len(a.Tokens)) / tokensPerPrice})
	}
	return out
}

// engineOf returns the settings of an engine that has the version, and the
// version's mean quality.
func (r *Run) findEngine(target string) (*engine.Settings, float64, bool) {
	for _, l := range r.StandIns {
		if l.Settings == nil {
			continue
		}
		for _, v := range l.Settings.Versions {
			if v.Name == target {
				return l.Settings, v.Quality, true
			}
		}
	}
	return nil, 0, false
}
