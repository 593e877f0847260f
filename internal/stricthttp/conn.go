package stricthttp

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// checkEnds returns a function that opens connections whose end is regular only if the
// peer has ended them.
func checkEnds(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &endCheckedConn{Conn: c, writing: make(chan struct{}, 1)}, nil
	}
}

// endCheckedConn is a connection that is read and written at the same time. The operating
// system reports that a connection was reset, or timed out, only once: to a read or to a
// write. After a write got the error, a read returns io.EOF, as if the peer had ended the
// connection in the regular way, and net.ErrClosed once net/http has given the connection
// up. endCheckedConn returns the error of the write instead.
type endCheckedConn struct {
	net.Conn
	// writing is full during a write. It is no mutex, because fake time (testing/synctest)
	// stands still while a goroutine waits for one.
	writing chan struct{}
	// broken is the error of a write to which the connection was lost. It is guarded by
	// writing.
	broken error
}

// Write implements net.Conn.
func (c *endCheckedConn) Write(b []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n, err := c.Conn.Write(b)
	if c.broken == nil && isConnLost(err) {
		c.broken = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *endCheckedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		return n, err
	}
	// A write that is in progress may be the one that got the error. The deadline ends it
	// if it blocks instead; a peer that has ended its side has sent all of its response.
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // fails only if the connection is closed
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	if c.broken != nil {
		return n, c.broken
	}
	return n, err
}

// NetConn returns the connection below.
func (c *endCheckedConn) NetConn() net.Conn { return c.Conn }

// isConnLost reports whether the error of a write says that the connection was lost before
// the peer had ended its side. Linux returns EPIPE if the peer had ended its side when it
// reset the connection.
func isConnLost(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded)
}
