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
	"github.com/cranberrypier/cranberrypier/internal/stricthttp"
	"github.com/cranberrypier/cranberrypier/internal/wire"
)

const (
	// defaultTimeout is the default of Config.Timeout.
	defaultTimeout = 5 * time.Second
	// maxWatchWait is the time after which the service ends a watch without
	// changes.
	maxWatchWait = 30 * time.Second
	// maxListBytes is the maximum size of a response to a list, a watch or a
	// list of VMs.
	maxListBytes = 256 << 20
	// maxIdleConns is the maximum number of idle connections to the service.
	maxIdleConns = 16
	// idleConnTimeout is the time after which an idle connection is closed.
	idleConnTimeout = 30 * time.Second
)

// Config configures a Client.
type Config struct {
	// Address is the service's IP:port.
	Address string
	// Timeout is the timeout of each call. A watch may take maxWatchWait
	// longer. Default 5s.
	Timeout time.Duration
	// VM and Zone identify the sender.
	VM   string
	Zone string
}

// Client implements Store over HTTP. Its transport never resends a write:
// net/http does not resend a PUT or DELETE once bytes may have been written,
// unless an Idempotency-Key header is set.
type Client struct {
	config   Config
	http     *http.Client
	calls    *prometheus.CounterVec
	duration *prometheus.HistogramVec
}

var _ Store = (*Client)(nil)

// NewClient returns a client. If reg is nil, its metrics are not registered.
func NewClient(c Config, reg prometheus.Registerer) *Client {
	if c.Timeout <= 0 {
		c.Timeout = defaultTimeout
	}
	dialer := net.Dialer{Timeout: c.Timeout}
	return &Client{
		config: c,
		http: &http.Client{Transport: stricthttp.NewTransport(&http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		})},
		calls: promauto.With(reg).NewCounterVec(prometheus.CounterOpts{
			Name: "pier_platform_calls_total",
			Help: "Calls of the platform's object service by verb, kind and result; a waiting watch is one call.",
		}, []string{"verb", "kind", "result"}),
		duration: promauto.With(reg).NewHistogramVec(prometheus.HistogramOpts{
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
	// ifMatch and ifNoneMatch are the preconditions of a write.
	ifMatch     string
	ifNoneMatch string
	value       []byte
	isWrite     bool
	// maxBytes is the maximum size of the response's body.
	maxBytes int64
	// wait is how long the service may hold the call; it is added to the
	// timeout.
	wait time.Duration
}

// response is a complete response.
type response struct {
	etag string
	body []byte
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	resp, err := c.do(ctx, call{verb: "get", kind: kind, method: http.MethodGet, path: objectPath(kind, name), maxBytes: MaxValueBytes})
	if err != nil {
		return Object{}, err
	}
	v, err := parseETag(resp.etag)
	if err != nil {
		return Object{}, err
	}
	return Object{Kind: kind, Name: name, Version: v, Value: resp.body}, nil
}

// Create implements Store.
func (c *Client) Create(ctx context.Context, kind, name string, value []byte) (Version, error) {
	return c.write(ctx, call{verb: "create", kind: kind, method: http.MethodPut, path: objectPath(kind, name), ifNoneMatch: "*", value: value})
}

// Update implements Store.
func (c *Client) Update(ctx context.Context, kind, name string, base Version, value []byte) (Version, error) {
	return c.write(ctx, call{verb: "update", kind: kind, method: http.MethodPut, path: objectPath(kind, name), ifMatch: formatETag(base), value: value})
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, kind, name string, base Version) error {
	_, err := c.do(ctx, call{verb: "delete", kind: kind, method: http.MethodDelete, path: objectPath(kind, name), ifMatch: formatETag(base), isWrite: true, maxBytes: MaxValueBytes})
	return err
}

// write performs a create or an update and returns the new version.
func (c *Client) write(ctx context.Context, q call) (Version, error) {
	if len(q.value) > MaxValueBytes {
		return 0, trace.Wrap(result.New(result.PlatformTooLarge, "the value has %d bytes, which exceeds the limit", len(q.value)))
	}
	q.isWrite = true
	q.maxBytes = MaxValueBytes
	resp, err := c.do(ctx, q)
	if err != nil {
		return 0, err
	}
	v, err := parseETag(resp.etag)
	if err != nil {
		return 0, writeUnknownError(err)
	}
	return v, nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, kind, prefix string) ([]Object, error) {
	resp, err := c.do(ctx, call{
		verb: "list", kind: kind, method: http.MethodGet, path: "/v1/objects/" + url.PathEscape(kind),
		query: url.Values{"prefix": {prefix}}, maxBytes: maxListBytes,
	})
	if err != nil {
		return nil, err
	}
	body, err := decodeJSON[ListBody](resp)
	return body.objects(kind), err
}

// Watch implements Store. If ctx ends or maxWatchWait passes before a change,
// it returns no objects, the same revision and no error.
func (c *Client) Watch(ctx context.Context, kind string, after uint64) ([]Object, uint64, error) {
	resp, err := c.do(ctx, call{
		verb: "watch", kind: kind, method: http.MethodGet, path: "/v1/watch/" + url.PathEscape(kind),
		query:    url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {maxWatchWait.String()}},
		maxBytes: maxListBytes, wait: maxWatchWait,
	})
	if contextEnded(ctx) {
		return nil, after, nil
	}
	if err != nil {
		return nil, after, err
	}
	body, err := decodeJSON[ListBody](resp)
	if err != nil {
		return nil, after, err
	}
	return body.objects(kind), max(after, body.Revision), nil
}

func contextEnded(ctx context.Context) bool { return ctx.Err() != nil }

// VMs implements Store.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	resp, err := c.do(ctx, call{verb: "vms", method: http.MethodGet, path: "/v1/vms", maxBytes: maxListBytes})
	if err != nil {
		return nil, err
	}
	body, err := decodeJSON[VMsBody](resp)
	return body.VMs, err
}

