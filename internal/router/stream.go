package router

import (
	"encoding/json"
	"net/http"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// eventWriter writes server-sent events to the caller. It sends the response
// header with the first event, so that a request that fails earlier gets an error
// response with its own status.
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

// Event writes one event. An error means that the caller has disconnected.
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

// finish writes the terminator of a complete answer.
func (e *eventWriter) finish() {
	_ = e.Event(0, []byte("[DONE]"))
}

// fail ends the answer with an error: as an error response if nothing has been
// written yet, otherwise as the last event, without the terminator.
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

// teeSink writes events to the caller and copies those of answers that will be
// rated. The copy is decoded after the end of the answer, because decoding a token
// costs more than relaying it.
type teeSink struct {
	out       *eventWriter
	copying   bool
	copied    []byte
	eventEnds []int
}

// Event implements delivery.Sink. An answer that is too large to copy is relayed
// but not rated.
func (t *teeSink) Event(id uint64, data []byte) error {
	if t.copying {
		t.copied = append(t.copied, data...)
		t.eventEnds = append(t.eventEnds, len(t.copied))
		t.copying = len(t.copied) <= maxAnswerBytes
	}
	return t.out.Event(id, data)
}

// collected decodes the copy. It returns nil if there is none or it cannot be
// decoded.
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
