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
type choice struct{ quality, cost float64 }

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
		var all [][]choice
		for j := range r.Records {
			rec := &r.Records[j]
			if rec.Stream != s.Name || !rec.Measured || !rec.OK() {
				continue
			}
			options := r.choices(index, s, rec)
			if len(options) == 0 {
				continue
			}
			all = append(all, options)
			b.Requests++
			b.Quality += rec.Quality
			b.Cost += costs[rec.ID]
		}
		if b.Requests > 0 {
			b.fill(all)
			out = append(out, b)
		}
	}
	return out
}

func (b *Bound) fill(all [][]choice) {
	n := float64(b.Requests)
	b.Quality /= n
	last := func(o []choice) choice { return o[len(o)-1] }
	first := func(o []choice) choice { return o[0] }
	b.StrongestQuality, b.StrongestCost = total(all, last)
	b.CheapestQuality, b.CheapestCost = total(all, first)
	b.PerfectQuality, b.PerfectCost, b.PerfectMet = perfect(all, b.Target)
	b.MeansQuality, b.MeansCost = fixedMix(all, b.Target)
}

// fixedMix returns the cheapest mix of two models whose mean quality meets the
// target; the best model alone when none does. A mix of more than two is never
// cheaper, as a linear program with one bound has a solution with two.
func fixedMix(all [][]choice, target float64) (quality, cost float64) {
	models := len(all[0])
	for _, o := range all {
		models = min(models, len(o))
	}
	means := make([]choice, models)
	for i := range means {
		means[i].quality, means[i].cost = total(all, func(o []choice) choice { return o[i] })
	}
	top := means[0]
	for _, m := range means {
		if m.quality > top.quality {
			top = m
		}
	}
	found := top
	for _, low := range means {
		for _, high := range means {
			m := high
			if low.quality < target && high.quality > target {
				share := (target - low.quality) / (high.quality - low.quality)
				m = choice{target, low.cost + share*(high.cost-low.cost)}
			}
			if m.quality >= target && (found.quality < target || m.cost < found.cost) {
				found = m
			}
		}
	}
	return found.quality, found.cost
}

// total returns the mean quality and the sum of costs of a choice.
func total(all [][]choice, pick func([]choice) choice) (quality, cost float64) {
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
func perfect(all [][]choice, target float64) (quality, cost float64, met bool) {
	const (
		most  = 1e6
		steps = 60
	)
	if q, c := total(all, best(most)); q < target {
		return q, c, false
	}
	low, high := 0.0, most
	for range steps {
		mid := (low + high) / 2
		if q, _ := total(all, best(mid)); q >= target {
			high = mid
		} else {
			low = mid
		}
	}
	cheap, dear := best(low), best(high)
	quality, cost = total(all, cheap)
	n := float64(len(all))
	for _, o := range all {
		if quality >= target {
			break
		}
		quality += (dear(o).quality - cheap(o).quality) / n
		cost += dear(o).cost - cheap(o).cost
	}
	return quality, cost, true
}

// best returns the rule that takes the option with the best quality less
// price, when quality is worth so much.
func best(worth float64) func([]choice) choice {
	return func(o []choice) choice {
		top := o[0]
		for _, c := range o[1:] {
			if worth*c.quality-c.cost > worth*top.quality-top.cost {
				top = c
			}
		}
		return top
	}
}

// choices are the stable versions of the class's cascade that the team may
// use, in the cascade's order, with the true quality and cost for a request.
func (r *Run) choices(index *document.Index, s *Stream, rec *Record) []choice {
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
	var out []choice
	for _, m := range class.Cascade {
		v, ok := index.StableVersion(m)
		if !ok || !index.Allowed(rec.Team, m, v.Name) {
			continue
		}
		target := m + "@" + v.Name
		set, mean, ok := r.engineOf(target)
		if !ok {
			continue
		}
		shape := engine.AnswerShape{MinTokens: set.MinTokens, MaxTokens: set.MaxTokens, QualitySpread: set.QualitySpread}
		a := engine.NewAnswer(target, rec.Prompt, mean, shape, rec.MaxTokens)
		out = append(out, choice{a.Quality, v.Cost * float64(len(a.Tokens)) / costTokens})
	}
	return out
}

// engineOf returns the settings of an engine that has the version, and the
// version's mean quality.
func (r *Run) engineOf(target string) (*engine.Settings, float64, bool) {
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
