package platformside

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Room limits the requests that a replica runs and queues. A replica whose room is
// brittle falls over if it has to reject more than Limit requests in a second: it
// breaks its connections and is back after Downtime.
type Room struct {
	Slots int
	Queue int
	// Limit is the number that all responses state while the replica is brittle; zero
	// if it is not. The replica queues BrittleQueue requests then, after Delay.
	Limit        int
	BrittleQueue int
	Delay        time.Duration
	Downtime     time.Duration

	mu           sync.Mutex
	brittleSince time.Time
	running      int
	queue        []chan struct{}
	rejectedAt   []time.Time
	downUntil    time.Time
	falls        int
	fallen       chan struct{} // closed by the next fall
}

// NewRoom returns a room that is not brittle.
func NewRoom(slots, queue int) *Room {
	return &Room{Slots: slots, Queue: queue, fallen: make(chan struct{})}
}

// SetBrittle begins a brittle time, or ends it if limit is zero.
func (r *Room) SetBrittle(limit, queue int, delay, downtime time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Limit, r.BrittleQueue, r.Delay, r.Downtime = limit, queue, delay, downtime
	r.brittleSince, r.rejectedAt = time.Now(), nil
}

// Falls returns how often the replica has fallen over.
func (r *Room) Falls() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.falls
}

func (r *Room) setHeaders(h http.Header) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h.Set("X-Replica-Load", fmt.Sprintf("%d,%d,%d", r.running, len(r.queue), r.Slots))
	if r.Limit > 0 {
		h.Set("Server-Brittle", strconv.Itoa(r.Limit))
	}
}

// admission is what becomes of a request.
type admission int

const (
	admitted admission = iota
	rejected
	broken // the replica is down, or falls over while the request waits
)

// enter waits for a slot. After a request was admitted, leave must be called with the era,
// a channel that the next fall closes.
func (r *Room) enter(done <-chan struct{}) (result admission, era <-chan struct{}) {
	r.mu.Lock()
	fallen := r.fallen
	if time.Now().Before(r.downUntil) {
		r.mu.Unlock()
		return broken, fallen
	}
	if r.running < r.Slots {
		r.running++
		r.mu.Unlock()
		return admitted, fallen
	}
	if len(r.queue) >= r.queueLimit() {
		defer r.mu.Unlock()
		return r.reject(), fallen
	}
	turn := make(chan struct{})
	r.queue = append(r.queue, turn)
	r.mu.Unlock()
	select {
	case <-turn:
		return admitted, fallen
	case <-fallen:
	case <-done:
		r.abandon(turn)
	}
	return broken, fallen
}

func (r *Room) isBrittle() bool { return r.Limit > 0 && time.Since(r.brittleSince) >= r.Delay }

func (r *Room) queueLimit() int {
	if r.isBrittle() {
		return r.BrittleQueue
	}
	return r.Queue
}

// reject counts a rejection; too many of them in a second make the replica fall over.
func (r *Room) reject() admission {
	now := time.Now()
	r.rejectedAt = append(r.rejectedAt, now)
	for now.Sub(r.rejectedAt[0]) >= time.Second {
		r.rejectedAt = r.rejectedAt[1:]
	}
	if r.isBrittle() && len(r.rejectedAt) > r.Limit {
		r.falls++
		r.downUntil = now.Add(r.Downtime)
		r.running, r.queue, r.rejectedAt = 0, nil, nil
		close(r.fallen)
		r.fallen = make(chan struct{})
	}
	return rejected
}

// abandon removes a request that no longer waits. If it has been given a slot by now, the
// slot is passed on.
func (r *Room) abandon(turn chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, other := range r.queue {
		if other == turn {
			r.queue = append(r.queue[:i:i], r.queue[i+1:]...)
			return
		}
	}
	select {
	case <-turn:
		r.passSlotOn()
	default: // the replica fell over
	}
}

// leave frees the slot of a request that was admitted in an era, and reports whether the
// replica has not fallen over since.
func (r *Room) leave(era <-chan struct{}) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if era != r.fallen {
		return false
	}
	r.passSlotOn()
	return true
}

func (r *Room) passSlotOn() {
	if len(r.queue) > 0 {
		close(r.queue[0])
		r.queue = r.queue[1:]
		return
	}
	r.running--
}

// serveInRoom runs a request in the replica's room.
func (p *Replica) serveInRoom(w http.ResponseWriter, r *http.Request, serve http.HandlerFunc) {
	p.Room.setHeaders(w.Header())
	result, era := p.Room.enter(r.Context().Done())
	switch result {
	case broken:
		resetConn(w)
		return
	case rejected:
		p.Room.setHeaders(w.Header())
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case admitted:
	}
	serve(w, r)
	if !p.Room.leave(era) {
		panic(http.ErrAbortHandler) // the fall broke the connection
	}
}
