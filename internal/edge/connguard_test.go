package edge

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// guardedServer starts a server behind a guard on a loopback address.
func guardedServer(t *testing.T, maxConns, memoryMB int, h http.HandlerFunc) (*connGuard, string) {
	t.Helper()
	g := newConnGuard("test", maxConns, func() int { return 16384 }, newByteBudget(memoryMB), NewMetrics())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(g.protect(server, l)) }() // ends with Close
	t.Cleanup(func() { _ = server.Close() })
	return g, l.Addr().String()
}

// sendRaw sends bytes on a new connection and returns it with a reader.
func sendRaw(t *testing.T, address, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = c.Write([]byte(text))
	require.NoError(t, err)
	return c, bufio.NewReader(c)
}

const getBegin = "GET / HTTP/1.1\r\nHost: a\r\n"

// Guards against refusals that are not announced as the platform documents them, that
// come after the handler ran, or that keep their room.
func TestGuardRefusals(t *testing.T) {
	release := make(chan struct{})
	ran := make(chan string, 100)
	g, address := guardedServer(t, 0, 4, func(_ http.ResponseWriter, r *http.Request) {
		ran <- r.URL.Path
		if r.URL.Path == "/" {
			<-release
		}
	})
	_, r := sendRaw(t, address, getBegin+strings.Repeat("abc: 1\r\n", 2200)) // over the limit, not complete
	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusRequestHeaderFieldsTooLarge, resp.StatusCode)
	require.Eventually(t, func() bool { return g.budget.inUse() == 0 }, 5*time.Second, 10*time.Millisecond, "held until the connection is closed")
	lines := strings.Repeat("ab:\r\n", 2000) // 400 KB of the 512 KB for sections
	_, _ = sendRaw(t, address, getBegin+lines+"\r\n")
	assert.Equal(t, "/", <-ran)
	_, r = sendRaw(t, address, getBegin+lines+"\r\n")
	resp, err = http.ReadResponse(r, nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	assert.Equal(t, "1.00", resp.Header.Get("Retry-After"))
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	assert.Contains(t, string(body), `"run":"not_run"`)
	_, r = sendRaw(t, address, "GET /ordinary HTTP/1.1\r\nHost: a\r\n\r\n")
	resp, err = http.ReadResponse(r, nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, resp.StatusCode, "ordinary requests need no room")
	assert.Equal(t, "/ordinary", <-ran)
	close(release)
	assert.Eventually(t, func() bool { return g.budget.inUse() == 0 }, 5*time.Second, 10*time.Millisecond)
}

// Guards against silent connections that keep out others, and against the end of
// connections that have a request.
func TestGuardClosesSilentConnections(t *testing.T) {
	release := make(chan struct{})
	ran := make(chan struct{}, 100)
	g, address := guardedServer(t, 3, 64, func(http.ResponseWriter, *http.Request) { ran <- struct{}{}; <-release })
	_, busy := sendRaw(t, address, getBegin+"\r\n")
	<-ran
	for range 10 {
		sendRaw(t, address, "")
	}
	_, late := sendRaw(t, address, getBegin+"\r\n")
	<-ran
	assert.LessOrEqual(t, g.open(), 3.0)
	close(release)
	for _, r := range []*bufio.Reader{busy, late} {
		resp, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, resp.StatusCode)
	}
}

// Guards against pipelined requests that are refused or lost, in pieces of all sizes, and
// against room that they keep.
func TestGuardPassesPipelinedRequests(t *testing.T) {
	var mu sync.Mutex
	var seen []string
	g, address := guardedServer(t, 0, 64, func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body) // an error shows in what was seen
		mu.Lock()
		defer mu.Unlock()
		seen = append(seen, fmt.Sprint(r.URL.Path, len(r.Header), len(body)))
	})
	c, r := sendRaw(t, address, "")
	var text strings.Builder
	var want []string
	for i := range 30 {
		size := i * 3000
		head := fmt.Sprintf("POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n%s\r\n", i, size, strings.Repeat("ab:\r\n", 40*i))
		body := strings.Repeat("x\n", size/2)
		if i%3 == 0 {
			head = strings.Replace(head, fmt.Sprintf("Content-Length: %d", size), "Transfer-Encoding: chunked", 1)
			body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, body)
			if size == 0 {
				body = "0\r\n\r\n"
			}
		}
		text.WriteString(head + body)
		headers := min(i, 1) + 1
		if i%3 == 0 {
			headers-- // net/http removes Transfer-Encoding
		}
		want = append(want, fmt.Sprint("/"+fmt.Sprint(i), headers, size))
	}
	go func() {
		for rest := []byte(text.String()); len(rest) > 0; {
			n := min(len(rest), 1+len(rest)%7001)
			_, _ = c.Write(rest[:n]) // an error shows as a missing response
			rest = rest[n:]
		}
	}()
	for i := range want {
		resp, err := http.ReadResponse(r, nil)
		require.NoError(t, err, i)
		assert.Equal(t, http.StatusOK, resp.StatusCode, i)
		_, _ = io.Copy(io.Discard, resp.Body) // empty
	}
	_ = c.Close()
	assert.Equal(t, want, seen)
	assert.Eventually(t, func() bool { return g.budget.inUse() == 0 && g.open() == 0 }, 5*time.Second, 10*time.Millisecond)
}

