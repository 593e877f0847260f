package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/cranberrypier/cranberrypier/internal/placement"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/wire"
)

const (
	// maxLineSize is the largest size of one line of a stream, in bytes.
	maxLineSize = 64 << 10
	// maxEventSize is the largest size of the data of one event, in bytes.
	maxEventSize = 256 << 10
	// drainTimeout limits the wait for the end of a finished stream's body.
	// After that the connection is closed instead of reused.
	drainTimeout = 50 * time.Millisecond
)

// StreamRequest is one streamed run on an engine.
type StreamRequest struct {
	RequestID string
	// Target is "model@version". It is informative; the engine reads the model
	// from the body.
	Target string
	// Body is the chat completion request, with "stream" set to true.
	Body     []byte
	Priority int
	// Timeout is the time after which the engine ends the run; zero means
	// none.
	Timeout time.Duration
	// LastEventID is the id of the event after which the stream resumes; empty
	// means from the beginning.
	LastEventID string
}

// Event is one server-sent event.
type Event struct {
	// ID is the event's id. If the upstream sends none, events are numbered in
	// order.
	ID uint64
	// Data is valid until the next call to Next.
	Data []byte
}

// Stream is a running stream. It may be used by one goroutine only; other
// goroutines end it by canceling the context passed to Client.Stream. It must be
// closed.
type Stream struct {
	// Incarnation and State are taken from the response headers.
	Incarnation string
	State       string

	client    *Client
	ctx       context.Context
	cancel    context.CancelCauseFunc
	timer     *time.Timer
	attempt   *attempt
	body      io.ReadCloser
	buf       *bufio.Reader
	data      []byte
	lastID    uint64
	err       error
	closeOnce sync.Once
}

var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, maxLineSize) }}

// Stream starts a run and returns once the response headers have arrived. Errors
// are of type *Failure.
func (c *Client) Stream(ctx context.Context, addr string, r StreamRequest) (*Stream, error) {
	s, err := c.open(ctx, addr, r)
	if err != nil {
		c.countAttempt("stream", err)
		return nil, err
	}
	return s, nil
}

func (c *Client) open(ctx context.Context, addr string, r StreamRequest) (*Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &Stream{client: c, ctx: ctx, cancel: cancel, attempt: &attempt{}}
	s.lastID, _ = strconv.ParseUint(r.LastEventID, 10, 64)
	s.timer = time.AfterFunc(c.config.FirstEventTimeout, func() { cancel(ErrStalled) })
	if f := c.sendRequest(s, addr, r); f != nil {
		s.stop()
		return nil, f
	}
	return s, nil
}

// sendRequest sends the request and checks the response headers.
func (c *Client) sendRequest(s *Stream, addr string, r StreamRequest) *Failure {
	req, err := newSingleUseRequest(s.attempt.traceConns(s.ctx), http.MethodPost, "http://"+addr+"/v1/chat/completions", r.Body)
	if err != nil {
		return &Failure{End: placement.EndUnreachable, Err: resultError(result.Internal, false, "%v", err)}
	}
	c.setCommonHeaders(req.Header, r.RequestID)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", wire.ContentTypeEventStream)
	req.Header.Set(wire.HeaderPriority, strconv.Itoa(r.Priority))
	setTimeoutHeader(req.Header, r.Timeout)
	if r.LastEventID != "" {
		req.Header.Set(wire.HeaderLastEventID, r.LastEventID)
	}
	resp, err := c.pooled.RoundTrip(req)
	if err != nil {
		return classifyError(s.ctx, s.attempt, err)
	}
	if f := checkStreamHeaders(resp, r.RequestID); f != nil {
		resp.Body.Close()
		return f
	}
	s.Incarnation = resp.Header.Get(wire.HeaderIncarnation)
	s.State = resp.Header.Get(wire.HeaderEngineState)
	s.body = resp.Body
	s.buf = readerPool.Get().(*bufio.Reader)
	s.buf.Reset(resp.Body)
	return nil
}

// checkStreamHeaders checks the status and the request id of a response. Engines
// must echo the request id, because a response without it could belong to another
// request.
func checkStreamHeaders(resp *http.Response, id string) *Failure {
	if resp.StatusCode != http.StatusOK {
		return statusFailure(resp)
	}
	if resp.Header.Get(wire.HeaderRequestID) != id {
		return mismatchFailure(resp, id)
	}
	return nil
}

