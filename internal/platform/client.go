package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/wire"
)

const (
	// defaultTimeout bounds a call other than a watch.
	defaultTimeout = 5 * time.Second
	// watchWait is the longest that the service holds one watch.
	watchWait = 30 * time.Second
	// maxBody bounds lists, watches and lists of VMs, in bytes.
	maxBody = 256 << 20
	// maxIdleConns bounds the idle connections to the service.
	maxIdleConns = 16
	// idleTimeout closes idle connections.
	idleTimeout = 30 * time.Second
)

// Config of a client.
type Config struct {
	// Address is the service's IP:port.
	Address string
	// Timeout bounds each call but the wait of a watch. Default 5s.
	Timeout time.Duration
	// VM and Zone name the sender.
	VM   string
	Zone string
}

// Client implements Store over HTTP. Its transport never resends a write by
// itself: neither PUT nor DELETE is resent by net/http once bytes may have
// been written, as long as no Idempotency-Key header is set.
type Client struct {
	config  Config
	http    *http.Client
	calls   *prometheus.CounterVec
	seconds *prometheus.HistogramVec
}

var _ Store = (*Client)(nil)

// NewClient returns a client; a nil registerer keeps its metrics private.
func NewClient(c Config, reg prometheus.Registerer) *Client {
	if c.Timeout <= 0 {
		c.Timeout = defaultTimeout
	}
	dialer := net.Dialer{Timeout: c.Timeout}
	return &Client{
		config: c,
		http: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		}},
		calls: promauto.With(reg).NewCounterVec(prometheus.CounterOpts{
			Name: "pier_platform_calls_total",
			Help: "Calls of the platform's object service by verb, kind and result; a waiting watch is one call.",
		}, []string{"verb", "kind", "result"}),
		seconds: promauto.With(reg).NewHistogramVec(prometheus.HistogramOpts{
			Name:    "pier_platform_call_seconds",
			Help:    "Duration of calls other than watches.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14),
		}, []string{"verb"}),
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// call is one request to the service.
type call struct {
	verb   string
	kind   string
	method string
	path   string
	query  url.Values
	// match and noneMatch are the preconditions of writes.
	match     string
	noneMatch string
	value     []byte
	writes    bool
	// limit bounds the response's body, in bytes.
	limit int64
	// wait is added to the timeout.
	wait time.Duration
}

// answer is a whole response.
type answer struct {
	etag string
	body []byte
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	a, err := c.do(ctx, call{verb: "get", kind: kind, method: http.MethodGet, path: objectPath(kind, name), limit: MaxValueBytes})
	if err != nil {
		return Object{}, err
	}
	v, err := parseTag(a.etag)
	if err != nil {
		return Object{}, err
	}
	return Object{Kind: kind, Name: name, Version: v, Value: a.body}, nil
}

// Create implements Store.
func (c *Client) Create(ctx context.Context, kind, name string, value []byte) (Version, error) {
	return c.write(ctx, call{verb: "create", kind: kind, method: http.MethodPut, path: objectPath(kind, name), noneMatch: "*", value: value})
}

// Update implements Store.
func (c *Client) Update(ctx context.Context, kind, name string, base Version, value []byte) (Version, error) {
	return c.write(ctx, call{verb: "update", kind: kind, method: http.MethodPut, path: objectPath(kind, name), match: formatTag(base), value: value})
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, kind, name string, base Version) error {
	_, err := c.do(ctx, call{verb: "delete", kind: kind, method: http.MethodDelete, path: objectPath(kind, name), match: formatTag(base), writes: true, limit: MaxValueBytes})
	return err
}

// write performs a creation or update and returns the new version.
func (c *Client) write(ctx context.Context, q call) (Version, error) {
	if len(q.value) > MaxValueBytes {
		return 0, trace.Wrap(result.New(result.PlatformTooLarge, "%d bytes", len(q.value)))
	}
	q.writes = true
	q.limit = MaxValueBytes
	a, err := c.do(ctx, q)
	if err != nil {
		return 0, err
	}
	v, err := parseTag(a.etag)
	if err != nil {
		return 0, unsure(err)
	}
	return v, nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, kind, prefix string) ([]Object, error) {
	a, err := c.do(ctx, call{
		verb: "list", kind: kind, method: http.MethodGet, path: "/v1/objects/" + url.PathEscape(kind),
		query: url.Values{"prefix": {prefix}}, limit: maxBody,
	})
	if err != nil {
		return nil, err
	}
	body, err := decode[ListBody](a)
	return body.objects(kind), err
}

// Watch implements Store. When ctx ends or the service's own wait passes first
// it returns no objects, the same revision and no error.
func (c *Client) Watch(ctx context.Context, kind string, after uint64) ([]Object, uint64, error) {
	a, err := c.do(ctx, call{
		verb: "watch", kind: kind, method: http.MethodGet, path: "/v1/watch/" + url.PathEscape(kind),
		query: url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {watchWait.String()}},
		limit: maxBody, wait: watchWait,
	})
	if ended(ctx) {
		return nil, after, nil
	}
	if err != nil {
		return nil, after, err
	}
	body, err := decode[ListBody](a)
	if err != nil {
		return nil, after, err
	}
	return body.objects(kind), max(after, body.Revision), nil
}

