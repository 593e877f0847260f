package load

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cranberrypier/cranberrypier/internal/document"
)

const (
	// maxLatency is the largest value of histograms; longer times are capped.
	maxLatency = 10 * time.Minute
	// significantDigits is the precision of histograms, in decimal digits.
	significantDigits = 3
)

// Quantiles summarizes a distribution of times, in milliseconds.
type Quantiles struct {
	P50, P95, P99, P999, Max float64
	Count                    int64
}

// histogram counts times. Latencies start at a request's scheduled time, so
// that a stall counts for every request scheduled during it.
type histogram struct{ h *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)}
}

func (h histogram) add(millis float64) {
	us := int64(millis * 1000)
	_ = h.h.RecordValue(min(max(us, 1), maxLatency.Microseconds()))
}

func (h histogram) quantiles() Quantiles {
	at := func(q float64) float64 { return float64(h.h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{
		P50: at(50), P95: at(95), P99: at(99), P999: at(99.9),
		Max: float64(h.h.Max()) / 1000, Count: h.h.TotalCount(),
	}
}

// Row summarizes one stream in one phase.
type Row struct {
	Stream string
	Phase  string
	Kind   Kind
	// Sent counts first attempts. OK counts those with a complete response,
	// Rejected those with a result code, Canceled those whose caller closed the
	// connection, and Failed all others. The report's columns are named whole,
	// refused, left and broken.
	Sent, OK, Rejected, Failed, Canceled int
	Latency                              Quantiles
	FirstToken                           Quantiles
	TokenGap                             Quantiles
	// Quality is the mean true quality of the complete responses.
	Quality float64
	// Cost is the cost of all executions for the row's requests, in cost units.
	Cost   float64
	Tokens int
	// ByModel counts complete responses by "model@version".
	ByModel map[string]int
	// Codes counts rejections by result code.
	Codes map[int]int
}

// Rows summarizes a run by phase and stream, in the order of the mix.
func (r *Run) Rows(d *document.Document) []Row {
	type key struct{ stream, phase string }
	type sums struct {
		row                Row
		total, first, gaps histogram
		quality            float64
	}
	costs := r.costs(d)
	byKey := map[key]*sums{}
	var order []*sums
	for i := range r.Records {
		rec := &r.Records[i]
		if !rec.Measured {
			continue
		}
		k := key{rec.Stream, rec.Phase}
		s := byKey[k]
		if s == nil {
			s = &sums{
				row:   Row{Stream: rec.Stream, Phase: rec.Phase, Kind: rec.Kind, ByModel: map[string]int{}, Codes: map[int]int{}},
				total: newHistogram(), first: newHistogram(), gaps: newHistogram(),
			}
			byKey[k] = s
			order = append(order, s)
		}
		s.row.count(rec)
		s.row.Cost += costs[rec.ID]
		if !rec.OK() {
			continue
		}
		s.total.add(rec.TotalMS)
		s.quality += rec.Quality
		if rec.FirstMS > 0 {
			s.first.add(rec.FirstMS)
			s.gaps.add(rec.MaxGapMS)
		}
	}
	out := make([]Row, 0, len(order))
	for _, s := range order {
		s.row.Latency, s.row.FirstToken, s.row.TokenGap = s.total.quantiles(), s.first.quantiles(), s.gaps.quantiles()
		if s.row.OK > 0 {
			s.row.Quality = s.quality / float64(s.row.OK)
		}
		out = append(out, s.row)
	}
	r.sortRows(out)
	return out
}

func (r *Row) count(rec *Record) {
	r.Sent++
	switch {
	case rec.OK():
		r.OK++
		r.Tokens += rec.Tokens
		if rec.Model != "" {
			r.ByModel[rec.Model]++
		}
	case rec.Canceled:
		r.Canceled++
	case rec.Code != 0:
		r.Rejected++
		r.Codes[int(rec.Code)]++
	default:
		r.Failed++
	}
}

// sortRows orders rows by phase, then by stream, both in the order of the mix.
func (r *Run) sortRows(rows []Row) {
	phase, stream := map[string]int{"after": len(r.Mix.Phases)}, map[string]int{}
	for i, p := range r.Mix.Phases {
		phase[p.Name] = i
	}
	for i, s := range r.Mix.Streams {
		stream[s.Name] = i
	}
	slices.SortStableFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(phase[a.Phase], phase[b.Phase]), cmp.Compare(stream[a.Stream], stream[b.Stream]))
	})
}

// costs returns the cost of all executions by request id.
func (r *Run) costs(d *document.Document) map[string]float64 {
	price := prices(d)
	out := map[string]float64{}
	for _, l := range r.StandIns {
		for _, e := range l.Executions {
			out[e.Request] += price[e.Target] * float64(e.Tokens) / tokensPerVersionCost
		}
	}
	return out
}

// tokensPerVersionCost is the number of tokens that a version's cost in the
// document refers to.
const tokensPerVersionCost = 1000

// prices returns the cost of tokensPerVersionCost tokens by "model@version".
func prices(d *document.Document) map[string]float64 {
	out := map[string]float64{}
	for _, m := range d.Models {
		for _, v := range m.Versions {
			out[m.Name+"@"+v.Name] = v.Cost
		}
	}
	return out
}
