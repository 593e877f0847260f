package document

import (
	"errors"

	"github.com/goccy/go-yaml"
	"github.com/gravitational/trace"

	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/strictyaml"
)

// MaxBytes is the longest document, in bytes; the platform holds no more.
const MaxBytes = 1 << 20

// Parse decodes a document and fills its defaults. Unknown keys, duplicate
// keys, aliases, tags and more than one YAML document are refused. The error
// carries DocumentInvalid. Parse does not check references: see Validate.
func Parse(b []byte) (*Document, error) {
	var d Document
	lines, err := strictyaml.Decode(b, MaxBytes, &d)
	if err != nil {
		return nil, newSyntaxError(err)
	}
	d.lines = lines
	Provision(&d)
	return &d, nil
}

// Load parses and validates a document.
func Load(b []byte) (*Document, error) {
	d, err := Parse(b)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := Validate(d); err != nil {
		return nil, trace.Wrap(err)
	}
	return d, nil
}

// Encode writes a document as YAML that Parse reads back unchanged.
func Encode(d *Document) ([]byte, error) {
	b, err := yaml.Marshal(d)
	if err != nil {
		return nil, trace.Wrap(result.New(result.Internal, "document can't be encoded: %v", err))
	}
	return b, nil
}

func newSyntaxError(err error) error {
	var e *strictyaml.Error
	if errors.As(err, &e) {
		return newInvalidError(Fault{Path: e.Key, Line: e.Line, Problem: e.Problem})
	}
	return newInvalidError(Fault{Problem: err.Error()})
}
