package configcheck

import (
	"fmt"
	"strings"

	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/routing"
)

// Bounds are what the deployment allows.
type Bounds struct {
	// MaxBodyBytes is the size of the largest body that the smallest VM can hold; zero if
	// unknown.
	MaxBodyBytes int64
}

// checker collects the findings of one configuration.
type checker struct {
	config   *Config
	services map[string]*routing.Service
	findings []Finding
}

// Check returns the findings of a configuration, in the order of its parts.
func Check(c *Config, b Bounds) []Finding {
	k := &checker{config: c, services: make(map[string]*routing.Service)}
	for _, s := range c.Services {
		k.services[s.Name] = s.Service
	}
	for _, f := range c.Faults {
		k.add(result.ConfigPartInvalid, Path{f.Part, f.Index, FieldNone, -1}, "cannot be decoded: %v", f.Err)
	}
	if b.MaxBodyBytes > 0 && c.MaxBodyBytes > b.MaxBodyBytes {
		k.add(result.ConfigLimitsContradict, Path{PartConfig, -1, FieldMaxBody, -1},
			"%d bytes are more than the %d that the smallest VM can hold at once", c.MaxBodyBytes, b.MaxBodyBytes)
	}
	k.checkHidden()
	k.checkKeys()
	for _, r := range c.Routes {
		k.checkMatch(r)
		k.checkBackends(r)
		k.checkLimits(r)
	}
	return k.findings
}

func (k *checker) add(code result.Code, p Path, format string, args ...any) {
	k.findings = append(k.findings, Finding{Code: code, Path: p, Detail: fmt.Sprintf(format, args...)})
}

// checkHidden finds parts that a later one replaces.
func (k *checker) checkHidden() {
	lastRoute, lastService, lastTeam := make(map[string]Route), make(map[string]int), make(map[string]int)
	for _, r := range k.config.Routes {
		lastRoute[routeKey(r.Route)] = r
	}
	for _, r := range k.config.Routes {
		if last := lastRoute[routeKey(r.Route)]; last.Index != r.Index {
			k.add(result.ConfigPartHidden, Path{PartRoute, r.Index, FieldPrefix, -1}, "route %q is hidden by route %q, which has the same host and prefix", r.Name, last.Name)
		}
	}
	for _, s := range k.config.Services {
		lastService[s.Name] = s.Index
	}
	for _, s := range k.config.Services {
		if lastService[s.Name] != s.Index {
			k.add(result.ConfigPartHidden, Path{PartService, s.Index, FieldName, -1}, "service %q is replaced by a later one with the same name", s.Name)
		}
	}
	for _, t := range k.config.Teams {
		if first, ok := lastTeam[t.Name]; ok {
			k.add(result.ConfigPartHidden, Path{PartTeam, t.Index, FieldName, -1}, "team %q has the same name as the one at index %d; their keys keep their own settings", t.Name, first)
			continue
		}
		lastTeam[t.Name] = t.Index
	}
}

// routeKey returns what the product looks routes up by.
func routeKey(r *routing.Route) string { return r.Host + r.Prefix }

// checkKeys finds keys that two teams hold. Keys are secrets, so none is quoted.
func (k *checker) checkKeys() {
	holder := make(map[string]Team)
	for _, t := range k.config.Teams {
		for i, key := range t.Keys {
			if other, ok := holder[key]; ok && other.Index != t.Index {
				k.add(result.ConfigKeyShared, Path{PartTeam, t.Index, FieldKeys, i}, "team %q holds the same key as team %q", t.Name, other.Name)
			}
			holder[key] = t
		}
	}
}

// checkMatch finds routes that no request, or only one path, can match.
func (k *checker) checkMatch(r Route) {
	path := Path{PartRoute, r.Index, FieldPrefix, -1}
	switch {
	case r.Host == "" || strings.Contains(r.Host, "/"):
		k.add(result.ConfigNeverMatches, Path{PartRoute, r.Index, FieldHost, -1}, "no request has the host %q", r.Host)
	case !strings.HasPrefix(r.Prefix, "/"):
		k.add(result.ConfigNeverMatches, path, "no path begins with %q", r.Prefix)
	case !strings.HasSuffix(r.Prefix, "/"):
		k.add(result.ConfigNeverMatches, path, "no path below %q matches, because it does not end with a slash", r.Prefix)
	}
}

// checkBackends finds routes whose services, or models of these, are not configured.
func (k *checker) checkBackends(r Route) {
	reachable := false
	for i, b := range r.Backends {
		path := Path{PartRoute, r.Index, FieldService, -1}
		if r.Split {
			path.Field, path.Sub = FieldBackends, i
		}
		reachable = reachable || b.Weight > 0
		service := k.services[b.Service]
		if service == nil {
			k.add(result.ConfigServiceMissing, path, "service %q of route %q is not configured", b.Service, r.Name)
			continue
		}
		for m, model := range r.Models {
			if _, ok := service.Prices[model]; !ok {
				k.add(result.ConfigModelMissing, Path{PartRoute, r.Index, FieldModels, m}, "service %q does not have the model %q of route %q", b.Service, model, r.Name)
			}
		}
	}
	if !reachable {
		k.add(result.ConfigNeverMatches, Path{PartRoute, r.Index, FieldBackends, -1}, "no service of route %q has a weight above zero", r.Name)
	}
}

// checkLimits finds limits of a route that contradict each other.
func (k *checker) checkLimits(r Route) {
	at := func(f Field) Path { return Path{PartRoute, r.Index, f, -1} }
	if r.Timeout > 0 && r.TargetLatency > r.Timeout {
		k.add(result.ConfigLimitsContradict, at(FieldTargetLatency), "the target of %v is above the timeout of %v", r.TargetLatency, r.Timeout)
	}
	if r.Timeout > 0 && r.TargetGap > r.Timeout {
		k.add(result.ConfigLimitsContradict, at(FieldTargetGap), "the target of %v is above the timeout of %v", r.TargetGap, r.Timeout)
	}
	if r.RetryPolicy == routing.AtMostOnce && r.MaxRuns > 1 {
		k.add(result.ConfigLimitsContradict, at(FieldMaxRuns), "%d attempts are allowed, but the route's requests may run only once", r.MaxRuns)
	}
	for _, l := range []struct {
		field Field
		value int64
	}{{FieldTimeout, int64(r.Timeout)}, {FieldTargetLatency, int64(r.TargetLatency)}, {FieldTargetGap, int64(r.TargetGap)}, {FieldPriority, int64(r.Priority)}} {
		if l.value < 0 {
			k.add(result.ConfigLimitsContradict, at(l.field), "the value is negative")
		}
	}
}
