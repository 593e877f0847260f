package delivery

import (
	"context"
	"sync"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// input is one report of an attempt: a message or an event. Events have their
// own fields rather than a Message, so that forwarding a token does not
// allocate.
type input struct {
	attempt AttemptID
	msg     Message
	answer  *Answer
	reply   chan bool
	event   uint64
	digest  uint64
	data    *[]byte
}

var buffers = sync.Pool{New: func() any { b := make([]byte, 0, 512); return &b }}

// maxPooledBufferSize is the capacity of the largest buffer that is returned to
// the pool, in bytes.
const maxPooledBufferSize = 64 << 10

func releaseBuffer(b *[]byte) {
	if b != nil && cap(*b) <= maxPooledBufferSize {
		buffers.Put(b)
	}
}

// Reporter sends the reports of one attempt to the goroutine of its request. It
// may be used only by the attempt's goroutine. Each call blocks while the
// request's queue is full, and returns false if the attempt was canceled or the
// request has ended.
type Reporter struct {
	id     AttemptID
	inputs chan<- input
	ctx    context.Context
	closed <-chan struct{}
	ended  bool
}

func (r *Reporter) send(i input) bool {
	i.attempt = r.id
	select {
	case r.inputs <- i:
		return true
	case <-r.ctx.Done():
	case <-r.closed:
	}
	return false
}

// Dispatched asks for permission to write the request to the upstream. The
// first byte may be written only after it has returned true.
func (r *Reporter) BeginSend(upstream string) bool {
	reply := make(chan bool, 1)
	if !r.send(input{msg: UpstreamSelected{Attempt: r.id, Upstream: upstream}, reply: reply}) {
		return false
	}
	select {
	case ok := <-reply:
		return ok
	case <-r.ctx.Done():
	case <-r.closed:
	}
	return false
}

// Accepted reports response headers; request is the echoed request id.
func (r *Reporter) Accepted(request string) bool {
	return r.send(input{msg: Accepted{Attempt: r.id, RequestID: request}})
}

// Event reports one event of a stream. It copies the data.
func (r *Reporter) Event(id, digest uint64, data []byte) bool {
	b := buffers.Get().(*[]byte)
	*b = append((*b)[:0], data...)
	if r.send(input{event: id, digest: digest, data: b}) {
		return true
	}
	releaseBuffer(b)
	return false
}

// Done reports the end of a complete answer: the terminator of a stream (a is
// the zero Answer) or a complete response.
func (r *Reporter) Done(a Answer) bool {
	r.ended = true
	return r.send(input{msg: Done{Attempt: r.id}, answer: &a})
}

// Failed reports that the attempt ended without a complete answer. Sent is
// false only if no byte of the request can have reached the upstream.
func (r *Reporter) Failed(kind Failure, sent bool, err *result.Error) bool {
	r.ended = true
	return r.send(input{msg: Failed{Attempt: r.id, Kind: kind, Sent: sent, Err: err}})
}
