package placement

import (
	"container/heap"
	"slices"
	"time"
)

// WaiterID identifies a request that waits for a place.
type WaiterID uint64

// waiter is a request in a queue.
type waiter struct {
	id    WaiterID
	req   Request
	since time.Time
	pool  *pool
	index int // position in the heap; -1 when not in it
}

// waiters is a heap by priority, then deadline, then arrival.
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

// Bands keep long work apart from urgent work, so that a long request at the
// head can't hold an urgent one, nor the reverse.
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

// queue is what waits for one target. Within a band the teams are served in
// turn, one request each, so that a team with a long queue does not hold one
// with a short one; within a team the order is that of waiters. Requests bound
// to one upstream wait apart, since they must not hold those behind them.
type queue struct {
	bands  [bandCount]band
	pinned []*waiter
	count  int
}

// band is one band's teams that have requests waiting.
type band struct {
	teams []*teamQueue
	// turn is the virtual time: the served count of the team served last.
	virtualTime uint64
	size        int
}

type teamQueue struct {
	name    string
	waiters waiterHeap
	// served is the team's virtual time: it grows by one with each request
	// served, and a team that comes back does not catch up on what it missed.
	virtualTime uint64
}

func (q *queue) len() int { return q.count }

func (q *queue) push(w *waiter) {
	q.count++
	if w.req.Only != "" {
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

func (b *band) team(name string) *teamQueue {
	for _, t := range b.teams {
		if t.name == name {
			return t
		}
	}
	return nil
}

// head is the request to serve next: by priority, then by the teams' turns.
func (b *band) head() *waiter {
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

// remove takes a waiter out; served is true when it got its place.
func (q *queue) remove(w *waiter, granted bool) {
	if w.index < 0 {
		return
	}
	q.count--
	if w.req.Only != "" {
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

// waits reports whether a request of this band or a more urgent one waits.
func (q *queue) hasWaiting(r *Request) bool {
	for b := 0; b <= bandOf(r); b++ {
		if q.bands[b].size > 0 {
			return true
		}
	}
	return false
}

// ahead estimates how many requests are served before a new one: of its own
// team all, of each other team as many at most.
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

// full reports whether the queue takes no more of the team: it holds the most
// that it may, and the team has its part of it.
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
