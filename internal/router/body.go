package router

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

const (
	// maxDiscardBytes and discardTimeout limit how much of a rejected request's
	// body is still read, so that its sender receives the error response.
	maxDiscardBytes = 128 << 20
	discardTimeout  = 2 * time.Second
)

// readBody reads a body of at most limit bytes within the timeout.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, bodyTooLarge(limit)
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(timeout))
	defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	b, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, result.New(result.BodyTimeout, "the body did not arrive within %s", timeout)
	}
	if err != nil {
		return nil, result.New(result.BadRequest, "the body cannot be read: %v", err)
	}
	if int64(len(b)) > limit {
		return nil, bodyTooLarge(limit)
	}
	return b, nil
}

func bodyTooLarge(limit int64) error {
	return result.New(result.BodyTooLarge, "the body is larger than %d bytes", limit)
}

// discardBody sends the error response and then reads the rest of the body, up to
// a limit in bytes and time.
func discardBody(w http.ResponseWriter, r *http.Request) {
	rc := http.NewResponseController(w)
	_ = rc.Flush()
	_ = rc.SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.CopyN(io.Discard, r.Body, maxDiscardBytes)
}

// headerSize returns the approximate size of a request's header on the wire in
// bytes.
func headerSize(r *http.Request) int {
	n := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}
