package load

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/cranberrypier/cranberrypier/internal/fake/faults"
)

// Exposure counts the responses that a version served after a fault of the mix
// lowered its quality or raised its error rate.
type Exposure struct {
	Target string
	// AtMS is the time of the fault since the start, in milliseconds.
	AtMS float64
	// ServedBefore counts the version's responses before the fault, and
	// ShareBefore is their share of the model's responses before it. ModelServed
	// counts the model's responses after the fault, Served those of the version.
	ServedBefore, ModelServed, Served int
	ShareBefore                       float64
	// FixedPercentageServed is the number of responses that a roll-out with a
	// fixed percentage would have served from the version: ShareBefore times
	// ModelServed.
	FixedPercentageServed float64
	// LastServedMS is the time from the fault to the scheduled time of the last
	// request that the version served, in milliseconds.
	LastServedMS float64
}

// Exposures returns the exposure to each version that the mix makes faulty.
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
			e.ServedBefore++
			modelBefore++
		case rec.DueMS < faultyAtMS:
			modelBefore++
		case faulty:
			e.ModelServed++
			e.Served++
			e.LastServedMS = max(e.LastServedMS, rec.DueMS-faultyAtMS)
		default:
			e.ModelServed++
		}
	}
	if modelBefore > 0 {
		e.ShareBefore = float64(e.ServedBefore) / float64(modelBefore)
	}
	e.FixedPercentageServed = e.ShareBefore * float64(e.ModelServed)
	return e
}

// reportExposures writes the exposure to faulty versions.
func reportExposures(w io.Writer, r *Run) {
	for _, e := range r.Exposures() {
		fmt.Fprintf(w, "%s: %s became faulty at %.0f s with a share of %.1f%%: it served %d responses afterwards, the last scheduled %.1f s later; a fixed percentage would have served %.0f of %d\n",
			r.Label, e.Target, e.AtMS/1000, e.ShareBefore*100, e.Served, e.LastServedMS/1000, e.FixedPercentageServed, e.ModelServed)
	}
}
