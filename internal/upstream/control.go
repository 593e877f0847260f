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

// Order is a declarative order to an engine.
type Order = wire.OrderBody

// RatingRequest asks the rating service about one answer.
type RatingRequest = wire.RatingBody

// Load reads an engine's load report. TakenAt is by the engine's wall clock
// and never later than now.
func (c *Client) Load(ctx context.Context, addr string) (placement.LoadReport, error) {
	body, err := control[wire.LoadBody](ctx, c, "load", addr, http.MethodGet, "/v1/load", nil)
	if err != nil {
		return placement.LoadReport{}, err
	}
	taken := time.UnixMilli(body.TakenAtMS)
	if now := time.Now(); taken.After(now) {
		taken = now
	}
	return placement.LoadReport{
		Incarnation: body.Incarnation, State: body.State, Running: body.Running, Queued: body.Queued,
		Loaded: body.Loaded, TakenAt: taken,
	}, nil
}

// CacheEvents reads an engine's cache events after a sequence number and
// returns the number to continue from.
func (c *Client) CacheEvents(ctx context.Context, addr string, after uint64) ([]placement.CacheEvent, uint64, error) {
	path := "/v1/cache-events?after=" + strconv.FormatUint(after, 10)
	body, err := control[wire.CacheEventsBody](ctx, c, "cache_events", addr, http.MethodGet, path, nil)
	if err != nil {
		return nil, after, err
	}
	out := make([]placement.CacheEvent, 0, len(body.Events))
	for _, e := range body.Events {
		out = append(out, placement.CacheEvent{Sequence: e.Seq, Hash: e.Hash, Added: e.Added})
	}
	return out, body.Next, nil
}

// Order sends an order once. An old fencing number gives OrderRefused.
func (c *Client) Order(ctx context.Context, addr string, o Order) error {
	_, err := control[struct{}](ctx, c, "order", addr, http.MethodPost, "/v1/orders", o)
	if err != nil && FailureOf(err).Status == http.StatusConflict {
		return trace.Wrap(result.New(result.OrderRefused, "fencing number %d is old", o.Fence))
	}
	return err
}

// Rate asks for the rating of an answer, from 0 to 1.
func (c *Client) Rate(ctx context.Context, addr string, r RatingRequest) (float64, error) {
	body, err := control[wire.RatingAnswer](ctx, c, "rate", addr, http.MethodPost, "/v1/ratings", r)
	if err != nil {
		return 0, err
	}
	return min(max(body.Rating, 0), 1), nil
}

// control performs a JSON call within the control timeout. A nil in sends no
// body; an empty answer leaves the result zero.
func control[T any](ctx context.Context, c *Client, form, addr, method, path string, in any) (T, error) {
	out, f := controlCall[T](ctx, c, addr, method, path, in)
	if f != nil {
		c.count(form, f)
		return out, f
	}
	c.count(form, nil)
	return out, nil
}

func controlCall[T any](ctx context.Context, c *Client, addr, method, path string, in any) (T, *Failure) {
	var out T
	var body []byte
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return out, &Failure{End: placement.EndUnreachable, Err: coded(result.Internal, false, "%v", err)}
		}
		body = raw
	}
	resp, f := c.call(ctx, c.pooled, addr, CallRequest{Method: method, Path: path, Body: body, Timeout: c.config.ControlTimeout})
	if f != nil {
		return out, f
	}
	if resp.Status != http.StatusOK {
		return out, &Failure{
			End: placement.EndStatus, Sent: true, Status: resp.Status,
			Err: coded(result.UpstreamFailed, true, "status %d", resp.Status),
		}
	}
	if len(resp.Body) == 0 {
		return out, nil
	}
	if err := json.Unmarshal(resp.Body, &out); err != nil {
		return out, &Failure{End: placement.EndStatus, Sent: true, Err: coded(result.UpstreamFailed, true, "bad answer: %v", err)}
	}
	return out, nil
}
