package edge

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Times of connections. A silent cut shows only by these.
const (
	// upstreamDial bounds connecting to an upstream: many round trips in a
	// region, and well below the shortest deadline.
	upstreamDialTimeout = 200 * time.Millisecond
	// storeDial bounds connecting to the store.
	storeDialTimeout = time.Second
	// probeIdle, probeEvery and probeCount are the keep-alive probes that find
	// connections which went silent: after 2 s at most.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
	// unackedMost is how long sent bytes may stay unacknowledged.
	tcpUserTimeout = 2 * time.Second
	// storeIdle closes store connections that are not used.
	storeIdleTimeout = 30 * time.Second
)

// dialer connects with probes and a bound on unacknowledged bytes.
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

// upstreamTransport opens a connection for each attempt. A connection that is
// never used again can't be stale, can't carry another request's late answer,
// and net/http never resends on it.
func newUpstreamTransport() *http.Transport {
	return &http.Transport{
		DialContext:        newDialer(upstreamDialTimeout).DialContext,
		DisableKeepAlives:  true,
		DisableCompression: true,
		WriteBufferSize:    4 << 10,
		ReadBufferSize:     4 << 10,
	}
}

// storeTransport keeps a few connections to the store.
func newStoreTransport() *http.Transport {
	return &http.Transport{
		DialContext:         newDialer(storeDialTimeout).DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     storeIdleTimeout,
	}
}

// listen opens a listener whose connections are probed like our own.
func listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: 5 * keepAliveIdle, Interval: keepAliveIdle, Count: keepAliveCount,
	}}
	return config.Listen(ctx, "tcp", address)
}
