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
	"github.com/cranberrypier/cranberrypier/internal/wire"
)

// CallRequest is one call of a plain service, or a whole (not streamed) run.
type CallRequest struct {
	RequestID string
	Method    string
	// Path begins with a slash and may have a query.
	Path string
	// Header are the caller's headers; what concerns only the caller's
	// connection and key is not passed on.
	Header http.Header
	Body   []byte
	// Idempotent calls reuse connections. Others get a connection of their
	// own, so that no stale one makes their fate unknown.
	Idempotent bool
	// ClaimKey is sent as X-Claim-Key for the service's log.
	ClaimKey string
	Priority int
	// Timeout bounds the call; zero leaves it to the context.
	Timeout time.Duration
	// NeedID requires that the answer names the request, as engines do.
	RequireID bool
}

// CallResponse is a whole answer of any status.
type CallResponse struct {
	Status      int
	Header      http.Header
	Body        []byte
	Incarnation string
	State       string
}

// dropped are the request headers that are not passed on. An Idempotency-Key
// would allow net/http to resend the request by itself.
var dropped = []string{
	"Idempotency-Key", "X-Idempotency-Key", "Authorization", "Connection", "Keep-Alive", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect",
}

// Do performs one call and reads its whole answer. Every answer of the service
// is a CallResponse, whatever its status, except one that says X-Not-Run.
// Errors are of type *Failure.
func (c *Client) Do(ctx context.Context, addr string, r CallRequest) (CallResponse, error) {
	t := c.single
	if r.Idempotent {
		t = c.pooled
	}
	out, f := c.call(ctx, t, addr, r)
	if f != nil {
		c.count("call", f)
		return CallResponse{}, f
	}
	c.count("call", nil)
	return out, nil
}

func (c *Client) call(ctx context.Context, t *http.Transport, addr string, r CallRequest) (CallResponse, *Failure) {
	if r.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, r.Timeout)
		defer cancel()
	}
	a := &attempt{}
	req, err := once(a.watch(ctx), r.Method, "http://"+addr+r.Path, r.Body)
	if err != nil {
		return CallResponse{}, &Failure{End: placement.EndUnreachable, Err: coded(result.BadRequest, false, "%v", err)}
	}
	c.callHeaders(ctx, req.Header, r)
	resp, err := t.RoundTrip(req)
	if err != nil {
		return CallResponse{}, broken(ctx, a, err)
	}
	defer resp.Body.Close()
	if notRun(resp) {
		return CallResponse{}, badStatus(resp)
	}
	if id := resp.Header.Get(wire.HeaderRequestID); id != r.RequestID && (id != "" || r.RequireID) {
		return CallResponse{}, mismatch(resp, r.RequestID)
	}
	body, f := c.readWhole(ctx, a, resp)
	if f != nil {
		return CallResponse{}, f
	}
	return CallResponse{
		Status: resp.StatusCode, Header: resp.Header, Body: body,
		Incarnation: resp.Header.Get(wire.HeaderIncarnation), State: resp.Header.Get(wire.HeaderEngineState),
	}, nil
}

// callHeaders passes on the caller's headers and adds ours.
func (c *Client) callHeaders(ctx context.Context, h http.Header, r CallRequest) {
	for k, v := range r.Header {
		h[http.CanonicalHeaderKey(k)] = v
	}
	for _, k := range dropped {
		h.Del(k)
	}
	c.stamp(h, r.RequestID)
	h.Set(wire.HeaderPriority, strconv.Itoa(r.Priority))
	if r.ClaimKey != "" {
		h.Set(wire.HeaderClaimKey, r.ClaimKey)
	}
	if end, ok := ctx.Deadline(); ok {
		setMS(h, max(time.Until(end), time.Millisecond))
	}
}

// readWhole reads the answer's body, which is bounded.
func (c *Client) readWhole(ctx context.Context, a *attempt, resp *http.Response) ([]byte, *Failure) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(c.config.MaxAnswerSize)+1))
	if err != nil {
		f := broken(ctx, a, err).fill(resp)
		f.Sent = true
		if f.End == placement.EndReset {
			f.Err = trace.Wrap(result.New(result.AnswerCut, "%v", err))
		}
		return nil, f
	}
	if len(body) > c.config.MaxAnswerSize {
		f := (&Failure{End: placement.EndStatus, Sent: true}).fill(resp)
		f.Err = trace.Wrap(result.New(result.AnswerTooLarge, "an answer of more than %d bytes", c.config.MaxAnswerSize))
		return nil, f
	}
	return body, nil
}
