// Package result defines the numbered result codes that every refusal, log
// line and time line event carries, and the error type that transports them.
//
// The table with the operator's action for each code is docs/RESULT-CODES.md.
package result

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/gravitational/trace"
)

// Code is a stable result number. Numbers are never reused.
type Code int

// Run says whether the upstream may have executed the request.
type RunState string

// Values of Run. NotRun is a promise: no upstream has started the request.
const (
	NotRun  RunState = "not_run"
	Ran     RunState = "ran"
	Unknown RunState = "unknown"
)

// Error is a refusal or failure with its code, run state and retry advice.
type Error struct {
	// Code is the numbered result.
	Code Code
	// Run says whether the request was executed.
	Run RunState
	// RetryAfter is the time after which a repeat may succeed; zero means
	// that a repeat is not advised.
	RetryAfter time.Duration
	// Detail is one short sentence for the caller. It holds no secrets.
	Detail string
}

// New returns an error with the code's default run state and retry advice.
// The format and its arguments make up the detail.
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

// WithRetryAfter returns a copy of e that advises a repeat after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", e.Code, e.Code.Info().Name, e.Detail)
}

// From finds the Error in err's chain. An error without one becomes Internal
// with an unknown run state, since nothing is known about it.
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

// Name is the stable name of the code that err carries; "ok" without an error.
func Name(err error) string {
	if err == nil {
		return "ok"
	}
	return From(err).Code.Info().Name
}

// Info is the fixed description of a code.
type Info struct {
	// Name is the code's stable name in snake case.
	Name string
	// HTTPStatus is the status used towards callers and operators.
	HTTPStatus int
	// Run is the default run state.
	Run RunState
	// RetryAfter is the default retry advice; zero advises against a repeat.
	RetryAfter time.Duration
}

// Info returns the description of c.
func (c Code) Info() Info {
	if i, ok := table[c]; ok {
		return i
	}
	return Info{Name: "unnamed", HTTPStatus: http.StatusInternalServerError, Run: Unknown}
}

// Codes returns every defined code in ascending order.
func Codes() []Code {
	return codes
}
