// Package explain finds in the logs of the entry VMs what happened to one
// request and why: its own lines and what its VM believed at the time.
package explain

import (
	"bufio"
	"io"
	"regexp"
	"strconv"
	"strings"
)

// Line is one structured line of a log.
type Line struct {
	// Source names the process: a file, or what stands before the line.
	Source string
	// Number orders the lines of a source; its clock may jump.
	Number int
	// Clock is the time of day as written.
	Clock  string
	Event  string
	Fields []Field
}

// Field is a key and its value.
type Field struct{ Key, Value string }

// Get returns a field's value; empty when there is none.
func (l Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Part is the prefix of the event: the part of the program that wrote it.
func (l Line) Component() string {
	part, _, _ := strings.Cut(l.Event, ":")
	return part
}

// header is the beginning of a line as klog writes it.
var header = regexp.MustCompile(`^(.*?)[IWEF]\d{4} (\d\d:\d\d:\d\d\.\d+)\s+\d+ [\w.]+:\d+\] (.*)$`)

// longest bounds one line, in bytes.
const longest = 1 << 20

// Read parses a log. Lines of another form are passed over.
func Read(r io.Reader, source string, each func(Line)) error {
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, longest)
	for n := 1; scan.Scan(); n++ {
		m := header.FindStringSubmatch(scan.Text())
		if m == nil {
			continue
		}
		l := Line{Source: source, Number: n, Clock: m[2]}
		if words := strings.Fields(m[1]); len(words) > 0 {
			l.Source = words[len(words)-1] // a collector wrote the process before the line
		}
		if parse(m[3], &l) {
			each(l)
		}
	}
	return scan.Err()
}

// parse reads the quoted event and its key="value" pairs.
func parse(text string, l *Line) bool {
	event, rest, ok := quoted(text)
	if !ok {
		return false
	}
	l.Event = event
	for rest = strings.TrimSpace(rest); rest != ""; rest = strings.TrimSpace(rest) {
		key, after, found := strings.Cut(rest, "=")
		if !found {
			return true
		}
		value, next, isQuoted := quoted(after)
		if !isQuoted {
			value, next = bare(after)
		}
		l.Fields = append(l.Fields, Field{Key: key, Value: value})
		rest = next
	}
	return true
}

func quoted(s string) (value, rest string, ok bool) {
	prefix, err := strconv.QuotedPrefix(s)
	if err != nil {
		return "", s, false
	}
	value, err = strconv.Unquote(prefix)
	return value, s[len(prefix):], err == nil
}

// bare reads a value without quotes: up to a space, or a whole list.
func bare(s string) (value, rest string) {
	end := strings.IndexByte(s, ' ')
	if strings.HasPrefix(s, "[") {
		if i := strings.IndexByte(s, ']'); i >= 0 {
			end = i + 1
		}
	}
	if end < 0 {
		return s, ""
	}
	return s[:end], s[end:]
}
