// Package routing holds one version of the operators' configuration: which
// service answers which path, for which teams, within which limits.
package routing

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Repeat says how often a request may run.
type RetryPolicy int

// The kinds of requests.
const (
	// Once: the request runs at most once.
	AtMostOnce RetryPolicy = iota
	// Idempotent: the request may run again.
	Idempotent
)

// Route is a path prefix of a host and how its requests are treated.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	RetryPolicy RetryPolicy
	// Stream is true when the answer is a series of events.
	Stream bool
	// Resumable streams can be continued at another upstream.
	Resumable bool
	// Public routes need no key.
	Public bool
	// Timeout is the longest time that a request may stay unanswered.
	Timeout time.Duration
	// Aim is the time to the (first part of the) answer that earns full credit.
	TargetLatency time.Duration
	// Gap is the longest pause between two events that is still on time.
	TargetGap time.Duration
	// Rank is the urgency, 0 first.
	Priority int
	// MaxUpstreams bounds how many upstreams one request is sent to.
	MaxUpstreams int
	// Models are the models that may answer, smallest first; empty when the
	// caller names the model.
	Models   []string
	Backends []Backend
	// Regions are the only regions where its requests may run; empty for all.
	Regions []string
}

// Backend is a service and its share of a route's requests.
type Backend struct {
	Service string
	Weight  int
}

// Service is a pool of equal upstreams.
type Service struct {
	Name string
	// ColdRate is how many requests a second a cold upstream tolerates; zero
	// when the service has no cold upstreams.
	ColdRate  float64
	ColdStart time.Duration
	// Generates is true for model engines.
	ModelEngine bool
	Slots       int
	// Memory is an engine's memory in tokens.
	KVCapacity int
	// Costs are the prices of 1,000 generated tokens by model.
	Prices map[string]float64
}

// Team is a group of callers.
type Team struct {
	Name string
	// Rank takes precedence over the route's when HasRank is true.
	Priority    int
	HasPriority bool
	// Regions are the only regions where its requests may run; empty for all.
	Regions []string
}

// Config is one version of the configuration. It never changes once built.
type Config struct {
	Version uint64
	// MaxBody and MaxHeader bound what a caller may send, in bytes.
	MaxBodyBytes   int64
	MaxHeaderBytes int
	// Idle is how long a caller's connection may stay unused.
	IdleTimeout time.Duration
	Services    map[string]*Service
	// Keys maps a caller's key to its team; nil when no key is needed.
	TeamsByKey map[string]*Team
	routes     map[string]*Route
}

// New builds a configuration from its routes.
func New(c Config, routes []*Route) *Config {
	c.routes = make(map[string]*Route, len(routes))
	for _, r := range routes {
		c.routes[r.Host+r.Prefix] = r
	}
	return &c
}

// Routes counts the routes.
func (c *Config) RouteCount() int { return len(c.routes) }

// Lookup finds the route with the longest prefix of the path. Prefixes begin
// and end with a slash.
func (c *Config) Lookup(host, path string) *Route {
	host = strings.ToLower(host)
	for end := len(path); end > 0; end = strings.LastIndexByte(path[:end-1], '/') + 1 {
		if r := c.routes[host+path[:end]]; r != nil {
			return r
		}
	}
	return nil
}

// Backend chooses one of the route's services by weight. The same key always
// gets the same one as long as the weights stay.
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
	at := int(xxhash.Sum64String(key) % uint64(total))
	for _, b := range r.Backends {
		at -= max(b.Weight, 0)
		if at < 0 {
			return b.Service
		}
	}
	return ""
}
