package fleet

import "time"

// zoneUnreachableThreshold is the number of a zone's upstreams that must be
// unreachable, with no answer from the zone in between, before the whole zone is
// treated as unreachable.
const zoneUnreachableThreshold = 2

// zoneHealth detects that a whole availability zone is unreachable, because of a
// network partition or a power failure. Without it, a request would have to fail
// at each upstream of the zone. The first answer makes the whole zone available
// again.
type zoneHealth struct {
	unreachableIDs   map[string]bool // unreachable upstreams since the last answer from the zone
	unreachableUntil time.Time
	backoff          time.Duration
}

func (f *Fleet) zoneHealthOf(m *member) *zoneHealth {
	if m.health != nil {
		return m.health
	}
	z := f.zoneHealth[m.Zone]
	if z == nil {
		z = &zoneHealth{unreachableIDs: make(map[string]bool)}
		f.zoneHealth[m.Zone] = z
	}
	m.health = z
	return z
}

// recordUnreachable records a failed connection to an upstream of the zone.
func (z *zoneHealth) recordUnreachable(now time.Time, id string) {
	z.unreachableIDs[id] = true
	if len(z.unreachableIDs) < zoneUnreachableThreshold || z.isUnreachable(now) {
		return
	}
	z.backoff = min(max(2*z.backoff, minBackoff), MaxBackoff)
	z.unreachableUntil = now.Add(z.backoff)
}

// recordReachable records an answer from the zone.
func (z *zoneHealth) recordReachable() {
	if len(z.unreachableIDs) == 0 {
		return
	}
	clear(z.unreachableIDs)
	z.unreachableUntil, z.backoff = time.Time{}, 0
}

// isUnreachable reports whether the zone is treated as unreachable.
func (z *zoneHealth) isUnreachable(now time.Time) bool { return now.Before(z.unreachableUntil) }
