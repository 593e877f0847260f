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
	"github.com/cranberrypier/cranberrypier/internal/wire"
)

// ErrSilent matches, by errors.Is, failures whose connection made no progress.
var ErrSilent = errors.New("the connection went silent")

// maxDetail bounds the part of an error body that is kept, in bytes.
const maxDetail = 512

// Failure is an attempt that brought no whole answer.
type Failure struct {
	// End classifies the failure for placement.
	End placement.End
	// Sent is false only if it is certain that no byte of the request reached
	// the upstream, or that the upstream answered X-Not-Run.
	Sent bool
	// Incarnation and State are the upstream's response headers, if any.
	Incarnation string
	State       string
	// Status is the HTTP status; zero without one.
	Status int
	// RetryAfter is the upstream's advice; zero without one.
	RetryAfter time.Duration
	// Err carries a result code.
	Err error
}

// Error implements error.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns the error with the result code.
func (f *Failure) Unwrap() error { return f.Err }

// Is matches ErrSilent.
func (f *Failure) Is(target error) bool {
	return target == ErrSilent && f.End == placement.EndSilent
}

// FailureOf returns the failure in err's chain. An error that is no failure of
// this package counts as a reset after the request was sent, the worst case.
func FailureOf(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return &Failure{End: placement.EndReset, Sent: true, Err: err}
}

// broken classifies a transport error. The context tells silence and the
// caller's own end from breaks; got and sent come from the attempt.
func broken(ctx context.Context, a *attempt, err error) *Failure {
	connected := a.connected()
	f := &Failure{End: placement.EndReset, Sent: a.sent()}
	code := result.UpstreamFailed
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, ErrSilent):
		f.End = placement.EndSilent
		err = ErrSilent
	case errors.Is(cause, context.DeadlineExceeded):
		f.End = placement.EndCanceled
		code = result.DeadlineExceeded
	case cause != nil:
		f.End = placement.EndCanceled
		code = result.CallerGone
	case !connected:
		f.End = placement.EndUnreachable
	}
	f.Err = coded(code, f.Sent, "%v", err)
	return f
}

// coded returns an error whose run state follows from whether it was sent.
func coded(c result.Code, sent bool, format string, args ...any) error {
	run := result.Unknown
	if !sent {
		run = result.NotRun
	}
	return trace.Wrap(result.New(c, format, args...).WithRun(run))
}

// fill copies the response's headers into the failure.
func (f *Failure) fill(resp *http.Response) *Failure {
	f.Incarnation = resp.Header.Get(wire.HeaderIncarnation)
	f.State = resp.Header.Get(wire.HeaderEngineState)
	f.Status = resp.StatusCode
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && s > 0 {
		f.RetryAfter = time.Duration(s) * time.Second
	}
	return f
}

// notRun reports whether the upstream says that it took no work.
func notRun(resp *http.Response) bool { return resp.Header.Get(wire.HeaderNotRun) == "true" }

// badStatus makes a failure of an error status, and reads a bounded part of
// its body for the detail.
func badStatus(resp *http.Response) *Failure {
	f := (&Failure{End: placement.EndStatus, Sent: true}).fill(resp)
	if notRun(resp) {
		f.End, f.Sent = placement.EndRefused, false
	}
	detail, _ := io.ReadAll(io.LimitReader(resp.Body, maxDetail))
	f.Err = coded(result.UpstreamFailed, f.Sent, "status %d: %q", resp.StatusCode, detail)
	return f
}

// mismatch is an answer that belongs to another request.
func mismatch(resp *http.Response, want string) *Failure {
	f := (&Failure{End: placement.EndReset, Sent: true}).fill(resp)
	f.Err = trace.Wrap(result.New(result.AnswerMismatch, "the answer is for %q, not %q", resp.Header.Get(wire.HeaderRequestID), want).WithRun(result.Unknown))
	return f
}
