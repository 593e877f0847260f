// Package timeline records the events of one process, with stamps of a hybrid
// logical clock, and merges the events of several processes in stamp order.
package timeline

// Stamp is a hybrid logical timestamp: the wall time in milliseconds and a
// counter that orders events of the same millisecond. Stamps of causally
// related events are in causal order even if the wall clocks disagree.
type Stamp struct {
	WallMS int64  `json:"wall_ms" cbor:"1,keyasint"`
	Count  uint32 `json:"count" cbor:"2,keyasint"`
}

// Less reports whether s is before other.
func (s Stamp) Less(other Stamp) bool {
	if s.WallMS != other.WallMS {
		return s.WallMS < other.WallMS
	}
	return s.Count < other.Count
}

// Event is one recorded event.
type Event struct {
	Stamp Stamp `json:"stamp"`
	// Sequence numbers the events of one incarnation from 1. A gap means that
	// the log dropped events.
	Sequence    uint64 `json:"sequence"`
	VM          string `json:"vm"`
	Role        string `json:"role"`
	Incarnation uint64 `json:"incarnation"`
	// Request is the ID of the request; empty for control events.
	Request string `json:"request,omitempty"`
	// Name is "component.event", for example "claims.granted".
	Name string `json:"name"`
	// Fields are event-specific values.
	Fields []Field `json:"fields,omitempty"`
}

// Field is one named value of an event.
type Field struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// F returns a field.
func F(key, value string) Field { return Field{Key: key, Value: value} }

// Recorder records events. Record never blocks; if the log is full, it drops
// and counts the oldest event.
type Recorder interface {
	Record(request, name string, fields ...Field)
}
