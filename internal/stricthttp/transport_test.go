package stricthttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/fake/rawpeer"
)

// Guards against further requests on a connection after a response that is not valid.
func TestInvalidResponseEndsItsConnection(t *testing.T) {
	const requests = 10
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	var conns atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 000 Status\r\nContent-Length: 0\r\n\r\n") // the client may be gone
				}
			}()
		}
	}()
	transport := NewTransport(&http.Transport{})
	defer transport.CloseIdleConnections()
	for range requests {
		req, err := http.NewRequest(http.MethodGet, "http://"+listener.Addr().String(), nil)
		require.NoError(t, err)
		_, err = transport.RoundTrip(req) //nolint:bodyclose // there is no response
		require.ErrorIs(t, err, ErrInvalid)
	}
	assert.EqualValues(t, requests, conns.Load())
}

// Guards against interim heads without end: net/http does not limit those that it shows.
func TestInterimHeadsAreLimited(t *testing.T) {
	const maxHeadBytes = 64 << 10
	for name, head := range map[string]string{
		"without fields": "HTTP/1.1 102 Processing\r\n\r\n",
		"with fields":    "HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat("x", 1000) + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			sent := make(chan int, 1)
			address := rawpeer.Start(t, func(conn *net.TCPConn, _ *http.Request) {
				n := 0
				for err := error(nil); err == nil && n < 100*maxHeadBytes; n += len(head) {
					_, err = io.WriteString(conn, head)
				}
				sent <- n
			})
			transport := NewTransport(&http.Transport{MaxResponseHeaderBytes: maxHeadBytes})
			req, err := http.NewRequest(http.MethodGet, "http://"+address, nil)
			require.NoError(t, err)
			_, err = transport.RoundTrip(req) //nolint:bodyclose // there is no response
			require.ErrorIs(t, err, errInterimHeadsTooLong)
			assert.Less(t, <-sent, 100*maxHeadBytes)
		})
	}
}
