package upstream

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/cranberrypier/cranberrypier/internal/placement"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/stricthttp"
	"github.com/cranberrypier/cranberrypier/internal/wire"
)

// CallRequest is one call with a complete response: a call of a plain service, a
// run that is not streamed, or a control call.
type CallRequest struct {
	RequestID string
	Method    string
	// Path starts with a slash and may include a query.
	Path string
	// Header holds the caller's headers. Headers that concern only the caller's
	// connection or credentials are not forwarded.
	Header http.Header
	Body   []byte
	// Idempotent calls reuse connections. Other calls get a new connection,
	// because a stale one can fail in a way that leaves it unknown whether the
	// call ran.
	Idempotent bool
	// ClaimKey identifies the claim that allows a non-idempotent call to run. It
	// is sent as X-Claim-Key, for the log of the service.
	ClaimKey string
	Priority int
	// Timeout limits the call; zero means that only the context does.
	Timeout time.Duration
	// RequireID requires that the response contains the request id, as those of
	// engines do.
	RequireID bool
}

// CallResponse is a complete response with any status.
type CallResponse struct {
	Status      int
	Header      http.Header
	Body        []byte
	Incarnation string
	State       string
}

// droppedHeaders lists the request headers that are not forwarded. With an
// Idempotency-Key header net/http would resend the request on its own.
var droppedHeaders = []string{
	"Idempotency-Key", "X-Idempotency-Key", "Authorization", "Connection", "Keep-Alive", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect",
}

// Do performs one call and reads the complete response. It returns responses of
// any status as a CallResponse, except those with X-Not-Run, which are errors.
// Errors are of type *Failure.
func (c *Client) Do(ctx context.Context, addr string, r CallRequest) (CallResponse, error) {
	t := c.singleUse
	if r.Idempotent {
		t = c.pooled
	}
	out, f := c.call(ctx, t, addr, r)
	if f != nil {
		c.countAttempt("call", f)
		return CallResponse{}, f
	}
	c.countAttempt("call", nil)
	return out, nil
}

func (c *Client) call(ctx context.Context, t *stricthttp.Transport, addr string, r CallRequest) (CallResponse, *Failure) {
	if r.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, r.Timeout)
		defer cancel()
	}
	tracker := &connTracker{}
	req, err := newNonRewindableRequest(tracker.traceConns(ctx), r.Method, "http://"+addr+r.Path, r.Body)
	if err != nil {
		// Nothing was sent, so the failure counts as unreachable.
		return CallResponse{}, &Failure{End: placement.EndUnreachable, Err: resultError(result.BadRequest, false, "%v", err)}
	}
	c.callHeaders(ctx, req.Header, r)
	resp, err := t.RoundTrip(req)
	if err != nil {
		return CallResponse{}, classifyError(ctx, tracker, err)
	}
	defer resp.Body.Close()
	if notRun(resp) {
		return CallResponse{}, statusFailure(resp)
	}
	if id := resp.Header.Get(wire.HeaderRequestID); id != r.RequestID && (id != "" || r.RequireID) {
		return CallResponse{}, mismatchFailure(resp, r.RequestID)
	}
	body, f := c.readBody(ctx, tracker, resp)
	if f != nil {
		return CallResponse{}, f
	}
	return CallResponse{
		Status: resp.StatusCode, Header: resp.Header, Body: body,
		Incarnation: resp.Header.Get(wire.HeaderIncarnation), State: resp.Header.Get(wire.HeaderEngineState),
	}, nil
}

// callHeaders forwards the caller's headers and adds those of the router.
func (c *Client) callHeaders(ctx context.Context, h http.Header, r CallRequest) {
	for k, v := range r.Header {
		h[http.CanonicalHeaderKey(k)] = v
	}
	for _, k := range droppedHeaders {
		h.Del(k)
	}
	c.setCommonHeaders(h, r.RequestID)
	h.Set(wire.HeaderPriority, strconv.Itoa(r.Priority))
	if r.ClaimKey != "" {
		h.Set(wire.HeaderClaimKey, r.ClaimKey)
	}
	if end, ok := ctx.Deadline(); ok {
		setTimeoutHeader(h, max(time.Until(end), time.Millisecond))
	}
}

// readBody reads the response body, up to Config.MaxResponseSize bytes.
func (c *Client) readBody(ctx context.Context, tracker *connTracker, resp *http.Response) ([]byte, *Failure) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(c.config.MaxResponseSize)+1))
	if err != nil {
		f := classifyError(ctx, tracker, err).copyHeaders(resp)
		f.Sent = true
		if f.End == placement.EndReset {
			f.Err = trace.Wrap(result.New(result.AnswerTruncated, "%v", err))
		}
		return nil, f
	}
	if len(body) > c.config.MaxResponseSize {
		f := (&Failure{End: placement.EndStatus, Sent: true}).copyHeaders(resp)
		f.Err = trace.Wrap(result.New(result.AnswerTooLarge, "the response body is larger than %d bytes", c.config.MaxResponseSize))
		return nil, f
	}
	return body, nil
}
