package document

import (
	"fmt"
	"reflect"
	"strings"
)

// Action is the kind of a change between two documents.
type Action string

// Kinds of changes.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// Change is one difference between two documents.
type Change struct {
	Action Action
	// Path locates the value and identifies list entries by name, for example
	// "teams[engravers].burst".
	Path string
	// From and To are the old and the new value in short form; empty if there
	// is none.
	From string
	To   string
}

// String formats the change in one line.
func (c Change) String() string {
	switch c.Action {
	case Added:
		return fmt.Sprintf("+ %s: %s", c.Path, c.To)
	case Removed:
		return fmt.Sprintf("- %s: %s", c.Path, c.From)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.From, c.To)
	}
}

// Diff lists the changes from a to b in the order of the document's fields.
// List entries are matched by name, so reordering them is not a change.
// Generation and Base are ignored.
func Diff(a, b *Document) []Change {
	var out []Change
	x, y := *a, *b
	x.Generation, y.Generation = 0, 0
	x.Base, y.Base = 0, 0
	diffValue("", reflect.ValueOf(x), reflect.ValueOf(y), &out)
	return out
}

func diffValue(path string, a, b reflect.Value, out *[]Change) {
	switch a.Kind() {
	case reflect.Struct:
		diffStruct(path, a, b, out)
	case reflect.Pointer:
		if a.IsNil() || b.IsNil() {
			diffLeaf(path, a, b, out)
			return
		}
		diffValue(path, a.Elem(), b.Elem(), out)
	case reflect.Slice:
		diffList(path, a, b, out)
	default:
		diffLeaf(path, a, b, out)
	}
}

func diffStruct(path string, a, b reflect.Value, out *[]Change) {
	for i := range a.NumField() {
		field := a.Type().Field(i)
		if !field.IsExported() {
			continue
		}
		name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		if path != "" {
			name = path + "." + name
		}
		diffValue(name, a.Field(i), b.Field(i), out)
	}
}

func diffList(path string, a, b reflect.Value, out *[]Change) {
	if a.Type().Elem().Kind() != reflect.Struct {
		diffLeaf(path, a, b, out)
		return
	}
	oldEntries, newEntries := entries(a), entries(b)
	for _, e := range oldEntries {
		entryPath := fmt.Sprintf("%s[%s]", path, e.name)
		if other, ok := findEntry(newEntries, e.name); ok {
			diffValue(entryPath, e.value, other, out)
		} else {
			*out = append(*out, Change{Action: Removed, Path: entryPath, From: formatValue(e.value)})
		}
	}
	for _, e := range newEntries {
		if _, ok := findEntry(oldEntries, e.name); !ok {
			*out = append(*out, Change{Action: Added, Path: fmt.Sprintf("%s[%s]", path, e.name), To: formatValue(e.value)})
		}
	}
}

func diffLeaf(path string, a, b reflect.Value, out *[]Change) {
	from, to := formatValue(a), formatValue(b)
	if from == to {
		return
	}
	*out = append(*out, Change{Action: Changed, Path: path, From: from, To: to})
}

type entry struct {
	name  string
	value reflect.Value
}

func entries(list reflect.Value) []entry {
	out := make([]entry, list.Len())
	for i := range out {
		v := list.Index(i)
		out[i] = entry{name: entryName(v), value: v}
	}
	return out
}

// entryName returns the name of a list entry. Calls have no name and are
// identified by method and path.
func entryName(v reflect.Value) string {
	if c, ok := v.Interface().(Call); ok {
		return c.Method + " " + c.Path
	}
	return v.FieldByName("Name").String()
}

func findEntry(list []entry, name string) (reflect.Value, bool) {
	for _, e := range list {
		if e.name == name {
			return e.value, true
		}
	}
	return reflect.Value{}, false
}

// formatValue formats a value in one line.
func formatValue(v reflect.Value) string {
	if v.Kind() == reflect.Pointer {
		if v.IsNil() {
			return "none"
		}
		v = v.Elem()
	}
	if d, ok := v.Interface().(Duration); ok {
		return d.D().String()
	}
	if v.Kind() != reflect.Struct {
		return fmt.Sprint(v.Interface())
	}
	var parts []string
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if !field.IsExported() || v.Field(i).IsZero() {
			continue
		}
		name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		parts = append(parts, name+"="+formatValue(v.Field(i)))
	}
	return "{" + strings.Join(parts, " ") + "}"
}
