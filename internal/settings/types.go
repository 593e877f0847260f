// Package settings loads the YAML settings files of the programs. Each field's
// comment gives its default, unit and effect; docs/OPERATIONS.md repeats them. The bounds in the tags are
// nanoseconds for Duration and bytes for Size.
package settings

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/pki"
)

// Router holds the settings of pier-router.
type Router struct {
	// Fleet is the fleet's name. Peers of another fleet are rejected. Required.
	Fleet string `yaml:"fleet" validate:"required,name"`
	// VM is the name of this VM, unique in the fleet. Required.
	VM string `yaml:"vm" validate:"required,name"`
	// Zone is the availability zone of this VM. Required.
	Zone   string       `yaml:"zone" validate:"required,name"`
	Listen RouterListen `yaml:"listen"`
	// Agent is the peer address of this VM's agent, IP:port. Required.
	Agent    string    `yaml:"agent" validate:"required,address"`
	Platform Platform  `yaml:"platform"`
	TLS      pki.Paths `yaml:"tls"`
	// SessionKeyFile is the file with the keys of session tokens. It must be the
	// same on all VMs and has one 32-byte key in hex per line: the first key signs
	// tokens, all keys verify them. Required.
	SessionKeyFile string           `yaml:"session_key_file" validate:"required"`
	Limits         Limits           `yaml:"limits"`
	Drain          Drain            `yaml:"drain"`
	Upstream       UpstreamTimeouts `yaml:"upstream"`
	Policy         Policy           `yaml:"policy"`
	Timeline       Timeline         `yaml:"timeline"`
	Log            Log              `yaml:"log"`
	// Faults allows the admin port to disconnect this process from its peers, for
	// fault tests only. Default false.
	Faults bool `yaml:"faults"`
}

// RouterListen holds the listen addresses of a router.
type RouterListen struct {
	// Callers serves the callers' HTTP API, IP:port. Required.
	Callers string `yaml:"callers" validate:"required,listen"`
	// Admin serves metrics and health, IP:port. Required.
	Admin string `yaml:"admin" validate:"required,listen"`
	// Peer serves other VMs and this VM's agent over QUIC, IP:port. Required.
	Peer string `yaml:"peer" validate:"required,listen"`
}

// Agent holds the settings of pier-agent.
type Agent struct {
	// Fleet is the fleet's name. Peers of another fleet are rejected. Required.
	Fleet string `yaml:"fleet" validate:"required,name"`
	// VM is the name of this VM, unique in the fleet. Required.
	VM string `yaml:"vm" validate:"required,name"`
	// Zone is the availability zone of this VM. Required.
	Zone   string      `yaml:"zone" validate:"required,name"`
	Listen AgentListen `yaml:"listen"`
	// Router is the peer address of this VM's router, IP:port. Required.
	Router string `yaml:"router" validate:"required,address"`
	// RouterCallers is the address on which this VM's router serves callers,
	// IP:port. The agent reports it to operators. Required.
	RouterCallers string    `yaml:"router_callers" validate:"required,address"`
	Platform      Platform  `yaml:"platform"`
	TLS           pki.Paths `yaml:"tls"`
	// Seeds are peer addresses of some agents of the fleet, IP:port. A VM uses
	// them to join while the platform is unavailable. Default none.
	Seeds    []string `yaml:"seeds" validate:"dive,address"`
	Drain    Drain    `yaml:"drain"`
	Timeline Timeline `yaml:"timeline"`
	Log      Log      `yaml:"log"`
	// Faults allows the admin port to disconnect this process from its peers, for
	// fault tests only. Default false.
	Faults bool `yaml:"faults"`
}

// AgentListen holds the listen addresses of an agent.
type AgentListen struct {
	// Operators serves the operators' HTTPS API, IP:port. Required.
	Operators string `yaml:"operators" validate:"required,listen"`
	// Admin serves metrics and health, IP:port. Required.
	Admin string `yaml:"admin" validate:"required,listen"`
	// Peer serves other VMs and this VM's router over QUIC, IP:port. Required.
	Peer string `yaml:"peer" validate:"required,listen"`
}

// Ctl holds the settings of pierctl.
type Ctl struct {
	// Fleet is the fleet's name. Agents of another fleet are rejected. Required.
	Fleet string `yaml:"fleet" validate:"required,name"`
	// Agents are the addresses of agents' operator APIs, IP:port, tried in turn.
	// Required.
	Agents []string  `yaml:"agents" validate:"required,min=1,dive,address"`
	TLS    pki.Paths `yaml:"tls"`
	// Timeout limits one attempt at one agent. Default 10s.
	Timeout Duration `yaml:"timeout" validate:"gt=0,lte=600000000000"`
}

// Platform holds the settings of the platform's object store.
type Platform struct {
	// Address is IP:port. Required.
	Address string `yaml:"address" validate:"required,address"`
	// Timeout limits one call, except for watches. Default 2s.
	Timeout Duration `yaml:"timeout" validate:"gt=0,lte=60000000000"`
}

