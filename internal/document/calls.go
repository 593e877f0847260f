package document

import "strings"

// Service returns a plain service, which is an HTTP service that is not a
// model, by name.
func (x *Index) Service(name string) (*Service, bool) {
	s, ok := x.services[name]
	return s, ok
}

// MayCall reports whether the team may call the plain service.
func (x *Index) MayCall(team, service string) bool {
	_, ok := x.allowedServices[allowedServiceKey{team, service}]
	return ok
}

// Call returns the call of a service that matches a request. An exact path
// takes precedence over a wildcard, and a longer wildcard over a shorter one.
// The path must be the one that is sent to the upstream. A path that the
// upstream could interpret differently (dot segments, empty segments, escapes)
// matches nothing: a request matched to a repeatable call could otherwise reach
// a call that may not be repeated.
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

// matches reports whether the path matches the call's pattern.
func (c *Call) matches(path string) bool {
	prefix, wild := strings.CutSuffix(c.Path, "*")
	if !wild {
		return c.Path == path
	}
	return len(path) > len(prefix) && strings.HasPrefix(path, prefix)
}

// unambiguousPath reports whether a path can be interpreted in only one way.
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
