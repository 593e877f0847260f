package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/cranberrypier/cranberrypier/internal/document"
)

// Report writes a run's tables: results by phase and stream, exposure to faulty
// versions, and cost comparisons. Row describes the columns of the
// results.
func Report(w io.Writer, r *Run, d *document.Document) error {
	fmt.Fprintf(w, "\n%s: seed %d, %.0f requests per second for %s, %d records\n\n",
		r.Label, r.Mix.Seed, r.Mix.Rate, r.Mix.Duration.D(), len(r.Records))
	t := newTable(w, "phase", "stream", "sent", "whole", "refused", "broken", "left",
		"p50 ms", "p95 ms", "p99 ms", "max ms", "first p50", "first p95", "first p99", "gap p95", "quality", "cost")
	for _, row := range r.Rows(d) {
		t.addRow(row.Phase, row.Stream, row.Sent, row.OK, row.Rejected, row.Failed, row.Canceled,
			row.Latency.P50, row.Latency.P95, row.Latency.P99, row.Latency.Max,
			row.FirstToken.P50, row.FirstToken.P95, row.FirstToken.P99, row.TokenGap.P95, row.Quality, row.Cost)
	}
	if err := t.flush(); err != nil {
		return err
	}
	for _, row := range r.Rows(d) {
		if len(row.Codes) > 0 {
			fmt.Fprintf(w, "refusals in %s of %s: %s\n", row.Phase, row.Stream, formatCounts(row.Codes))
		}
		if len(row.ByModel) > 0 {
			fmt.Fprintf(w, "responses in %s of %s: %s\n", row.Phase, row.Stream, formatCounts(row.ByModel))
		}
	}
	reportExposures(w, r)
	return reportCostComparisons(w, r, d)
}

// reportCostComparisons writes the cost at the quality target next to the cost
// of other ways to choose models.
func reportCostComparisons(w io.Writer, r *Run, d *document.Document) error {
	comparisons := r.CostComparisons(d)
	if len(comparisons) == 0 {
		return nil
	}
	fmt.Fprintf(w, "\ncost at the quality target, for the same requests with a complete response\n\n")
	t := newTable(w, "stream", "requests", "target", "quality", "cost", "of strongest",
		"strongest q", "strongest cost", "cheapest q", "cheapest cost", "fixed mix cost", "over fixed mix", "perfect q", "perfect cost", "over perfect")
	for _, c := range comparisons {
		over := "target not reachable"
		if c.PerfectMeetsTarget {
			over = fmt.Sprintf("%+.1f%%", (c.Cost/c.PerfectCost-1)*100)
		}
		t.addRow(c.Stream, c.Requests, c.Target, c.Quality, c.Cost, fmt.Sprintf("%.1f%%", c.Cost/c.StrongestCost*100),
			c.StrongestQuality, c.StrongestCost, c.CheapestQuality, c.CheapestCost,
			c.FixedMixCost, fmt.Sprintf("%+.1f%%", (c.Cost/c.FixedMixCost-1)*100), c.PerfectQuality, c.PerfectCost, over)
	}
	return t.flush()
}

// ReportVerdicts writes the verdicts and returns true if no invariant is
// violated.
func ReportVerdicts(w io.Writer, verdicts []Verdict) bool {
	allHold := true
	for _, v := range verdicts {
		state := "holds"
		switch {
		case len(v.Violations) > 0:
			state = "VIOLATED"
			allHold = false
		case v.Examined == 0:
			state = "no cases"
		}
		fmt.Fprintf(w, "%-9s %6d examined  %s\n", state, v.Examined, v.Invariant)
		if v.Tolerated > 0 {
			fmt.Fprintf(w, "          %d cases tolerated: within the mechanism's documented limit\n", v.Tolerated)
		}
		for _, d := range v.Violations {
			fmt.Fprintf(w, "          %s\n", d)
		}
	}
	return allHold
}

// formatCounts formats a map in the order of its keys.
func formatCounts[K int | string](m map[K]int) string {
	parts := make([]string, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%v: %d", k, m[k]))
	}
	return strings.Join(parts, ", ")
}

// table writes aligned columns.
type table struct{ w *tabwriter.Writer }

func newTable(w io.Writer, columns ...string) *table {
	const padding = 2
	t := &table{tabwriter.NewWriter(w, 0, 0, padding, ' ', 0)}
	fmt.Fprintln(t.w, strings.Join(columns, "\t"))
	return t
}

func (t *table) addRow(cells ...any) {
	text := make([]string, len(cells))
	for i, c := range cells {
		if f, ok := c.(float64); ok {
			text[i] = formatNumber(f)
			continue
		}
		text[i] = fmt.Sprint(c)
	}
	fmt.Fprintln(t.w, strings.Join(text, "\t"))
}

// formatNumber formats a number with about three significant digits.
func formatNumber(f float64) string {
	switch {
	case f == 0:
		return "-"
	case f < 10:
		return fmt.Sprintf("%.3f", f)
	case f < 100:
		return fmt.Sprintf("%.1f", f)
	}
	return fmt.Sprintf("%.0f", f)
}

func (t *table) flush() error { return t.w.Flush() }
