package platformside

import (
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

// unreadBlock is the size in bytes of the parts of a response that MaxUnread applies to.
const unreadBlock = 32 << 10

// writeUnlessUnread writes a response's body. It cuts the response off if a part of it
// can't be written within maxUnread; zero for no limit.
func writeUnlessUnread(w http.ResponseWriter, body string, maxUnread time.Duration) {
	controller := http.NewResponseController(w)
	for len(body) > 0 {
		n := min(len(body), unreadBlock)
		if maxUnread > 0 {
			_ = controller.SetWriteDeadline(time.Now().Add(maxUnread)) // fails only if the client has disconnected
		}
		if _, err := w.Write([]byte(body[:n])); err != nil {
			panic(http.ErrAbortHandler)
		}
		body = body[n:]
	}
	_ = controller.Flush() // the context tells whether the client has disconnected
}
