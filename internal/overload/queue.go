package overload

import (
	"slices"
	"time"
)

// Waiter is a request in a queue.
type Waiter struct {
	Request
	// Until is when the request stops waiting, and ExpectedIn when room was expected for
	// it, at its admission; zero if that was unknown.
	Until      time.Time
	ExpectedIn time.Duration

	number uint64 // in the order of arrival
	rank   rank
	groups [groupsPerRequest]*served
}

// Queue holds the requests of one service that wait for room in this VM.
type Queue struct {
	waiting       []*Waiter
	lastNumber    uint64
	pending       []*Waiter // those to be tried in this round, in order
	tried         int       // the number of them that were tried
	floor         *Waiter   // the one of them that is tried first because of its floor
	drain         drain
	shares        shares
	inversions    inversions
	promisedUntil time.Time
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{shares: shares{groups: make(map[groupKey]*served)}} }

// Len returns the number of requests in the queue.
func (q *Queue) Len() int { return len(q.waiting) }

// Join adds a request to the queue, so that it can be tried at its place in the order.
// Admit decides afterwards whether it stays.
func (q *Queue) Join(now time.Time, r Request) *Waiter {
	q.drain.advance(now, len(q.waiting) > 0)
	q.lastNumber++
	w := &Waiter{Request: r, number: q.lastNumber}
	w.groups = q.shares.recordDemand(now, &w.Request)
	q.inversions.recordDemand(now, &w.Request)
	q.waiting = append(q.waiting, w)
	return w
}

// Leave removes a request that got no room. It returns false if the request has left
// already.
func (q *Queue) Leave(now time.Time, w *Waiter) bool {
	i := slices.Index(q.waiting, w)
	if i < 0 {
		return false
	}
	q.drain.advance(now, true)
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// Granted removes a request that got room.
func (q *Queue) Granted(now time.Time, w *Waiter) {
	if !q.Leave(now, w) {
		return
	}
	q.drain.granted()
	q.shares.recordGrant(now, w, w == q.floor)
	q.inversions.recordGrant(now, &w.Request)
}

// BeginRound begins a round, in which each request that waits now is tried at most once.
func (q *Queue) BeginRound(now time.Time) {
	q.rankAll(now)
	q.floor = q.floorTurn(now)
	clear(q.pending) // frees those that have left
	q.pending, q.tried = append(q.pending[:0], q.waiting...), 0
	slices.SortFunc(q.pending, func(a, b *Waiter) int {
		if a == b {
			return 0
		}
		if a == q.floor || b != q.floor && a.before(b) {
			return -1
		}
		return 1
	})
}

// Next returns the request to be tried next in this round, or nil if all were tried.
func (q *Queue) Next() *Waiter {
	if q.tried == len(q.pending) {
		return nil
	}
	q.tried++
	return q.pending[q.tried-1]
}
