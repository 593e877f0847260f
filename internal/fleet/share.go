package fleet

import (
	"slices"
	"time"
)

// VMLoad is the load of one VM's requests at one upstream.
type VMLoad struct {
	Upstream string `cbor:"1,keyasint"`
	Inflight int    `cbor:"2,keyasint"`
	// PrefillMs is the expected prefill time of the requests whose first token has
	// not arrived yet.
	PrefillMs int `cbor:"3,keyasint"`
}

// VMLoads returns the load of this VM's requests at up to limit upstreams, those with
// the most prefill time first.
func (f *Fleet) VMLoads(limit int) []VMLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []VMLoad
	for _, m := range f.members {
		if m.inflight > 0 {
			out = append(out, VMLoad{Upstream: m.ID, Inflight: m.inflight, PrefillMs: int(m.prefillMs)})
		}
	}
	slices.SortFunc(out, func(a, b VMLoad) int { return b.PrefillMs - a.PrefillMs })
	return out[:min(len(out), limit)]
}

// SetRemoteLoads replaces the load reported by another VM. That VM has no requests
// at the upstreams that are missing in loads.
func (f *Fleet) SetRemoteLoads(now time.Time, vm string, loads []VMLoad) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.membersByVM[vm] {
		delete(m.remoteLoads, vm)
	}
	f.membersByVM[vm] = f.membersByVM[vm][:0]
	for _, l := range loads {
		m := f.members[l.Upstream]
		if m == nil {
			continue
		}
		if m.remoteLoads == nil {
			m.remoteLoads = make(map[string]remoteLoad)
		}
		f.membersByVM[vm] = append(f.membersByVM[vm], m)
		m.remoteLoads[vm] = remoteLoad{inflight: l.Inflight, prefillMs: float64(l.PrefillMs), receivedAt: now}
	}
}
