package upstream

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/cranberrypier/cranberrypier/internal/placement"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/wire"
)

// Order is a declarative order for an engine.
type Order = wire.OrderBody

// RatingRequest asks the rating service to rate one answer.
type RatingRequest = wire.RatingBody

// Load reads an engine's load report. TakenAt is the engine's wall-clock time,
// but never later than now.
func (c *Client) Load(ctx context.Context, addr string) (placement.LoadReport, error) {
	body, err := callJSON[wire.LoadBody](ctx, c, "load", addr, http.MethodGet, "/v1/load", nil)
	if err != nil {
		return placement.LoadReport{}, err
	}
	takenAt := time.UnixMilli(body.TakenAtMS)
	if now := time.Now(); takenAt.After(now) {
		takenAt = now
	}
	return placement.LoadReport{
		Incarnation: body.Incarnation, State: body.State, Running: body.Running, Queued: body.Queued,
		Loaded: body.Loaded, TakenAt: takenAt,
	}, nil
}

// CacheEvents reads an engine's cache events after a sequence number. It also
// returns the sequence number to continue from.
func (c *Client) CacheEvents(ctx context.Context, addr string, after uint64) ([]placement.CacheEvent, uint64, error) {
	path := "/v1/cache-events?after=" + strconv.FormatUint(after, 10)
	body, err := callJSON[wire.CacheEventsBody](ctx, c, "cache_events", addr, http.MethodGet, path, nil)
	if err != nil {
		return nil, after, err
	}
	out := make([]placement.CacheEvent, 0, len(body.Events))
	for _, e := range body.Events {
		out = append(out, placement.CacheEvent{Sequence: e.Seq, Hash: e.Hash, Added: e.Added})
	}
	return out, body.Next, nil
}

// Order sends an order once. If its fencing number is outdated, the error is
// OrderRefused.
func (c *Client) Order(ctx context.Context, addr string, o Order) error {
	_, err := callJSON[struct{}](ctx, c, "order", addr, http.MethodPost, "/v1/orders", o)
	if err != nil && FailureOf(err).Status == http.StatusConflict {
		return trace.Wrap(result.New(result.OrderRefused, "fencing number %d is outdated", o.Fence))
	}
	return err
}

// Rate returns the rating of an answer, from 0 to 1.
func (c *Client) Rate(ctx context.Context, addr string, r RatingRequest) (float64, error) {
	body, err := callJSON[wire.RatingAnswer](ctx, c, "rate", addr, http.MethodPost, "/v1/ratings", r)
	if err != nil {
		return 0, err
	}
	return min(max(body.Rating, 0), 1), nil
}

// callJSON performs a JSON call with the timeout Config.ControlTimeout. form is
// the kind of call in pier_upstream_attempts_total. If in is nil, no body is sent;
// if the response is empty, the result is the zero value.
func callJSON[T any](ctx context.Context, c *Client, form, addr, method, path string, in any) (T, error) {
	out, f := doCallJSON[T](ctx, c, addr, method, path, in)
	if f != nil {
		c.countAttempt(form, f)
		return out, f
	}
	c.countAttempt(form, nil)
	return out, nil
}

func doCallJSON[T any](ctx context.Context, c *Client, addr, method, path string, in any) (T, *Failure) {
	var out T
	var body []byte
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			// Nothing was sent, so the failure counts as unreachable.
			return out, &Failure{End: placement.EndUnreachable, Err: resultError(result.Internal, false, "%v", err)}
		}
		body = encoded
	}
	resp, f := c.call(ctx, c.pooled, addr, CallRequest{Method: method, Path: path, Body: body, Timeout: c.config.ControlTimeout})
	if f != nil {
		return out, f
	}
	if resp.Status != http.StatusOK {
		return out, &Failure{
			End: placement.EndStatus, Sent: true, Status: resp.Status,
			Err: resultError(result.UpstreamFailed, true, "the upstream responded with status %d", resp.Status),
		}
	}
	if len(resp.Body) == 0 {
		return out, nil
	}
	if err := json.Unmarshal(resp.Body, &out); err != nil {
		return out, &Failure{End: placement.EndStatus, Sent: true, Err: resultError(result.UpstreamFailed, true, "invalid response body: %v", err)}
	}
	return out, nil
}
