package edge

import (
	"bytes"
	"errors"
	"io"
)

const (
	// maxEventBytes limits the size of one event of a stream.
	maxEventBytes = 256 << 10
	// readSize is the size of one read from an upstream, in bytes.
	readSize = 4 << 10
)

var errEventTooLong = errors.New("stream event is too long")

// eventReader splits a text/event-stream into complete events.
type eventReader struct {
	src   io.Reader
	buf   []byte
	err   error
	chunk [readSize]byte
}

func newEventReader(src io.Reader) *eventReader { return &eventReader{src: src} }

// next returns the next complete events, at least one, and the last event ID
// among them, if any; several events may have arrived together. At the end of
// the stream it returns the bytes after the last complete event, if any, with
// the error.
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

// lastEventEnd returns the offset after the last complete event, which ends
// with an empty line, or zero if there is none.
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

// lastEventID returns the ID of the last event that has one.
func lastEventID(events []byte) string {
	id := ""
	for line := range bytes.Lines(events) {
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(rest))
		}
	}
	return id
}
