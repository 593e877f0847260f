package document

import (
	"errors"

	"github.com/goccy/go-yaml"
	"github.com/gravitational/trace"

	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/strictyaml"
)

// MaxBytes is the maximum size of a document in bytes; the platform's store
// accepts no larger objects.
const MaxBytes = 1 << 20

// Parse decodes a document and fills in its defaults. It rejects unknown keys,
// duplicate keys, aliases, tags and multiple YAML documents with
// DocumentInvalid. Parse does not check references; Validate does.
func Parse(b []byte) (*Document, error) {
	var d Document
	lines, err := strictyaml.Decode(b, MaxBytes, &d)
	if err != nil {
		return nil, newSyntaxError(err)
	}
	d.lines = lines
	SetDefaults(&d)
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

// Encode returns a document as YAML that Parse decodes to an equal document.
func Encode(d *Document) ([]byte, error) {
	b, err := yaml.Marshal(d)
	if err != nil {
		return nil, trace.Wrap(result.New(result.Internal, "encoding the document failed: %v", err))
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
