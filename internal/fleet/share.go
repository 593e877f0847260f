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

// vmLoadTTL is how long another VM's report of its own requests is used.
const vmLoadTTL = 1500 * time.Millisecond

// vmReport is the latest load report of another VM.
type vmReport struct {
	receivedAt time.Time
	loads      []memberLoad
}

// memberLoad is a VM's load at one upstream.
type memberLoad struct {
	member    *member
	inflight  int
	prefillMs float64
}

// SetRemoteLoads replaces the load reported by another VM. That VM has no requests
// at the upstreams that are missing in loads.
func (f *Fleet) SetRemoteLoads(now time.Time, vm string, loads []VMLoad) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.vmReports[vm]
	if r == nil {
		r = &vmReport{}
		f.vmReports[vm] = r
	}
	r.clear()
	r.receivedAt = now
	if expiry := now.Add(vmLoadTTL); f.nextReportExpiry.IsZero() || expiry.Before(f.nextReportExpiry) {
		f.nextReportExpiry = expiry
	}
	for _, l := range loads {
		if m := f.members[l.Upstream]; m != nil {
			r.add(memberLoad{member: m, inflight: l.Inflight, prefillMs: float64(l.PrefillMs)})
		}
	}
}

func (r *vmReport) add(l memberLoad) {
	r.loads = append(r.loads, l)
	l.member.remoteInflight += l.inflight
	l.member.remotePrefillMs += l.prefillMs
}

func (r *vmReport) clear() {
	for _, l := range r.loads {
		l.member.remoteInflight -= l.inflight
		l.member.remotePrefillMs -= l.prefillMs
	}
	r.loads = r.loads[:0]
}

// minExpiryInterval is the minimum interval between two searches for reports that
// are too old.
const minExpiryInterval = 100 * time.Millisecond

// expireVMReports drops the reports that are too old to be used.
func (f *Fleet) expireVMReports(now time.Time) {
	if f.nextReportExpiry.IsZero() || now.Before(f.nextReportExpiry) {
		return
	}
	f.nextReportExpiry = time.Time{}
	for vm, r := range f.vmReports {
		expiry := r.receivedAt.Add(vmLoadTTL)
		switch {
		case !now.Before(expiry):
			r.clear()
			delete(f.vmReports, vm)
		case f.nextReportExpiry.IsZero() || expiry.Before(f.nextReportExpiry):
			f.nextReportExpiry = expiry
		}
	}
	if earliest := now.Add(minExpiryInterval); !f.nextReportExpiry.IsZero() && f.nextReportExpiry.Before(earliest) {
		f.nextReportExpiry = earliest
	}
}
