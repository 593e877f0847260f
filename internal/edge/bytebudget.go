package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/logs"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/vm"
)

const (
	bodyMemoryShare = vm.BodyMemoryShare
	// largeBodyBytes is the size from which on a body is large. Large ones together leave
	// a quarter of the room to the others.
	largeBodyBytes = 64 << 10
	largeBodyShare = vm.LargeBodyShare
	// bodyStep is the least by which the room for a body without a length grows.
	bodyStep = 16 << 10
	// bodyRetryAfter is about the time in which room becomes free.
	bodyRetryAfter = time.Second
)

// byteBudget is the room for bodies that are held at the same time. It is safe for
// concurrent use.
type byteBudget struct {
	limit int64 // zero for none

	mu          sync.Mutex
	used, large int64
	headers     int64 // part of used, for header sections
}

func newByteBudget(memoryMB int) *byteBudget {
	return &byteBudget{limit: int64(bodyMemoryShare * float64(memoryMB<<20))}
}

// grow changes the room of one body from one size to another. It returns false, and
// changes nothing, if there is no room; there is always some for a smaller size.
func (b *byteBudget) grow(from, to int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	used, large := b.used+to-from, b.large+largeBytes(to)-largeBytes(from)
	if to > from && b.limit > 0 && (used > b.limit || largeBytes(to) > 0 && float64(large) > largeBodyShare*float64(b.limit)) {
		return false
	}
	b.used, b.large = used, large
	return true
}

func largeBytes(n int64) int64 {
	if n < largeBodyBytes {
		return 0
	}
	return n
}

// inUse returns the bytes that are held.
func (b *byteBudget) inUse() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return float64(b.used)
}

// holdBytes changes the room that the request's body has. It returns false if there is
// none.
func (x *requestState) holdBytes(n int64) bool {
	if !x.proxy.bodies.grow(x.heldBytes, n) {
		return false
	}
	x.heldBytes = n
	return true
}

// readBody reads the body completely, so that the request can be retried and
// net/http can detect that the caller disconnects. A body without room is not read.
func (x *requestState) readBody(r *http.Request, maxBytes int64) *result.Error {
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	switch {
	case x.bodyRead && int64(len(x.req.Body)) <= maxBytes, r.ContentLength == 0:
		return nil
	case x.bodyRead, r.ContentLength > maxBytes:
		return result.New(result.BodyTooLarge, "the body is longer than %d bytes", maxBytes)
	}
	controller := http.NewResponseController(x.w)
	_ = controller.SetReadDeadline(x.req.Deadline) // without one, a slow body ends with its connection
	stop := context.AfterFunc(x.proxy.lastAnswers, func() { _ = controller.SetReadDeadline(time.Now()) })
	defer stop()
	body, err := x.readAll(http.MaxBytesReader(x.w, r.Body, maxBytes), r.ContentLength)
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{})
	} else {
		x.w.Header().Set("Connection", "close") // net/http would read the rest before it responds
	}
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return result.New(result.BodyTooLarge, "the body is longer than %d bytes", maxBytes)
	case errors.Is(err, errNoBodyRoom):
		x.elsewhere = true
		klog.InfoS("request: no room for the body", "request", x.req.ID, "bytes", r.ContentLength, "held", x.proxy.bodies.inUse())
		return result.New(result.NoBodyRoom, "this VM has no room for the body now").WithRetryAfter(bodyRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded) && x.proxy.lastAnswers.Err() != nil:
		x.elsewhere = true
		return stoppingError()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return result.New(result.BodyTimeout, "the body did not arrive before the deadline")
	case err != nil:
		return result.New(result.BadRequest, "the body could not be read: %v", logs.Err(err))
	}
	x.req.Body, x.bodyRead = body, true
	r.Trailer = nil // not passed on
	return nil
}

var errNoBodyRoom = errors.New("no room for the body")

// readAll reads a body of the given length, or to its end if the length is negative. It
// holds room for what it has allocated.
func (x *requestState) readAll(src io.Reader, length int64) ([]byte, error) {
	if length >= 0 {
		if !x.holdBytes(length) {
			return nil, errNoBodyRoom
		}
		body := make([]byte, length)
		_, err := io.ReadFull(src, body)
		return body, err
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			size := int64(2*cap(body)) + bodyStep
			if !x.holdBytes(size) {
				return nil, errNoBodyRoom
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := src.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
