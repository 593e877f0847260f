package overload

import "time"

// Which requests wait, and for how long at most.
//
// Load pattern: upstreams of a zone that come back cold take 4 to 8 requests a second
// each, and after a restart of all VMs every upstream counts as cold. Room comes back
// within a second, so a short wait saves a request that a refusal would lose; a longer
// one keeps callers from going elsewhere.

const (
	// MaxHoldTime limits the wait of a request, because callers expect a refusal at once.
	MaxHoldTime = 500 * time.Millisecond
	// MaxHoldShare limits the wait to a share of the time that is left, most of which the
	// response needs.
	MaxHoldShare = 0.25
)

// Decision is what becomes of a request that found no room.
type Decision string

// The decisions. All but Wait refuse the request.
const (
	// Wait: the request waits until Waiter.Until at most.
	Wait Decision = "wait"
	// RefusedNoRoom: no room is expected for it within its hold.
	RefusedNoRoom Decision = "refused_no_room"
	// RefusedFull: the queue is full of requests that go before it.
	RefusedFull Decision = "refused_full"
	// Evicted: the queue was full, and one that goes before it needed its place.
	Evicted Decision = "evicted"
	// Expired: it waited until the end of its hold.
	Expired Decision = "expired"
)

// Refused reports whether a decision refuses the request because there is no room.
func (d Decision) Refused() bool {
	switch d {
	case RefusedNoRoom, RefusedFull, Evicted, Expired:
		return true
	}
	return false
}

// holdUntil returns how long a request that arrives now may wait.
func holdUntil(now time.Time, r *Request) time.Time {
	left := max(r.Deadline.Sub(now), 0)
	return now.Add(min(MaxHoldTime, time.Duration(MaxHoldShare*float64(left))))
}

// Admit decides whether a request that has joined the queue and found no room stays in
// it. firstRoom is when the fleet expects the next room, zero if it can't tell. A request
// that does not stay has left the queue; evicted is another one that lost its place.
func (q *Queue) Admit(now time.Time, w *Waiter, firstRoom time.Duration) (d Decision, evicted *Waiter) {
	q.rankAll(now)
	w.Until = holdUntil(now, &w.Request)
	w.ExpectedIn = q.expectedIn(now, w, firstRoom)
	if now.Add(w.ExpectedIn).After(w.Until) || !w.Until.After(now) {
		q.Leave(now, w)
		return RefusedNoRoom, nil
	}
	if len(q.waiting) <= MaxWaiting {
		return Wait, nil
	}
	switch v := q.victim(now); v {
	case w:
		q.Leave(now, w)
		return RefusedFull, nil
	default:
		q.Leave(now, v)
		return Wait, v
	}
}

// expectedIn returns when the queue expects room for a waiting request: after the next
// room of all, and after those that go before it. The latter is zero while the rate of
// grants is unknown, and for a request that goes first because its kind, team or size is
// neglected.
func (q *Queue) expectedIn(now time.Time, w *Waiter, firstRoom time.Duration) time.Duration {
	ahead := 0
	for _, o := range q.waiting {
		if o != w && o.before(w) {
			ahead++
		}
	}
	if share, neglected := q.shares.neglect(now, w); neglected && !q.yieldsFloor(now, w, share) {
		ahead = min(ahead, q.shares.untilFloor())
	}
	return max(firstRoom, q.drain.timeFor(ahead))
}
