package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/gravitational/trace"

	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/strictyaml"
)

// maxFileBytes is the maximum size of a settings file, in bytes.
const maxFileBytes = 64 << 10

// defaulter is implemented by settings that have default values.
type defaulter interface{ setDefaults() }

// Load reads the file at path into out: it sets the defaults, decodes the file
// and validates the result. The error carries the code SettingsInvalid and is one
// line. Errors in the content have the form "file:line: key: problem, expected ...".
func Load[T any](path string, out *T) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return trace.Wrap(result.New(result.SettingsInvalid, "%s: cannot read the settings file: %v", path, errors.Unwrap(err)))
	}
	return trace.Wrap(Decode(path, b, out))
}

// Decode is like Load but decodes b. It uses path only in errors.
func Decode[T any](path string, b []byte, out *T) error {
	if d, ok := any(out).(defaulter); ok {
		d.setDefaults()
	}
	lines, err := strictyaml.Decode(b, maxFileBytes, out)
	if err != nil {
		return decodeError(path, err)
	}
	return validate(path, lines, out)
}

func decodeError(path string, err error) error {
	var e *strictyaml.Error
	if !errors.As(err, &e) {
		return settingError(path, 0, "", err.Error())
	}
	return settingError(path, e.Line, e.Key, e.Problem)
}

func settingError(path string, line int, key, problem string) error {
	text := fmt.Sprintf("%s:%d: ", path, line)
	if key != "" {
		text += key + ": "
	}
	return trace.Wrap(result.New(result.SettingsInvalid, "%s", text+problem))
}

// validate returns an error for the first invalid field, in the order of the
// struct's fields.
func validate(path string, lines strictyaml.Lines, out any) error {
	err := structValidator.Struct(out)
	if err == nil {
		return nil
	}
	var list validator.ValidationErrors
	if !errors.As(err, &list) {
		return settingError(path, 0, "", err.Error())
	}
	first := list[0]
	_, key, _ := strings.Cut(first.Namespace(), ".")
	return settingError(path, max(lines.Line(key), 1), key, problemText(first))
}

var (
	structValidator = newStructValidator()
	namePattern     = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,63}$`)
)

func newStructValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		return name
	})
	registerStringRule(v, "name", namePattern.MatchString)
	registerStringRule(v, "address", func(s string) bool {
		a, err := netip.ParseAddrPort(s)
		return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified()
	})
	registerStringRule(v, "listen", func(s string) bool {
		_, err := netip.ParseAddrPort(s)
		return err == nil
	})
	return v
}

func registerStringRule(v *validator.Validate, tag string, valid func(string) bool) {
	err := v.RegisterValidation(tag, func(f validator.FieldLevel) bool { return valid(f.Field().String()) })
	if err != nil {
		panic("settings: " + err.Error())
	}
}

// problemText describes a validation error.
func problemText(f validator.FieldError) string {
	switch f.Tag() {
	case "required", "min": // min=1 is used only for lists that must not be empty
		return "missing, expected a value"
	case "name":
		return fmt.Sprintf("%q is not a valid name, expected lower-case letters, digits, '.', '_' and '-'", f.Value())
	case "address", "listen":
		return fmt.Sprintf("%q is not a valid address, expected IP:port", f.Value())
	case "oneof":
		return fmt.Sprintf("%q is unknown, expected one of: %s", f.Value(), strings.ReplaceAll(f.Param(), " ", ", "))
	}
	return fmt.Sprintf("%s is out of range, expected %s %s", valueText(f.Value()), comparisonText(f.Tag()), boundText(f))
}

func comparisonText(tag string) string {
	switch tag {
	case "gt":
		return "more than"
	case "gte":
		return "at least"
	default:
		return "at most"
	}
}

func valueText(v any) string {
	switch x := v.(type) {
	case Duration:
		return x.D().String()
	case Size:
		return fmt.Sprintf("%dB", x.Bytes())
	}
	return fmt.Sprint(v)
}

// boundText formats the bound of a validation tag in the unit of its field.
func boundText(f validator.FieldError) string {
	var n int64
	if _, err := fmt.Sscan(f.Param(), &n); err != nil {
		return f.Param()
	}
	switch f.Value().(type) {
	case Duration:
		return Duration(n).D().String()
	case Size:
		return fmt.Sprintf("%dB", n)
	}
	return f.Param()
}