// do performs a call and updates the metrics.
func (c *Client) do(ctx context.Context, q call) (response, error) {
	start := time.Now()
	resp, err := c.send(ctx, q)
	outcome := "ok"
	if err != nil {
		outcome = result.From(err).Code.Info().Name
	}
	c.calls.WithLabelValues(q.verb, q.kind, outcome).Inc()
	if q.wait == 0 {
		c.duration.WithLabelValues(q.verb).Observe(time.Since(start).Seconds())
	}
	return resp, err
}

// send performs a call and classifies its failure.
func (c *Client) send(ctx context.Context, q call) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout+q.wait)
	defer cancel()
	req, err := c.request(ctx, q)
	if err != nil {
		return response{}, trace.Wrap(result.New(result.Internal, "%v", err).WithRun(result.NotRun))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return response{}, unavailableOrWriteUnknown(q, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return response{}, statusError(q, resp)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, q.maxBytes+1))
	if err != nil {
		return response{}, unavailableOrWriteUnknown(q, err)
	}
	if int64(len(body)) > q.maxBytes {
		return response{}, trace.Wrap(result.New(result.PlatformTooLarge, "the response to %s %s is too large", q.verb, q.kind))
	}
	return response{etag: resp.Header.Get("ETag"), body: body}, nil
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
	if q.ifMatch != "" {
		req.Header.Set("If-Match", q.ifMatch)
	}
	if q.ifNoneMatch != "" {
		req.Header.Set("If-None-Match", q.ifNoneMatch)
	}
	req.Header.Set(wire.HeaderSenderVM, c.config.VM)
	req.Header.Set(wire.HeaderSenderZone, c.config.Zone)
	return req, nil
}

// unavailableOrWriteUnknown returns the error of a call without a complete response.
// Only a failed dial is certain not to have reached the service.
func unavailableOrWriteUnknown(q call, err error) error {
	var opErr *net.OpError
	dialFailed := errors.As(err, &opErr) && opErr.Op == "dial"
	if q.isWrite && !dialFailed {
		return writeUnknownError(err)
	}
	return trace.Wrap(result.New(result.PlatformUnavailable, "%s %s: %v", q.verb, q.kind, err))
}

func writeUnknownError(err error) error {
	return trace.Wrap(result.New(result.PlatformWriteUnknown, "no response to a write: %v", err))
}

// statusError returns the error for a status other than 200.
func statusError(q call, resp *http.Response) error {
	switch resp.StatusCode {
	case http.StatusNotFound:
		return trace.Wrap(result.New(result.PlatformNotFound, "no %s at %s", q.kind, q.path))
	case http.StatusPreconditionFailed:
		return trace.Wrap(result.New(result.PlatformConflict, "%s of %s: the object has a different version", q.verb, q.path))
	case http.StatusRequestEntityTooLarge:
		return trace.Wrap(result.New(result.PlatformTooLarge, "the value has %d bytes, which exceeds the limit", len(q.value)))
	case http.StatusTooManyRequests:
		e := result.New(result.PlatformBusy, "the service's rate limit is exceeded")
		if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && seconds > 0 {
			e = e.WithRetryAfter(time.Duration(seconds) * time.Second)
		}
		return trace.Wrap(e)
	}
	return unavailableOrWriteUnknown(q, errors.New(resp.Status))
}

func decodeJSON[T any](resp response) (T, error) {
	var v T
	if err := json.Unmarshal(resp.body, &v); err != nil {
		return v, trace.Wrap(result.New(result.PlatformUnavailable, "invalid response: %v", err))
	}
	return v, nil
}

func objectPath(kind, name string) string {
	return "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func formatETag(v Version) string { return `"` + strconv.FormatUint(uint64(v), 10) + `"` }

func parseETag(tag string) (Version, error) {
	n, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	if err != nil {
		return 0, trace.Wrap(result.New(result.PlatformUnavailable, "invalid ETag %q", tag))
	}
	return Version(n), nil
}

// objects returns the objects of the list, which are all of the given kind.
func (b ListBody) objects(kind string) []Object {
	out := make([]Object, 0, len(b.Objects))
	for _, o := range b.Objects {
		out = append(out, Object{Kind: kind, Name: o.Name, Version: o.Version, Value: o.Value})
	}
	return out
}
