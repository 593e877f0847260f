package edge

import (
	"bytes"
	"errors"
	"io"
)

const (
	// eventMost bounds one event of a stream, in bytes.
	maxEventBytes = 256 << 10
	// readSize is how much is read from an upstream at once.
	readSize = 4 << 10
)

var errEventTooLong = errors.New("an event of the stream is too long")

// eventReader cuts a text/event-stream into whole events.
type eventReader struct {
	src   io.Reader
	buf   []byte
	err   error
	chunk [readSize]byte
}

func newEventReader(src io.Reader) *eventReader { return &eventReader{src: src} }

// next returns the next events that are whole, at least one, and the id of the
// last of them; several may have arrived together. At the end of the stream it
// returns the bytes after the last whole event, if any, with the error.
func (r *eventReader) next() (events []byte, lastID string, err error) {
	for {
		if end := lastEventEnd(r.buf); end > 0 {
			events = bytes.Clone(r.buf[:end])
			r.buf = append(r.buf[:0], r.buf[end:]...)
			return events, lastEventID(events), nil
		}
		if r.err != nil {
			return r.buf, "", r.err
		}
		if len(r.buf) > maxEventBytes {
			return nil, "", errEventTooLong
		}
		var n int
		n, r.err = r.src.Read(r.chunk[:])
		r.buf = append(r.buf, r.chunk[:n]...)
	}
}

// lastEnd finds the end of the last whole event: an event ends with an empty line.
func lastEventEnd(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(b, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

// lastEventID is the id of the last event that has one.
func lastEventID(events []byte) string {
	id := ""
	for line := range bytes.Lines(events) {
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(rest))
		}
	}
	return id
}
