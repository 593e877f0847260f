package fleet

import (
	"slices"
	"time"
)

// Load is what one VM has in progress at one upstream.
type Load struct {
	Upstream string `cbor:"1,keyasint"`
	Inflight int    `cbor:"2,keyasint"`
	// Reading is the time of the prompts that are still to be read, in ms.
	PrefillMs int `cbor:"3,keyasint"`
}

// Loads lists at most most upstreams where this VM has requests in progress,
// those with the most reading first.
func (f *Fleet) Loads(most int) []Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Load
	for _, m := range f.members {
		if m.inflight > 0 {
			out = append(out, Load{Upstream: m.ID, Inflight: m.inflight, PrefillMs: int(m.reading)})
		}
	}
	slices.SortFunc(out, func(a, b Load) int { return b.PrefillMs - a.PrefillMs })
	return out[:min(len(out), most)]
}

// Heard takes what another VM has in progress; what it does not list is over.
func (f *Fleet) SetRemoteLoads(now time.Time, vm string, loads []Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.told[vm] {
		delete(m.remote, vm)
	}
	f.told[vm] = f.told[vm][:0]
	for _, l := range loads {
		m := f.members[l.Upstream]
		if m == nil {
			continue
		}
		if m.remote == nil {
			m.remote = make(map[string]remoteLoad)
		}
		f.told[vm] = append(f.told[vm], m)
		m.remote[vm] = remoteLoad{inflight: l.Inflight, reading: float64(l.PrefillMs), at: now}
	}
}
