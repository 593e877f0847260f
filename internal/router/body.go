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
	// discardBytes and discardTime bound what is read of a body that was
	// refused, so that its sender gets to read the refusal.
	maxDiscardBytes = 128 << 20
	discardTimeout  = 2 * time.Second
)

// readBody reads a whole body of at most limit bytes within the given time.
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
		return nil, result.New(result.BadRequest, "the body can't be read: %v", err)
	}
	if int64(len(b)) > limit {
		return nil, bodyTooLarge(limit)
	}
	return b, nil
}

func bodyTooLarge(limit int64) error {
	return result.New(result.BodyTooLarge, "the body is larger than %d bytes", limit)
}

// discardBody reads on after a refusal, bounded in bytes and time.
func discardBody(w http.ResponseWriter, r *http.Request) {
	rc := http.NewResponseController(w)
	_ = rc.Flush()
	_ = rc.SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.CopyN(io.Discard, r.Body, maxDiscardBytes)
}

// headerBytes sums a request's header as it crossed the wire, roughly.
func headerSize(r *http.Request) int {
	n := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}