// memoryConn is a connection that delivers bytes in pieces.
type memoryConn struct {
	net.Conn
	mu    sync.Mutex
	rest  []byte
	piece int
	once  sync.Once
	done  chan struct{}
}

func (c *memoryConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := copy(p, c.rest[:min(len(c.rest), c.piece)])
	c.rest = c.rest[n:]
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

func (c *memoryConn) Write(p []byte) (int, error)      { return len(p), nil }
func (c *memoryConn) Close() error                     { c.once.Do(func() { close(c.done) }); return nil }
func (c *memoryConn) SetDeadline(time.Time) error      { return nil }
func (c *memoryConn) SetReadDeadline(time.Time) error  { return nil }
func (c *memoryConn) SetWriteDeadline(time.Time) error { return nil }
func (c *memoryConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *memoryConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }

// connQueue is a listener of connections in memory.
type connQueue chan net.Conn

func (q connQueue) Accept() (net.Conn, error) {
	if c, ok := <-q; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}
func (q connQueue) Close() error   { return nil }
func (q connQueue) Addr() net.Addr { return &net.TCPAddr{} }

// FuzzRequestReading guards against bytes that make the guard panic, keep room or
// connections, or change what the handler gets: the requests that it sees are the first
// of those that a server without a guard sees.
func FuzzRequestReading(f *testing.F) {
	for _, line := range headerShapes {
		f.Add([]byte(shapedRequest(line)), uint16(1000))
	}
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1;a=b\r\nx\r\n0\r\nT: 1\r\n\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n"), uint16(3))
	f.Add([]byte("POST / HTTP/1.1\nHost: a\nContent-Length: 3\n\n\n\n\nGET /2 HTTP/1.0\n A: b\n\n\n"), uint16(1))
	f.Add(bytes.Repeat([]byte("GET / HTTP/1.1\r\nHost: a\r\nab:\r\n c\r\n\r\n"), 300), uint16(4096))
	var mu sync.Mutex
	seen := make(map[string][]string)
	record := func(server string) http.HandlerFunc {
		return func(_ http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			mu.Lock()
			defer mu.Unlock()
			seen[server] = append(seen[server], fmt.Sprintf("%s %s %v %q %v", r.Method, r.RequestURI, r.Header, body, err))
		}
	}
	g := newConnGuard("fuzz", 8, func() int { return 4096 }, newByteBudget(2), NewMetrics())
	guarded, plain := make(connQueue), make(connQueue)
	for l, name := range map[net.Listener]string{guarded: "guarded", plain: "plain"} {
		server := &http.Server{Handler: record(name)}
		if name == "guarded" {
			l = g.protect(server, l)
		}
		go func() { _ = server.Serve(l) }() // ends with the process
	}
	f.Fuzz(func(t *testing.T, data []byte, piece uint16) {
		for _, q := range []connQueue{plain, guarded} {
			c := &memoryConn{rest: data, piece: 1 + int(piece), done: make(chan struct{})}
			q <- c
			<-c.done
		}
		if held, open := g.budget.inUse(), g.open(); held != 0 || open != 0 {
			t.Errorf("%v bytes and %v connections are kept", held, open)
		}
		mu.Lock()
		defer mu.Unlock()
		for i, got := range seen["guarded"] {
			if i >= len(seen["plain"]) || seen["plain"][i] != got {
				t.Errorf("request %d differs: %q", i, got)
			}
		}
		clear(seen)
	})
}
