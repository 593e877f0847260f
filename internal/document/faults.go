package document

import (
	"errors"
	"fmt"
	"strings"

	"github.com/gravitational/trace"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// Fault is one validation error of a document. It is not related to the faults
// that tests inject.
type Fault struct {
	// Path locates the value, for example "teams[2].models[0]".
	Path string `json:"path,omitempty"`
	// Line is the line in the parsed file, starting at 1; zero when unknown.
	Line int `json:"line,omitempty"`
	// Problem describes the error and the expected value.
	Problem string `json:"problem"`
}

// String formats the fault in one line.
func (f Fault) String() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", f.Line)
	}
	if f.Path != "" {
		fmt.Fprintf(&b, "%s: ", f.Path)
	}
	b.WriteString(f.Problem)
	return b.String()
}

// Faults lists every fault of a document, in the document's order.
type Faults []Fault

// Error implements error; it formats one fault per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// InvalidError is the error for a rejected document, with its faults.
type InvalidError struct {
	// Result has the code DocumentInvalid or DocumentUnsupported.
	Result *result.Error
	Faults Faults
}

// Error implements error.
func (e *InvalidError) Error() string {
	return e.Result.Error() + "\n" + e.Faults.Error()
}

// Unwrap returns the error with the result code.
func (e *InvalidError) Unwrap() error { return e.Result }

func newInvalidError(faults ...Fault) error {
	first := faults[0].String()
	r := result.New(result.DocumentInvalid, "%s", first)
	if len(faults) > 1 {
		r.Detail = fmt.Sprintf("%d faults, the first: %s", len(faults), first)
	}
	return trace.Wrap(&InvalidError{Result: r, Faults: faults})
}

// FaultsOf returns the faults of an InvalidError in err, or nil.
func FaultsOf(err error) Faults {
	var e *InvalidError
	if errors.As(err, &e) || errors.As(trace.Unwrap(err), &e) {
		return e.Faults
	}
	return nil
}
