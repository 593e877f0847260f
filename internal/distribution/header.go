package distribution

import (
	"github.com/goccy/go-yaml"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// header is what every schema version starts with.
type header struct {
	Schema     int    `yaml:"schema"`
	Generation uint64 `yaml:"generation"`
}

// unreadable tells a document of a newer schema, whose keys this build does
// not know, from one that is broken.
func classifyParseError(text []byte, err error) (Document, error) {
	var h header
	if yaml.Unmarshal(text, &h) != nil {
		return Document{}, err
	}
	if h.Schema > document.SchemaVersion {
		err = result.New(result.DocumentUnsupported, "generation %d has schema %d, this build understands up to %d",
			h.Generation, h.Schema, document.SchemaVersion)
	}
	return Document{Generation: h.Generation}, err
}
