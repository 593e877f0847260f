package fleet

import "time"

// maxEstimateMembers limits the upstreams that ExpectedWithRoom looks at.
const maxEstimateMembers = 16

// NextRoomIn returns when the first of the upstreams that a query allows may receive a
// request again: one at its cold limit when the oldest request of the window ends, one that
// was unreachable after its backoff, one that asked for a pause at its end. It returns false
// if the query allows none, for example because all were tried.
func (f *Fleet) NextRoomIn(now time.Time, q Query) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	shortest, found := time.Duration(0), false
	for _, m := range f.membersOf(q.Service) {
		if !m.removeAt.IsZero() || !f.isAllowed(q, m) {
			continue
		}
		left := max(m.pausedUntil.Sub(now), m.backoffUntil.Sub(now), f.zoneHealthOf(m).unreachableUntil.Sub(now), 0)
		if f.coldLimitReached(now, m) {
			left = max(left, f.coldRoomIn(now, m))
		}
		if !found || left < shortest {
			shortest, found = left, true
		}
	}
	return shortest, found
}

// coldRoomIn returns when this VM may send another request to a cold upstream whose limit
// it has reached.
func (f *Fleet) coldRoomIn(now time.Time, m *member) time.Duration {
	warm := max(m.ColdUntil.Sub(now), m.firstSeen.Sub(now), m.backoffUntil.Sub(now)) + coldStartMargin
	limit := f.coldLimit(m)
	if limit == 0 {
		return warm
	}
	return min(warm, m.sentAt[len(m.sentAt)-limit].Add(coldWindow).Sub(now)+1) // the window includes its end
}

// ExpectedWithRoom returns the expected time to the first byte of a request if an upstream
// had room for it now; zero if the service has no upstreams.
func (f *Fleet) ExpectedWithRoom(now time.Time, q Query) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	members := f.membersOf(q.Service)
	best := 0.0
	for _, m := range members[:min(len(members), maxEstimateMembers)] {
		c := f.candidate(now, q, m, prompt{msPerToken: f.prefillTimes.of(q.Model).msPerToken(), uncachedShare: preferredUncachedShareLargeFleet})
		c.InFlight, c.PrefillBacklogMs = 0, 0
		if ms := c.ExpectedLatencyMs(); best == 0 || ms < best {
			best = ms
		}
	}
	return millisToDuration(best)
}
