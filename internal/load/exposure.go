package load

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/cranberrypier/cranberrypier/internal/fake/faults"
)

// Exposure is how many answers came from a version after it turned bad.
type Exposure struct {
	Target string
	// AtMS is when it turned bad, since the start.
	AtMS float64
	// Before and Share are the version's answers before and their share of its
	// model's; OfModel counts the model's answers after, Served the version's.
	Before, OfModel, Served int
	Share                   float64
	// Fixed is what a plain roll-out that keeps its percentage would have
	// served: the share before times the model's answers after.
	Fixed float64
	// LastMS is how long after the turn the last of them was due.
	LastMS float64
}

// Exposures follows each version that a fault of the mix turned bad.
func (r *Run) Exposures() []Exposure {
	faultyAtMS := map[string]float64{}
	var targets []string
	for _, f := range r.Mix.Faults {
		var set faults.Faults
		if json.Unmarshal([]byte(f.Set), &set) != nil {
			continue
		}
		for target := range set.BadVersions {
			if _, seen := faultyAtMS[target]; !seen {
				faultyAtMS[target] = ms(f.At.D())
				targets = append(targets, target)
			}
		}
	}
	out := make([]Exposure, 0, len(targets))
	for _, target := range targets {
		out = append(out, r.exposure(target, faultyAtMS[target]))
	}
	return out
}

func (r *Run) exposure(target string, faultyAtMS float64) Exposure {
	e := Exposure{Target: target, AtMS: faultyAtMS}
	model, _, _ := strings.Cut(target, "@")
	modelBefore := 0
	for i := range r.Records {
		rec := &r.Records[i]
		if !rec.OK() || !strings.HasPrefix(rec.Model, model+"@") {
			continue
		}
		faulty := rec.Model == target
		switch {
		case rec.DueMS < faultyAtMS && faulty:
			e.Before++
			modelBefore++
		case rec.DueMS < faultyAtMS:
			modelBefore++
		case faulty:
			e.OfModel++
			e.Served++
			e.LastMS = max(e.LastMS, rec.DueMS-faultyAtMS)
		default:
			e.OfModel++
		}
	}
	if modelBefore > 0 {
		e.Share = float64(e.Before) / float64(modelBefore)
	}
	e.Fixed = e.Share * float64(e.OfModel)
	return e
}

// reportExposures writes the exposure to versions that turned bad.
func reportExposures(w io.Writer, r *Run) {
	for _, e := range r.Exposures() {
		fmt.Fprintf(w, "%s: %s turned bad at %.0f s with a share of %.1f%%: %d answers after it, the last due %.1f s after it; a fixed percentage would have served %.0f of %d\n",
			r.Label, e.Target, e.AtMS/1000, e.Share*100, e.Served, e.LastMS/1000, e.Fixed, e.OfModel)
	}
}
