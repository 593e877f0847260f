package delivery

import (
	"context"
	"sync"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// input is one report. Events are kept apart from messages, so that a token
// needs no allocation.
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

// maxPooled is the largest buffer kept for reuse, in bytes.
const maxPooled = 64 << 10

func recycle(b *[]byte) {
	if b != nil && cap(*b) <= maxPooled {
		buffers.Put(b)
	}
}

// Reporter carries the reports of one attempt. It is used by that attempt's
// goroutine only. Each call waits while the request's queue is full and
// returns false when the attempt is no longer wanted.
type Reporter struct {
	id     AttemptID
	in     chan<- input
	ctx    context.Context
	closed <-chan struct{}
	ended  bool
}

func (r *Reporter) send(i input) bool {
	i.attempt = r.id
	select {
	case r.in <- i:
		return true
	case <-r.ctx.Done():
	case <-r.closed:
	}
	return false
}

// Dispatched asks for leave to write the request to the upstream. The first
// byte may be written only after it returned true.
func (r *Reporter) Dispatched(upstream string) bool {
	reply := make(chan bool, 1)
	if !r.send(input{msg: Dispatched{Attempt: r.id, Upstream: upstream}, reply: reply}) {
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

// Accepted reports response headers; request is the echoed id.
func (r *Reporter) Accepted(request string) bool {
	return r.send(input{msg: Accepted{Attempt: r.id, RequestID: request}})
}

// Event reports one event of a stream. The data is copied.
func (r *Reporter) Event(id, digest uint64, data []byte) bool {
	b := buffers.Get().(*[]byte)
	*b = append((*b)[:0], data...)
	if r.send(input{event: id, digest: digest, data: b}) {
		return true
	}
	recycle(b)
	return false
}

// Done reports the whole answer: a stream's terminator, with a zero Answer,
// or a complete response.
func (r *Reporter) Done(a Answer) bool {
	r.ended = true
	return r.send(input{msg: Done{Attempt: r.id}, answer: &a})
}

// Failed reports the end without a whole answer. Sent is false only if no
// byte of the request can have reached the upstream.
func (r *Reporter) Failed(kind Failure, sent bool, err *result.Error) bool {
	r.ended = true
	return r.send(input{msg: Failed{Attempt: r.id, Kind: kind, Sent: sent, Err: err}})
}
