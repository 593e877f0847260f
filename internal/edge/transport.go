package edge

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cranberrypier/cranberrypier/internal/stricthttp"
)

// maxPeerSilence is how long an upstream, a caller or the network may be silent
// without an end of the requests on the connection. Each limit that ends a request's
// connection or attempt allows it, wherever the silence begins.
const maxPeerSilence = 2 * time.Second

// Connection timeouts. A partition that drops packets silently is detected only
// by these.
const (
	// upstreamDialTimeout limits connecting to an upstream: it allows many
	// round trips within a region and is well below the shortest deadline.
	upstreamDialTimeout = 200 * time.Millisecond
	// forwardDialTimeout limits connecting to another VM.
	forwardDialTimeout = 200 * time.Millisecond
	// storeDialTimeout limits connecting to the store.
	storeDialTimeout = time.Second
	// keepAliveInterval is the time between TCP keep-alive probes. Linux counts it
	// in whole seconds.
	keepAliveInterval = time.Second
	// upstreamProbeDelay and callerProbeDelay are how long a connection is quiet
	// before it is probed, also in whole seconds.
	upstreamProbeDelay = time.Second
	callerProbeDelay   = 5 * time.Second
	// maxControlSilence limits the silence of connections whose calls are repeated,
	// to the store and to peers.
	maxControlSilence = 2 * time.Second
	// maxResponseHeaderBytes limits the header of a response, and each interim
	// response before it.
	maxResponseHeaderBytes = 64 << 10
	// storeIdleTimeout is when idle connections to the store are closed.
	storeIdleTimeout = 30 * time.Second
)

// giveUpTimeout returns how long a connection may be quiet, or sent bytes
// unacknowledged, if its peer may be silent for maxPeerSilence from any moment on. A
// silence that begins just before the first probe must end before the last one.
func giveUpTimeout(probeDelay time.Duration) time.Duration {
	return probeDelay + maxPeerSilence + keepAliveInterval
}

// keepAlive returns the probes of a connection that is given up after a timeout.
func keepAlive(probeDelay, giveUp time.Duration) net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeDelay, Interval: keepAliveInterval, Count: int((giveUp - probeDelay) / keepAliveInterval)}
}

// newUpstreamDialer returns a dialer for connections that carry callers' requests.
func newUpstreamDialer() *net.Dialer {
	return newDialer(upstreamDialTimeout, giveUpTimeout(upstreamProbeDelay))
}

// newForwardDialer returns a dialer for connections that carry callers' requests to
// other VMs.
func newForwardDialer() *net.Dialer {
	return newDialer(forwardDialTimeout, giveUpTimeout(upstreamProbeDelay))
}

// newControlDialer returns a dialer for connections to the store and to peers.
func newControlDialer(timeout time.Duration) *net.Dialer {
	return newDialer(timeout, maxControlSilence)
}

// newDialer returns a dialer whose connections are given up after a time without any
// sign of the peer. TCP_USER_TIMEOUT limits how long sent bytes may stay
// unacknowledged, and replaces the number of probes as their limit.
func newDialer(timeout, giveUp time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: keepAlive(upstreamProbeDelay, giveUp),
		Control: func(_, _ string, c syscall.RawConn) error {
			var sockErr error
			err := c.Control(func(fd uintptr) {
				sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(giveUp.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return sockErr
		},
	}
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// connKey is the context key of a request's connection that is established already.
type connKey struct{}

// withConn adds the connection of the next attempt to its context, if there is one.
func (x *requestState) withConn(ctx context.Context) context.Context {
	conn := x.conn
	x.conn = nil
	if conn == nil {
		return ctx
	}
	return context.WithValue(ctx, connKey{}, conn)
}

// dialUnlessConnected returns a function that uses the connection of the context, if
// there is one, and opens one otherwise.
func dialUnlessConnected(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if conn, ok := ctx.Value(connKey{}).(net.Conn); ok {
			return conn, nil
		}
		return dial(ctx, network, address)
	}
}

// newUpstreamTransport returns a transport that opens a connection for each
// attempt. A connection that is never reused can't be stale and can't carry the
// late response to another request, and net/http never resends a request on it.
func newUpstreamTransport(dial DialFunc) *stricthttp.Transport {
	return stricthttp.NewTransport(&http.Transport{
		DialContext:        limitHeads(dialUnlessConnected(dial)),
		DisableKeepAlives:  true,
		DisableCompression: true,
		WriteBufferSize:    4 << 10,
		ReadBufferSize:     4 << 10,

		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	})
}

// newStoreTransport returns a transport that keeps a few connections to the
// store open.
func newStoreTransport() *stricthttp.Transport {
	return stricthttp.NewTransport(&http.Transport{
		DialContext:         newControlDialer(storeDialTimeout).DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     storeIdleTimeout,

		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	})
}

// listen opens a listener whose connections use TCP keep-alive probes. Idle
// connections are probed later than those to upstreams.
func listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive(callerProbeDelay, giveUpTimeout(callerProbeDelay))}
	return config.Listen(ctx, "tcp", address)
}
