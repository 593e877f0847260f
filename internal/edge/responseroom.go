package edge

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/exchange"
	"github.com/cranberrypier/cranberrypier/internal/logs"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

const (
	// responseMemoryShare is the share of the VM's memory for responses that are buffered,
	// beside bodyMemoryShare: neither takes the other's.
	responseMemoryShare = 0.125
	// firstResponseBytes and responseStep are the room for a response without a length,
	// and the least by which it grows.
	firstResponseBytes = 4 << 10
	responseStep       = 16 << 10
	// passBlockBytes is the size of the parts in which a response is passed through. It is
	// all that is held of one, and is not counted.
	passBlockBytes = 8 << 10
	// maxLateDelivery limits how long after the deadline a response is passed through to a
	// caller that reads slowly, because its upstream keeps a slot for it.
	maxLateDelivery = defaultCallerTimeout
)

// newResponseBudget returns the room for responses that are buffered at the same time.
func newResponseBudget(memoryMB int) *byteBudget {
	return &byteBudget{limit: int64(responseMemoryShare * float64(memoryMB<<20))}
}

// response is a response of an upstream.
type response struct {
	head *exchange.Head
	body []byte
	// partial is true if there is no room for the rest of the body, which is still to be
	// read from the attempt.
	partial bool
}

// holdResponse changes the room that the request's responses have together. It returns
// false if there is none; there is always some for a smaller size.
func (x *requestState) holdResponse(n int64) bool {
	if !x.proxy.responses.grow(x.responseBytes, n) {
		return false
	}
	x.responseBytes = n
	return true
}

// keepFallback stores an error response in place of the one before.
func (x *requestState) keepFallback(resp *response) {
	if x.fallback != nil {
		x.holdResponse(x.responseBytes - int64(cap(x.fallback.body)))
	}
	x.fallback = resp
}

// readResponse reads a response that is not a stream, as far as there is room.
func (a *attempt) readResponse() (*response, error) {
	x, resp := a.state, &response{head: a.head}
	before := x.responseBytes
	switch {
	case a.length > maxResponseBytes:
		a.err = errResponseTooLong
	case a.length >= 0:
		a.readSized(resp)
	default:
		a.readUnsized(resp)
	}
	if a.err != nil {
		x.holdResponse(before)
		return nil, a.err
	}
	a.bodyRead = !resp.partial
	return resp, nil
}

// readSized reads a response of a known length.
func (a *attempt) readSized(resp *response) {
	x := a.state
	if resp.partial = !x.holdResponse(x.responseBytes + a.length); resp.partial {
		return
	}
	resp.body = make([]byte, a.length)
	if _, err := io.ReadFull(a.body, resp.body); err != nil {
		a.recordTruncation(err)
	}
}

// readUnsized reads a response to its end.
func (a *attempt) readUnsized(resp *response) {
	x := a.state
	before := x.responseBytes
	for size := firstResponseBytes; ; size = min(2*size+responseStep, maxResponseBytes+1) {
		if resp.partial = !x.holdResponse(before + int64(size)); resp.partial {
			return
		}
		resp.body = append(make([]byte, 0, size), resp.body...)
		for len(resp.body) < size {
			n, err := a.body.Read(resp.body[len(resp.body):size])
			resp.body = resp.body[:len(resp.body)+n]
			if errors.Is(err, io.EOF) && len(resp.body) <= maxResponseBytes {
				return
			}
			if err != nil && !errors.Is(err, io.EOF) {
				a.recordTruncation(err)
				return
			}
		}
		if len(resp.body) > maxResponseBytes {
			a.err = errResponseTooLong
			return
		}
	}
}

