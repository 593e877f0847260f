package router

import (
	"encoding/json"
	"net/http"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// eventWriter writes server-sent events to the caller. The response header is
// sent with the first event, so that a request that fails before it still gets
// a refusal with its own status.
type eventWriter struct {
	w          http.ResponseWriter
	rc         *http.ResponseController
	setHeaders func(http.Header)
	started    bool
	buf        []byte
}

func newEventWriter(w http.ResponseWriter, setHeaders func(http.Header)) *eventWriter {
	return &eventWriter{w: w, rc: http.NewResponseController(w), setHeaders: setHeaders}
}

// Event writes one event; an error means that the caller is gone.
func (e *eventWriter) Event(_ uint64, data []byte) error {
	e.writeHeader()
	e.buf = append(e.buf[:0], "data: "...)
	e.buf = append(e.buf, data...)
	e.buf = append(e.buf, "\n\n"...)
	if _, err := e.w.Write(e.buf); err != nil {
		return err
	}
	return e.rc.Flush()
}

func (e *eventWriter) writeHeader() {
	if e.started {
		return
	}
	e.started = true
	h := e.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	e.setHeaders(h)
	e.w.WriteHeader(http.StatusOK)
}

// finish writes the terminator of a whole answer.
func (e *eventWriter) finish() {
	_ = e.Event(0, []byte("[DONE]"))
}

// fail ends the answer with a refusal: as a response of its own if nothing was
// written, else as a last event without the terminator.
func (e *eventWriter) fail(err *result.Error, requestID string) {
	if !e.started {
		writeError(e.w, err, requestID)
		return
	}
	b, encodeErr := json.Marshal(newErrorResponse(err, requestID))
	if encodeErr != nil {
		return
	}
	_ = e.Event(0, b)
}

// teeSink writes events to the caller and, for answers that are rated, keeps a
// copy. The copy is decoded after the answer's end: decoding costs more than the
// whole relay of a token.
type teeSink struct {
	out       *eventWriter
	copying   bool
	copied    []byte
	eventEnds []int
}

// Event implements delivery.Sink. An answer that is too large for a copy isn't
// rated; that is no reason to end it.
func (t *teeSink) Event(id uint64, data []byte) error {
	if t.copying {
		t.copied = append(t.copied, data...)
		t.eventEnds = append(t.eventEnds, len(t.copied))
		t.copying = len(t.copied) <= maxAnswerBytes
	}
	return t.out.Event(id, data)
}

// collected decodes the copy; nil if there is none.
func (t *teeSink) collected() *collector {
	if !t.copying {
		return nil
	}
	c := &collector{}
	start := 0
	for _, end := range t.eventEnds {
		if c.Event(0, t.copied[start:end]) != nil {
			return nil
		}
		start = end
	}
	return c
}
