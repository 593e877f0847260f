package rollout

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/control"
	"github.com/cranberrypier/cranberrypier/internal/document"
)

// target identifies one version of a model.
type target struct{ model, version string }

func targetOf(c control.VersionCounters) target { return target{c.Model, c.Version} }

// source is one process, whose totals never decrease.
type source struct {
	vm          string
	role        string
	incarnation uint64
}

// totals add up what sources report. The first report of a source only sets its
// baseline, since another VM may already have added what it counted before.
type totals struct {
	sum  map[target]control.VersionCounters
	last map[source]map[target]control.VersionCounters
	seen map[source]time.Time
}

// sourceTTL is how long a source that sends no reports is remembered.
const sourceTTL = 10 * time.Minute

func newTotals() *totals {
	return &totals{
		sum:  map[target]control.VersionCounters{},
		last: map[source]map[target]control.VersionCounters{},
		seen: map[source]time.Time{},
	}
}

// add applies a source's totals and returns the difference to its last report.
func (t *totals) add(now time.Time, from source, list []control.VersionCounters) []control.VersionCounters {
	before, known := t.last[from]
	after := make(map[target]control.VersionCounters, len(list))
	var out []control.VersionCounters
	for _, c := range list {
		k := targetOf(c)
		after[k] = c
		if !known {
			continue
		}
		d := difference(c, before[k])
		out = append(out, d)
		t.sum[k] = add(t.sum[k], d)
	}
	t.last[from] = after
	t.seen[from] = now
	for s, at := range t.seen {
		if now.Sub(at) > sourceTTL {
			delete(t.seen, s)
			delete(t.last, s)
		}
	}
	return out
}

// list returns the sums of the tracked versions, sorted by model and version.
func (t *totals) list(tracked map[target]bool) []control.VersionCounters {
	var out []control.VersionCounters
	for k, c := range t.sum {
		if tracked[k] {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b control.VersionCounters) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	return out
}

// difference returns a minus b. A total that decreased counts as unchanged.
func difference(a, b control.VersionCounters) control.VersionCounters {
	return control.VersionCounters{
		Model: a.Model, Version: a.Version,
		Requests:     subtract(a.Requests, b.Requests),
		Errors:       subtract(a.Errors, b.Errors),
		FirstTokenMS: subtract(a.FirstTokenMS, b.FirstTokenMS),
		FirstTokens:  subtract(a.FirstTokens, b.FirstTokens),
		RatingSum:    max(0, a.RatingSum-b.RatingSum),
		Ratings:      subtract(a.Ratings, b.Ratings),
	}
}

func subtract(a, b uint64) uint64 {
	if a < b {
		return 0
	}
	return a - b
}

func add(a, b control.VersionCounters) control.VersionCounters {
	return control.VersionCounters{
		Model: b.Model, Version: b.Version,
		Requests:     a.Requests + b.Requests,
		Errors:       a.Errors + b.Errors,
		FirstTokenMS: a.FirstTokenMS + b.FirstTokenMS,
		FirstTokens:  a.FirstTokens + b.FirstTokens,
		RatingSum:    a.RatingSum + b.RatingSum,
		Ratings:      a.Ratings + b.Ratings,
	}
}

// decayedCounters are a version's recent statistics. Older samples weigh less,
// so that a version that fails after a long time without errors is detected.
type decayedCounters struct {
	requests, errors, firstTokenMS, firstTokens, ratingSum, ratings float64
}

func (w *decayedCounters) add(c control.VersionCounters) {
	w.requests += float64(c.Requests)
	w.errors += float64(c.Errors)
	w.firstTokenMS += float64(c.FirstTokenMS)
	w.firstTokens += float64(c.FirstTokens)
	w.ratingSum += c.RatingSum
	w.ratings += float64(c.Ratings)
}

func (w *decayedCounters) decay(elapsed, halfLife time.Duration) {
	factor := math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
	w.requests *= factor
	w.errors *= factor
	w.firstTokenMS *= factor
	w.firstTokens *= factor
	w.ratingSum *= factor
	w.ratings *= factor
}

// recentStats are a version's statistics with two half-lives.
type recentStats struct{ short, long decayedCounters }

func (r *recentStats) add(c control.VersionCounters) {
	r.short.add(c)
	r.long.add(c)
}

func (r *recentStats) decay(elapsed time.Duration) {
	r.short.decay(elapsed, shortHalfLife)
	r.long.decay(elapsed, longHalfLife)
}

// recentViolation describes the limit that a version violates in the statistics
// of either half-life, as text for Progress.Reason. The text is empty if the
// version violates none.
func recentViolation(p *document.RollOutPlan, r, stable *recentStats) string {
	if reason := violation(p, &r.short, &stable.short); reason != "" {
		return reason
	}
	return violation(p, &r.long, &stable.long)
}

// violation returns the limit that a version violates, or an empty string.
func violation(p *document.RollOutPlan, w, stable *decayedCounters) string {
	if reason := errorRateViolation(p, w, stable); reason != "" {
		return reason
	}
	if p.MinQuality > 0 && w.ratings >= minSamples {
		mean := w.ratingSum / w.ratings
		// Ratings are between 0 and 1, so their variance is at most
		// mean*(1-mean).
		if mean+zScore*standardError(mean, w.ratings) < p.MinQuality {
			return fmt.Sprintf("quality %.3f is below %.3f", mean, p.MinQuality)
		}
	}
	if limit := p.MaxFirstToken.D(); limit > 0 && w.firstTokens >= minSamples {
		mean := time.Duration(w.firstTokenMS/w.firstTokens) * time.Millisecond
		if mean > limit {
			return fmt.Sprintf("the first token takes %v, the limit is %v", mean, limit)
		}
	}
	return ""
}

func errorRateViolation(p *document.RollOutPlan, w, stable *decayedCounters) string {
	if p.MaxErrorRate <= 0 || w.requests < minSamples {
		return ""
	}
	rate := w.errors / w.requests
	if rate-zScore*standardError(rate, w.requests) <= p.MaxErrorRate {
		return ""
	}
	if stable.requests >= minSamples && rate < stableErrorFactor*stable.errors/stable.requests {
		return ""
	}
	return fmt.Sprintf("error rate %.3f is above %.3f", rate, p.MaxErrorRate)
}

func standardError(mean, n float64) float64 {
	return math.Sqrt(max(0, mean*(1-mean)) / n)
}
