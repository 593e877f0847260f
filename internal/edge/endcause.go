package edge

import (
	"context"
	"errors"
	"io"
	"syscall"

	"github.com/cranberrypier/cranberrypier/internal/exchange"
	"github.com/cranberrypier/cranberrypier/internal/stricthttp"
)

// endCause is what ended an attempt, for the log and the metrics. It tells who gave
// up: the upstream, the operating system, a timeout of this VM, or the caller.
type endCause string

const (
	endComplete endCause = "complete"
	// endUnusable: the upstream answered, and the answer can't be forwarded.
	endUnusable endCause = "unusable"
	// endDropped: this VM had no more use for the answer.
	endDropped endCause = "dropped"
	// endDial: no connection could be established.
	endDial endCause = "dial"
	// endConnTimeout: the operating system gave up a silent connection.
	endConnTimeout endCause = "conn_timeout"
	endReset       endCause = "reset"
	// endClosed: the upstream closed the connection before the end of its answer.
	endClosed endCause = "closed"
	// endInvalid: the upstream sent bytes that are no valid response.
	endInvalid      endCause = "invalid_response"
	endHeadTimeout  endCause = "head_timeout"
	endStallTimeout endCause = "stall_timeout"
	endDeadline     endCause = "deadline"
	endCallerGone   endCause = "caller_gone"
	// endCallerStalled: this VM gave the caller up.
	endCallerStalled endCause = "caller_stalled"
	endVMStopping    endCause = "vm_stopping"
	endOther         endCause = "other"
)

// causeOfError lists the errors that name a cause, in the order in which they are
// looked for.
var causeOfError = []struct {
	err   error
	cause endCause
}{
	{errHeadTimeout, endHeadTimeout},
	{errStreamStalled, endStallTimeout},
	{errCallerStalled, endCallerStalled},
	{errVMStopping, endVMStopping},
	{context.DeadlineExceeded, endDeadline},
	{context.Canceled, endCallerGone},
	{stricthttp.ErrInvalid, endInvalid},
	{syscall.ETIMEDOUT, endConnTimeout},
	{syscall.ECONNRESET, endReset},
	{syscall.EPIPE, endReset},
	{io.EOF, endClosed},
	{io.ErrUnexpectedEOF, endClosed},
	{errEndInsideEvent, endClosed},
	{errNoEvents, endClosed},
}

// endCause returns what ended the attempt.
func (a *attempt) endCause() endCause {
	switch {
	case a.attemptStatus == exchange.NotSent:
		return endDial
	case a.err == nil && a.bodyRead:
		return endComplete
	case a.err == nil && (a.attemptStatus != exchange.Answered || !a.head.Usable()):
		return endUnusable
	case a.err == nil:
		return endDropped
	}
	for _, known := range causeOfError {
		if errors.Is(a.err, known.err) {
			return known.cause
		}
	}
	return endOther
}
