package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// coldWindow is the sliding window in which requests to a cold upstream are
	// counted. It is longer than the second for which the limit holds, because
	// requests arrive at the upstream with varying delays.
	coldWindow = 1100 * time.Millisecond
	// coldStartMargin extends a cold start, because an upstream's report is delayed
	// on its way to this VM.
	coldStartMargin = 1500 * time.Millisecond
	// coldLimitShare is the share of the fleet-wide limit that is divided among the
	// VMs; the rest covers VMs that have not discovered each other.
	coldLimitShare = 0.8
	// minAssumedVMs is the number of VMs assumed to share a limit while fewer have
	// been discovered.
	minAssumedVMs = 8
)

// isCold reports whether the upstream must be treated as cold. It is cold, or may
// be, until coldStartMargin after the end of its cold start, after it was first
// listed, and after the end of its backoff.
func (m *member) isCold(now time.Time) bool {
	return now.Before(m.ColdUntil.Add(coldStartMargin)) || now.Before(m.firstSeen.Add(coldStartMargin)) || now.Before(m.backoffUntil.Add(coldStartMargin))
}

// coldShare is this VM's share of the limit of one cold upstream. It changes only
// with the VMs and the rate.
type coldShare struct {
	known      bool
	generation int // of Fleet.vms
	rate       float64
	limit      int
}

// coldLimit returns the number of requests per second that this VM may send to a
// cold upstream.
func (f *Fleet) coldLimit(m *member) int {
	rate := f.coldRates[m.Service]
	if s := m.coldShare; s.known && s.generation == f.vmsGeneration && s.rate == rate {
		return s.limit
	}
	m.coldShare = coldShare{known: true, generation: f.vmsGeneration, rate: rate, limit: f.computeColdLimit(m, rate)}
	return m.coldShare.limit
}

// computeColdLimit divides the fleet-wide limit in advance: each VM gets the same
// whole number. If there are more VMs than allowed requests per second, only as many
// VMs as requests, selected by a hash, may send one request per second.
func (f *Fleet) computeColdLimit(m *member, rate float64) int {
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

// coldLimitReached reports whether this VM has used up its limit for a cold
// upstream in the current window. It is always false for services whose upstreams
// have no cold start.
func (f *Fleet) coldLimitReached(now time.Time, m *member) bool {
	if f.coldRates[m.Service] <= 0 || !m.isCold(now) {
		return false
	}
	m.dropOldSends(now)
	return len(m.sentAt) >= f.coldLimit(m)
}

// dropOldSends removes the requests that are older than the window.
func (m *member) dropOldSends(now time.Time) {
	i := 0
	for i < len(m.sentAt) && now.Sub(m.sentAt[i]) > coldWindow {
		i++
	}
	m.sentAt = append(m.sentAt[:0], m.sentAt[i:]...)
}
