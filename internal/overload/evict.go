package overload

import "time"

// Which request loses its place when the queue is full.
//
// Load pattern: a team at 7.5 times its load, and callers that repeat three times at
// once. A queue that refuses the newest is full of such requests, and the others do not
// get in.

// MaxWaiting limits the requests of a service that wait in this VM. It bounds the memory
// of their bodies and the time of a round.
const MaxWaiting = 64

// victim returns the request whose loss costs callers least: the last one in the order.
// Among those that are alike in time and priority it is one of the team that has the
// most places. The last waiting request of a neglected kind, team or size keeps its
// place as long as there is another, since the floor could not serve it otherwise.
func (q *Queue) victim(now time.Time) *Waiter {
	places := make(map[string]int)
	for _, w := range q.waiting {
		places[w.Team]++
	}
	var worst *Waiter
	worstKept := false
	for _, w := range q.waiting {
		kept := q.isLastNeglected(now, w)
		if worst == nil || worstKept && !kept || worstKept == kept && losesLess(w, worst, places) {
			worst, worstKept = w, kept
		}
	}
	return worst
}

// losesLess reports whether callers lose less with w than with o.
func losesLess(w, o *Waiter, places map[string]int) bool {
	alike := w.rank.late == o.rank.late && w.Priority == o.Priority
	if a, b := places[w.Team], places[o.Team]; alike && a != b {
		return a > b
	}
	return o.before(w)
}

// isLastNeglected reports whether a request is the only one that waits of a neglected
// kind, team or size.
func (q *Queue) isLastNeglected(now time.Time, w *Waiter) bool {
	for i, g := range w.groups {
		if !q.shares.isNeglected(now, g) {
			continue
		}
		n := 0
		for _, o := range q.waiting {
			if o.groups[i] == g {
				n++
			}
		}
		if n == 1 {
			return true
		}
	}
	return false
}
