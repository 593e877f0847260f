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

// Origin identifies the process that records the events.
type Origin struct {
	VM          string
	Role        string
	Incarnation uint64
}

// Log keeps the latest events of one process in a ring buffer. It is safe for
// concurrent use. Record never waits for a reader: if the log is full, it drops
// and counts the oldest event.
type Log struct {
	clock  *Clock
	origin Origin

	mu           sync.Mutex
	ring         []Event
	start        int
	size         int
	lastSequence uint64
}

// NewLog returns an empty log with a capacity of at least one event.
func NewLog(clock *Clock, origin Origin, capacity int) *Log {
	return &Log{clock: clock, origin: origin, ring: make([]Event, max(capacity, 1))}
}

// Record implements Recorder.
func (l *Log) Record(request, name string, fields ...Field) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastSequence++
	e := Event{
		Stamp:       l.clock.Now(),
		Sequence:    l.lastSequence,
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

// Read returns up to limit events with a sequence greater than since, oldest
// first. If request is not empty, it returns only that request's events.
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

// LastSequence returns the sequence of the latest event; zero if there is none.
func (l *Log) LastSequence() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastSequence
}

// Discard is a Recorder that discards all events.
type Discard struct{}

// Record implements Recorder.
func (Discard) Record(string, string, ...Field) {}