// Limits holds the limits on callers' requests.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body. Default 1MiB.
	MaxBodyBytes Size `yaml:"body_bytes" validate:"gt=0,lte=67108864"`
	// MaxHeaderBytes is the maximum size of the request headers. Default 64KiB.
	MaxHeaderBytes Size `yaml:"header_bytes" validate:"gte=4096,lte=1048576"`
	// BodyTimeout is the timeout for reading the request body. Default 10s.
	BodyTimeout Duration `yaml:"body_time" validate:"gt=0,lte=600000000000"`
	// MaxInFlight is the maximum number of in-flight requests at this router.
	// Requests above it are rejected at once with code 1102. Default 2000.
	MaxInFlight int `yaml:"concurrent" validate:"gt=0,lte=100000"`
}

// Drain holds the timing of a graceful stop.
type Drain struct {
	// GracePeriod is how long in-flight requests may take to finish. Default 30s.
	GracePeriod Duration `yaml:"grace" validate:"gt=0,lte=3600000000000"`
	// AnnouncePeriod is how long the process reports unready before it rejects new
	// requests, so that the load balancer has time to stop sending them. Default
	// 1s.
	AnnouncePeriod Duration `yaml:"announce" validate:"gte=0,lte=60000000000"`
}

// UpstreamTimeouts holds the timeouts of connections to upstreams.
type UpstreamTimeouts struct {
	// StreamIdleTimeout is the idle timeout of a started stream. Default 10s.
	StreamIdleTimeout Duration `yaml:"silence" validate:"gt=0,lte=600000000000"`
	// FirstTokenTimeout is the timeout for an engine's first token. Default 30s.
	FirstTokenTimeout Duration `yaml:"first_token" validate:"gt=0,lte=600000000000"`
	// ConnectTimeout is the timeout for opening a connection. Default 1s.
	ConnectTimeout Duration `yaml:"connect" validate:"gt=0,lte=60000000000"`
}

// Policy selects routing policies, for experiments only.
type Policy struct {
	// Placement chooses upstreams: "finish" by the earliest expected finish,
	// "round-robin" or "random". Default finish.
	Placement string `yaml:"placement" validate:"oneof=finish round-robin random"`
	// Cascade selects how models are chosen: "learned" uses ratings, "strongest"
	// always uses the strongest model, "cheapest-first" starts with the cheapest model
	// and escalates to stronger ones. Default learned.
	Cascade string `yaml:"cascade" validate:"oneof=learned strongest cheapest-first"`
}

// Timeline holds the settings of the timeline, a ring buffer of events.
type Timeline struct {
	// MaxEvents is the capacity of the ring buffer, in events. Default 8192.
	MaxEvents int `yaml:"events" validate:"gt=0,lte=1000000"`
}

// Log holds the settings of the process log.
type Log struct {
	// Verbosity is klog's level, from 0 (least verbose) to 9. Default 0.
	Verbosity int `yaml:"verbosity" validate:"gte=0,lte=9"`
}

// DefaultGracePeriod is how long a graceful stop waits for in-flight requests if
// drain.grace is not set.
const DefaultGracePeriod = Duration(30 * time.Second)

// Defaults of the settings.
const (
	defaultPlatformTimeout   = Duration(2 * time.Second)
	defaultCtlTimeout        = Duration(10 * time.Second)
	defaultMaxBodyBytes      = Size(1 << 20)
	defaultMaxHeaderBytes    = Size(64 << 10)
	defaultBodyTimeout       = Duration(10 * time.Second)
	defaultMaxInFlight       = 2000
	defaultAnnouncePeriod    = Duration(time.Second)
	defaultStreamIdleTimeout = Duration(10 * time.Second)
	defaultFirstTokenTimeout = Duration(30 * time.Second)
	defaultConnectTimeout    = Duration(time.Second)
	defaultMaxEvents         = 8192
)

// setDefaults implements defaulter. Decoding the file overwrites the defaults,
// so an explicit zero in the file is kept and validated.
func (s *Router) setDefaults() {
	s.Platform.Timeout = defaultPlatformTimeout
	s.Limits = Limits{
		MaxBodyBytes:   defaultMaxBodyBytes,
		MaxHeaderBytes: defaultMaxHeaderBytes,
		BodyTimeout:    defaultBodyTimeout,
		MaxInFlight:    defaultMaxInFlight,
	}
	s.Drain = Drain{GracePeriod: DefaultGracePeriod, AnnouncePeriod: defaultAnnouncePeriod}
	s.Upstream = UpstreamTimeouts{StreamIdleTimeout: defaultStreamIdleTimeout, FirstTokenTimeout: defaultFirstTokenTimeout, ConnectTimeout: defaultConnectTimeout}
	s.Policy = Policy{Placement: "finish", Cascade: "learned"}
	s.Timeline.MaxEvents = defaultMaxEvents
}

func (s *Agent) setDefaults() {
	s.Platform.Timeout = defaultPlatformTimeout
	s.Drain = Drain{GracePeriod: DefaultGracePeriod, AnnouncePeriod: defaultAnnouncePeriod}
	s.Timeline.MaxEvents = defaultMaxEvents
}

func (s *Ctl) setDefaults() {
	s.Timeout = defaultCtlTimeout
}

// Verbosity returns the log level.
func (s *Router) Verbosity() int { return s.Log.Verbosity }

// Verbosity returns the log level.
func (s *Agent) Verbosity() int { return s.Log.Verbosity }
