package fleet

import "time"

// zoneSuspects is how many upstreams of a zone have to be out of reach, with
// none reached in between, for the whole zone to be taken as out of reach.
const zoneSuspects = 2

// zoneReach notices that a whole availability zone can't be reached, so that
// not every one of its upstreams has to be found out by a request of its own.
// It answers a zone that is cut off, loses power or comes back together.
type zoneReach struct {
	failed  map[string]bool // upstreams out of reach since one was last reached
	until   time.Time
	backoff time.Duration
}

func (f *Fleet) zoneOf(m *member) *zoneReach {
	z := f.zones[m.Zone]
	if z == nil {
		z = &zoneReach{failed: make(map[string]bool)}
		f.zones[m.Zone] = z
	}
	return z
}

// unreachable notes a failed connection to an upstream of the zone.
func (z *zoneReach) unreachable(now time.Time, id string) {
	z.failed[id] = true
	if len(z.failed) < zoneSuspects {
		return
	}
	z.backoff = min(max(2*z.backoff, firstDown), longestDown/2)
	z.until = now.Add(z.backoff)
}

// reached notes an answer from the zone.
func (z *zoneReach) reached() {
	if len(z.failed) == 0 {
		return
	}
	clear(z.failed)
	z.until, z.backoff = time.Time{}, 0
}

// suspect reports whether the zone is taken as out of reach.
func (z *zoneReach) suspect(now time.Time) bool { return now.Before(z.until) }
