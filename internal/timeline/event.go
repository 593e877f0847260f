// Package timeline records the events of one process, stamped by a hybrid
// logical clock, and merges the events of many processes into one order.
package timeline

// Stamp is a hybrid logical time: wall milliseconds and a counter that orders
// events of the same millisecond. Stamps of causally related events are
// ordered even when wall clocks are not.
type Stamp struct {
	WallMS int64  `json:"wall_ms" cbor:"1,keyasint"`
	Count  uint32 `json:"count" cbor:"2,keyasint"`
}

// Less orders stamps.
func (s Stamp) Less(other Stamp) bool {
	if s.WallMS != other.WallMS {
		return s.WallMS < other.WallMS
	}
	return s.Count < other.Count
}

// Event is one thing that happened.
type Event struct {
	Stamp Stamp `json:"stamp"`
	// Sequence numbers the events of one incarnation from 1; a gap shows
	// events that the ring dropped.
	Sequence    uint64 `json:"sequence"`
	VM          string `json:"vm"`
	Role        string `json:"role"`
	Incarnation uint64 `json:"incarnation"`
	// Request is the request's id; empty for control events.
	Request string `json:"request,omitempty"`
	// Name is "slice.event", for example "claims.granted".
	Name string `json:"name"`
	// Fields are event-specific values.
	Fields []Field `json:"fields,omitempty"`
}

// Field is one named value of an event.
type Field struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// F makes a field.
func F(key, value string) Field { return Field{Key: key, Value: value} }

// Recorder takes events. Record never blocks; when the ring is full the
// oldest event is dropped and counted.
type Recorder interface {
	Record(request, name string, fields ...Field)
}
