package document

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/gravitational/trace"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// EncodeStored returns a document in its stored form, JSON. Every VM decodes
// each accepted document, and decoding JSON costs a small fraction of decoding
// YAML. JSON is also valid YAML, so Parse accepts the stored form too.
func EncodeStored(d *Document) ([]byte, error) {
	b, err := json.Marshal(d)
	if err != nil {
		return nil, trace.Wrap(result.New(result.Internal, "encoding the document failed: %v", err))
	}
	return b, nil
}

// ParseStored is Parse for the stored form. Input that does not start with "{"
// is passed to Parse. If a key occurs twice the last value is used; EncodeStored
// never writes duplicate keys.
func ParseStored(b []byte) (*Document, error) {
	if !bytes.HasPrefix(b, []byte("{")) {
		return Parse(b)
	}
	if len(b) > MaxBytes {
		return nil, newInvalidError(Fault{Problem: fmt.Sprintf("the document has %d bytes, expected at most %d", len(b), MaxBytes)})
	}
	var d Document
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		return nil, newInvalidError(Fault{Problem: err.Error()})
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, newInvalidError(Fault{Problem: "unexpected data after the document"})
	}
	SetDefaults(&d)
	return &d, nil
}

// LoadStored parses and validates a document in its stored form.
func LoadStored(b []byte) (*Document, error) {
	d, err := ParseStored(b)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := Validate(d); err != nil {
		return nil, trace.Wrap(err)
	}
	return d, nil
}
