package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// disconnectingServer responds to the first request of each connection. If the
// second one is for /work, it reads the request and then closes the connection
// without a response.
type disconnectingServer struct {
	net.Listener
	mu       sync.Mutex
	executed int
}

func newDisconnectingServer(t *testing.T) *disconnectingServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	c := &disconnectingServer{Listener: l}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go c.serve(conn)
		}
	}()
	t.Cleanup(func() { _ = l.Close() })
	return c
}

func (c *disconnectingServer) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if req.URL.Path == "/work" {
			c.mu.Lock()
			c.executed++
			c.mu.Unlock()
			if n == 1 {
				return
			}
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

func (c *disconnectingServer) executions() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.executed
}

// TestReusedConnectionCutAfterTheRead closes a reused connection after the server
// has read the request: the request is already running, so resending it would
// run it twice.
func TestReusedConnectionCutAfterTheRead(t *testing.T) {
	call := func(t *testing.T, s *disconnectingServer, send func(path string) error) error {
		require.NoError(t, send("/warm"))
		return send("/work")
	}
	t.Run("net/http alone runs the request twice", func(t *testing.T) {
		s := newDisconnectingServer(t)
		client := &http.Client{Transport: &http.Transport{}}
		defer client.CloseIdleConnections()
		err := call(t, s, func(path string) error {
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.Addr().String()+path, bytes.NewReader([]byte("{}")))
			require.NoError(t, err)
			req.Header.Set("Idempotency-Key", "k")
			resp, err := client.Do(req)
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			return err
		})
		require.NoError(t, err)
		require.Equal(t, 2, s.executions())
	})
	for _, c := range []struct {
		name   string
		method string
		body   []byte
	}{
		{"a POST with a body", http.MethodPost, []byte("{}")},
		{"a POST without a body", http.MethodPost, nil},
		{"a GET that is not idempotent", http.MethodGet, nil},
	} {
		t.Run("Client runs it once, even on a reused connection: "+c.name, func(t *testing.T) {
			s := newDisconnectingServer(t)
			u := New(Config{}, nil)
			defer u.Close()
			err := call(t, s, func(path string) error {
				_, f := u.call(t.Context(), u.pooled, s.Addr().String(), CallRequest{
					RequestID: "r", Method: c.method, Path: path, Body: c.body, Header: http.Header{"Idempotency-Key": {"k"}},
				})
				if f == nil {
					return nil
				}
				return f
			})
			require.Error(t, err)
			require.True(t, FailureOf(err).Sent)
			require.Equal(t, 1, s.executions())
		})
	}
	t.Run("a call that is not idempotent gets a new connection and a response", func(t *testing.T) {
		s := newDisconnectingServer(t)
		u := New(Config{}, nil)
		defer u.Close()
		err := call(t, s, func(path string) error {
			_, err := u.Do(t.Context(), s.Addr().String(), CallRequest{RequestID: "r", Method: http.MethodPost, Path: path, Body: []byte("{}")})
			return err
		})
		require.NoError(t, err)
		require.Equal(t, 1, s.executions())
	})
}

// TestSealedConnectionSendsNothing checks that a request that was reported as not
// sent can't be sent by a late write.
func TestSealedConnectionSendsNothing(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	c := &countingConn{Conn: near}
	a := &connTracker{conns: []usedConn{{c, c.bytesWritten()}}}
	require.False(t, a.sealAndReportSent())
	_, err := c.Write([]byte("late"))
	require.ErrorIs(t, err, net.ErrClosed)
	req, err := newNonRewindableRequest(context.Background(), http.MethodPut, "http://127.0.0.1/", nil)
	require.NoError(t, err)
	require.Nil(t, req.GetBody)
	require.NotEqual(t, http.NoBody, req.Body)
}
