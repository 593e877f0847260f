package edge

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Connection timeouts. A partition that drops packets silently is detected only
// by these.
const (
	// upstreamDialTimeout limits connecting to an upstream: it allows many
	// round trips within a region and is well below the shortest deadline.
	upstreamDialTimeout = 200 * time.Millisecond
	// storeDialTimeout limits connecting to the store.
	storeDialTimeout = time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure TCP
	// keep-alive probes, which detect an unresponsive connection within 2 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
	// tcpUserTimeout limits how long sent bytes may stay unacknowledged.
	tcpUserTimeout = 2 * time.Second
	// maxResponseHeaderBytes limits the header of a response, and each interim
	// response before it.
	maxResponseHeaderBytes = 64 << 10
	// storeIdleTimeout is when idle connections to the store are closed.
	storeIdleTimeout = 30 * time.Second
)

// newDialer returns a dialer whose connections use TCP keep-alive probes and
// tcpUserTimeout.
func newDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			var sockErr error
			err := c.Control(func(fd uintptr) {
				sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
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

// newUpstreamTransport returns a transport that opens a connection for each
// attempt. A connection that is never reused can't be stale and can't carry the
// late response to another request, and net/http never resends a request on it.
func newUpstreamTransport(dial DialFunc) *http.Transport {
	return &http.Transport{
		DialContext:        dial,
		DisableKeepAlives:  true,
		DisableCompression: true,
		WriteBufferSize:    4 << 10,
		ReadBufferSize:     4 << 10,

		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// newStoreTransport returns a transport that keeps a few connections to the
// store open.
func newStoreTransport() *http.Transport {
	return &http.Transport{
		DialContext:         newDialer(storeDialTimeout).DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     storeIdleTimeout,

		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// listen opens a listener whose connections use TCP keep-alive probes. Idle
// connections are probed later and less often than those of newDialer.
func listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: 5 * keepAliveIdle, Interval: keepAliveIdle, Count: keepAliveCount,
	}}
	return config.Listen(ctx, "tcp", address)
}
