package stricthttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
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
