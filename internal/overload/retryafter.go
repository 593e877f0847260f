package overload

import "time"

// When a refused caller is asked to return.
//
// Load pattern: 30% of the callers retry three times at once, the others when they are
// told to. If all are told the same time, they return together and are refused again.

const (
	// minRetryAfter and maxRetryAfter bound the time. A shorter one is a retry at once,
	// and after a longer one the state of the upstreams has changed several times.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// unknownInterval is the assumed time between grants while their rate is unknown:
	// about that of one VM of 70 at 100 cold upstreams.
	unknownInterval = 50 * time.Millisecond
	// retrySpread is the share of the time by which returning callers are spread.
	retrySpread = 0.25
)

// RetryAfter returns when a caller that is refused now may expect room: after those that
// wait, and after those that were refused before it and asked to return. Each call
// promises one more grant. firstRoom is when the fleet expects the next room, zero if it
// can't tell; draw is a random number from 0 to 1 that spreads callers of different VMs.
func (q *Queue) RetryAfter(now time.Time, firstRoom time.Duration, draw float64) time.Duration {
	interval := unknownInterval
	if r := q.drain.rate(); r > 0 {
		interval = time.Duration(float64(time.Second) / r)
	}
	earliest := now.Add(max(firstRoom, time.Duration(len(q.waiting))*interval))
	if q.promisedUntil.Before(earliest) {
		q.promisedUntil = earliest
	}
	q.promisedUntil = q.promisedUntil.Add(interval)
	if latest := now.Add(maxRetryAfter); q.promisedUntil.After(latest) {
		q.promisedUntil = latest
	}
	wait := max(q.promisedUntil.Sub(now), minRetryAfter)
	return min(wait+time.Duration(retrySpread*draw*float64(wait)), maxRetryAfter)
}
