package edge

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// socketLimits are the limits in effect on a connection.
type socketLimits struct {
	idle, interval, userTimeout time.Duration
	count                       int
}

func readLimits(t *testing.T, c net.Conn) socketLimits {
	t.Helper()
	for {
		outer, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		c = outer.NetConn()
	}
	raw, err := c.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	option := func(name int) (value int) {
		require.NoError(t, raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) }))
		require.NoError(t, err)
		return value
	}
	require.NoError(t, raw.Control(func(fd uintptr) {
		on, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE)
		assert.NoError(t, err)
		assert.Equal(t, 1, on, "keep-alive is off")
	}))
	return socketLimits{
		idle: time.Duration(option(unix.TCP_KEEPIDLE)) * time.Second, interval: time.Duration(option(unix.TCP_KEEPINTVL)) * time.Second,
		count: option(unix.TCP_KEEPCNT), userTimeout: time.Duration(option(unix.TCP_USER_TIMEOUT)) * time.Millisecond,
	}
}

// survivesQuiet follows Linux's keep-alive timer on a connection whose last byte came
// at 0 and whose peer is silent from begin to end.
func (l socketLimits) survivesQuiet(begin, end time.Duration) bool {
	lastReceived, unanswered := time.Duration(0), 0
	for now := l.idle; lastReceived < end; {
		quiet := now - lastReceived
		if l.userTimeout > 0 && quiet >= l.userTimeout && unanswered > 0 || l.userTimeout == 0 && unanswered >= l.count {
			return false
		}
		if now >= begin && now < end {
			unanswered++
			now += l.interval
			continue
		}
		lastReceived, unanswered = now, 0
		now += l.idle
	}
	return true
}

// survivesSend follows Linux's retransmission timer for bytes that are sent as the
// peer falls silent for some time.
func (l socketLimits) survivesSend(silence time.Duration) bool {
	const minRetransmitTimeout = 200 * time.Millisecond
	timeout := minRetransmitTimeout
	for now := timeout; ; now += timeout {
		if l.userTimeout > 0 && now >= l.userTimeout {
			return false
		}
		if now >= silence {
			return true
		}
		timeout *= 2
		if l.userTimeout > 0 {
			timeout = min(timeout, l.userTimeout-now)
		}
	}
}

func assertOutlastsSilences(t *testing.T, l socketLimits) {
	t.Helper()
	const step = 10 * time.Millisecond
	for silence := 500 * time.Millisecond; silence <= 1800*time.Millisecond; silence += 5 * step {
		for begin := time.Duration(0); begin <= l.idle+2*l.interval; begin += step {
			if !l.survivesQuiet(begin, begin+silence) {
				assert.Fail(t, "the connection is given up", "limits %+v, quiet for %s, silence %s", l, begin, silence)
				break
			}
		}
		assert.True(t, l.survivesSend(silence), "bytes sent as a silence of %s begins: limits %+v", silence, l)
	}
}

// upstreamConn returns the connection of a request to an upstream. It is open until the test
// ends.
func upstreamConn(t *testing.T, address string) net.Conn {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	conns := make(chan net.Conn, 1)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conns <- info.Conn }})
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address, nil)
	require.NoError(t, err)
	go func() {
		if resp, err := newUpstreamTransport(newUpstreamDialer().DialContext).RoundTrip(req); err == nil {
			_ = resp.Body.Close() // the peer does not respond
		}
	}()
	return <-conns
}

// Guards against a request that is lost with its connection because a sound upstream,
// or its caller, was silent for one to two seconds.
func TestSilentPeerLosesItsConnection(t *testing.T) {
	l, err := listen(context.Background(), "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	upstream := upstreamConn(t, l.Addr().String())
	otherVM, err := newForwardDialer().DialContext(context.Background(), "tcp", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = otherVM.Close() }()
	caller, err := l.Accept()
	require.NoError(t, err)
	defer func() { _ = caller.Close() }()
	for name, c := range map[string]net.Conn{"upstream": upstream, "other VM": otherVM, "caller": caller} {
		t.Run(name, func(t *testing.T) { assertOutlastsSilences(t, readLimits(t, c)) })
	}
}
