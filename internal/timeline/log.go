package timeline

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

var (
	recorded = promauto.NewCounter(prometheus.CounterOpts{
		Name: "pier_timeline_events_total",
		Help: "Events recorded by this process.",
	})
	dropped = promauto.NewCounter(prometheus.CounterOpts{
		Name: "pier_timeline_dropped_total",
		Help: "Events that the ring dropped, unread or not, to make room.",
	})
)

// Origin is the process that records.
type Origin struct {
	VM          string
	Role        string
	Incarnation uint64
}

// Log keeps the newest events of one process in a ring. It is safe for
// concurrent use. It never blocks on a reader: when full, the oldest event is
// dropped and counted.
type Log struct {
	clock  *Clock
	origin Origin

	mu    sync.Mutex
	ring  []Event
	start int
	size  int
	seq   uint64
}

// NewLog returns a ring of at least one event.
func NewLog(clock *Clock, origin Origin, capacity int) *Log {
	return &Log{clock: clock, origin: origin, ring: make([]Event, max(capacity, 1))}
}

// Record implements Recorder.
func (l *Log) Record(request, name string, fields ...Field) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	e := Event{
		Stamp:       l.clock.Now(),
		Sequence:    l.seq,
		VM:          l.origin.VM,
		Role:        l.origin.Role,
		Incarnation: l.origin.Incarnation,
		Request:     request,
		Name:        name,
		Fields:      fields,
	}
	recorded.Inc()
	if l.size < len(l.ring) {
		l.ring[(l.start+l.size)%len(l.ring)] = e
		l.size++
		return
	}
	l.ring[l.start] = e
	l.start = (l.start + 1) % len(l.ring)
	dropped.Inc()
}

// Read returns up to limit events with a sequence above since, oldest first;
// of one request only, if request is not empty.
func (l *Log) Read(since uint64, request string, limit int) []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Event
	for i := range l.size {
		e := l.ring[(l.start+i)%len(l.ring)]
		if e.Sequence <= since || (request != "" && e.Request != request) {
			continue
		}
		if len(out) == limit {
			break
		}
		out = append(out, e)
	}
	return out
}

// Last is the sequence of the newest event; zero when there is none.
func (l *Log) LastSequence() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seq
}

// Discard is a Recorder that keeps nothing.
type Discard struct{}

// Record implements Recorder.
func (Discard) Record(string, string, ...Field) {}
