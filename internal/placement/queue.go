package placement

import (
	"container/heap"
	"slices"
	"time"
)

// WaiterID identifies a queued request.
type WaiterID uint64

// waiter is a queued request.
type waiter struct {
	id    WaiterID
	req   Request
	since time.Time
	pool  *pool
	index int // position in the heap or in queue.pinned; -1 after removal
}

// waiterHeap is a heap ordered by priority, then deadline, then arrival.
type waiterHeap []*waiter

func (w waiterHeap) Len() int { return len(w) }

func (w waiterHeap) Less(i, j int) bool {
	a, b := w[i], w[j]
	switch {
	case a.req.Priority != b.req.Priority:
		return a.req.Priority < b.req.Priority
	case !a.req.Deadline.Equal(b.req.Deadline):
		return a.req.Deadline.Before(b.req.Deadline)
	default:
		return a.id < b.id
	}
}

func (w waiterHeap) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

// Push implements heap.Interface.
func (w *waiterHeap) Push(x any) {
	e := x.(*waiter)
	e.index = len(*w)
	*w = append(*w, e)
}

// Pop implements heap.Interface.
func (w *waiterHeap) Pop() any {
	old := *w
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*w = old[:len(old)-1]
	e.index = -1
	return e
}

// A band is a range of priorities. Each band has its own queue, so that a long
// request at the head of the queue can't block an urgent one, or the reverse.
const (
	bandUrgent = iota
	bandMiddle
	bandLong
	bandCount
)

func bandOf(r *Request) int {
	switch {
	case r.Priority >= minLongPriority:
		return bandLong
	case r.Priority >= minMiddlePriority:
		return bandMiddle
	default:
		return bandUrgent
	}
}

// queue holds the requests that wait for one target. Within a band the teams
// are served in turn, one request each, so that a team with a long queue does
// not delay one with a short queue. Within a team the order is that of
// waiterHeap. Requests pinned to one upstream are kept apart, since they must
// not block those behind them.
type queue struct {
	bands  [bandCount]bandQueue
	pinned []*waiter
	count  int
}

// bandQueue holds the teams that have requests queued in one band.
type bandQueue struct {
	teams []*teamQueue
	// virtualTime is the largest virtual time of any team served so far.
	virtualTime uint64
	size        int
}

type teamQueue struct {
	name    string
	waiters waiterHeap
	// virtualTime grows by one with each request served. A team that returns
	// starts at the band's virtual time, so it does not catch up on the turns
	// that it missed.
	virtualTime uint64
}

func (q *queue) len() int { return q.count }

func (q *queue) push(w *waiter) {
	q.count++
	if w.req.PinnedTo != "" {
		w.index = len(q.pinned)
		q.pinned = append(q.pinned, w)
		return
	}
	b := &q.bands[bandOf(&w.req)]
	t := b.team(w.req.Team)
	if t == nil {
		t = &teamQueue{name: w.req.Team, virtualTime: b.virtualTime}
		b.teams = append(b.teams, t)
	}
	heap.Push(&t.waiters, w)
	b.size++
}

func (b *bandQueue) team(name string) *teamQueue {
	for _, t := range b.teams {
		if t.name == name {
			return t
		}
	}
	return nil
}

// head is the request to serve next: by priority, then by the teams' virtual
// time.
func (b *bandQueue) head() *waiter {
	var best *teamQueue
	for _, t := range b.teams {
		if best == nil || t.before(best) {
			best = t
		}
	}
	if best == nil {
		return nil
	}
	return best.waiters[0]
}

func (t *teamQueue) before(o *teamQueue) bool {
	a, b := t.waiters[0], o.waiters[0]
	switch {
	case a.req.Priority != b.req.Priority:
		return a.req.Priority < b.req.Priority
	case t.virtualTime != o.virtualTime:
		return t.virtualTime < o.virtualTime
	default:
		return waiterHeap{a, b}.Less(0, 1)
	}
}

// remove removes a waiter; granted is true if the waiter got a slot.
func (q *queue) remove(w *waiter, granted bool) {
	if w.index < 0 {
		return
	}
	q.count--
	if w.req.PinnedTo != "" {
		last := len(q.pinned) - 1
		q.pinned[w.index] = q.pinned[last]
		q.pinned[w.index].index = w.index
		q.pinned[last] = nil
		q.pinned = q.pinned[:last]
		w.index = -1
		return
	}
	b := &q.bands[bandOf(&w.req)]
	t := b.team(w.req.Team)
	heap.Remove(&t.waiters, w.index)
	b.size--
	if granted {
		t.virtualTime++
		b.virtualTime = max(b.virtualTime, t.virtualTime)
	}
	if len(t.waiters) == 0 {
		b.teams = slices.DeleteFunc(b.teams, func(o *teamQueue) bool { return o == t })
	}
}

// hasUnpinnedAhead reports whether a request of the same or a more urgent band is
// queued. Pinned requests don't count.
func (q *queue) hasUnpinnedAhead(r *Request) bool {
	for b := 0; b <= bandOf(r); b++ {
		if q.bands[b].size > 0 {
			return true
		}
	}
	return false
}

// ahead estimates how many requests will be served before a new one: all of
// its own team, and at most one more than that of each other team.
func (q *queue) ahead(r *Request) int {
	own, n := 0, 0
	for b := 0; b <= bandOf(r); b++ {
		if t := q.bands[b].team(r.Team); t != nil {
			own += len(t.waiters)
		}
	}
	for b := 0; b <= bandOf(r); b++ {
		for _, t := range q.bands[b].teams {
			if t.name != r.Team {
				n += min(len(t.waiters), own+1)
			}
		}
	}
	return own + n
}

// full reports whether the queue rejects a request of the team: it holds at
// least limit requests, and the team has its share of limit or the queue holds
// twice the limit.
func (q *queue) full(r *Request, limit int) bool {
	if q.count < limit {
		return false
	}
	own, teams := 0, map[string]bool{r.Team: true}
	for b := range q.bands {
		for _, t := range q.bands[b].teams {
			teams[t.name] = true
			if t.name == r.Team {
				own += len(t.waiters)
			}
		}
	}
	return own >= limit/len(teams) || q.count >= 2*limit
}

// each calls f with every waiter; f may remove it.
func (q *queue) each(f func(*waiter)) {
	var all []*waiter
	all = append(all, q.pinned...)
	for b := range q.bands {
		for _, t := range q.bands[b].teams {
			all = append(all, t.waiters...)
		}
	}
	for _, w := range all {
		f(w)
	}
}
