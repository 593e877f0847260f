package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// countingConn counts the bytes written to a connection. Once sealed it rejects
// further writes.
type countingConn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	sealed  bool
}

// Write implements net.Conn. It counts the bytes before it writes them, so that
// bytes of a write in progress are included.
func (c *countingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.written += int64(len(b))
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// bytesWritten returns the number of bytes written so far.
func (c *countingConn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal rejects all further writes and returns the number of bytes written so
// far.
func (c *countingConn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// connTracker tracks the connections that one request used.
type connTracker struct {
	mu    sync.Mutex
	conns []usedConn
	ended bool
	// untracked is true if a connection was not a countingConn.
	untracked bool
}

// usedConn is a connection and the number of bytes written to it before the
// request got it.
type usedConn struct {
	conn          *countingConn
	writtenBefore int64
}

// traceConns returns a context that reports the request's connections to the
// tracker.
func (t *connTracker) traceConns(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.onGotConn})
}

func (t *connTracker) onGotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	conn := info.Conn
	if checked, ok := conn.(interface{ NetConn() net.Conn }); ok { // of package stricthttp
		conn = checked.NetConn()
	}
	c, ok := conn.(*countingConn)
	if !ok {
		t.untracked = true
		return
	}
	if t.ended {
		c.seal()
		return
	}
	t.conns = append(t.conns, usedConn{c, c.bytesWritten()})
}

// sealAndReportSent ends the tracking and reports whether any byte of the request
// may have been sent. It seals the connections, so that net/http's write loop
// can't send a byte after the result was returned.
func (t *connTracker) sealAndReportSent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
	sent := t.untracked
	for _, m := range t.conns {
		if m.conn.seal() > m.writtenBefore {
			sent = true
		}
	}
	return sent
}

// connected reports whether the request got a connection.
func (t *connTracker) connected() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.untracked || len(t.conns) > 0
}

// nonRewindableBody is a request body that cannot be rewound: it hides the
// reader's type, so that net/http does not set GetBody and can't resend it.
type nonRewindableBody struct{ r io.Reader }

// Read implements io.Reader.
func (b nonRewindableBody) Read(p []byte) (int, error) { return b.r.Read(p) }

// newNonRewindableRequest returns a request that net/http can't resend, because
// its body cannot be rewound, even if it is empty.
func newNonRewindableRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, io.NopCloser(nonRewindableBody{bytes.NewReader(body)}))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.ContentLength = int64(len(body))
	return req, nil
}
