package timeline

// ReadType is the peer message type of ReadRequest.
const ReadType = "timeline.read"

// MaxEventsPerRead is the maximum number of events in one ReadResponse. It
// keeps the frame far below the limit of the peer protocol.
const MaxEventsPerRead = 1000

// ReadRequest requests events of a process's log.
type ReadRequest struct {
	// Since is the sequence after which to read. If Incarnation is not the
	// process's incarnation, the read starts at the oldest event instead.
	Since       uint64 `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// SinceMS excludes events with an earlier wall time, in milliseconds.
	SinceMS int64 `cbor:"3,keyasint"`
	// Request selects one request's events; empty selects all.
	Request string `cbor:"4,keyasint"`
	// Stamp is the reading of the sender's clock. The receiver observes it.
	Stamp Stamp `cbor:"5,keyasint"`
}

// ReadResponse contains events in sequence order.
type ReadResponse struct {
	Incarnation uint64  `cbor:"1,keyasint"`
	Events      []Event `cbor:"2,keyasint"`
	// Next is the value of Since for the next read.
	Next uint64 `cbor:"3,keyasint"`
	// More is true if the log has further events.
	More bool `cbor:"4,keyasint"`
	// Stamp is the reading of the responder's clock after the read.
	Stamp Stamp `cbor:"5,keyasint"`
}

// Serve returns the response to a ReadRequest.
func (l *Log) Serve(req ReadRequest) ReadResponse {
	l.clock.Observe(req.Stamp)
	since := req.Since
	if req.Incarnation != l.origin.Incarnation {
		since = 0
	}
	resp := ReadResponse{Incarnation: l.origin.Incarnation, Next: since}
	newest := l.LastSequence()
	events := l.Read(since, req.Request, MaxEventsPerRead+1)
	if len(events) > MaxEventsPerRead {
		events = events[:MaxEventsPerRead]
		resp.More = true
		newest = events[MaxEventsPerRead-1].Sequence
	}
	resp.Next = max(newest, since)
	for _, e := range events {
		if e.Stamp.WallMS >= req.SinceMS {
			resp.Events = append(resp.Events, e)
		}
	}
	resp.Stamp = l.clock.Now()
	return resp
}
