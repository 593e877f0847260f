package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/cranberrypier/cranberrypier/internal/placement"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/stricthttp"
	"github.com/cranberrypier/cranberrypier/internal/wire"
)

// ErrStalled matches, by errors.Is, failures of attempts that made no progress
// within the timeout.
var ErrStalled = errors.New("the upstream sent no data within the timeout")

// maxDetailSize is the part of an error response's body that is included in the
// error, in bytes.
const maxDetailSize = 512

// Failure is the error of an attempt without a complete response.
type Failure struct {
	// End classifies the failure for placement.
	End placement.End
	// Sent is false if no byte of the request can have reached the upstream, or
	// if the upstream responded with X-Not-Run; otherwise it is true.
	Sent bool
	// Incarnation and State are taken from the response headers, if any.
	Incarnation string
	State       string
	// Status is the HTTP status; zero without a response.
	Status int
	// RetryAfter is the value of the Retry-After header; zero if it is not a
	// positive number of seconds.
	RetryAfter time.Duration
	// Err has a result code.
	Err error
}

// Error implements error.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns the error with the result code.
func (f *Failure) Unwrap() error { return f.Err }

// Is matches ErrStalled.
func (f *Failure) Is(target error) bool {
	return target == ErrStalled && f.End == placement.EndStalled
}

// FailureOf returns the Failure in err's chain. It treats any other error as a
// connection reset after the request was sent, which is the worst case.
func FailureOf(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return &Failure{End: placement.EndReset, Sent: true, Err: err}
}

// classifyError converts a transport error to a Failure. The cause of the
// context distinguishes a stalled attempt, the deadline and a cancellation by the
// caller from a broken connection. The tracker says whether the request got a
// connection and may have been sent.
func classifyError(ctx context.Context, tracker *connTracker, err error) *Failure {
	connected := tracker.connected()
	f := &Failure{End: placement.EndReset, Sent: tracker.sealAndReportSent()}
	code := result.UpstreamFailed
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, ErrStalled):
		f.End = placement.EndStalled
		err = ErrStalled
	case errors.Is(cause, context.DeadlineExceeded):
		f.End = placement.EndCanceled
		code = result.DeadlineExceeded
	case cause != nil:
		f.End = placement.EndCanceled
		code = result.CallerGone
	case !connected:
		f.End = placement.EndUnreachable
	case errors.Is(err, stricthttp.ErrInvalid):
		f.End = placement.EndInvalid
	}
	f.Err = resultError(code, f.Sent, "%v", err)
	return f
}

// resultError returns an error whose run state is NotRun if the request was not
// sent, otherwise Unknown.
func resultError(c result.Code, sent bool, format string, args ...any) error {
	run := result.Unknown
	if !sent {
		run = result.NotRun
	}
	return trace.Wrap(result.New(c, format, args...).WithRun(run))
}

// copyHeaders copies the status and headers of a response into the failure.
func (f *Failure) copyHeaders(resp *http.Response) *Failure {
	f.Incarnation = resp.Header.Get(wire.HeaderIncarnation)
	f.State = resp.Header.Get(wire.HeaderEngineState)
	f.Status = resp.StatusCode
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && s > 0 {
		f.RetryAfter = time.Duration(s) * time.Second
	}
	return f
}

// notRun reports whether the response says that the request was not run.
func notRun(resp *http.Response) bool { return resp.Header.Get(wire.HeaderNotRun) == "true" }

// statusFailure returns the failure for an error status. It includes up to
// maxDetailSize bytes of the body in the error.
func statusFailure(resp *http.Response) *Failure {
	f := (&Failure{End: placement.EndStatus, Sent: true}).copyHeaders(resp)
	if notRun(resp) {
		f.End, f.Sent = placement.EndRejected, false
	}
	detail, _ := io.ReadAll(io.LimitReader(resp.Body, maxDetailSize))
	f.Err = resultError(result.UpstreamFailed, f.Sent, "the upstream responded with status %d: %q", resp.StatusCode, detail)
	return f
}

// mismatchFailure returns the failure for a response to another request.
func mismatchFailure(resp *http.Response, want string) *Failure {
	f := (&Failure{End: placement.EndReset, Sent: true}).copyHeaders(resp)
	f.Err = trace.Wrap(result.New(result.AnswerMismatch, "the response is for request %q, not %q", resp.Header.Get(wire.HeaderRequestID), want).WithRun(result.Unknown))
	return f
}
