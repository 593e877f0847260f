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
	maxLine = 64 << 10
	// maxEvent bounds the data of one event, in bytes.
	maxEvent = 256 << 10
	// drainTime bounds the wait for the end of a finished stream's body, after
	// which the connection is closed rather than reused.
	drainTime = 50 * time.Millisecond
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

	client  *Client
	ctx     context.Context
	cancel  context.CancelCauseFunc
	timer   *time.Timer
	attempt *attempt
	body    io.ReadCloser
	buf     *bufio.Reader
	data    []byte
	last    uint64
	err     error
	close   sync.Once
}

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, maxLine) }}

// Stream starts a run and returns once the response's headers are in. Errors
// are of type *Failure.
func (c *Client) Stream(ctx context.Context, addr string, r StreamRequest) (*Stream, error) {
	s, err := c.open(ctx, addr, r)
	if err != nil {
		c.count("stream", err)
		return nil, err
	}
	return s, nil
}

func (c *Client) open(ctx context.Context, addr string, r StreamRequest) (*Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &Stream{client: c, ctx: ctx, cancel: cancel, attempt: &attempt{}}
	s.last, _ = strconv.ParseUint(r.LastEventID, 10, 64)
	s.timer = time.AfterFunc(c.config.FirstEventTimeout, func() { cancel(ErrSilent) })
	if f := c.start(s, addr, r); f != nil {
		s.stop()
		return nil, f
	}
	return s, nil
}

// start sends the request and checks the response's headers.
func (c *Client) start(s *Stream, addr string, r StreamRequest) *Failure {
	req, err := once(s.attempt.watch(s.ctx), http.MethodPost, "http://"+addr+"/v1/chat/completions", r.Body)
	if err != nil {
		return &Failure{End: placement.EndUnreachable, Err: coded(result.Internal, false, "%v", err)}
	}
	c.stamp(req.Header, r.RequestID)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", wire.ContentTypeEventStream)
	req.Header.Set(wire.HeaderPriority, strconv.Itoa(r.Priority))
	setMS(req.Header, r.Timeout)
	if r.LastEventID != "" {
		req.Header.Set(wire.HeaderLastEventID, r.LastEventID)
	}
	resp, err := c.pooled.RoundTrip(req)
	if err != nil {
		return broken(s.ctx, s.attempt, err)
	}
	if f := checkStream(resp, r.RequestID); f != nil {
		resp.Body.Close()
		return f
	}
	s.Incarnation = resp.Header.Get(wire.HeaderIncarnation)
	s.State = resp.Header.Get(wire.HeaderEngineState)
	s.body = resp.Body
	s.buf = readers.Get().(*bufio.Reader)
	s.buf.Reset(resp.Body)
	return nil
}

// checkStream checks a response's headers. An engine has to echo the
// request's id: an answer without it can't be told from another's.
func checkStream(resp *http.Response, id string) *Failure {
	if resp.StatusCode != http.StatusOK {
		return badStatus(resp)
	}
	if resp.Header.Get(wire.HeaderRequestID) != id {
		return mismatch(resp, id)
	}
	return nil
}

// Next returns the next event. io.EOF is the protocol's own end of a whole
// answer; every other error is a *Failure and final.
func (s *Stream) Next() (Event, error) {
	if s.err != nil {
		return Event{}, s.err
	}
	id, err := s.read()
	if err == nil {
		s.timer.Reset(s.client.config.EventTimeout)
		return Event{ID: id, Data: s.data}, nil
	}
	if errors.Is(err, io.EOF) {
		s.timer.Reset(drainTime)
		s.client.count("stream", nil)
		s.err = io.EOF
		return Event{}, io.EOF
	}
	s.client.count("stream", err)
	s.err = err
	s.stop()
	return Event{}, err
}

// Close ends the stream. A stream that had not ended is canceled and its
// connection thrown away.
func (s *Stream) Close() {
	s.close.Do(func() {
		if errors.Is(s.err, io.EOF) {
			_, _ = io.Copy(io.Discard, s.buf)
		} else if s.err == nil {
			s.client.attempts.WithLabelValues("stream", string(placement.EndCanceled)).Inc()
		}
		s.stop()
		s.body.Close()
		s.buf.Reset(nil)
		readers.Put(s.buf)
	})
}

func (s *Stream) stop() {
	s.timer.Stop()
	s.cancel(context.Canceled)
}

// read reads one event into data. It returns io.EOF for the terminator, a
// *Failure for anything else that ends the stream.
func (s *Stream) read() (uint64, error) {
	for {
		id, numbered, err := s.readEvent()
		if err != nil {
			return 0, err
		}
		if bytes.Equal(s.data, []byte("[DONE]")) {
			return 0, io.EOF
		}
		if !numbered {
			id = s.last + 1
		}
		if id <= s.last {
			// The caller has it already: an engine may resume too early.
			continue
		}
		if id != s.last+1 {
			return 0, s.cut("event %d after event %d", id, s.last)
		}
		s.last = id
		return id, nil
	}
}

// readEvent reads lines up to the blank line that ends an event with data.
func (s *Stream) readEvent() (id uint64, numbered bool, err error) {
	s.data = s.data[:0]
	seen := false
	for {
		line, err := s.buf.ReadSlice('\n')
		if err != nil {
			return 0, false, s.readError(err)
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if seen {
				return id, numbered, nil
			}
			continue
		}
		field, value, _ := bytes.Cut(line, []byte{':'})
		value = bytes.TrimPrefix(value, []byte{' '})
		switch string(field) {
		case "id":
			id, numbered = parseID(value)
		case "data":
			if seen {
				s.data = append(s.data, '\n')
			}
			s.data = append(s.data, value...)
			seen = true
			if len(s.data) > maxEvent {
				return 0, false, s.cut("an event of more than %d bytes", maxEvent)
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
		return s.cut("the stream ended without its terminator")
	}
	if errors.Is(err, bufio.ErrBufferFull) {
		return s.cut("a line of more than %d bytes", maxLine)
	}
	f := broken(s.ctx, s.attempt, err)
	f.Sent = true
	f.Incarnation, f.State = s.Incarnation, s.State
	if f.End == placement.EndReset {
		return s.cut("%v", err)
	}
	f.Err = trace.Wrap(result.From(f.Err).WithRun(result.Ran))
	return f
}

// cut is a stream that broke off.
func (s *Stream) cut(format string, args ...any) *Failure {
	return &Failure{
		End: placement.EndReset, Sent: true, Incarnation: s.Incarnation, State: s.State,
		Err: trace.Wrap(result.New(result.AnswerCut, format, args...)),
	}
}
