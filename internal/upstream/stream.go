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
	// maxLine bounds one line of a stream, in bytes.
	maxLineSize = 64 << 10
	// maxEvent bounds the data of one event, in bytes.
	maxEventSize = 256 << 10
	// drainTime bounds the wait for the end of a finished stream's body, after
	// which the connection is closed rather than reused.
	drainTimeout = 50 * time.Millisecond
)

// StreamRequest is one streamed run at an engine.
type StreamRequest struct {
	RequestID string
	// Target is "model@version"; it is informative, the body names it.
	Target string
	// Body is the chat completion request, with "stream" already true.
	Body     []byte
	Priority int
	// Timeout is after which the engine ends the run by itself; zero for none.
	Timeout time.Duration
	// LastEventID resumes after the event; empty starts from the beginning.
	LastEventID string
}

// Event is one server-sent event.
type Event struct {
	// ID is the event's number, or a count when the upstream sends none.
	ID uint64
	// Data is valid until the next call of Next.
	Data []byte
}

// Stream is a running stream. It is for one goroutine; another one ends it by
// the context given to Client.Stream. It must be closed.
type Stream struct {
	// Incarnation and State are the engine's response headers.
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

// Stream starts a run and returns once the response's headers are in. Errors
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
	s.timer = time.AfterFunc(c.config.FirstEvent, func() { cancel(ErrSilent) })
	if f := c.sendRequest(s, addr, r); f != nil {
		s.stop()
		return nil, f
	}
	return s, nil
}

// start sends the request and checks the response's headers.
func (c *Client) sendRequest(s *Stream, addr string, r StreamRequest) *Failure {
	req, err := newSingleUseRequest(s.attempt.traceConns(s.ctx), http.MethodPost, "http://"+addr+"/v1/chat/completions", r.Body)
	if err != nil {
		return &Failure{End: placement.EndUnreachable, Err: resultError(result.Internal, false, "%v", err)}
	}
	c.setCommonHeaders(req.Header, r.RequestID)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", wire.EventStream)
	req.Header.Set(wire.Priority, strconv.Itoa(r.Priority))
	setTimeoutHeader(req.Header, r.Timeout)
	if r.LastEventID != "" {
		req.Header.Set(wire.LastEventID, r.LastEventID)
	}
	resp, err := c.pooled.RoundTrip(req)
	if err != nil {
		return classifyError(s.ctx, s.attempt, err)
	}
	if f := checkStreamHeaders(resp, r.RequestID); f != nil {
		resp.Body.Close()
		return f
	}
	s.Incarnation = resp.Header.Get(wire.Incarnation)
	s.State = resp.Header.Get(wire.EngineState)
	s.body = resp.Body
	s.buf = readerPool.Get().(*bufio.Reader)
	s.buf.Reset(resp.Body)
	return nil
}

// checkStream checks a response's headers. An engine has to echo the
// request's id: an answer without it can't be told from another's.
func checkStreamHeaders(resp *http.Response, id string) *Failure {
	if resp.StatusCode != http.StatusOK {
		return statusFailure(resp)
	}
	if resp.Header.Get(wire.RequestID) != id {
		return mismatchFailure(resp, id)
	}
	return nil
}

// Next returns the next event. io.EOF is the protocol's own end of a whole
// answer; every other error is a *Failure and final.
func (s *Stream) Next() (Event, error) {
	if s.err != nil {
		return Event{}, s.err
	}
	id, err := s.readNext()
	if err == nil {
		s.timer.Reset(s.client.config.Silence)
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

// Close ends the stream. A stream that had not ended is canceled and its
// connection thrown away.
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

// read reads one event into data. It returns io.EOF for the terminator, a
// *Failure for anything else that ends the stream.
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
			// The caller has it already: an engine may resume too early.
			continue
		}
		if id != s.lastID+1 {
			return 0, s.truncated("event %d after event %d", id, s.lastID)
		}
		s.lastID = id
		return id, nil
	}
}

// readEvent reads lines up to the blank line that ends an event with data.
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
				return 0, false, s.truncated("an event of more than %d bytes", maxEventSize)
			}
		}
	}
}

// parseID reads a decimal number without allocation.
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

// readError classifies an error of the body. The body's own end is a cut.
func (s *Stream) readError(err error) error {
	if errors.Is(err, io.EOF) && s.ctx.Err() == nil {
		return s.truncated("the stream ended without its terminator")
	}
	if errors.Is(err, bufio.ErrBufferFull) {
		return s.truncated("a line of more than %d bytes", maxLineSize)
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

// cut is a stream that broke off.
func (s *Stream) truncated(format string, args ...any) *Failure {
	return &Failure{
		End: placement.EndReset, Sent: true, Incarnation: s.Incarnation, State: s.State,
		Err: trace.Wrap(result.New(result.AnswerCut, format, args...)),
	}
}
