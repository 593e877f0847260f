package edge_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/fake/platformside"
)

// rawReplica answers the n-th request, from 0 on, with raw bytes and closes the connection.
func (s *site) rawReplica(id, service string, answer func(n int32, requestID string) string) {
	s.t.Helper()
	var requests atomic.Int32
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, buf, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		_, _ = buf.WriteString(answer(requests.Add(1)-1, r.Header.Get("X-Attempt-Id")))
		_ = buf.Flush()
		_ = conn.Close()
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(s.t, err)
	go func() { _ = server.Serve(listener) }()
	s.t.Cleanup(func() { _ = server.Close() })
	s.putEntry(id, service, listener.Addr().String(), nil)
}

// Guards against an error, or its head, in the middle of a stream that had begun, and
// against a stream that looks complete after it.
func TestErrorAfterABrokenStreamIsNotPartOfIt(t *testing.T) {
	begun := func(id string) string {
		return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Signature: e1." + id + "\r\nX-Confidence: 100\r\nContent-Type: text/event-stream\r\n"
	}
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	failure := func(id string) string {
		return "HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: " + id + "\r\nX-Response-Signature: e1.bad\r\nContent-Length: 7\r\n\r\nfailure"
	}
	for name, answer := range map[string]func(n int32, id string) string{
		"signed failure": func(_ int32, id string) string { return failure(id) },
		"rejection": func(int32, string) string {
			return "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull"
		},
		"unsigned failure": func(int32, string) string { return "HTTP/1.1 502 Bad\r\nContent-Length: 3\r\n\r\nbad" },
		"head in a chunk": func(_ int32, id string) string {
			return begun(id) + "Transfer-Encoding: chunked\r\n\r\n" + chunk(failure(id)) + "0\r\n\r\n"
		},
		"head in the stream": func(_ int32, id string) string { return begun(id) + "Connection: close\r\n\r\n" + failure(id) },
		"failure as text":    func(_ int32, id string) string { return begun(id) + "Content-Length: 7\r\n\r\nfailure" },
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			s.configure(routes(), key)
			s.rawReplica("e1", engine, func(n int32, id string) string {
				if n > 0 {
					return answer(n, id)
				}
				return begun(id) + "Transfer-Encoding: chunked\r\n\r\n" + chunk(platformside.Event(id, "small", 1)) + chunk("id: 2\nda")
			})
			s.startVM("vm-1")
			g := s.do(chat("r1"))
			require.Equal(t, 200, g.status)
			assert.Equal(t, platformside.Event("r1", "small", 1), g.body)
			assert.Error(t, g.err, "the stream looks complete")
		})
	}
}

// Guards against a head that follows a whole stream whose connection marks its end.
func TestExtraAnswerAfterAStreamIsNotPartOfIt(t *testing.T) {
	s := newSite(t)
	s.configure(routes(), key)
	s.rawReplica("e1", engine, func(_ int32, id string) string {
		return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Signature: e1." + id + "\r\nX-Confidence: 100\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n" +
			platformside.Event(id, "small", 1) + "HTTP/1.1 200 OK\r\nX-Attempt-Id: stray\r\nContent-Length: 5\r\n\r\nstray"
	})
	s.startVM("vm-1")
	g := s.do(chat("r1"))
	assert.False(t, strings.Contains(g.body, "HTTP/1.1"), "%q", g.body)
}
