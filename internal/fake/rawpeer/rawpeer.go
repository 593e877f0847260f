// Package rawpeer is a stand-in for an HTTP server whose responses are raw bytes, valid
// or not.
package rawpeer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Start starts a server until the test ends and returns its address, IP:port. It calls
// respond with each request, whose body is still to be read, and then closes the
// connection.
func Start(t testing.TB, respond func(conn *net.TCPConn, req *http.Request)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn), respond)
		}
	}()
	return listener.Addr().String()
}

func serve(conn *net.TCPConn, respond func(conn *net.TCPConn, req *http.Request)) {
	defer func() { _ = conn.Close() }()
	if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
		respond(conn, req)
	}
}

// ResetDuringUpload responds with raw bytes, reads some bytes of the request's body and
// resets the connection.
func ResetDuringUpload(conn *net.TCPConn, req *http.Request, response string, read int) {
	if _, err := conn.Write([]byte(response)); err != nil {
		return
	}
	buf := make([]byte, 32<<10)
	for read > 0 {
		n, err := req.Body.Read(buf[:min(read, len(buf))])
		if err != nil {
			return
		}
		read -= n
	}
	_ = conn.SetLinger(0) // fails only if the connection is gone
}

// Respond reads the request to its end and responds with raw bytes. A connection that is
// closed before that would be reset.
func Respond(conn *net.TCPConn, req *http.Request, response string) {
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	_, _ = io.WriteString(conn, response) // the client may have closed the connection
}
