// Package document defines the configuration document that operators submit:
// its types, decoder and validator, and the read-only index that the request
// path uses for lookups.
package document

import (
	"fmt"
	"time"

	"github.com/goccy/go-yaml/ast"

	"github.com/cranberrypier/cranberrypier/internal/strictyaml"
)

// SchemaVersion is the newest document schema that this build supports.
const SchemaVersion = 1

// Document is the complete configuration of a fleet, as submitted by operators.
// It is accepted or rejected in its entirety.
type Document struct {
	// Schema is the schema version, from 1 to SchemaVersion.
	Schema int `yaml:"schema" json:"schema"`
	// Generation is assigned on acceptance; it is zero in an operator's file. A
	// VM never applies a generation lower than one it has already applied.
	Generation uint64 `yaml:"generation,omitempty" json:"generation,omitempty"`
	// Base is the generation that the operator edited. A submission is rejected
	// as a conflict unless Base is the generation in force; zero means that no
	// document is in force yet.
	Base uint64 `yaml:"base,omitempty" json:"base,omitempty"`
	// Fleet is the name of the fleet; peers of another fleet are rejected.
	Fleet     string     `yaml:"fleet" json:"fleet"`
	Zones     []Zone     `yaml:"zones" json:"zones"`
	Models    []Model    `yaml:"models" json:"models"`
	Upstreams []Upstream `yaml:"upstreams" json:"upstreams"`
	Services  []Service  `yaml:"services,omitempty" json:"services,omitempty"`
	Classes   []Class    `yaml:"classes" json:"classes"`
	Teams     []Team     `yaml:"teams" json:"teams"`

	// lines maps the paths of values to lines of the parsed file; it is empty
	// for documents that were not parsed from a file.
	lines strictyaml.Lines
}

// Zone is an availability zone.
type Zone struct {
	Name   string `yaml:"name" json:"name"`
	Region string `yaml:"region" json:"region"`
	// TakenOut is true while the zone is withdrawn: it must not receive new
	// requests.
	Withdrawn bool `yaml:"taken_out,omitempty" json:"taken_out,omitempty"`
	// Ramp is the time over which a zone that is put back into service reaches
	// its full share of requests. Default 30s.
	Ramp Duration `yaml:"ramp,omitempty" json:"ramp,omitempty"`
}

// Model is a named model with its versions.
type Model struct {
	Name     string    `yaml:"name" json:"name"`
	Versions []Version `yaml:"versions" json:"versions"`
}

// State is the roll-out state of a version.
type State string

// States of a version. Exactly one version of a model is stable; it receives
// the share of requests that is not assigned to roll-outs.
const (
	Stable    State = "stable"
	RollOut   State = "rollout"
	Withdrawn State = "withdrawn"
)

// Version is one version of a model.
type Version struct {
	Name  string `yaml:"name" json:"name"`
	State State  `yaml:"state" json:"state"`
	// Cost is the price of 1,000 generated tokens, in cost units.
	Cost float64 `yaml:"cost" json:"cost"`
	// Quality is the expected rating from 0 to 1, used until ratings are
	// available.
	Quality float64 `yaml:"quality" json:"quality"`
	// RollOut is set exactly in state rollout.
	RollOut *RollOutPlan `yaml:"rollout,omitempty" json:"rollout,omitempty"`
	// Successor is the version of the same model to which sessions move when
	// this version is withdrawn; empty means the stable version.
	Successor string `yaml:"successor,omitempty" json:"successor,omitempty"`
}

// RollOutPlan defines how a version's share of new sessions and requests grows,
// and the limits that halt the roll-out.
type RollOutPlan struct {
	// Steps are shares from 0 to 1, in ascending order.
	Steps []float64 `yaml:"steps" json:"steps"`
	// StepTime is the duration of each step if no fault occurs. Default 10m.
	StepTime Duration `yaml:"step_time,omitempty" json:"step_time,omitempty"`
	// MinQuality halts the roll-out when the mean rating falls below it.
	MinQuality float64 `yaml:"min_quality,omitempty" json:"min_quality,omitempty"`
	// MaxErrorRate halts the roll-out when exceeded; from 0 to 1. Default 0.1.
	MaxErrorRate float64 `yaml:"max_error_rate,omitempty" json:"max_error_rate,omitempty"`
	// MaxFirstToken halts the roll-out when the mean time to the first token
	// exceeds it; zero means no limit.
	MaxFirstToken Duration `yaml:"max_first_token,omitempty" json:"max_first_token,omitempty"`
}

// Kind is the type of an upstream, which determines its protocol.
type Kind string

