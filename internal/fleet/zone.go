package fleet

import "time"

// zoneSuspects is how many upstreams of a zone have to be out of reach, with
// none reached in between, for the whole zone to be taken as out of reach.
const zoneUnreachableThreshold = 2

// zoneReach notices that a whole availability zone can't be reached, so that
// not every one of its upstreams has to be found out by a request of its own.
// It answers a zone that is cut off, loses power or comes back together.
type zoneHealth struct {
	unreachableIDs   map[string]bool // upstreams out of reach since one was last reached
	unreachableUntil time.Time
	backoff          time.Duration
}

func (f *Fleet) zoneHealthOf(m *member) *zoneHealth {
	z := f.zoneHealth[m.Zone]
	if z == nil {
		z = &zoneHealth{unreachableIDs: make(map[string]bool)}
		f.zoneHealth[m.Zone] = z
	}
	return z
}

// unreachable notes a failed connection to an upstream of the zone.
func (z *zoneHealth) recordUnreachable(now time.Time, id string) {
	z.unreachableIDs[id] = true
	if len(z.unreachableIDs) < zoneUnreachableThreshold {
		return
	}
	z.backoff = min(max(2*z.backoff, minBackoff), maxBackoff/2)
	z.unreachableUntil = now.Add(z.backoff)
}

// reached notes an answer from the zone.
func (z *zoneHealth) recordReachable() {
	if len(z.unreachableIDs) == 0 {
		return
	}
	clear(z.unreachableIDs)
	z.unreachableUntil, z.backoff = time.Time{}, 0
}

// suspect reports whether the zone is taken as out of reach.
func (z *zoneHealth) isUnreachable(now time.Time) bool { return now.Before(z.unreachableUntil) }
