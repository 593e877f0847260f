package document

import (
	"fmt"
	"net/netip"
	"regexp"

	"github.com/gravitational/trace"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// Limits of a document's values.
const (
	maxNameLength = 64
	maxPriority   = 9
	maxRate       = 1e6
	maxLimit      = 1_000_000
	maxCost       = 1e9
	// maxGenerationBytes is reserved for the generation, which is added when the
	// document is accepted.
	maxGenerationBytes = 64
	// maxDeadline (1 hour) limits class deadlines and call timeouts.
	maxDeadline = Duration(3600e9)
	// maxRampOrStepTime (30 days) limits zone ramps and roll-out steps.
	maxRampOrStepTime = Duration(30 * 24 * 3600e9)
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]*$`)

// Validate checks a document and reports all faults at once. The error is nil
// or an *InvalidError with DocumentInvalid, or with DocumentUnsupported for a
// schema that this build does not support.
func Validate(d *Document) error {
	if d.Schema < 1 || d.Schema > SchemaVersion {
		return newUnsupportedError(d)
	}
	v := newChecker(d)
	v.name("fleet", d.Fleet)
	v.zones()
	v.models()
	v.services()
	v.classes()
	v.upstreams()
	v.teams()
	if d.Generation == 0 {
		v.size()
	}
	if len(v.faults) == 0 {
		return nil
	}
	return newInvalidError(v.faults...)
}

// size checks the stored form, which includes defaults and a generation: it may
// exceed the limit although the submitted text does not. Such a document must be
// rejected before it is accepted.
func (v *checker) size() {
	if b, err := EncodeStored(v.d); err == nil && len(b) > MaxBytes-maxGenerationBytes {
		v.addFault("", "the stored form has %d bytes, expected at most %d", len(b), MaxBytes-maxGenerationBytes)
	}
}

func newUnsupportedError(d *Document) error {
	f := Fault{Path: "schema", Line: d.lines.Line("schema"), Problem: fmt.Sprintf("schema %d is not supported, expected 1 to %d", d.Schema, SchemaVersion)}
	r := result.New(result.DocumentUnsupported, "%s", f)
	return trace.Wrap(&InvalidError{Result: r, Faults: Faults{f}})
}

// checker validates a document and collects its faults. Its sets hold the names
// that references may use.
type checker struct {
	d            *Document
	faults       Faults
	zoneNames    map[string]bool
	modelNames   map[string]bool
	versionNames map[string]bool
	classNames   map[string]bool
	serviceNames map[string]bool
	teamByDigest map[string]string
}

func newChecker(d *Document) *checker {
	v := &checker{
		d:            d,
		zoneNames:    make(map[string]bool),
		modelNames:   make(map[string]bool),
		versionNames: make(map[string]bool),
		classNames:   make(map[string]bool),
		serviceNames: make(map[string]bool),
		teamByDigest: make(map[string]string),
	}
	for _, z := range d.Zones {
		v.zoneNames[z.Name] = true
	}
	for _, m := range d.Models {
		v.modelNames[m.Name] = true
		for _, ver := range m.Versions {
			v.versionNames[m.Name+"@"+ver.Name] = true
		}
	}
	for _, c := range d.Classes {
		v.classNames[c.Name] = true
	}
	for _, s := range d.Services {
		v.serviceNames[s.Name] = true
	}
	return v
}

func (v *checker) addFault(path, format string, args ...any) {
	v.faults = append(v.faults, Fault{Path: path, Line: v.d.lines.Line(path), Problem: fmt.Sprintf(format, args...)})
}

func (v *checker) name(path, name string) {
	switch {
	case name == "":
		v.addFault(path, "missing, expected a name")
	case len(name) > maxNameLength:
		v.addFault(path, "the name is longer than %d characters", maxNameLength)
	case !namePattern.MatchString(name):
		v.addFault(path, "%q is not a valid name, expected lower-case letters, digits, '.', '_' and '-'", name)
	}
}

// unique reports duplicate names in a list.
func (v *checker) unique(list, field string, names []string) {
	first := make(map[string]int, len(names))
	for i, n := range names {
		if n == "" {
			continue
		}
		if j, ok := first[n]; ok {
			v.addFault(fmt.Sprintf("%s[%d]%s", list, i, field), "%q is already used in %s[%d]", n, list, j)
			continue
		}
		first[n] = i
	}
}

// fraction checks that a value is between 0 and 1; it rejects NaN.
func (v *checker) fraction(path string, f float64) {
	if !(f >= 0 && f <= 1) {
		v.addFault(path, "%v is out of range, expected 0 to 1", f)
	}
}

func (v *checker) positive(path string, n, limit int) {
	if n < 1 || n > limit {
		v.addFault(path, "%d is out of range, expected 1 to %d", n, limit)
	}
}

func (v *checker) duration(path string, d, limit Duration) {
	if d <= 0 || d > limit {
		v.addFault(path, "%s is out of range, expected more than 0s and at most %s", d.D(), limit.D())
	}
}

// reference checks that the referenced name is in set.
func (v *checker) reference(path, what, name string, set map[string]bool) {
	if !set[name] {
		v.addFault(path, "no %s is named %q", what, name)
	}
}

func (v *checker) zones() {
	if len(v.d.Zones) == 0 {
		v.addFault("zones", "missing, expected at least one availability zone")
	}
	for i, z := range v.d.Zones {
		p := fmt.Sprintf("zones[%d]", i)
		v.name(p+".name", z.Name)
		v.name(p+".region", z.Region)
		v.duration(p+".ramp", z.Ramp, maxRampOrStepTime)
	}
	v.unique("zones", ".name", namesOf(v.d.Zones, func(z Zone) string { return z.Name }))
}

func (v *checker) upstreams() {
	for i := range v.d.Upstreams {
		v.upstream(fmt.Sprintf("upstreams[%d]", i), &v.d.Upstreams[i])
	}
	v.unique("upstreams", ".name", namesOf(v.d.Upstreams, func(u Upstream) string { return u.Name }))
	v.unique("upstreams", ".address", namesOf(v.d.Upstreams, func(u Upstream) string { return u.Address }))
}

func (v *checker) upstream(p string, u *Upstream) {
	v.name(p+".name", u.Name)
	v.reference(p+".zone", "availability zone", u.Zone, v.zoneNames)
	if a, err := netip.ParseAddrPort(u.Address); err != nil || a.Port() == 0 || a.Addr().Zone() != "" {
		v.addFault(p+".address", "%q is not a valid address, expected IP:port", u.Address)
	}
	v.positive(p+".limit", u.Limit, maxLimit)
	if u.Accelerators < 0 {
		v.addFault(p+".accelerators", "%d is out of range, expected 0 or more", u.Accelerators)
	}
	v.serves(p, u)
	if u.Kind == Engine {
		if u.ColdLimit < 1 || u.ColdLimit > u.Limit {
			v.addFault(p+".cold_limit", "%d is out of range, expected 1 to the limit %d", u.ColdLimit, u.Limit)
		}
		return
	}
	if u.ColdLimit != 0 || u.Fencing || u.UncheckedOrders {
		v.addFault(p, "cold_limit, fencing and unchecked_orders are allowed for engines only")
	}
}

func (v *checker) serves(p string, u *Upstream) {
	set, what := v.versionNames, "version"
	switch u.Kind {
	case Engine:
	case Plain:
		set, what = v.serviceNames, "service"
	case Rating:
		if len(u.Serves) != 0 {
			v.addFault(p+".serves", "a rating upstream can't serve models or services")
		}
		return
	default:
		v.addFault(p+".kind", "%q is not a valid kind, expected engine, plain or rating", u.Kind)
		return
	}
	if len(u.Serves) == 0 {
		v.addFault(p+".serves", "missing, expected at least one %s", what)
	}
	for i, s := range u.Serves {
		v.reference(fmt.Sprintf("%s.serves[%d]", p, i), what, s, set)
	}
	v.unique(p+".serves", "", u.Serves)
}

func (v *checker) classes() {
	for i, c := range v.d.Classes {
		p := fmt.Sprintf("classes[%d]", i)
		v.name(p+".name", c.Name)
		if c.Priority < 0 || c.Priority > maxPriority {
			v.addFault(p+".priority", "%d is out of range, expected 0 to %d", c.Priority, maxPriority)
		}
		v.duration(p+".deadline", c.Deadline, maxDeadline)
		v.fraction(p+".quality", c.Quality)
		for j, m := range c.Cascade {
			v.reference(fmt.Sprintf("%s.cascade[%d]", p, j), "model", m, v.modelNames)
		}
		v.unique(p+".cascade", "", c.Cascade)
	}
	v.unique("classes", ".name", namesOf(v.d.Classes, func(c Class) string { return c.Name }))
}

func namesOf[T any](list []T, name func(T) string) []string {
	out := make([]string, 0, len(list))
	for _, item := range list {
		out = append(out, name(item))
	}
	return out
}