// Next returns the next event. It returns io.EOF after the protocol's terminator,
// which means that the answer is complete. Any other error is a *Failure. All
// errors are final.
func (s *Stream) Next() (Event, error) {
	if s.err != nil {
		return Event{}, s.err
	}
	id, err := s.readNext()
	if err == nil {
		s.timer.Reset(s.client.config.EventTimeout)
		return Event{ID: id, Data: s.data}, nil
	}
	if errors.Is(err, io.EOF) {
		s.timer.Reset(drainTimeout)
		s.client.countAttempt("stream", nil)
		s.err = io.EOF
		return Event{}, io.EOF
	}
	s.client.countAttempt("stream", err)
	s.err = err
	s.stop()
	return Event{}, err
}

// Close releases the stream. If the stream has not ended, it is canceled and its
// connection is closed.
func (s *Stream) Close() {
	s.closeOnce.Do(func() {
		if errors.Is(s.err, io.EOF) {
			_, _ = io.Copy(io.Discard, s.buf)
		} else if s.err == nil {
			s.client.attempts.WithLabelValues("stream", string(placement.EndCanceled)).Inc()
		}
		s.stop()
		s.body.Close()
		s.buf.Reset(nil)
		readerPool.Put(s.buf)
	})
}

func (s *Stream) stop() {
	s.timer.Stop()
	s.cancel(context.Canceled)
}

// readNext reads the next event into s.data and returns its id. The error is
// io.EOF for the terminator and a *Failure for any other end of the stream.
func (s *Stream) readNext() (uint64, error) {
	for {
		id, hasID, err := s.readEvent()
		if err != nil {
			return 0, err
		}
		if bytes.Equal(s.data, []byte("[DONE]")) {
			return 0, io.EOF
		}
		if !hasID {
			id = s.lastID + 1
		}
		if id <= s.lastID {
			// The caller already has this event: an engine may resume from an
			// earlier one.
			continue
		}
		if id != s.lastID+1 {
			return 0, s.truncated("event %d follows event %d: events are missing", id, s.lastID)
		}
		s.lastID = id
		return id, nil
	}
}

// readEvent reads lines up to the blank line that ends an event. Events without
// data are skipped.
func (s *Stream) readEvent() (id uint64, hasID bool, err error) {
	s.data = s.data[:0]
	hasData := false
	for {
		line, err := s.buf.ReadSlice('\n')
		if err != nil {
			return 0, false, s.readError(err)
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if hasData {
				return id, hasID, nil
			}
			continue
		}
		field, value, _ := bytes.Cut(line, []byte{':'})
		value = bytes.TrimPrefix(value, []byte{' '})
		switch string(field) {
		case "id":
			id, hasID = parseID(value)
		case "data":
			if hasData {
				s.data = append(s.data, '\n')
			}
			s.data = append(s.data, value...)
			hasData = true
			if len(s.data) > maxEventSize {
				return 0, false, s.truncated("an event is larger than %d bytes", maxEventSize)
			}
		}
	}
}

// parseID parses a decimal number without allocating.
func parseID(b []byte) (uint64, bool) {
	const digits = 19
	if len(b) == 0 || len(b) > digits {
		return 0, false
	}
	var n uint64
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + uint64(c-'0')
	}
	return n, true
}

// readError converts an error of reading the body to a Failure. An end of the
// body without the terminator means that the stream was truncated.
func (s *Stream) readError(err error) error {
	if errors.Is(err, io.EOF) && s.ctx.Err() == nil {
		return s.truncated("the stream ended without its terminator")
	}
	if errors.Is(err, bufio.ErrBufferFull) {
		return s.truncated("a line is larger than %d bytes", maxLineSize)
	}
	f := classifyError(s.ctx, s.attempt, err)
	f.Sent = true
	f.Incarnation, f.State = s.Incarnation, s.State
	if f.End == placement.EndReset {
		return s.truncated("%v", err)
	}
	f.Err = trace.Wrap(result.From(f.Err).WithRun(result.Ran))
	return f
}

// truncated returns the failure for a stream that ended early or is malformed.
func (s *Stream) truncated(format string, args ...any) *Failure {
	return &Failure{
		End: placement.EndReset, Sent: true, Incarnation: s.Incarnation, State: s.State,
		Err: trace.Wrap(result.New(result.AnswerTruncated, format, args...)),
	}
}
