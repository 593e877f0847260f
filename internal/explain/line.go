// Package explain extracts from the logs of the entry VMs what happened to one
// request and why: the lines of the request, and the lines that describe the
// state of its VM at the time.
package explain

import (
	"bufio"
	"io"
	"regexp"
	"strconv"
	"strings"
)

// Line is one structured log line.
type Line struct {
	// Source identifies the process: the name of the log, or the word before
	// klog's header if a log collector has added one.
	Source string
	// Number is the line number in the log. It orders the lines of a source,
	// because the clock of the process may jump.
	Number int
	// Clock is the time of day as it appears in the log.
	Clock  string
	Event  string
	Fields []Field
}

// Field is a key and its value.
type Field struct{ Key, Value string }

// Get returns the value of a field, or an empty string if it is missing.
func (l Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Component returns the component that logged the line: the event's text before the
// colon.
func (l Line) Component() string {
	part, _, _ := strings.Cut(l.Event, ":")
	return part
}

// lineHeader matches klog's header, which may follow a prefix that a log
// collector has added.
var lineHeader = regexp.MustCompile(`^(.*?)[IWEF]\d{4} (\d\d:\d\d:\d\d\.\d+)\s+\d+ [\w.]+:\d+\] (.*)$`)

// maxLineBytes is the length of the longest log line that can be read, in bytes.
const maxLineBytes = 1 << 20

// Read parses a log and passes each line to handle. It skips lines of another
// format.
func Read(r io.Reader, source string, handle func(Line)) error {
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, maxLineBytes)
	for n := 1; scan.Scan(); n++ {
		m := lineHeader.FindStringSubmatch(scan.Text())
		if m == nil {
			continue
		}
		l := Line{Source: source, Number: n, Clock: m[2]}
		if prefixWords := strings.Fields(m[1]); len(prefixWords) > 0 {
			l.Source = prefixWords[len(prefixWords)-1] // a log collector added the process before the line
		}
		if parseEvent(m[3], &l) {
			handle(l)
		}
	}
	return scan.Err()
}

// parseEvent parses the quoted event and its key="value" pairs.
func parseEvent(text string, l *Line) bool {
	event, rest, ok := cutQuoted(text)
	if !ok {
		return false
	}
	l.Event = event
	for rest = strings.TrimSpace(rest); rest != ""; rest = strings.TrimSpace(rest) {
		key, afterKey, found := strings.Cut(rest, "=")
		if !found {
			return true
		}
		value, next, isQuoted := cutQuoted(afterKey)
		if !isQuoted {
			value, next = cutUnquoted(afterKey)
		}
		l.Fields = append(l.Fields, Field{Key: key, Value: value})
		rest = next
	}
	return true
}

func cutQuoted(s string) (value, rest string, ok bool) {
	prefix, err := strconv.QuotedPrefix(s)
	if err != nil {
		return "", s, false
	}
	value, err = strconv.Unquote(prefix)
	return value, s[len(prefix):], err == nil
}

// cutUnquoted cuts an unquoted value off s. It ends at the next space, or at the
// closing bracket if it is a list.
func cutUnquoted(s string) (value, rest string) {
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
