package document

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/gravitational/trace"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// EncodeStored writes a document in its stored form: JSON, which is YAML too,
// so that Parse reads it as well. Every VM decodes each accepted document, and
// JSON costs it a small part of what YAML does.
func EncodeStored(d *Document) ([]byte, error) {
	b, err := json.Marshal(d)
	if err != nil {
		return nil, trace.Wrap(result.New(result.Internal, "document can't be encoded: %v", err))
	}
	return b, nil
}

// ParseStored is Parse for the stored form. A text that is not JSON is given
// to Parse. Of keys given twice the last one counts; EncodeStored writes none.
func ParseStored(b []byte) (*Document, error) {
	if !bytes.HasPrefix(b, []byte("{")) {
		return Parse(b)
	}
	if len(b) > MaxBytes {
		return nil, newInvalidError(Fault{Problem: fmt.Sprintf("%d bytes are too many, expected at most %d", len(b), MaxBytes)})
	}
	var d Document
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		return nil, newInvalidError(Fault{Problem: err.Error()})
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, newInvalidError(Fault{Problem: "text follows the document"})
	}
	Provision(&d)
	return &d, nil
}

// LoadStored parses and validates a stored document.
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
