package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// maxAnswer is the longest answer that the client reads, in bytes. A time
// line of many processes is the longest.
const maxAnswer = 64 << 20

// Operations that net.OpError names: a failed connect, and a TLS alert by
// which the other end refuses the handshake.
const (
	opDial  = "dial"
	opAlert = "remote error"
)

// Client speaks to the fleet's agents. Each call tries the agents in turn
// until one answers; the one that answered is tried first afterwards. It is
// not safe for concurrent use.
type Client struct {
	agents  []string
	http    *http.Client
	timeout time.Duration
	first   int
}

// NewClient returns a client of the agents at the given IP:port addresses.
// The timeout bounds one try at one agent.
func NewClient(agents []string, tlsConfig *tls.Config, timeout time.Duration) *Client {
	transport := &http.Transport{
		TLSClientConfig:   tlsConfig,
		DialContext:       (&net.Dialer{Timeout: timeout}).DialContext,
		ForceAttemptHTTP2: true,
	}
	return &Client{agents: agents, http: &http.Client{Transport: transport}, timeout: timeout}
}

// Close releases idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// answer is what an agent said.
type answer struct {
	agent  string
	status int
	header http.Header
	body   []byte
}

// RefusedError is an agent's refusal.
type ResponseError struct {
	Response ErrorResponse
}

// Error implements error.
func (e *ResponseError) Error() string { return e.Unwrap().Error() }

// Unwrap gives the refusal as a result error.
func (e *ResponseError) Unwrap() error {
	r := e.Response
	return &result.Error{
		Code:       r.Code,
		Run:        r.Run,
		RetryAfter: time.Duration(r.RetryAfterMS) * time.Millisecond,
		Detail:     r.Detail,
	}
}

// request is one call of the API.
type request struct {
	method string
	path   string
	query  url.Values
	body   []byte
	kind   string
	// doubt is set when a try failed after which the work may have been done;
	// nil when nobody asks.
	doubt *bool
}

// do tries the agents in turn. An agent that can't be reached, or says that it
// could not do the work for now, gives way to the next. The error is a
// *RefusedError of the last agent that answered, or PeerUnreachable.
func (c *Client) do(ctx context.Context, r request) (answer, error) {
	var last error
	for i := range c.agents {
		at := (c.first + i) % len(c.agents)
		a, err := c.try(ctx, c.agents[at], r)
		if err == nil {
			c.first = at
			return a, nil
		}
		if r.doubt != nil && result.From(err).Run != result.NotRun {
			*r.doubt = true
		}
		if !movesOn(err) {
			c.first = at
			return answer{}, trace.Wrap(err)
		}
		// A refusal tells more than an agent that is away.
		if last == nil || !isRefusal(last) {
			last = err
		}
		if ctx.Err() != nil {
			break
		}
	}
	return answer{}, trace.Wrap(last)
}

// movesOn reports whether another agent may do better.
func movesOn(err error) bool {
	var r *ResponseError
	if !errors.As(err, &r) {
		return true
	}
	return passing(r.Response.Code)
}

// passing reports whether a refusal may be gone after a while.
func passing(c result.Code) bool {
	switch c {
	case result.PlatformUnavailable, result.PlatformUnsure, result.PlatformBusy,
		result.DocumentUnknown, result.DocumentNotAccepted, result.Draining,
		result.NotReady, result.PeerUnreachable, result.Internal:
		return true
	}
	return false
}

func isRefusal(err error) bool {
	var r *ResponseError
	return errors.As(err, &r)
}

func (c *Client) try(ctx context.Context, agent string, r request) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	u := url.URL{Scheme: "https", Host: agent, Path: r.path, RawQuery: r.query.Encode()}
	req, err := http.NewRequestWithContext(ctx, r.method, u.String(), bytes.NewReader(r.body))
	if err != nil {
		return answer{}, trace.Wrap(result.New(result.Internal, "request to %s: %v", agent, err))
	}
	// The transport repeats a lost request by itself if its body can be
	// rewound; only this client decides on repeats.
	req.GetBody = nil
	if r.kind != "" {
		req.Header.Set("Content-Type", r.kind)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return answer{}, trace.Wrap(unreachable(agent, err))
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer+1))
	if err != nil || len(body) > maxAnswer {
		return answer{}, trace.Wrap(result.New(result.PeerUnreachable, "agent %s: its answer was cut or too long", agent))
	}
	a := answer{agent: agent, status: res.StatusCode, header: res.Header, body: body}
	if a.status == http.StatusOK {
		return a, nil
	}
	return answer{}, trace.Wrap(refusalOf(a))
}

