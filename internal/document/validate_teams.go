package document

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"slices"
	"strings"
)

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

func (v *checker) services() {
	for i, s := range v.d.Services {
		p := fmt.Sprintf("services[%d]", i)
		v.name(p+".name", s.Name)
		if v.modelNames[s.Name] {
			v.addFault(p+".name", "a model also has the name %q", s.Name)
		}
		if len(s.Calls) == 0 {
			v.addFault(p+".calls", "missing, expected at least one call")
		}
		keys := make([]string, 0, len(s.Calls))
		for j, c := range s.Calls {
			v.call(fmt.Sprintf("%s.calls[%d]", p, j), c)
			keys = append(keys, c.Method+" "+c.Path)
		}
		v.unique(p+".calls", "", keys)
	}
	v.unique("services", ".name", namesOf(v.d.Services, func(s Service) string { return s.Name }))
}

func (v *checker) call(p string, c Call) {
	if !slices.Contains(methods, c.Method) {
		v.addFault(p+".method", "%q is not a valid method, expected one of %s", c.Method, strings.Join(methods, " "))
	}
	pattern := strings.TrimSuffix(c.Path, "/*")
	if pattern == "" && c.Path != "" {
		pattern = "/"
	}
	if !unambiguousPath(pattern) || strings.ContainsFunc(pattern, invalidInPattern) {
		v.addFault(p+".path", "%q is not a valid path, expected /like/this or /like/*", c.Path)
	}
	v.duration(p+".timeout", c.Timeout, maxDeadline)
	v.reference(p+".class", "class", c.Class, v.classNames)
}

// invalidInPattern reports whether r is not allowed in the path of a call.
func invalidInPattern(r rune) bool { return r == '*' || r <= ' ' || r > '~' }

func (v *checker) teams() {
	for i := range v.d.Teams {
		v.team(fmt.Sprintf("teams[%d]", i), &v.d.Teams[i])
	}
	v.unique("teams", ".name", namesOf(v.d.Teams, func(t Team) string { return t.Name }))
}

func (v *checker) team(p string, t *Team) {
	v.name(p+".name", t.Name)
	if len(t.KeyHashes) == 0 {
		v.addFault(p+".key_hashes", "missing, expected at least one SHA-256 digest")
	}
	for i, h := range t.KeyHashes {
		v.keyHash(fmt.Sprintf("%s.key_hashes[%d]", p, i), t.Name, h)
	}
	for i, m := range t.Models {
		set, what := v.modelNames, "model"
		if strings.Contains(m, "@") {
			set, what = v.versionNames, "version"
		}
		v.reference(fmt.Sprintf("%s.models[%d]", p, i), what, m, set)
	}
	v.unique(p+".models", "", t.Models)
	for i, s := range t.Services {
		v.reference(fmt.Sprintf("%s.services[%d]", p, i), "service", s, v.serviceNames)
	}
	v.unique(p+".services", "", t.Services)
	if !(t.RequestsPerSecond > 0 && t.RequestsPerSecond <= maxRate) {
		v.addFault(p+".requests_per_second", "%v is out of range, expected more than 0 and at most %g", t.RequestsPerSecond, float64(maxRate))
	}
	v.positive(p+".burst", t.Burst, maxLimit)
	v.positive(p+".concurrent", t.Concurrent, maxLimit)
	v.reference(p+".default_class", "class", t.DefaultClass, v.classNames)
}

// keyHash checks the format of a key's digest and rejects a key of two teams,
// because the key must identify the team.
func (v *checker) keyHash(p, team, h string) {
	if b, err := hex.DecodeString(h); err != nil || len(b) != sha256.Size || strings.ToLower(h) != h {
		v.addFault(p, "expected a SHA-256 digest in 64 lower-case hex digits (created by pierctl keys hash)")
		return
	}
	if other, ok := v.teamByDigest[h]; ok {
		v.addFault(p, "the key is already used by team %q", other)
		return
	}
	v.teamByDigest[h] = team
}
