package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/claims"
	"github.com/cranberrypier/cranberrypier/internal/fake/engine"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/wire"
)

// Headers of requests and responses.
const (
	headerSession              = "Cranberrypier-Session"
	headerDeadline             = "Cranberrypier-Deadline"
	headerClass                = "Cranberrypier-Class"
	headerModel                = "Cranberrypier-Model"
	headerMovedFrom            = "Cranberrypier-Moved-From"
	headerReplayed             = "Cranberrypier-Replayed"
	headerIdempotencyKey       = "Idempotency-Key"
	headerIdempotencyKeyIssued = "Idempotency-Key-Issued"
)

const (
	// requestTimeout limits a request to a router that never responds.
	requestTimeout = 6 * time.Minute
	// maxLineSize is the maximum size of one line of a stream or of an error
	// body, in bytes.
	maxLineSize = 1 << 20
)

// caller sends the requests of all simulated callers. Its transport never
// resends a request, so every attempt has a record.
type caller struct {
	mix      *Mix
	start    time.Time
	balancer *balancer
	http     *http.Client
	// tokens holds the newest session token by sessionKey. Callers send the
	// token instead of the session's name once they have received one.
	tokens sync.Map
}

func newCaller(m *Mix, start time.Time, b *balancer) *caller {
	return &caller{mix: m, start: start, balancer: b, http: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 512, DisableCompression: true},
		Timeout:   requestTimeout,
	}}
}

// attempt is one attempt to send an arrival.
type attempt struct {
	arrival Arrival
	number  int
	// startedAt is the time from which latency counts: the scheduled time, or
	// the time of sending for a resend.
	startedAt time.Time
}

func (c *caller) target(a attempt) string {
	return c.balancer.pick(a.arrival.RouterNumber + a.number - 1)
}

// send sends one attempt and returns the record of its result.
func (c *caller) send(ctx context.Context, a attempt) Record {
	s := a.arrival.Stream
	r := Record{
		N: a.arrival.N, Stream: s.Name, Kind: s.Kind, Team: a.arrival.Team, DueMS: ms(a.arrival.At),
		Target: c.target(a), Attempt: a.number, Session: a.arrival.Session, Phase: c.mix.phaseAt(a.arrival.At),
		Measured: a.number == 1 && a.arrival.At >= c.mix.WarmUp.D(),
	}
	req, err := c.newRequest(ctx, a, &r)
	if err != nil {
		r.Error = err.Error()
		return r
	}
	resp, err := c.http.Do(req)
	if err != nil {
		r.recordError(ctx, err)
		r.TotalMS = ms(time.Since(a.startedAt))
		return r
	}
	defer resp.Body.Close()
	r.readHeaders(resp)
	if token := resp.Header.Get(headerSession); token != "" && a.arrival.Session != "" {
		c.tokens.Store(sessionKey{a.arrival.Team, a.arrival.Session}, token)
	}
	switch {
	case resp.StatusCode != http.StatusOK:
		r.readRejection(ctx, resp.Body)
	case s.Kind == Chat && s.Streamed:
		r.readStream(ctx, resp.Body, a.startedAt)
	case s.Kind == Chat:
		r.readResponse(ctx, resp.Body)
	default:
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			r.recordError(ctx, err)
		}
	}
	r.TotalMS = ms(time.Since(a.startedAt))
	return r
}

// sessionKey identifies a session; names are unique only within a team.
type sessionKey struct{ team, session string }

// sessionHeader returns the session's token, or its name before the first
// response.
func (c *caller) sessionHeader(a Arrival) string {
	if token, ok := c.tokens.Load(sessionKey{a.Team, a.Session}); ok {
		return token.(string)
	}
	return a.Session
}

// recordError records a transport or decoding error. If the caller itself
// closed the connection, the record is marked as canceled.
func (r *Record) recordError(ctx context.Context, err error) {
	r.Canceled = ctx.Err() != nil
	r.Error = err.Error()
}

func (r *Record) readHeaders(resp *http.Response) {
	r.Status = resp.StatusCode
	r.ID = resp.Header.Get(wire.HeaderRequestID)
	r.Model = resp.Header.Get(headerModel)
	r.MovedFrom = resp.Header.Get(headerMovedFrom)
	r.Replayed = resp.Header.Get(headerReplayed) == "true"
}

func (c *caller) newRequest(ctx context.Context, a attempt, r *Record) (*http.Request, error) {
	s := a.arrival.Stream
	method, path, body := http.MethodPost, "/v1/services/"+s.Service+s.Path, []byte(nil)
	switch s.Kind {
	case Chat:
		path = "/v1/chat/completions"
		body = chatBody(a.arrival)
		r.Prompt = engine.JoinMessages(a.arrival.Prefix, a.arrival.Prompt)
		r.MaxTokens = s.MaxTokens
	case Lookup:
		method = http.MethodGet
		path += strconv.Itoa(a.arrival.Item)
	case Write:
		body = fmt.Appendf(nil, `{"number":%d}`, a.arrival.N)
	}
	// NopCloser hides the reader's type. Without GetBody, the transport cannot
	// rewind the body and resend the request.
	req, err := http.NewRequestWithContext(ctx, method, r.Target+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(body))
	h := req.Header
	h.Set("Authorization", "Bearer "+c.mix.teamKey(a.arrival.Team))
	h.Set("Content-Type", "application/json")
	setNonEmpty(h, headerClass, s.Class)
	setNonEmpty(h, headerSession, c.sessionHeader(a.arrival))
	if s.Deadline > 0 {
		h.Set(headerDeadline, s.Deadline.D().String())
	}
	if s.Kind == Write {
		c.setIdempotencyKey(h, a, r)
	}
	return req, nil
}

