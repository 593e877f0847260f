package fleet

import "time"

const (
	// departureTTL is how long departures are remembered: longer than any copy of
	// the platform's store from which it may come back is old, and than the store
	// lists an upstream that no longer writes its entry.
	departureTTL = 5 * time.Minute
	// holdBackTimeout is how long an entry is held back that the store may list only
	// because it came back from an older copy. The store itself removes the entry of
	// an upstream that no longer writes it in less time.
	holdBackTimeout = 10 * time.Second
	// departureReportPeriod is how long this VM reports a departure to other VMs, and
	// maxReportedDepartures limits the departures in one report.
	departureReportPeriod = 4 * time.Second
	maxReportedDepartures = 6
	// maxDepartures limits the remembered departures of each sort.
	maxDepartures = 4096
)

// Departure names an incarnation of an upstream that has announced in a response
// that it is leaving.
type Departure struct {
	Upstream    string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
}

// departures remembers which incarnations are leaving or were removed. An older
// list of the store must not bring them back into use.
type departures struct {
	leaving map[string]leavingRecord // by upstream
	removed map[string]removalRecord // by upstream
	// held holds the entries that are held back, by upstream.
	held map[string]heldEntry
}

type heldEntry struct {
	entry Upstream
	since time.Time
}

type leavingRecord struct {
	Departure
	at time.Time
	// reported is true if this VM reports the departure to others, because the
	// upstream announced it in a response to this VM.
	reported bool
}

type removalRecord struct {
	last Upstream
	at   time.Time
}

func newDepartures() departures {
	return departures{leaving: make(map[string]leavingRecord), removed: make(map[string]removalRecord), held: make(map[string]heldEntry)}
}

// holdBack reports whether an entry is held back: it was written before its upstream
// was removed, and may be listed again only because the store came back from an
// older copy. In the same era of the store, an entry that is listed again means
// that the upstream is alive.
func (d *departures) holdBack(now time.Time, u Upstream) bool {
	r, ok := d.removed[u.ID]
	if !ok || !isOlderEntry(u, r.last) {
		delete(d.held, u.ID)
		return false
	}
	h, known := d.held[u.ID]
	if !known {
		h.since = now
	}
	d.held[u.ID] = heldEntry{entry: u, since: h.since}
	return true
}

// release returns the entries that are held back no longer.
func (d *departures) release(now time.Time) []Upstream {
	var out []Upstream
	for id, h := range d.held {
		if now.Sub(h.since) > holdBackTimeout {
			out = append(out, h.entry)
			delete(d.held, id)
			delete(d.removed, id)
		}
	}
	return out
}

// dropUnlisted drops the entries that a complete list lacks.
func (d *departures) dropUnlisted(listed map[string]bool) {
	for id := range d.held {
		if !listed[id] {
			delete(d.held, id)
		}
	}
}

// isOlderEntry reports whether an entry that was read in a later era of the store is
// older than, or the same as, another entry of the upstream.
func isOlderEntry(u, known Upstream) bool {
	if u.Era <= known.Era {
		return false
	}
	if u.Incarnation != known.Incarnation {
		return u.Incarnation < known.Incarnation
	}
	return u.Sequence <= known.Sequence
}

// isLeaving reports whether an incarnation is leaving.
func (d *departures) isLeaving(id string, incarnation int64) bool {
	r, ok := d.leaving[id]
	return ok && r.Incarnation == incarnation
}

func (d *departures) recordLeaving(now time.Time, r leavingRecord) {
	if len(d.leaving) >= maxDepartures {
		dropOlder(d.leaving, now, func(r leavingRecord) time.Time { return r.at })
	}
	d.leaving[r.Upstream] = r
}

func (d *departures) recordRemoved(now time.Time, u Upstream) {
	if len(d.removed) >= maxDepartures {
		dropOlder(d.removed, now, func(r removalRecord) time.Time { return r.at })
	}
	d.removed[u.ID] = removalRecord{last: u, at: now}
}

// dropOlder removes the records that are older than departureTTL, or half of the
// records if all are younger.
func dropOlder[R any](records map[string]R, now time.Time, at func(R) time.Time) {
	before := len(records)
	for id, r := range records {
		if now.Sub(at(r)) > departureTTL {
			delete(records, id)
		}
	}
	for id := range records {
		if len(records) <= before/2 {
			return
		}
		delete(records, id)
	}
}

// RecordLeaving records that an incarnation announced in a response that it is
// leaving. It receives no further attempts, whatever the platform's store lists,
// until another incarnation replaces it. If the response was to this VM, the VM
// reports the departure to others; see RecentDepartures. RecordLeaving returns
// false if the departure was known or the incarnation was replaced.
func (f *Fleet) RecordLeaving(now time.Time, d Departure, toThisVM bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[d.Upstream]
	if m != nil && m.Incarnation > d.Incarnation || f.departures.isLeaving(d.Upstream, d.Incarnation) {
		return false
	}
	f.departures.recordLeaving(now, leavingRecord{Departure: d, at: now, reported: toThisVM})
	if m != nil && m.Incarnation == d.Incarnation {
		m.Leaving = true
	}
	return true
}

// RecentDepartures returns the latest departures that upstreams announced to this VM.
func (f *Fleet) RecentDepartures(now time.Time) []Departure {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Departure
	for _, r := range f.departures.leaving {
		if r.reported && now.Sub(r.at) < departureReportPeriod && len(out) < maxReportedDepartures {
			out = append(out, r.Departure)
		}
	}
	return out
}
