package platformside

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
)

// streamWriter writes the body of a stream: in chunks, or up to the end of the
// connection.
type streamWriter struct {
	w io.Writer
	// flush sends what was written.
	flush func() error
	// conn is set only if the end of the connection ends the body.
	conn net.Conn
}

// newStreamWriter sends the head of the response.
func newStreamWriter(w http.ResponseWriter, unframed bool) *streamWriter {
	if !unframed {
		w.WriteHeader(http.StatusOK)
		return &streamWriter{w: w, flush: http.NewResponseController(w).Flush}
	}
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	writeRawHead(buf.Writer, http.StatusOK, w.Header())
	_, _ = buf.WriteString("Connection: close\r\n\r\n")
	_ = buf.Flush() // the client may have disconnected
	return &streamWriter{w: buf, flush: buf.Flush, conn: conn}
}

func (s *streamWriter) write(text string) error {
	if _, err := io.WriteString(s.w, text); err != nil {
		return err
	}
	return s.flush()
}

// truncate ends the body early. Chunks then lack their end; without chunks the end
// looks regular.
func (s *streamWriter) truncate(text string) {
	_ = s.write(text) // the client may have disconnected
	if s.conn == nil {
		panic(http.ErrAbortHandler)
	}
}

func (s *streamWriter) close() {
	if s.conn != nil {
		_ = s.conn.Close() // marks the end of the body
	}
}

// writeRawHead writes a status line and headers to a hijacked connection, without
// the empty line that ends them. The connection reports errors on Flush.
func writeRawHead(w *bufio.Writer, status int, h http.Header) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %d OK\r\n", status)
	for k, v := range h {
		_, _ = fmt.Fprintf(w, "%s: %s\r\n", k, v[0])
	}
}
