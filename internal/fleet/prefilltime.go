package fleet

import (
	"cmp"
	"slices"
	"strings"
)

// The prefill time per uncached prompt token is learned for each model from the first
// tokens of its answers. Between VMs pass only estimates that rest on a VM's own samples,
// so that no estimate comes back to the VM that it came from.
const (
	// msPerTokenUpWeight and msPerTokenDownWeight are the weights of a sample above
	// and below the estimated prefill time per uncached prompt token; with this ratio
	// the estimate settles near the first quartile. The first samples count more: the
	// weight of the n-th is at least 1/n below and a third of that above.
	msPerTokenUpWeight   = 0.03
	msPerTokenDownWeight = 0.09
	// minPrefillSamples is the number of own samples from which on a VM tells others its
	// estimate, and no longer takes theirs.
	minPrefillSamples = 8
	// maxPrefillModels limits the models with an estimate, and maxReportedPrefill those in
	// one datagram.
	maxPrefillModels   = 64
	maxReportedPrefill = 6
	// maxMsPerToken limits the estimates that are taken from others, in ms.
	maxMsPerToken = 100
)

// prefillTime is the estimate for one model; the zero value has none.
type prefillTime struct {
	estimate float64 // ms per uncached prompt token; zero for none
	samples  int     // of this VM
	// reported is the number of samples on which the other VM's estimate rests with which
	// this one began; zero if it began without.
	reported int
}

// msPerToken returns the estimate, or the default.
func (p prefillTime) msPerToken() float64 {
	if p.estimate == 0 {
		return defaultMsPerToken
	}
	return p.estimate
}

// record moves the estimate toward the first quartile of the samples, in ms per token.
// Higher samples are less useful: a first token that waited for the prefill of other
// prompts says little about the prefill of its own.
func (p *prefillTime) record(sample float64) {
	p.samples++
	if p.estimate == 0 {
		p.estimate = sample
		return
	}
	first := 1 / float64(p.samples+min(p.reported, minPrefillSamples))
	weight := max(msPerTokenUpWeight, first*msPerTokenUpWeight/msPerTokenDownWeight)
	if sample < p.estimate {
		weight = max(msPerTokenDownWeight, first)
	}
	p.estimate += weight * (sample - p.estimate)
}

// prefillTimes holds the estimates by model.
type prefillTimes map[string]*prefillTime

func (t prefillTimes) of(model string) prefillTime {
	if p := t[model]; p != nil {
		return *p
	}
	return prefillTime{}
}

// get returns the estimate for a model, or nil if there are too many.
func (t prefillTimes) get(model string) *prefillTime {
	p := t[model]
	if p == nil && len(t) < maxPrefillModels {
		p = &prefillTime{}
		t[model] = p
	}
	return p
}

func (t prefillTimes) record(model string, sample float64) {
	if p := t.get(model); p != nil && sample > 0 {
		p.record(sample)
	}
}

// PrefillReport is a VM's estimate of a model's prefill time.
type PrefillReport struct {
	Model string `cbor:"1,keyasint"`
	// NanosPerToken is the prefill time per uncached prompt token, in nanoseconds.
	NanosPerToken int64 `cbor:"2,keyasint"`
	// Samples is the number of the sender's own samples.
	Samples int `cbor:"3,keyasint"`
}

// nanosPerMs is the number of nanoseconds in a millisecond.
const nanosPerMs = 1e6

// PrefillReports returns this VM's estimates that rest on enough samples of its own, those
// with the most samples first.
func (f *Fleet) PrefillReports() []PrefillReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []PrefillReport
	for model, p := range f.prefillTimes {
		if p.samples >= minPrefillSamples {
			out = append(out, PrefillReport{Model: model, NanosPerToken: int64(p.estimate * nanosPerMs), Samples: p.samples})
		}
	}
	slices.SortFunc(out, func(a, b PrefillReport) int {
		return cmp.Or(b.Samples-a.Samples, strings.Compare(a.Model, b.Model))
	})
	return out[:min(len(out), maxReportedPrefill)]
}

// MergePrefill applies another VM's estimates. A VM takes one for a model of which it has
// few samples, if it rests on more samples than what it has.
func (f *Fleet) MergePrefill(reports []PrefillReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range reports {
		if r.Model == "" || r.NanosPerToken <= 0 || r.NanosPerToken > maxMsPerToken*nanosPerMs || r.Samples < minPrefillSamples {
			continue
		}
		p := f.prefillTimes.get(r.Model)
		if p == nil || p.samples >= minPrefillSamples || p.reported >= r.Samples {
			continue
		}
		p.estimate, p.reported = float64(r.NanosPerToken)/nanosPerMs, r.Samples
	}
}
