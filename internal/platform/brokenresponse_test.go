package platform_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/cranberrypier/cranberrypier/internal/fake/rawpeer"
	"github.com/cranberrypier/cranberrypier/internal/platform"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// Guards against a write that counts as done because the service reset the connection
// while the value was written to it.
func TestResponseResetDuringAWriteLooksWhole(t *testing.T) {
	const writes = 1000
	address := rawpeer.Start(t, func(conn *net.TCPConn, req *http.Request) {
		rawpeer.ResetDuringUpload(conn, req, "HTTP/1.1 200 OK\r\nETag: \"7\"\r\n\r\n", 300<<10)
	})
	client := platform.NewClient(platform.Config{Address: address, VM: "vm-1", Zone: "z1"}, nil)
	t.Cleanup(client.Close)
	for range writes {
		_, err := client.Create(t.Context(), platform.KindBill, "b", make([]byte, 1<<20))
		requireCode(t, result.PlatformWriteUnknown, err)
	}
}

// Guards against a response that is not valid HTTP and counts as one of the service.
func TestInvalidResponseIsNoAnswer(t *testing.T) {
	for name, response := range map[string]string{
		"status 000": "HTTP/1.1 000 Status\r\nETag: \"7\"\r\nContent-Length: 2\r\n\r\n{}",
		"status 101": "HTTP/1.1 101 Switching Protocols\r\nETag: \"7\"\r\n\r\n",
		"head":       "HTTP/1.1 200 OK\r\nETag: \"7\"\r\nX Name: 1\r\nContent-Length: 2\r\n\r\n{}",
		"length":     "HTTP/1.1 200 OK\r\nETag: \"7\"\r\nContent-Length : 1\r\n\r\n{}",
		"interim":    "HTTP/1.1 103 Early Hints\r\nX Name: 1\r\n\r\nHTTP/1.1 200 OK\r\nETag: \"7\"\r\nContent-Length: 2\r\n\r\n{}",
		"trailer":    "HTTP/1.1 200 OK\r\nETag: \"7\"\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX Name: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address := rawpeer.Start(t, func(conn *net.TCPConn, req *http.Request) { rawpeer.Respond(conn, req, response) })
			client := platform.NewClient(platform.Config{Address: address, VM: "vm-1", Zone: "z1"}, nil)
			t.Cleanup(client.Close)
			_, err := client.Create(t.Context(), platform.KindBill, "b", []byte("v"))
			requireCode(t, result.PlatformWriteUnknown, err)
			_, err = client.List(t.Context(), platform.KindBill, "")
			requireCode(t, result.PlatformUnavailable, err)
		})
	}
}
