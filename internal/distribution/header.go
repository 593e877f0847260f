package distribution

import (
	"github.com/goccy/go-yaml"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// header holds the fields that every schema version has.
type header struct {
	Schema     int    `yaml:"schema"`
	Generation uint64 `yaml:"generation"`
}

// classifyParseError returns DocumentUnsupported for a document of a newer
// schema, which can contain keys that this build does not know, and err for a
// malformed one. The returned document has the generation if it can be read.
func classifyParseError(text []byte, err error) (Document, error) {
	var h header
	if yaml.Unmarshal(text, &h) != nil {
		return Document{}, err
	}
	if h.Schema > document.SchemaVersion {
		err = result.New(result.DocumentUnsupported, "generation %d has schema %d, this build supports schemas up to %d",
			h.Generation, h.Schema, document.SchemaVersion)
	}
	return Document{Generation: h.Generation}, err
}
