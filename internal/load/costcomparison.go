package load

import (
	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/fake/engine"
)

// CostComparison compares a stream's cost with the cost of other ways to choose models
// for the same requests with a complete response.
type CostComparison struct {
	Stream   string
	Requests int
	// Target is the target mean quality.
	Target float64
	// Quality and Cost are the measured values.
	Quality, Cost float64
	// StrongestQuality and StrongestCost result from the cascade's last model
	// for every request.
	StrongestQuality, StrongestCost float64
	// CheapestQuality and CheapestCost result from the cascade's first model
	// for every request.
	CheapestQuality, CheapestCost float64
	// PerfectQuality and PerfectCost result from the cheapest choice per request
	// whose mean quality meets the target, given the true quality of every
	// response in advance.
	PerfectQuality, PerfectCost float64
	// PerfectMeetsTarget is false if no choice meets the target.
	PerfectMeetsTarget bool
	// FixedMixQuality and FixedMixCost result from the cheapest fixed mix of models
	// that meets the target, given each model's true mean quality and cost but
	// nothing about single requests.
	FixedMixQuality, FixedMixCost float64
}

// option is the true quality and cost of one version's response to one request.
type option struct{ quality, cost float64 }

// CostComparisons compares the costs of each chat stream with model "auto".
func (r *Run) CostComparisons(d *document.Document) []CostComparison {
	costs, index := r.costs(d), document.NewIndex(d)
	var out []CostComparison
	for i := range r.Mix.Streams {
		s := &r.Mix.Streams[i]
		if s.Kind != Chat || s.Model != "auto" {
			continue
		}
		c := CostComparison{Stream: s.Name, Target: s.Quality}
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
			c.Requests++
			c.Quality += rec.Quality
			c.Cost += costs[rec.ID]
		}
		if c.Requests > 0 {
			c.compute(all)
			out = append(out, c)
		}
	}
	return out
}

func (c *CostComparison) compute(all [][]option) {
	n := float64(c.Requests)
	c.Quality /= n
	last := func(o []option) option { return o[len(o)-1] }
	first := func(o []option) option { return o[0] }
	c.StrongestQuality, c.StrongestCost = qualityAndCost(all, last)
	c.CheapestQuality, c.CheapestCost = qualityAndCost(all, first)
	c.PerfectQuality, c.PerfectCost, c.PerfectMeetsTarget = perfectChoice(all, c.Target)
	c.FixedMixQuality, c.FixedMixCost = fixedMix(all, c.Target)
}

// fixedMix returns the cheapest mix of two models whose mean quality meets the
// target, or the model with the highest quality if no mix does. A mix of more
// than two is never cheaper, because a linear program with one constraint
// besides the sum of shares has an optimal solution with two nonzero shares.
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

// qualityAndCost returns the mean quality and the total cost of the options
// that pick chooses.
func qualityAndCost(all [][]option, pick func([]option) option) (quality, cost float64) {
	for _, o := range all {
		c := pick(o)
		quality += c.quality
		cost += c.cost
	}
	return quality / float64(len(all)), cost
}

// perfectChoice finds the cheapest choice of one option per request whose mean
// quality meets the target. It bisects the price of quality for which
// bestAtPrice meets the target. Then requests switch one at a time from their
// option at the last price that misses the target to the one at the first price
// that meets it, until the mean quality is sufficient.
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

// bestAtPrice returns a function that picks the option with the highest
// qualityPrice*quality - cost.
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

// options returns the true quality and cost of a request for each stable
// version in the class's cascade that the team may use, in the cascade's order.
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
		shape := engine.AnswerShape{MinTokens: set.MinTokens, MaxTokens: set.MaxTokens, QualitySpread: set.QualitySpread}
		a := engine.NewAnswer(target, rec.Prompt, mean, shape, rec.MaxTokens)
		out = append(out, option{a.Quality, v.Cost * float64(len(a.Tokens)) / tokensPerVersionCost})
	}
	return out
}

// findEngine returns the settings of an engine that serves the version, and the
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
