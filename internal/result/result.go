// Package result defines the numbered result codes of error responses, log lines
// and timeline events, and the error type that carries them.
//
// docs/RESULT-CODES.md lists the operator's action for each code.
package result

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/gravitational/trace"
)

// Code is the number of a result. Numbers are stable and never reused.
type Code int

// RunState says whether an upstream ran the request.
type RunState string

// Values of RunState. NotRun guarantees that no upstream has started the request.
const (
	NotRun  RunState = "not_run"
	Ran     RunState = "ran"
	Unknown RunState = "unknown"
)

// Error is a rejection or failure with its code, run state and retry advice.
type Error struct {
	// Code is the numbered result.
	Code Code
	// Run says whether an upstream ran the request.
	Run RunState
	// RetryAfter is the delay after which a retry may succeed. Zero means that a
	// retry is not recommended.
	RetryAfter time.Duration
	// Detail is one short sentence for the caller. It contains no secrets.
	Detail string
}

// New returns an error with the default run state and retry advice of the code.
// The format and its arguments form the detail.
func New(c Code, format string, args ...any) *Error {
	i := c.Info()
	return &Error{Code: c, Run: i.Run, RetryAfter: i.RetryAfter, Detail: fmt.Sprintf(format, args...)}
}

// WithRun returns a copy of e with the given run state.
func (e *Error) WithRun(r RunState) *Error {
	c := *e
	c.Run = r
	return &c
}

// WithRetryAfter returns a copy of e that recommends a retry after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", e.Code, e.Code.Info().Name, e.Detail)
}

// From returns the Error in err's chain. If there is none, it returns an Internal
// error whose run state is Unknown, because the request may have been executed.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	if errors.As(trace.Unwrap(err), &e) {
		return e
	}
	return New(Internal, "%v", err).WithRun(Unknown)
}

// Is reports whether err carries code c.
func Is(err error, c Code) bool {
	return err != nil && From(err).Code == c
}

// Name returns the stable name of the code that err carries, or "ok" if err is
// nil.
func Name(err error) string {
	if err == nil {
		return "ok"
	}
	return From(err).Code.Info().Name
}

// Info describes a code.
type Info struct {
	// Name is the code's stable name in snake case.
	Name string
	// HTTPStatus is the status of responses to callers and operators.
	HTTPStatus int
	// Run is the default run state.
	Run RunState
	// RetryAfter is the default retry advice. Zero advises against a retry.
	RetryAfter time.Duration
}

// Info returns the description of c.
func (c Code) Info() Info {
	if i, ok := infoByCode[c]; ok {
		return i
	}
	return Info{Name: "unnamed", HTTPStatus: http.StatusInternalServerError, Run: Unknown}
}

// Codes returns every defined code in ascending order.
func Codes() []Code {
	return codes
}
