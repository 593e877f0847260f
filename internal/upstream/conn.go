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

// attempt tracks the connections that one request used.
type attempt struct {
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
// attempt.
func (a *attempt) traceConns(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.onGotConn})
}

func (a *attempt) onGotConn(info httptrace.GotConnInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c, ok := info.Conn.(*countingConn)
	if !ok {
		a.untracked = true
		return
	}
	if a.ended {
		c.seal()
		return
	}
	a.conns = append(a.conns, usedConn{c, c.bytesWritten()})
}

// sealAndReportSent ends the attempt and reports whether any byte of the request
// may have been sent. It seals the connections, so that net/http's write loop
// can't send a byte after the result was returned.
func (a *attempt) sealAndReportSent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	sent := a.untracked
	for _, m := range a.conns {
		if m.conn.seal() > m.writtenBefore {
			sent = true
		}
	}
	return sent
}

// connected reports whether the request got a connection.
func (a *attempt) connected() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.untracked || len(a.conns) > 0
}

// nonRewindableBody is a request body that cannot be rewound: it hides the
// reader's type, so that net/http does not set GetBody and can't resend it.
type nonRewindableBody struct{ r io.Reader }

// Read implements io.Reader.
func (b nonRewindableBody) Read(p []byte) (int, error) { return b.r.Read(p) }

// newSingleUseRequest returns a request that net/http can't resend, because its
// body cannot be rewound, even if it is empty.
func newSingleUseRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, io.NopCloser(nonRewindableBody{bytes.NewReader(body)}))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.ContentLength = int64(len(body))
	return req, nil
}
