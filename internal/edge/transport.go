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
	upstreamDial = 200 * time.Millisecond
	// storeDial bounds connecting to the store.
	storeDial = time.Second
	// probeIdle, probeEvery and probeCount are the keep-alive probes that find
	// connections which went silent: after 2 s at most.
	probeIdle  = time.Second
	probeEvery = 500 * time.Millisecond
	probeCount = 2
	// unackedMost is how long sent bytes may stay unacknowledged.
	unackedMost = 2 * time.Second
	// storeIdle closes store connections that are not used.
	storeIdle = 30 * time.Second
)

// dialer connects with probes and a bound on unacknowledged bytes.
func dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			var set error
			err := c.Control(func(fd uintptr) {
				set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedMost.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return set
		},
	}
}

// upstreamTransport opens a connection for each attempt. A connection that is
// never used again can't be stale, can't carry another request's late answer,
// and net/http never resends on it.
func upstreamTransport() *http.Transport {
	return &http.Transport{
		DialContext:        dialer(upstreamDial).DialContext,
		DisableKeepAlives:  true,
		DisableCompression: true,
		WriteBufferSize:    4 << 10,
		ReadBufferSize:     4 << 10,
	}
}

// storeTransport keeps a few connections to the store.
func storeTransport() *http.Transport {
	return &http.Transport{
		DialContext:         dialer(storeDial).DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     storeIdle,
	}
}

// listen opens a listener whose connections are probed like our own.
func listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: 5 * probeIdle, Interval: probeIdle, Count: probeCount,
	}}
	return config.Listen(ctx, "tcp", address)
}
