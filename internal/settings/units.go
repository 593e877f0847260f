package settings

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"

	"github.com/cranberrypier/cranberrypier/internal/strictyaml"
)

// Duration is a duration written like "1.5s" or "200ms".
type Duration time.Duration

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("%q is not a valid duration, expected a number and a unit such as 200ms, 1.5s or 2m", b)
	}
	*d = Duration(v)
	return nil
}

// UnmarshalYAML implements yaml.NodeUnmarshaler.
func (d *Duration) UnmarshalYAML(n ast.Node) error { return strictyaml.Text(n, d) }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.D().String()), nil
}

// Size is a number of bytes written like "64KiB". The units are B, KiB and MiB.
type Size int64

var sizeUnits = []struct {
	suffix string
	bytes  int64
}{
	{"KiB", 1 << 10},
	{"MiB", 1 << 20},
	{"B", 1},
}

// Bytes returns the size in bytes.
func (s Size) Bytes() int64 { return int64(s) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Size) UnmarshalText(b []byte) error {
	text := string(b)
	for _, u := range sizeUnits {
		digits, ok := strings.CutSuffix(text, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 40)
		if err != nil || n < 0 {
			break
		}
		*s = Size(n * u.bytes)
		return nil
	}
	return fmt.Errorf("%q is not a valid size, expected a whole number and a unit such as 512B, 64KiB or 1MiB", b)
}

// UnmarshalYAML implements yaml.NodeUnmarshaler.
func (s *Size) UnmarshalYAML(n ast.Node) error { return strictyaml.Text(n, s) }

// MarshalText implements encoding.TextMarshaler.
func (s Size) MarshalText() ([]byte, error) {
	return fmt.Appendf(nil, "%dB", int64(s)), nil
}