func ended(ctx context.Context) bool { return ctx.Err() != nil }

// VMs implements Store.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	a, err := c.do(ctx, call{verb: "vms", method: http.MethodGet, path: "/v1/vms", limit: maxBody})
	if err != nil {
		return nil, err
	}
	body, err := decode[VMsBody](a)
	return body.VMs, err
}

// do performs a call and counts it.
func (c *Client) do(ctx context.Context, q call) (answer, error) {
	start := time.Now()
	a, err := c.send(ctx, q)
	name := "ok"
	if err != nil {
		name = result.From(err).Code.Info().Name
	}
	c.calls.WithLabelValues(q.verb, q.kind, name).Inc()
	if q.wait == 0 {
		c.seconds.WithLabelValues(q.verb).Observe(time.Since(start).Seconds())
	}
	return a, err
}

// send performs a call and classifies its failure.
func (c *Client) send(ctx context.Context, q call) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout+q.wait)
	defer cancel()
	req, err := c.request(ctx, q)
	if err != nil {
		return answer{}, trace.Wrap(result.New(result.Internal, "%v", err).WithRun(result.NotRun))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{}, lost(q, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return answer{}, refusal(q, resp)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, q.limit+1))
	if err != nil {
		return answer{}, lost(q, err)
	}
	if int64(len(body)) > q.limit {
		return answer{}, trace.Wrap(result.New(result.PlatformTooLarge, "the answer to %s %s is too large", q.verb, q.kind))
	}
	return answer{etag: resp.Header.Get("ETag"), body: body}, nil
}

func (c *Client) request(ctx context.Context, q call) (*http.Request, error) {
	address := "http://" + c.config.Address + q.path
	if len(q.query) > 0 {
		address += "?" + q.query.Encode()
	}
	var body io.Reader
	if q.method == http.MethodPut {
		body = bytes.NewReader(q.value)
	}
	req, err := http.NewRequestWithContext(ctx, q.method, address, body)
	if err != nil {
		return nil, err
	}
	if q.match != "" {
		req.Header.Set("If-Match", q.match)
	}
	if q.noneMatch != "" {
		req.Header.Set("If-None-Match", q.noneMatch)
	}
	req.Header.Set(wire.HeaderSenderVM, c.config.VM)
	req.Header.Set(wire.HeaderSenderZone, c.config.Zone)
	return req, nil
}

// lost classifies a call without a whole answer. Only a failed dial is certain
// not to have reached the service.
func lost(q call, err error) error {
	var op *net.OpError
	dial := errors.As(err, &op) && op.Op == "dial"
	if q.writes && !dial {
		return unsure(err)
	}
	return trace.Wrap(result.New(result.PlatformUnavailable, "%s %s: %v", q.verb, q.kind, err))
}

func unsure(err error) error {
	return trace.Wrap(result.New(result.PlatformUnsure, "no answer to a write: %v", err))
}

// refusal classifies an error status.
func refusal(q call, resp *http.Response) error {
	switch resp.StatusCode {
	case http.StatusNotFound:
		return trace.Wrap(result.New(result.PlatformNotFound, "no %s at %s", q.kind, q.path))
	case http.StatusPreconditionFailed:
		return trace.Wrap(result.New(result.PlatformConflict, "%s of %s: another version", q.verb, q.path))
	case http.StatusRequestEntityTooLarge:
		return trace.Wrap(result.New(result.PlatformTooLarge, "%d bytes", len(q.value)))
	case http.StatusTooManyRequests:
		e := result.New(result.PlatformBusy, "over the service's rate")
		if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && s > 0 {
			e = e.WithRetryAfter(time.Duration(s) * time.Second)
		}
		return trace.Wrap(e)
	}
	return lost(q, errors.New(resp.Status))
}

func decode[T any](a answer) (T, error) {
	var v T
	if err := json.Unmarshal(a.body, &v); err != nil {
		return v, trace.Wrap(result.New(result.PlatformUnavailable, "bad answer: %v", err))
	}
	return v, nil
}

func objectPath(kind, name string) string {
	return "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func formatTag(v Version) string { return `"` + strconv.FormatUint(uint64(v), 10) + `"` }

func parseTag(tag string) (Version, error) {
	n, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	if err != nil {
		return 0, trace.Wrap(result.New(result.PlatformUnavailable, "bad ETag %q", tag))
	}
	return Version(n), nil
}

// objects returns the body's objects with their kind.
func (b ListBody) objects(kind string) []Object {
	out := make([]Object, 0, len(b.Objects))
	for _, o := range b.Objects {
		out = append(out, Object{Kind: kind, Name: o.Name, Version: o.Version, Value: o.Value})
	}
	return out
}
