package edge

import (
	"bytes"
	"errors"
	"io"
)

const (
	// maxEventBytes limits the size of one event of a stream, and the bytes between
	// two events that carry data: comments and empty events are no progress.
	maxEventBytes = 256 << 10
	// freeEventBytes is the size up to which a part of an event needs no room: it belongs
	// to what a connection takes. eventStep is the least by which the room grows.
	freeEventBytes = 16 << 10
	eventStep      = 16 << 10
	// readSize is the size of one read from an upstream, in bytes.
	readSize = 4 << 10
)

var (
	errEventTooLong = errors.New("stream event is too long")
	errNoEventRoom  = errors.New("no room for the stream event")
	errNoProgress   = errors.New("too many bytes without an event that carries data")

	errEndInsideEvent = errors.New("the stream ended inside an event")
	errNoEvents       = errors.New("the connection ended before the first event")
	errHeadInStream   = errors.New("the head of another response follows in the stream")
)

// lineOfHead is the end of a line and the begin of a response's head.
var lineOfHead = []byte("\nHTTP/1.")

// eventReader splits a text/event-stream into complete events.
type eventReader struct {
	src   io.Reader
	buf   []byte
	err   error
	chunk [readSize]byte
	// searched is the length of the part of buf that holds neither the end of an event nor a
	// head.
	searched int
	// idleBytes is the number of bytes since the last event with data.
	idleBytes int
	// grow changes the room for the part of an event that has arrived, in bytes, and
	// reports whether there is any; reserved is what it has.
	grow     func(by int) bool
	reserved int
}

func newEventReader(src io.Reader, grow func(by int) bool) *eventReader {
	return &eventReader{src: src, grow: grow}
}

// reserve makes room for a part of an event of a size.
func (r *eventReader) reserve(size int) bool {
	if size <= max(freeEventBytes, r.reserved) {
		return true
	}
	to := max(size, r.reserved+eventStep)
	if !r.grow(to - r.reserved) {
		return false
	}
	r.reserved = to
	r.buf = append(make([]byte, 0, to), r.buf...)
	return true
}

// release gives back the room of an event that is complete or given up.
func (r *eventReader) release() {
	if r.reserved > 0 {
		r.grow(-r.reserved)
		r.reserved, r.buf = 0, bytes.Clone(r.buf)
	}
}

// streamEvents are complete events that have arrived together.
type streamEvents struct {
	bytes []byte
	// lastID is the last event ID among them, if any.
	lastID string
	// count is the number of events that carry data, not comments or empty ones; an
	// event with several lines of data counts several times.
	count int
}

// next returns the next complete events, at least one. At the end of the stream it
// returns the bytes after the last complete event, if any, with the error.
func (r *eventReader) next() (streamEvents, error) {
	for {
		from := max(r.searched-len(lineOfHead), 0) // what is searched for may span two reads
		if at := r.indexOfHead(from); at >= 0 {
			r.buf, r.err = r.buf[:at], errHeadInStream
		}
		if end := lastEventEnd(r.buf[min(from, len(r.buf)):]); end > 0 {
			end += from
			e := newStreamEvents(bytes.Clone(r.buf[:end]))
			r.buf, r.searched = append(r.buf[:0], r.buf[end:]...), 0
			if len(r.buf) <= freeEventBytes {
				r.release()
			}
			return e, r.checkProgress(e)
		}
		if r.err != nil {
			return streamEvents{bytes: r.buf}, r.err
		}
		if len(r.buf) > maxEventBytes {
			return streamEvents{}, errEventTooLong
		}
		r.searched = len(r.buf)
		var n int
		n, r.err = r.src.Read(r.chunk[:])
		if !r.reserve(len(r.buf) + n) {
			return streamEvents{}, errNoEventRoom
		}
		r.buf = append(r.buf, r.chunk[:n]...)
	}
}

// indexOfHead returns the offset of the first line from an offset on that begins a
// response; -1 if there is none. No line of an event begins so.
func (r *eventReader) indexOfHead(from int) int {
	if from == 0 && bytes.HasPrefix(r.buf, lineOfHead[1:]) {
		return 0
	}
	if i := bytes.Index(r.buf[from:], lineOfHead); i >= 0 {
		return from + i + 1
	}
	return -1
}

// checkProgress returns errNoProgress after too many bytes without data.
func (r *eventReader) checkProgress(e streamEvents) error {
	if e.count > 0 {
		r.idleBytes = 0
		return nil
	}
	r.idleBytes += len(e.bytes)
	if r.idleBytes > maxEventBytes {
		return errNoProgress
	}
	return nil
}

func newStreamEvents(b []byte) streamEvents {
	e := streamEvents{bytes: b}
	for line := range bytes.Lines(b) {
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.lastID = string(bytes.TrimSpace(rest))
		}
		if bytes.HasPrefix(line, []byte("data:")) {
			e.count++
		}
	}
	return e
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

// endsInsideEvent reports whether a stream that ends with rest, the bytes after its
// last complete event, was broken off: in the middle of a line, or before the
// empty line that ends an event. Comments and empty lines are not part of an event.
func endsInsideEvent(rest []byte) bool {
	open := false
	for line := range bytes.Lines(rest) {
		text, terminated := bytes.CutSuffix(line, []byte("\n"))
		text = bytes.TrimSuffix(text, []byte("\r"))
		switch {
		case !terminated:
			return true
		case len(text) == 0:
			open = false
		case text[0] != ':':
			open = true
		}
	}
	return open
}
