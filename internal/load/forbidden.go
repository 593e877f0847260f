package load

import (
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"github.com/cranberrypier/cranberrypier/internal/fake/executions"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// ForbiddenSpan is a time span in which a withdrawn zone, a leaving upstream or a
// withdrawn version may receive no new requests.
type ForbiddenSpan struct {
	// What is "zone", "upstream" or "version".
	What string
	Name string
	// FromMS and UntilMS are Unix milliseconds.
	FromMS, UntilMS int64
}

// UnmarshalText parses the form what:name:from:until.
func (f *ForbiddenSpan) UnmarshalText(b []byte) error {
	parts := strings.Split(string(b), ":")
	bad := trace.Wrap(result.New(result.SettingsInvalid, "invalid span %q: expected zone|upstream|version:name:from:until in Unix milliseconds", b))
	const fields = 4
	if len(parts) != fields || parts[0] != "zone" && parts[0] != "upstream" && parts[0] != "version" {
		return bad
	}
	from, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil {
		return bad
	}
	until, err := strconv.ParseInt(parts[3], 10, 64)
	if err != nil || until <= from {
		return bad
	}
	*f = ForbiddenSpan{parts[0], parts[1], from, until}
	return nil
}

// checkForbiddenSpan checks that nothing ran on the span's zone, upstream or
// version during the span. Examined also counts executions outside the span,
// which show that there was traffic to keep away.
func (e *Evidence) checkForbiddenSpan(f ForbiddenSpan) Verdict {
	v := Verdict{Invariant: "no new work during the forbidden span: " + f.What + " " + f.Name}
	zones := map[string]string{}
	for _, u := range e.Document.Upstreams {
		zones[u.Name] = u.Zone
	}
	e.eachExecution(func(l *StandInLog, x *executions.Execution) {
		name := map[string]string{"zone": zones[l.Upstream], "upstream": l.Upstream, "version": x.Target}[f.What]
		if name != f.Name || !x.Ran || strings.HasPrefix(x.Target, "order ") {
			return
		}
		v.Examined++
		if x.StartMS >= f.FromMS && x.StartMS < f.UntilMS {
			v.addViolation("%s received request %s %d ms into the span", l.Upstream, x.Request, x.StartMS-f.FromMS)
		}
	})
	return v
}
