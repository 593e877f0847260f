// Package upstream is the router's client of model engines, plain services and
// the rating service. It never resends a request: each call is one attempt, and
// its failure says whether any byte of the request may have reached the upstream.
package upstream

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/cranberrypier/cranberrypier/internal/placement"
	"github.com/cranberrypier/cranberrypier/internal/stricthttp"
	"github.com/cranberrypier/cranberrypier/internal/wire"
)

const (
	defaultEventTimeout      = 10 * time.Second
	defaultFirstEventTimeout = 30 * time.Second
	defaultDialTimeout       = 2 * time.Second
	defaultControlTimeout    = 2 * time.Second
	defaultMaxResponseSize   = 1 << 20
	// idleConnTimeout is short enough that idle connections are closed before
	// a middlebox drops their state.
	idleConnTimeout = 20 * time.Second
	// maxIdleConnsPerUpstream limits the idle connections to one upstream.
	maxIdleConnsPerUpstream = 64
)

// Config configures a Client.
type Config struct {
	// EventTimeout is the longest time between two events of a stream.
	// Default 10s.
	EventTimeout time.Duration
	// FirstEventTimeout is the longest time to a stream's first event.
	// Default 30s.
	FirstEventTimeout time.Duration
	// DialTimeout limits the establishment of a connection. Default 2s.
	DialTimeout time.Duration
	// ControlTimeout limits load reports, cache events, orders and ratings.
	// Default 2s.
	ControlTimeout time.Duration
	// MaxResponseSize is the largest accepted response body of a call that is not
	// streamed, in bytes. Default 1 MiB.
	MaxResponseSize int
	// VM and Zone identify the sender to upstreams.
	VM   string
	Zone string
}

// Client calls upstreams over HTTP/1.1. It is safe for concurrent use.
type Client struct {
	config Config
	// pooled reuses connections. singleUse opens a connection for each request,
	// so that a non-idempotent call never uses a stale connection.
	pooled    *stricthttp.Transport
	singleUse *stricthttp.Transport
	attempts  *prometheus.CounterVec
	dials     prometheus.Counter
}

// New returns a Client. If reg is nil, its metrics are not registered.
func New(c Config, reg prometheus.Registerer) *Client {
	c = c.withDefaults()
	u := &Client{
		config: c,
		attempts: promauto.With(reg).NewCounterVec(prometheus.CounterOpts{
			Name: "pier_upstream_attempts_total",
			Help: "Attempts on upstreams by form and end.",
		}, []string{"form", "end"}),
		dials: promauto.With(reg).NewCounter(prometheus.CounterOpts{
			Name: "pier_upstream_dials_total",
			Help: "Connections made to upstreams.",
		}),
	}
	u.pooled = u.newTransport(true)
	u.singleUse = u.newTransport(false)
	return u
}

func (c Config) withDefaults() Config {
	set := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	set(&c.EventTimeout, defaultEventTimeout)
	set(&c.FirstEventTimeout, defaultFirstEventTimeout)
	set(&c.DialTimeout, defaultDialTimeout)
	set(&c.ControlTimeout, defaultControlTimeout)
	if c.MaxResponseSize <= 0 {
		c.MaxResponseSize = defaultMaxResponseSize
	}
	return c
}

func (c *Client) newTransport(keepAlives bool) *stricthttp.Transport {
	dialer := net.Dialer{Timeout: c.config.DialTimeout}
	return stricthttp.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			c.dials.Inc()
			return &countingConn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost: maxIdleConnsPerUpstream,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		DisableKeepAlives:   !keepAlives,
	})
}

// Close closes idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.singleUse.CloseIdleConnections()
}

// countAttempt counts a finished attempt in pier_upstream_attempts_total. form is
// the kind of call.
func (c *Client) countAttempt(form string, err error) {
	end := placement.EndOK
	if err != nil {
		end = FailureOf(err).End
	}
	c.attempts.WithLabelValues(form, string(end)).Inc()
}

// setCommonHeaders sets the headers that all requests have.
func (c *Client) setCommonHeaders(h http.Header, requestID string) {
	if requestID != "" {
		h.Set(wire.HeaderRequestID, requestID)
	}
	h.Set(wire.HeaderSenderVM, c.config.VM)
	h.Set(wire.HeaderSenderZone, c.config.Zone)
}

func setTimeoutHeader(h http.Header, d time.Duration) {
	if d > 0 {
		h.Set(wire.HeaderTimeoutMS, strconv.FormatInt(max(d.Milliseconds(), 1), 10))
	}
}
