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

// countedConn counts the bytes handed to the connection and can be sealed.
type countingConn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	sealed  bool
}

// Write implements net.Conn. The count grows before the write, so bytes in
// flight are never missed.
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

// count returns the bytes written so far.
func (c *countingConn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal forbids further writes and returns the bytes written before it.
func (c *countingConn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// attempt watches which connections one request used.
type attempt struct {
	mu    sync.Mutex
	conns []usedConn
	ended bool
	// unseen is true when a connection was not one of ours.
	untracked bool
}

// mark is a connection and its count when the request got it.
type usedConn struct {
	conn          *countingConn
	writtenBefore int64
}

// watch returns a context that reports connections to the attempt.
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

// sent ends the attempt and reports whether a byte of the request may have
// left. It seals the connections, so that no byte leaves afterwards: without
// that, a write loop that runs late would make the answer untrue.
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

// connected reports whether the request ever got a connection.
func (a *attempt) connected() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.untracked || len(a.conns) > 0
}

// onceBody is a request body that cannot be rewound: it hides the reader's
// type, so that net/http sets no GetBody and can't send it a second time.
type nonRewindableBody struct{ r io.Reader }

// Read implements io.Reader.
func (b nonRewindableBody) Read(p []byte) (int, error) { return b.r.Read(p) }

// once returns a request whose body cannot be rewound, also when it is empty.
func newSingleUseRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, io.NopCloser(nonRewindableBody{bytes.NewReader(body)}))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.ContentLength = int64(len(body))
	return req, nil
}
