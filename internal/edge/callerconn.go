package edge

import (
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

// errCallerStalled is the error of a write to a caller that has taken nothing for the time
// of its patience. Its connection is closed.
var errCallerStalled = errors.New("the caller takes nothing of its response")

// callerConn is the connection of a caller, or of another VM that forwards requests. A
// write that blocks because the peer takes nothing ends after the peer's patience.
// Write is not safe for concurrent use; net/http writes from one goroutine at a time.
type callerConn struct {
	net.Conn
	tcp *net.TCPConn
	// requests is the number of requests that the connection has carried.
	requests atomic.Int64
	// patience is that of the current request, in nanoseconds.
	patience atomic.Int64
	// armedUntil is the write deadline of the connection. It is set ahead, so that it is
	// not set for each write.
	armedUntil time.Time
	stalled    prometheus.Counter
}

// newCallerConn returns a connection with the patience of a route without targets.
func newCallerConn(conn net.Conn, stalled prometheus.Counter) *callerConn {
	tcp, _ := conn.(*net.TCPConn)
	c := &callerConn{Conn: conn, tcp: tcp, stalled: stalled}
	c.setPatience(callerPatience(0, 0))
	return c
}

// setPatience sets the patience of the writes that follow. It does nothing if c is nil.
func (c *callerConn) setPatience(d time.Duration) {
	if c != nil {
		c.patience.Store(int64(d))
	}
}

// Write implements net.Conn. It returns errCallerStalled if the peer takes nothing.
func (c *callerConn) Write(b []byte) (int, error) {
	patience := time.Duration(c.patience.Load())
	interval := takeCheckInterval(patience)
	now := time.Now()
	if c.armedUntil.Sub(now) < interval || c.armedUntil.Sub(now) > 2*interval {
		c.arm(now.Add(2 * interval))
	}
	written, err := c.Conn.Write(b)
	var watch takeWatch
	for errors.Is(err, os.ErrDeadlineExceeded) {
		now = time.Now()
		if watch.stalled(now, c.taken(written), patience) {
			c.giveUp(len(b)-written, patience)
			return written, errCallerStalled
		}
		c.arm(now.Add(interval))
		var n int
		n, err = c.Conn.Write(b[written:])
		written += n
	}
	return written, err
}

func (c *callerConn) arm(deadline time.Time) {
	c.armedUntil = deadline
	_ = c.SetWriteDeadline(deadline) // fails only if the connection is closed
}

// taken returns the number of bytes that the peer has acknowledged since the connection
// began, or else written. A write alone does not show progress: the kernel lets it go on
// only once a third of its buffer is free.
func (c *callerConn) taken(written int) uint64 {
	taken := uint64(max(written, 0)) //nolint:gosec // never negative
	if c.tcp == nil {
		return taken
	}
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return taken
	}
	_ = raw.Control(func(fd uintptr) { // fails only if the connection is closed
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			taken = info.Bytes_acked
		}
	})
	return taken
}

// giveUp resets the connection: what the kernel still holds for the peer is dropped, and
// the response is visibly truncated.
func (c *callerConn) giveUp(unwritten int, patience time.Duration) {
	c.stalled.Inc()
	klog.InfoS("caller: it takes nothing of its response; the connection is closed", "peer", c.RemoteAddr().String(), "patience", patience.Milliseconds(), "unwritten", unwritten)
	_ = c.SetLinger(0) // fails only if the connection is gone
	_ = c.Close()      // the peer is given up
}

// SetLinger is that of net.TCPConn.
func (c *callerConn) SetLinger(seconds int) error {
	if c.tcp == nil {
		return nil
	}
	return c.tcp.SetLinger(seconds)
}

// CloseWrite lets net/http close the connection in two steps, so that a peer that still
// sends gets the response.
func (c *callerConn) CloseWrite() error {
	if c.tcp == nil {
		return nil
	}
	return c.tcp.CloseWrite()
}

// callerListener accepts callerConns.
type callerListener struct {
	net.Listener
	stalled prometheus.Counter
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newCallerConn(conn, l.stalled), nil
}

// callerConnKey is the context key of a request's callerConn.
type callerConnKey struct{}

// withCallerConn adds the connection to the context of its requests. It is meant for
// http.Server.ConnContext.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	c, ok := conn.(*callerConn)
	if !ok {
		return ctx
	}
	return context.WithValue(ctx, callerConnKey{}, c)
}

// callerConnOf returns the connection of a request; nil if it is unknown.
func callerConnOf(ctx context.Context) *callerConn {
	c, _ := ctx.Value(callerConnKey{}).(*callerConn)
	return c
}

// countRequest counts a request and returns how many the connection has carried, with this
// one; zero if c is nil.
func (c *callerConn) countRequest() int64 {
	if c == nil {
		return 0
	}
	return c.requests.Add(1)
}
