package settings

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/document"
)

// keys lists the YAML paths of a type's values.
func keys(t reflect.Type, path string) []string {
	for t.Kind() == reflect.Slice || t.Kind() == reflect.Pointer {
		if t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct {
			path += "[]"
		}
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct {
		return []string{path}
	}
	var out []string
	for i := range t.NumField() {
		f := t.Field(i)
		if name, _, _ := strings.Cut(f.Tag.Get("yaml"), ","); f.IsExported() {
			out = append(out, keys(f.Type, strings.TrimPrefix(path+"."+name, "."))...)
		}
	}
	return out
}

// TestEveryKeyIsInTheReference holds docs/OPERATIONS.md to the types: settings
// by their whole path, the document's keys by their last part.
func TestEveryKeyIsDocumented(t *testing.T) {
	b, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	require.NoError(t, err)
	text := string(b)
	_, reference, ok := strings.Cut(text, "\n## The document\n")
	require.True(t, ok)
	reference, _, _ = strings.Cut(reference, "\n## ")
	for _, s := range []any{Router{}, Agent{}, Ctl{}} {
		for _, k := range keys(reflect.TypeOf(s), "") {
			assert.True(t, strings.Contains(text, "`"+k+"`"), "%T: %s", s, k)
		}
	}
	for _, k := range keys(reflect.TypeOf(document.Document{}), "") {
		last := k[strings.LastIndex(k, ".")+1:]
		assert.True(t, strings.Contains(reference, "."+last+"`") || strings.Contains(reference, "`"+last+"`"), k)
	}
}
