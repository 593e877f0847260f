package platformside

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// MaxFilling is the largest size of a response's body or event, in bytes. The text is
// shared, so that a test can measure the memory of other parts of its process.
const MaxFilling = 4<<20 - 1<<10

var fillingText = strings.Repeat("x", MaxFilling)

func filling(n int) string { return fillingText[:min(n, MaxFilling)] }

// padEvent adds a line of data to an event that is shorter than size bytes.
func padEvent(event string, size int) string {
	if len(event) >= size {
		return event
	}
	return strings.TrimSuffix(event, "\n") + "data: " + filling(size-len(event)) + "\n\n"
}

// unreadBlock is the size in bytes of the parts of a response that MaxUnread applies to, and
// of the kernel's buffer for it.
const unreadBlock = 32 << 10

// writeUnlessUnread writes a response. It cuts the response off if a part of its body can't
// be written within maxUnread.
func writeUnlessUnread(w http.ResponseWriter, status int, body string, maxUnread time.Duration) {
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }() // the response is complete, or cut off
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(unreadBlock) // fails only if the client has disconnected
	}
	writeRawHead(buf.Writer, status, w.Header())
	_, _ = fmt.Fprintf(buf, "Content-Length: %d\r\nConnection: close\r\n\r\n", len(body))
	_ = buf.Flush() // the client may have disconnected
	for len(body) > 0 {
		n := min(len(body), unreadBlock)
		_ = conn.SetWriteDeadline(time.Now().Add(maxUnread)) // fails only if the client has disconnected
		if _, err := io.WriteString(conn, body[:n]); err != nil {
			return
		}
		body = body[n:]
	}
}
