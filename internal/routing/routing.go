// Package routing holds one version of the operators' configuration: the routes,
// the services that serve them, the teams and their keys, and the limits.
package routing

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RetryPolicy says whether a request may run more than once.
type RetryPolicy int

// The retry policies.
const (
	// AtMostOnce: the request may run at most once.
	AtMostOnce RetryPolicy = iota
	// Idempotent: the request may run more than once.
	Idempotent
)

// Route is a path prefix of a host, and how its requests are handled.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	RetryPolicy RetryPolicy
	// Stream is true if the response is a stream of events.
	Stream bool
	// Resumable is true if a stream can be resumed at another upstream.
	Resumable bool
	// Public is true if callers need no key.
	Public bool
	// Timeout is the time within which a request must be answered.
	Timeout time.Duration
	// TargetLatency is the target for the time to the response, or to its first
	// part; later responses count as late.
	TargetLatency time.Duration
	// TargetGap is the longest pause between two events that still counts as on
	// time.
	TargetGap time.Duration
	// Priority is the urgency; 0 is the most urgent.
	Priority int
	// MaxRuns is the maximum number of attempts that may run. Attempts that certainly
	// did not run do not count; package retry limits them separately.
	MaxRuns int
	// Models are the models that may answer, smallest first; empty if the caller
	// chooses the model.
	Models   []string
	Backends []Backend
	// Regions lists the regions in which the route's requests may run; empty for all.
	Regions []string
}

// Backend is a service and its weight in a route.
type Backend struct {
	Service string
	Weight  int
}

// Service is a pool of interchangeable upstreams.
type Service struct {
	Name string
	// ColdRate is the number of requests per second that a cold upstream tolerates;
	// zero if the service's upstreams have no cold start.
	ColdRate float64
	// ColdStart is how long an upstream is cold after its start.
	ColdStart time.Duration
	// ModelEngine is true for model engines and false for plain services.
	ModelEngine bool
	// Slots is the number of requests that one upstream can run at the same time.
	Slots int
	// KVCapacity is the capacity of an engine's KV cache, in tokens.
	KVCapacity int
	// Prices are the prices of 1,000 generated tokens, by model.
	Prices map[string]float64
	// ShortestTarget is the shortest target latency of the routes to the service; zero if
	// none has one. New sets it.
	ShortestTarget time.Duration
}

// Team is a group of callers.
type Team struct {
	Name string
	// Priority overrides the route's if HasPriority is true.
	Priority    int
	HasPriority bool
	// Regions lists the regions in which the team's requests may run; empty for all.
	Regions []string
}

// Config is one version of the configuration. It is immutable once built.
type Config struct {
	Version uint64
	// MaxBodyBytes and MaxHeaderBytes are the maximum sizes of a caller's request
	// body and header.
	MaxBodyBytes   int64
	MaxHeaderBytes int
	// IdleTimeout is how long a caller's connection may stay idle.
	IdleTimeout time.Duration
	Services    map[string]*Service
	// TeamsByKey maps each caller's key to its team; nil if no keys are needed.
	TeamsByKey map[string]*Team
	routes     map[string]*Route
}

// New builds a configuration from its routes.
func New(c Config, routes []*Route) *Config {
	c.routes = make(map[string]*Route, len(routes))
	for _, r := range routes {
		c.routes[r.Host+r.Prefix] = r
		for _, b := range r.Backends {
			c.Services[b.Service].noteTarget(r.TargetLatency)
		}
	}
	return &c
}

// noteTarget lowers the shortest target latency to that of a route to the service.
func (s *Service) noteTarget(target time.Duration) {
	if s != nil && target > 0 && (s.ShortestTarget == 0 || target < s.ShortestTarget) {
		s.ShortestTarget = target
	}
}

// RouteCount returns the number of routes.
func (c *Config) RouteCount() int { return len(c.routes) }

// Lookup returns the route with the longest prefix that matches the path, or nil.
// Prefixes begin and end with a slash.
func (c *Config) Lookup(host, path string) *Route {
	host = strings.ToLower(host)
	for end := len(path); end > 0; end = strings.LastIndexByte(path[:end-1], '/') + 1 {
		if r := c.routes[host+path[:end]]; r != nil {
			return r
		}
	}
	return nil
}

// ChooseBackend chooses one of the route's services by weight. The result for a
// key stays the same as long as the weights do. It is empty if no service has a
// positive weight.
func (r *Route) ChooseBackend(key string) string {
	if len(r.Backends) == 1 {
		return r.Backends[0].Service
	}
	total := 0
	for _, b := range r.Backends {
		total += max(b.Weight, 0)
	}
	if total == 0 {
		return ""
	}
	offset := int(xxhash.Sum64String(key) % uint64(total))
	for _, b := range r.Backends {
		offset -= max(b.Weight, 0)
		if offset < 0 {
			return b.Service
		}
	}
	return ""
}
