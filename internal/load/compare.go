package load

import (
	"bytes"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/cranberrypier/cranberrypier/internal/document"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	barWidth   = 12 * vg.Millimeter
)

// Compare writes a table that compares runs to w and, with plots, into dir. The
// reports call a run's label its policy.
func Compare(w io.Writer, runs []*Run, d *document.Document, dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return trace.Wrap(err)
	}
	var text bytes.Buffer
	if err := compareTable(&text, runs, d); err != nil {
		return trace.Wrap(err)
	}
	for _, r := range runs {
		fmt.Fprintf(&text, "\n%s", r.Label)
		reportExposures(&text, r)
		if err := reportCostComparisons(&text, r, d); err != nil {
			return trace.Wrap(err)
		}
	}
	if err := os.WriteFile(filepath.Join(dir, "compare.txt"), text.Bytes(), 0o644); err != nil {
		return trace.Wrap(err)
	}
	if _, err := w.Write(text.Bytes()); err != nil {
		return trace.Wrap(err)
	}
	return plots(runs, d, dir)
}

func plots(runs []*Run, d *document.Document, dir string) error {
	for _, s := range runs[0].Mix.Streams {
		if err := plotOverTime(runs, s.Name, filepath.Join(dir, "time-"+s.Name+".svg")); err != nil {
			return err
		}
	}
	if err := plotFailures(runs, filepath.Join(dir, "not-whole.svg")); err != nil {
		return err
	}
	return plotCosts(runs, d, filepath.Join(dir, "cost.svg"))
}

// compareTable writes a table with a row for each run, phase and stream. Its
// column "whole" counts complete responses, and "not whole" rejected and failed
// requests.
func compareTable(w io.Writer, runs []*Run, d *document.Document) error {
	t := newTable(w, "policy", "phase", "stream", "sent", "whole", "not whole",
		"p50 ms", "p99 ms", "p99.9 ms", "first p50", "first p99", "quality", "cost")
	for _, r := range runs {
		for _, row := range r.Rows(d) {
			t.addRow(r.Label, row.Phase, row.Stream, row.Sent, row.OK, row.Rejected+row.Failed,
				row.Latency.P50, row.Latency.P99, row.Latency.P999, row.FirstToken.P50, row.FirstToken.P99, row.Quality, row.Cost)
		}
	}
	return t.flush()
}

// perSecond groups a stream's measured records by the second in which they were
// scheduled and summarizes each group; an empty stream selects all streams.
func perSecond(r *Run, stream string, summarize func([]*Record) (float64, bool)) plotter.XYs {
	bySecond := map[int][]*Record{}
	for i := range r.Records {
		rec := &r.Records[i]
		if rec.Measured && (stream == "" || rec.Stream == stream) {
			bySecond[int(rec.DueMS/1000)] = append(bySecond[int(rec.DueMS/1000)], rec)
		}
	}
	var out plotter.XYs
	for s, recs := range bySecond {
		if y, ok := summarize(recs); ok {
			out = append(out, plotter.XY{X: float64(s), Y: y})
		}
	}
	slices.SortFunc(out, func(a, b plotter.XY) int { return int(a.X - b.X) })
	return out
}

// slowest returns the longest latency of a complete response, in milliseconds.
func slowest(recs []*Record) (float64, bool) {
	maxMS := 0.0
	for _, r := range recs {
		if r.OK() {
			maxMS = max(maxMS, r.TotalMS)
		}
	}
	return maxMS, maxMS > 0
}

// countFailed counts requests without a complete response, except those that
// their caller canceled.
func countFailed(recs []*Record) (float64, bool) {
	n := 0
	for _, r := range recs {
		if !r.OK() && !r.Canceled {
			n++
		}
	}
	return float64(n), true
}

func plotOverTime(runs []*Run, stream, file string) error {
	p := plot.New()
	p.Title.Text = "Slowest complete response per second: " + stream
	p.X.Label.Text = "scheduled time, seconds since the start"
	p.Y.Label.Text = "milliseconds"
	return plotLines(p, runs, file, func(r *Run) plotter.XYs { return perSecond(r, stream, slowest) })
}

func plotFailures(runs []*Run, file string) error {
	p := plot.New()
	p.Title.Text = "Requests without a complete response"
	p.X.Label.Text = "scheduled time, seconds since the start"
	p.Y.Label.Text = "requests per second"
	return plotLines(p, runs, file, func(r *Run) plotter.XYs { return perSecond(r, "", countFailed) })
}

func plotLines(p *plot.Plot, runs []*Run, file string, points func(*Run) plotter.XYs) error {
	for i, r := range runs {
		xy := points(r)
		if len(xy) == 0 {
			continue
		}
		l, err := plotter.NewLine(xy)
		if err != nil {
			return trace.Wrap(err)
		}
		l.Color = plotutil.Color(i)
		p.Add(l)
		p.Legend.Add(r.Label, l)
	}
	p.Legend.Top = true
	p.Y.Min = 0
	return trace.Wrap(p.Save(plotWidth, plotHeight, file))
}

// plotCosts plots each run's cost as a share of the cost of sending every
// request to the strongest model.
func plotCosts(runs []*Run, d *document.Document, file string) error {
	p := plot.New()
	p.Title.Text = "Cost of each policy as a share of always using the strongest model"
	p.Y.Label.Text = "percent"
	var values plotter.Values
	var names []string
	for _, r := range runs {
		for _, c := range r.CostComparisons(d) {
			share := c.Cost / c.StrongestCost * 100
			if math.IsNaN(share) || math.IsInf(share, 0) {
				continue
			}
			values = append(values, share)
			names = append(names, fmt.Sprintf("%s\n%s\nquality %.3f", r.Label, c.Stream, c.Quality))
		}
	}
	if len(values) == 0 {
		return nil
	}
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return trace.Wrap(err)
	}
	p.Add(bars)
	p.NominalX(names...)
	p.Y.Min = 0
	return trace.Wrap(p.Save(plotWidth, plotHeight, file))
}