// Kinds of upstreams.
const (
	Engine Kind = "engine"
	Plain  Kind = "plain"
	Rating Kind = "rating"
)

// Upstream is one backend replica to which requests are routed.
type Upstream struct {
	Name string `yaml:"name" json:"name"`
	Zone string `yaml:"zone" json:"zone"`
	Kind Kind   `yaml:"kind" json:"kind"`
	// Address is IP:port; the protocol is HTTP/1.1.
	Address string `yaml:"address" json:"address"`
	// Serves lists "model@version" entries for engines, and service names for
	// plain upstreams.
	Serves []string `yaml:"serves,omitempty" json:"serves,omitempty"`
	// Limit is the maximum number of concurrent requests from all VMs when the
	// upstream is warm.
	Limit int `yaml:"limit" json:"limit"`
	// ColdLimit is the maximum number of concurrent requests from all VMs of
	// the upstream's zone during a cold start; engines only. Default 1.
	ColdLimit int `yaml:"cold_limit,omitempty" json:"cold_limit,omitempty"`
	// Fencing is true when the engine rejects orders with an outdated number.
	Fencing bool `yaml:"fencing,omitempty" json:"fencing,omitempty"`
	// UncheckedOrders is true when the engine accepts orders from any sender.
	UncheckedOrders bool `yaml:"unchecked_orders,omitempty" json:"unchecked_orders,omitempty"`
	// Leaving is true when the upstream must not receive new requests.
	Leaving bool `yaml:"leaving,omitempty" json:"leaving,omitempty"`
	// Accelerators is the number of accelerators of an engine; informational.
	Accelerators int `yaml:"accelerators,omitempty" json:"accelerators,omitempty"`
}

// Service is a plain service reached at /v1/services/{name}/.
type Service struct {
	Name  string `yaml:"name" json:"name"`
	Calls []Call `yaml:"calls" json:"calls"`
}

// Call is one endpoint of a plain service.
type Call struct {
	// Method is an HTTP method in capitals.
	Method string `yaml:"method" json:"method"`
	// Path is a path relative to the service, for example /confirmations. A
	// trailing /* matches any non-empty remainder.
	Path string `yaml:"path" json:"path"`
	// Repeatable is true for idempotent calls. A call that is not repeatable
	// requires an Idempotency-Key or a run ticket and is executed at most once.
	Repeatable bool `yaml:"repeatable,omitempty" json:"repeatable,omitempty"`
	// Timeout is the time limit of the call. Default 10s.
	Timeout Duration `yaml:"timeout,omitempty" json:"timeout,omitempty"`
	// Class is the name of the request class; empty means "lookup".
	Class string `yaml:"class,omitempty" json:"class,omitempty"`
}

// Priority orders classes: smaller is served first.
type Priority int

// Class is a request class with its priority, quality target and cascade.
type Class struct {
	Name string `yaml:"name" json:"name"`
	// Priority is 0 (most urgent) to 9.
	Priority Priority `yaml:"priority" json:"priority"`
	// Deadline is the default and the maximum time for a complete answer.
	// Default 60s.
	Deadline Duration `yaml:"deadline,omitempty" json:"deadline,omitempty"`
	// Quality is the target mean rating from 0 to 1.
	Quality float64 `yaml:"quality,omitempty" json:"quality,omitempty"`
	// Cascade lists model names from the cheapest to the most capable. A request
	// for model "auto" tries them in this order.
	Cascade []string `yaml:"cascade,omitempty" json:"cascade,omitempty"`
}

// Team is a customer of the fleet, with its keys, permissions and limits.
type Team struct {
	Name string `yaml:"name" json:"name"`
	// KeyHashes are hex SHA-256 digests of the team's bearer keys.
	KeyHashes []string `yaml:"key_hashes" json:"key_hashes"`
	// Models lists what the team may use: "model" (every version) or
	// "model@version".
	Models []string `yaml:"models" json:"models"`
	// Services lists the plain services that the team may call.
	Services []string `yaml:"services,omitempty" json:"services,omitempty"`
	// RequestsPerSecond is the rate limit for the whole fleet.
	RequestsPerSecond float64 `yaml:"requests_per_second" json:"requests_per_second"`
	// Burst is the depth of the token bucket for the whole fleet, in requests.
	Burst int `yaml:"burst" json:"burst"`
	// Concurrent is the maximum number of in-flight requests in the whole fleet.
	Concurrent int `yaml:"concurrent" json:"concurrent"`
	// DefaultClass is used when a request names no class.
	DefaultClass string `yaml:"default_class" json:"default_class"`
}

// Duration is a time.Duration that is written like "1.5s" in YAML.
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
	return []byte(time.Duration(d).String()), nil
}
