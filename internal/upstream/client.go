// Package upstream is the router's client of model engines, plain services and
// the rating service. It never resends anything: each call is one attempt, and
// its failure says whether a byte of the request may have reached the upstream.
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
	"github.com/cranberrypier/cranberrypier/internal/wire"
)

const (
	defaultSilence     = 10 * time.Second
	defaultFirstEvent  = 30 * time.Second
	defaultDialTimeout = 2 * time.Second
	defaultControl     = 2 * time.Second
	defaultMaxAnswer   = 1 << 20
	// idleTimeout closes idle connections before a middlebox forgets them.
	idleTimeout = 20 * time.Second
	// idlePerUpstream bounds idle connections to one upstream.
	idlePerUpstream = 64
)

// Config of a client.
type Config struct {
	// Silence is the longest time between two events of a stream. Default 10s.
	EventTimeout time.Duration
	// FirstEvent is the longest time to a stream's first event. Default 30s.
	FirstEventTimeout time.Duration
	// DialTimeout bounds the making of a connection. Default 2s.
	DialTimeout time.Duration
	// Control bounds load reports, cache events, orders and ratings. Default 2s.
	ControlTimeout time.Duration
	// MaxAnswer bounds the body of a plain service's answer, in bytes.
	// Default 1 MiB.
	MaxAnswerSize int
	// VM and Zone name the sender.
	VM   string
	Zone string
}

// Client calls upstreams over HTTP/1.1. It is safe for concurrent use.
type Client struct {
	config Config
	// pooled reuses connections; single uses each for one request, so that
	// work that may not be repeated never meets a stale connection.
	pooled   *http.Transport
	single   *http.Transport
	attempts *prometheus.CounterVec
	dials    prometheus.Counter
}

// New returns a client; a nil registerer keeps its metrics private.
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
	u.pooled = u.transport()
	u.single = u.transport()
	u.single.DisableKeepAlives = true
	return u
}

func (c Config) withDefaults() Config {
	set := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	set(&c.EventTimeout, defaultSilence)
	set(&c.FirstEventTimeout, defaultFirstEvent)
	set(&c.DialTimeout, defaultDialTimeout)
	set(&c.ControlTimeout, defaultControl)
	if c.MaxAnswerSize <= 0 {
		c.MaxAnswerSize = defaultMaxAnswer
	}
	return c
}

func (c *Client) transport() *http.Transport {
	dialer := net.Dialer{Timeout: c.config.DialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			c.dials.Inc()
			return &countedConn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost: idlePerUpstream,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.single.CloseIdleConnections()
}

// count notes the end of an attempt.
func (c *Client) count(form string, err error) {
	end := placement.EndOK
	if err != nil {
		end = FailureOf(err).End
	}
	c.attempts.WithLabelValues(form, string(end)).Inc()
}

// stamp sets the headers that every request carries.
func (c *Client) stamp(h http.Header, requestID string) {
	if requestID != "" {
		h.Set(wire.HeaderRequestID, requestID)
	}
	h.Set(wire.HeaderSenderVM, c.config.VM)
	h.Set(wire.HeaderSenderZone, c.config.Zone)
}

func setMS(h http.Header, d time.Duration) {
	if d > 0 {
		h.Set(wire.HeaderTimeoutMS, strconv.FormatInt(max(d.Milliseconds(), 1), 10))
	}
}