func setNonEmpty(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// setIdempotencyKey sets the write's idempotency key, which depends only on the
// arrival, so that every resend carries the same key.
func (c *caller) setIdempotencyKey(h http.Header, a attempt, r *Record) {
	issued := c.start.Add(a.arrival.At).Truncate(time.Millisecond)
	key := claims.Key{
		Team:     a.arrival.Team,
		Value:    fmt.Sprintf("load-%d-%d-%d", c.start.UnixMilli(), c.mix.Seed, a.arrival.N),
		IssuedAt: issued,
	}
	h.Set(headerIdempotencyKey, key.Value)
	h.Set(headerIdempotencyKeyIssued, strconv.FormatInt(issued.UnixMilli(), 10))
	if k, err := key.Resolve(); err == nil {
		r.Key = k.Digest().String()
	}
}

func chatBody(a Arrival) []byte {
	body := struct {
		Model     string    `json:"model"`
		Stream    bool      `json:"stream,omitempty"`
		MaxTokens int       `json:"max_tokens,omitempty"`
		Messages  []message `json:"messages"`
	}{a.Stream.Model, a.Stream.Streamed, a.Stream.MaxTokens, []message{{"system", a.Prefix}, {"user", a.Prompt}}}
	raw, err := json.Marshal(body)
	if err != nil {
		return nil
	}
	return raw
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// readRejection reads the body of a rejection.
func (r *Record) readRejection(ctx context.Context, body io.Reader) {
	var b struct {
		Error struct {
			Code         result.Code     `json:"code"`
			Run          result.RunState `json:"run"`
			RetryAfterMS int64           `json:"retry_after_ms"`
		} `json:"error"`
	}
	if err := json.NewDecoder(io.LimitReader(body, maxLineSize)).Decode(&b); err != nil {
		r.recordError(ctx, err)
		return
	}
	r.Code, r.Run, r.RetryAfterMS = b.Error.Code, b.Error.Run, b.Error.RetryAfterMS
}

// readResponse reads a response that is not streamed.
func (r *Record) readResponse(ctx context.Context, body io.Reader) {
	var b struct {
		Choices []struct{ Message message }
		Usage   struct {
			CompletionTokens int `json:"completion_tokens"`
		}
	}
	if err := json.NewDecoder(body).Decode(&b); err != nil || len(b.Choices) == 0 {
		r.recordError(ctx, errors.Join(err, errors.New("incomplete response")))
		return
	}
	r.Tokens = b.Usage.CompletionTokens
	r.setText(b.Choices[0].Message.Content)
}

// readStream reads a streamed response token by token. A stream that ends
// without the [DONE] terminator is truncated.
func (r *Record) readStream(ctx context.Context, body io.Reader, startedAt time.Time) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineSize)
	var text strings.Builder
	last := time.Time{}
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.setText(text.String())
			return
		}
		now := time.Now()
		if last.IsZero() {
			r.FirstMS = ms(now.Sub(startedAt))
		} else {
			r.MaxGapMS = max(r.MaxGapMS, ms(now.Sub(last)))
		}
		last = now
		if !r.addChunk(data, &text) {
			return
		}
	}
	r.recordError(ctx, errors.Join(lines.Err(), errors.New("stream truncated: no terminator")))
}

// addChunk appends one event's token to text. It returns false if the event is
// invalid or a rejection.
func (r *Record) addChunk(data string, text *strings.Builder) bool {
	var b struct {
		Choices []struct{ Delta message }
		Error   *struct {
			Code result.Code     `json:"code"`
			Run  result.RunState `json:"run"`
		} `json:"error"`
	}
	if err := json.Unmarshal([]byte(data), &b); err != nil {
		r.Error = err.Error()
		return false
	}
	if b.Error != nil {
		r.Code, r.Run = b.Error.Code, b.Error.Run
		r.Error = "rejected within the stream"
		return false
	}
	for _, c := range b.Choices {
		text.WriteString(c.Delta.Content)
	}
	r.Tokens++
	return true
}

// setText stores a complete response's text and the quality that it states.
func (r *Record) setText(s string) {
	r.Text = s
	r.Quality, _ = engine.ParseQuality(s)
}

// phaseAt returns the name of the phase at a time since the start of the run.
func (m *Mix) phaseAt(at time.Duration) string {
	for _, p := range m.Phases {
		if at < p.Until.D() {
			return p.Name
		}
	}
	return "after"
}