// passThrough forwards a partial response: what was read of it, and the rest as it
// arrives. The request has run, so that refusing it is no choice, and once the head is sent
// it can't be retried. A response that breaks off is visibly truncated.
func (x *requestState) passThrough(a *attempt, resp *response) {
	x.proxy.metrics.unbuffered.Inc()
	klog.InfoS("request: no room for the response; it is passed through as it arrives", "request", x.req.ID, "bytes", a.length, "read", len(resp.body), "held", int64(x.proxy.responses.inUse()))
	x.outlastVM() // only the rest of the response is missing
	h := x.w.Header()
	copyHeader(h, a.head.Header)
	if a.length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.length, 10))
	}
	x.firstByte = time.Since(x.req.ReceivedAt)
	x.status, x.outcome = a.head.Status, "answered"
	x.w.WriteHeader(a.head.Status)
	undelivered := x.passRest(a, resp.body)
	if undelivered != nil {
		x.recordUndelivered(undelivered)
		a.recordStalled(undelivered)
	}
	a.release(a.outcome())
	if undelivered == nil && !a.bodyRead {
		klog.InfoS("request: response passed through aborted before its end", "request", x.req.ID, "code", int(result.AnswerTruncated), "err", logs.Err(a.err))
		outcome := result.AnswerTruncated.Info().Name
		if x.callerGone() {
			outcome = "caller_gone"
		}
		x.abortResponse(outcome)
	}
}

// passRest writes the part of a response that was read, and the rest as it arrives. It
// returns the error of writing to the caller. The deadline limits how long the upstream
// makes the caller wait; time in which the caller reads does not count.
func (x *requestState) passRest(a *attempt, read []byte) error {
	controller := http.NewResponseController(x.w)
	patience, latest := time.Until(x.req.Deadline), x.req.Deadline.Add(maxLateDelivery)
	block := make([]byte, passBlockBytes)
	for total := len(read); ; {
		x.deadline.Stop()
		begin := time.Now()
		_, err := x.w.Write(read)
		if err == nil {
			err = controller.Flush()
		}
		writtenAt := time.Now()
		a.unread += writtenAt.Sub(begin)
		if err != nil || a.bodyRead || a.err != nil {
			return err
		}
		x.deadline.Reset(min(patience, latest.Sub(writtenAt)))
		n, err := a.body.Read(block)
		patience -= time.Since(writtenAt)
		read, total = block[:n], total+n
		switch {
		case total > maxResponseBytes:
			a.err = errResponseTooLong
		case errors.Is(err, io.EOF):
			a.bodyRead = true
		case err != nil:
			a.recordTruncation(err)
		}
	}
}

// abortResponse closes the caller's connection, so that the truncated response does not
// look complete.
func (x *requestState) abortResponse(outcome string) {
	x.outcome = outcome
	if x.closeDelimited {
		x.resetConnection()
	}
	x.finishRequest() // the panic skips the call in serve
	panic(http.ErrAbortHandler)
}

// recordUndelivered records that the response could not be written to the caller.
func (x *requestState) recordUndelivered(err error) {
	x.outcome = "caller_gone"
	if errors.Is(err, errCallerStalled) {
		x.outcome = "caller_stalled"
	}
	klog.InfoS("request: response not delivered", "request", x.req.ID, "outcome", x.outcome, "err", logs.Err(err))
}

// Limits of the time for which a caller leaves an upstream's response unread, because a
// write to the caller blocks.
const (
	// maxPacedUnread is the time up to which the pace of a stream is that of its upstream.
	// The pace is compared between versions, and the shortest target gaps are longer.
	maxPacedUnread = 50 * time.Millisecond
	// minCutUnread is the time from which on an upstream may have cut off its response for
	// it: upstreams do so after some seconds. It is a sum, because the kernel takes a little
	// of a response now and then although the caller reads nothing.
	minCutUnread = time.Second
)

// recordStalled records that the attempt ends because its caller was given up.
func (a *attempt) recordStalled(err error) {
	if errors.Is(err, errCallerStalled) {
		a.err = errCallerStalled
	}
}

// cutUnread reports whether the response broke off and the reason may be that the caller
// left it unread, or was given up.
func (a *attempt) cutUnread() bool {
	return errors.Is(a.err, errCallerStalled) || a.disconnected && a.unread >= minCutUnread
}