// unreachable describes a failed call. Without a connection, or with one that
// either end refused in the handshake, nothing was done.
func unreachable(agent string, err error) error {
	var op *net.OpError
	has := errors.As(err, &op)
	if result.Is(err, result.PeerRefused) || (has && op.Op == opAlert) {
		return result.New(result.PeerRefused, "agent %s: %v", agent, cause(err))
	}
	run := result.Unknown
	if has && op.Op == opDial {
		run = result.NotRun
	}
	return result.New(result.PeerUnreachable, "agent %s: %v", agent, cause(err)).WithRun(run)
}

// cause leaves out the method and URL that url.Error puts first.
func cause(err error) error {
	var u *url.Error
	if errors.As(err, &u) {
		return u.Err
	}
	return err
}

func refusalOf(a answer) error {
	var r ErrorResponse
	if err := json.Unmarshal(a.body, &r); err != nil || r.Code == 0 {
		return result.New(result.PeerUnreachable, "agent %s: status %d without a refusal", a.agent, a.status)
	}
	return &ResponseError{Response: r}
}

// Document reads the document in force at an agent, and its generation.
func (c *Client) Document(ctx context.Context) (*document.Document, uint64, error) {
	a, err := c.do(ctx, request{method: http.MethodGet, path: PathDocument})
	if err != nil {
		return nil, 0, trace.Wrap(err)
	}
	generation, err := strconv.ParseUint(a.header.Get(HeaderGeneration), 10, 64)
	if err != nil {
		return nil, 0, trace.Wrap(result.New(result.PeerFrame, "agent %s: header %s is no number", a.agent, HeaderGeneration))
	}
	d, err := document.Parse(a.body)
	if err != nil {
		return nil, 0, trace.Wrap(err)
	}
	return d, generation, nil
}

// Status reads an agent's view of the fleet.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	return s, c.read(ctx, request{method: http.MethodGet, path: PathStatus}, &s)
}

// Timeline reads the events of all processes since a wall time in
// milliseconds, of one request if it is not empty.
func (c *Client) Timeline(ctx context.Context, sinceMS int64, requestID string) (Timeline, error) {
	q := url.Values{}
	q.Set(QuerySinceMS, strconv.FormatInt(sinceMS, 10))
	if requestID != "" {
		q.Set(QueryRequest, requestID)
	}
	var t Timeline
	return t, c.read(ctx, request{method: http.MethodGet, path: PathTimeline, query: q}, &t)
}

// Drain asks for a VM's graceful stop. Repeating it is harmless.
func (c *Client) Drain(ctx context.Context, vm string) (DrainResponse, error) {
	body, err := json.Marshal(DrainRequest{VM: vm})
	if err != nil {
		return DrainResponse{}, trace.Wrap(err)
	}
	var d DrainResponse
	return d, c.read(ctx, request{method: http.MethodPost, path: PathDrain, body: body, kind: "application/json"}, &d)
}

func (c *Client) read(ctx context.Context, r request, out any) error {
	a, err := c.do(ctx, r)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := json.Unmarshal(a.body, out); err != nil {
		return trace.Wrap(result.New(result.PeerFrame, "agent %s: answer can't be read: %v", a.agent, err))
	}
	return nil
}

// put sends a document to one agent after another. The flag says whether an
// earlier try of this call may have landed.
func (c *Client) put(ctx context.Context, b []byte, base uint64, doubt *bool) (SubmitResponse, error) {
	q := url.Values{}
	q.Set(QueryBase, strconv.FormatUint(base, 10))
	var a SubmitResponse
	return a, c.read(ctx, request{method: http.MethodPut, path: PathDocument, query: q, body: b, kind: ContentYAML, doubt: doubt}, &a)
}

// Describe gives an error's text with its faults, one a line.
func Describe(err error) string {
	faults := document.FaultsOf(err)
	var r *ResponseError
	if errors.As(err, &r) {
		faults = r.Response.Faults
	}
	e := result.From(err)
	if len(faults) == 0 {
		return e.Error()
	}
	return fmt.Sprintf("%d %s, %d faults:\n%s", e.Code, e.Code.Info().Name, len(faults), faults)
}
