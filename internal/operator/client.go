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
	"github.com/cranberrypier/cranberrypier/internal/stricthttp"
)

// maxResponseBytes is the size of the longest response that the client reads.
// The longest responses are timelines of many processes.
const maxResponseBytes = 64 << 20

// Values of net.OpError.Op: a failed connect, and a TLS alert with which the
// peer rejects the handshake.
const (
	opDial  = "dial"
	opAlert = "remote error"
)

// Client calls the operators' API of the fleet's agents. Each call tries the
// agents in turn until one responds; later calls try that agent first. It is
// not safe for concurrent use.
type Client struct {
	agents  []string
	http    *http.Client
	timeout time.Duration
	// preferred is the index of the agent that the next call tries first.
	preferred int
}

// NewClient returns a client of the agents at the given IP:port addresses.
// The timeout bounds one attempt at one agent.
func NewClient(agents []string, tlsConfig *tls.Config, timeout time.Duration) *Client {
	transport := stricthttp.NewTransport(&http.Transport{
		TLSClientConfig:   tlsConfig,
		DialContext:       (&net.Dialer{Timeout: timeout}).DialContext,
		ForceAttemptHTTP2: true,
	})
	return &Client{agents: agents, http: &http.Client{Transport: transport}, timeout: timeout}
}

// Close releases idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// response is an agent's response, read completely.
type response struct {
	agent  string
	status int
	header http.Header
	body   []byte
}

// ResponseError is an error that an agent responded with.
type ResponseError struct {
	Response ErrorResponse
}

// Error implements error.
func (e *ResponseError) Error() string { return e.Unwrap().Error() }

// Unwrap returns the response as a result.Error.
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
	method      string
	path        string
	query       url.Values
	body        []byte
	contentType string
	// maybeApplied, if not nil, is set to true when an attempt fails although
	// the agent may have applied the request.
	maybeApplied *bool
}

// do sends the request to the agents in turn. If an agent is unreachable or
// responds with a transient error, do tries the next one. If none succeeds, the
// error is the first error response or, if there is none, the last transport
// error.
func (c *Client) do(ctx context.Context, r request) (response, error) {
	var lastErr error
	for i := range c.agents {
		index := (c.preferred + i) % len(c.agents)
		res, err := c.try(ctx, c.agents[index], r)
		if err == nil {
			c.preferred = index
			return res, nil
		}
		if r.maybeApplied != nil && result.From(err).Run != result.NotRun {
			*r.maybeApplied = true
		}
		if !isRetryable(err) {
			c.preferred = index
			return response{}, trace.Wrap(err)
		}
		// Prefer an error response, which has more detail than a failed
		// connection.
		if lastErr == nil || !isResponseError(lastErr) {
			lastErr = err
		}
		if ctx.Err() != nil {
			break
		}
	}
	return response{}, trace.Wrap(lastErr)
}

// isRetryable reports whether another agent may succeed.
func isRetryable(err error) bool {
	var r *ResponseError
	if !errors.As(err, &r) {
		return true
	}
	return isTransient(r.Response.Code)
}

// isTransient reports whether a later attempt may succeed.
func isTransient(c result.Code) bool {
	switch c {
	case result.PlatformUnavailable, result.PlatformWriteUnknown, result.PlatformBusy,
		result.DocumentUnknown, result.DocumentNotAccepted, result.Draining,
		result.NotReady, result.PeerUnreachable, result.Internal:
		return true
	}
	return false
}

func isResponseError(err error) bool {
	var r *ResponseError
	return errors.As(err, &r)
}

func (c *Client) try(ctx context.Context, agent string, r request) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	u := url.URL{Scheme: "https", Host: agent, Path: r.path, RawQuery: r.query.Encode()}
	req, err := http.NewRequestWithContext(ctx, r.method, u.String(), bytes.NewReader(r.body))
	if err != nil {
		return response{}, trace.Wrap(result.New(result.Internal, "request to %s: %v", agent, err))
	}
	// The transport resends a failed request by itself if GetBody can rewind
	// the body. Only this client decides on retries.
	req.GetBody = nil
	if r.contentType != "" {
		req.Header.Set("Content-Type", r.contentType)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return response{}, trace.Wrap(transportError(agent, err))
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes+1))
	if err != nil || len(body) > maxResponseBytes {
		return response{}, trace.Wrap(result.New(result.PeerUnreachable, "agent %s: the response was truncated or too long", agent))
	}
	out := response{agent: agent, status: res.StatusCode, header: res.Header, body: body}
	if out.status == http.StatusOK {
		return out, nil
	}
	return response{}, trace.Wrap(parseErrorResponse(out))
}

