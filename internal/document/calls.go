package document

import "strings"

// Service finds a plain service by name.
func (x *Index) Service(name string) (*Service, bool) {
	s, ok := x.services[name]
	return s, ok
}

// MayCall reports whether the team may call the plain service.
func (x *Index) MayCall(team, service string) bool {
	_, ok := x.allowedServices[allowedServiceKey{team, service}]
	return ok
}

// Call finds the call of a service that a request makes. An exact path goes
// before a wildcard and a longer wildcard before a shorter. The path must be
// the one that is sent to the upstream: a path that the upstream could read as
// another one (dot segments, empty segments, escapes) matches nothing, since
// it could reach a call that may not be repeated through one that may.
func (x *Index) Call(service, method, path string) (*Call, bool) {
	s := x.services[service]
	if s == nil || !unambiguousPath(path) {
		return nil, false
	}
	var best *Call
	for i := range s.Calls {
		c := &s.Calls[i]
		if c.Method != method || !c.matches(path) {
			continue
		}
		if c.Path == path {
			return c, true
		}
		if best == nil || len(c.Path) > len(best.Path) {
			best = c
		}
	}
	return best, best != nil
}

// matches reports whether the call's pattern covers the path.
func (c *Call) matches(path string) bool {
	prefix, wild := strings.CutSuffix(c.Path, "*")
	if !wild {
		return c.Path == path
	}
	return len(path) > len(prefix) && strings.HasPrefix(path, prefix)
}

// plainPath reports whether a path can be read in one way only.
func unambiguousPath(path string) bool {
	if !strings.HasPrefix(path, "/") || strings.ContainsAny(path, "\\%;?#\x00") {
		return false
	}
	rest := path[1:]
	for {
		segment, tail, more := strings.Cut(rest, "/")
		if segment == "." || segment == ".." || (segment == "" && (more || len(path) > 1)) {
			return false
		}
		if !more {
			return true
		}
		rest = tail
	}
}
