package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// coldWindow is the span over which requests to a cold upstream are counted.
	// It is longer than the checked second, since sends arrive unevenly.
	coldWindow = 1100 * time.Millisecond
	// coldMargin extends a cold start: a report is as old as its delivery.
	coldMargin = 1500 * time.Millisecond
	// coldUse is the part of the fleet-wide bound that is handed out; the rest
	// covers VMs that do not know of each other.
	coldUse = 0.8
	// fewestVMs is the number of VMs that is assumed to share a bound while
	// fewer are known.
	fewestVMs = 8
)

// cold reports whether the upstream has to be spared.
func (m *member) cold(now time.Time) bool {
	return now.Before(m.ColdUntil.Add(coldMargin)) || now.Before(m.firstSeen.Add(coldMargin)) || now.Before(m.downUntil.Add(coldMargin))
}

// coldShare is how many requests a second this VM may send to a cold upstream.
// The bound is divided in advance: each VM gets the same whole number, or, with
// more VMs than requests, some VMs get one each, chosen by hash.
func (f *Fleet) coldShare(m *member) int {
	rate := f.coldRate[m.Service]
	bound := (rate*f.cfg.ColdFactor + f.cfg.ColdSlack) * coldUse
	vms := max(len(f.vms), fewestVMs)
	if share := int(bound) / vms; share > 0 {
		return share
	}
	own := xxhash.Sum64String(m.ID + f.cfg.VM)
	ahead := 0
	for _, vm := range f.vms {
		if vm != f.cfg.VM && xxhash.Sum64String(m.ID+vm) < own {
			ahead++
		}
	}
	if ahead < int(bound) {
		return 1
	}
	return 0
}

// spared reports whether a cold upstream has had its share for now. Services
// without cold upstreams are never spared.
func (f *Fleet) spared(now time.Time, m *member) bool {
	if f.coldRate[m.Service] <= 0 || !m.cold(now) {
		return false
	}
	m.forget(now)
	return len(m.sent) >= f.coldShare(m)
}

// forget drops sends that left the window.
func (m *member) forget(now time.Time) {
	i := 0
	for i < len(m.sent) && now.Sub(m.sent[i]) > coldWindow {
		i++
	}
	m.sent = append(m.sent[:0], m.sent[i:]...)
}
