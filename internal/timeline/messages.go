package timeline

// ReadType is the peer message type that reads a process's ring.
const ReadType = "timeline.read"

// MaxRead is the most events in one ReadResponse; it keeps the frame far below
// the peer protocol's bound.
const MaxEventsPerRead = 1000

// ReadRequest asks a process for events of its ring.
type ReadRequest struct {
	// Since is the sequence after which to read; it counts only while the
	// incarnation is the one named, else the read starts at the oldest event.
	Since       uint64 `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// SinceMS leaves out events of earlier wall milliseconds.
	SinceMS int64 `cbor:"3,keyasint"`
	// Request selects one request's events; empty selects all.
	Request string `cbor:"4,keyasint"`
	// Stamp is the asker's clock, which the answerer observes.
	Stamp Stamp `cbor:"5,keyasint"`
}

// ReadResponse holds events in sequence order.
type ReadResponse struct {
	Incarnation uint64  `cbor:"1,keyasint"`
	Events      []Event `cbor:"2,keyasint"`
	// Next is the sequence to continue after.
	Next uint64 `cbor:"3,keyasint"`
	// More is true when the ring holds further events.
	More  bool  `cbor:"4,keyasint"`
	Stamp Stamp `cbor:"5,keyasint"`
}

// Serve answers a ReadRequest from the log.
func (l *Log) Serve(q ReadRequest) ReadResponse {
	l.clock.Observe(q.Stamp)
	since := q.Since
	if q.Incarnation != l.origin.Incarnation {
		since = 0
	}
	r := ReadResponse{Incarnation: l.origin.Incarnation, Next: since}
	newest := l.LastSequence()
	events := l.Read(since, q.Request, MaxEventsPerRead+1)
	if len(events) > MaxEventsPerRead {
		events = events[:MaxEventsPerRead]
		r.More = true
		newest = events[MaxEventsPerRead-1].Sequence
	}
	r.Next = max(newest, since)
	for _, e := range events {
		if e.Stamp.WallMS >= q.SinceMS {
			r.Events = append(r.Events, e)
		}
	}
	r.Stamp = l.clock.Now()
	return r
}
