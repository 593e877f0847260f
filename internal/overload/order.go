package overload

import "time"

// The order in which waiting requests are tried.
//
// Load pattern: one kind of request at 2.5 times its load for 6 s while another is at
// 1.8 times. First come first served gives the room to what has waited longest, which is
// most often late by then, whatever its priority.

const (
	// minSlack and maxSlack bound the time left that counts as urgency. Below minSlack
	// differences are smaller than the error of the expected latency; above maxSlack a
	// longer target makes a request no less urgent.
	minSlack = 20 * time.Millisecond
	maxSlack = 10 * time.Second
)

// canBeInTime reports whether a request that is dispatched now is expected to meet its
// target.
func (r *Request) canBeInTime(now time.Time) bool {
	return !now.Add(r.Expected).After(r.TargetAt)
}

// currentWorkPerUrgency returns the work of a request divided by its urgency. The urgency is the
// inverse of the time left until the target, or until the deadline for a request that is
// late already.
func (r *Request) currentWorkPerUrgency(now time.Time) float64 {
	until := r.TargetAt
	if !r.canBeInTime(now) {
		until = r.Deadline
	}
	slack := min(max(until.Sub(now)-r.Expected, minSlack), maxSlack)
	return float64(r.Work()) * slack.Seconds()
}

// rank is what the order compares, as of a time.
type rank struct {
	// late is true for requests that go behind those that can be in time.
	late           bool
	workPerUrgency float64
}

// rankAll updates the ranks of the waiting requests. Those that are late keep the place of
// the others while their priority is served less often than a less urgent one.
func (q *Queue) rankAll(now time.Time) {
	inverted := q.inversions.inverted(now)
	for _, w := range q.waiting {
		w.rank = rank{late: !w.canBeInTime(now) && !inverted[priorityOf(&w.Request)], workPerUrgency: w.currentWorkPerUrgency(now)}
	}
}

// before reports whether w is tried before o: requests that can still be in time come
// before those that are late, then the more urgent priority, then the least work per unit
// of urgency, then the earlier deadline, then the one that arrived first.
func (w *Waiter) before(o *Waiter) bool {
	if w.rank.late != o.rank.late {
		return o.rank.late
	}
	if w.Priority != o.Priority {
		return w.Priority < o.Priority
	}
	if a, b := w.rank.workPerUrgency, o.rank.workPerUrgency; a != b {
		return a < b
	}
	if !w.Deadline.Equal(o.Deadline) {
		return w.Deadline.Before(o.Deadline)
	}
	return w.number < o.number
}