// transportError classifies a failed call. The agent has done nothing if the
// connection was not established or either end rejected the handshake.
func transportError(agent string, err error) error {
	var opErr *net.OpError
	isOpError := errors.As(err, &opErr)
	if result.Is(err, result.PeerRefused) || (isOpError && opErr.Op == opAlert) {
		return result.New(result.PeerRefused, "agent %s: %v", agent, withoutURL(err))
	}
	run := result.Unknown
	if isOpError && opErr.Op == opDial {
		run = result.NotRun
	}
	return result.New(result.PeerUnreachable, "agent %s: %v", agent, withoutURL(err)).WithRun(run)
}

// withoutURL strips the method and URL that url.Error puts before its cause.
func withoutURL(err error) error {
	var urlErr *url.Error
	if errors.As(err, &urlErr) {
		return urlErr.Err
	}
	return err
}

func parseErrorResponse(res response) error {
	var e ErrorResponse
	if err := json.Unmarshal(res.body, &e); err != nil || e.Code == 0 {
		return result.New(result.PeerUnreachable, "agent %s: status %d without an error in the body", res.agent, res.status)
	}
	return &ResponseError{Response: e}
}

// Document returns the document in force at an agent and its generation.
func (c *Client) Document(ctx context.Context) (*document.Document, uint64, error) {
	res, err := c.do(ctx, request{method: http.MethodGet, path: PathDocument})
	if err != nil {
		return nil, 0, trace.Wrap(err)
	}
	generation, err := strconv.ParseUint(res.header.Get(HeaderGeneration), 10, 64)
	if err != nil {
		return nil, 0, trace.Wrap(result.New(result.PeerMessageInvalid, "agent %s: header %s is not a number", res.agent, HeaderGeneration))
	}
	d, err := document.Parse(res.body)
	if err != nil {
		return nil, 0, trace.Wrap(err)
	}
	return d, generation, nil
}

// Status returns an agent's view of the fleet.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	return s, c.callJSON(ctx, request{method: http.MethodGet, path: PathStatus}, &s)
}

// Timeline returns the events of all processes since a wall time in
// milliseconds. If requestID is not empty, it returns only that request's
// events.
func (c *Client) Timeline(ctx context.Context, sinceMS int64, requestID string) (Timeline, error) {
	q := url.Values{}
	q.Set(QuerySinceMS, strconv.FormatInt(sinceMS, 10))
	if requestID != "" {
		q.Set(QueryRequest, requestID)
	}
	var t Timeline
	return t, c.callJSON(ctx, request{method: http.MethodGet, path: PathTimeline, query: q}, &t)
}

// Drain requests a VM's graceful stop. It is idempotent.
func (c *Client) Drain(ctx context.Context, vm string) (DrainResponse, error) {
	body, err := json.Marshal(DrainRequest{VM: vm})
	if err != nil {
		return DrainResponse{}, trace.Wrap(err)
	}
	var d DrainResponse
	return d, c.callJSON(ctx, request{method: http.MethodPost, path: PathDrain, body: body, contentType: "application/json"}, &d)
}

func (c *Client) callJSON(ctx context.Context, r request, out any) error {
	res, err := c.do(ctx, r)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := json.Unmarshal(res.body, out); err != nil {
		return trace.Wrap(result.New(result.PeerMessageInvalid, "agent %s: cannot decode the response: %v", res.agent, err))
	}
	return nil
}

// put writes a document through the first agent that responds. It sets
// maybeApplied if a failed attempt may have written the document.
func (c *Client) put(ctx context.Context, encoded []byte, base uint64, maybeApplied *bool) (SubmitResponse, error) {
	q := url.Values{}
	q.Set(QueryBase, strconv.FormatUint(base, 10))
	var accepted SubmitResponse
	return accepted, c.callJSON(ctx, request{method: http.MethodPut, path: PathDocument, query: q, body: encoded, contentType: ContentYAML, maybeApplied: maybeApplied}, &accepted)
}

// Describe returns the text of err, with a document's faults one per line.
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
