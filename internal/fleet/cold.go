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
	coldStartMargin = 1500 * time.Millisecond
	// coldUse is the part of the fleet-wide bound that is handed out; the rest
	// covers VMs that do not know of each other.
	coldLimitShare = 0.8
	// fewestVMs is the number of VMs that is assumed to share a bound while
	// fewer are known.
	minAssumedVMs = 8
)

// cold reports whether the upstream has to be spared.
func (m *member) isCold(now time.Time) bool {
	return now.Before(m.ColdUntil.Add(coldStartMargin)) || now.Before(m.firstSeen.Add(coldStartMargin)) || now.Before(m.backoffUntil.Add(coldStartMargin))
}

// coldShare is how many requests a second this VM may send to a cold upstream.
// The bound is divided in advance: each VM gets the same whole number, or, with
// more VMs than requests, some VMs get one each, chosen by hash.
func (f *Fleet) coldLimit(m *member) int {
	rate := f.coldRate[m.Service]
	bound := (rate*f.cfg.ColdFactor + f.cfg.ColdSlack) * coldLimitShare
	vms := max(len(f.vms), minAssumedVMs)
	if share := int(bound) / vms; share > 0 {
		return share
	}
	ownHash := xxhash.Sum64String(m.ID + f.cfg.VM)
	ahead := 0
	for _, vm := range f.vms {
		if vm != f.cfg.VM && xxhash.Sum64String(m.ID+vm) < ownHash {
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
func (f *Fleet) coldLimitReached(now time.Time, m *member) bool {
	if f.coldRate[m.Service] <= 0 || !m.isCold(now) {
		return false
	}
	m.dropOldSends(now)
	return len(m.sentAt) >= f.coldLimit(m)
}

// forget drops sends that left the window.
func (m *member) dropOldSends(now time.Time) {
	i := 0
	for i < len(m.sentAt) && now.Sub(m.sentAt[i]) > coldWindow {
		i++
	}
	m.sentAt = append(m.sentAt[:0], m.sentAt[i:]...)
}
