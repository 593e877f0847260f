// Package wire defines the HTTP headers and JSON bodies that processes exchange
// with upstreams and the platform; docs/PROTOCOLS.md describes them.
package wire

// Headers of requests and responses.
const (
	RequestID   = "X-Request-Id"
	Priority    = "X-Priority"
	TimeoutMS   = "X-Timeout-Ms"
	LastEventID = "Last-Event-Id"
	Incarnation = "X-Incarnation"
	EngineState = "X-Engine-State"
	NotRun      = "X-Not-Run"
	ClaimKey    = "X-Claim-Key"
	// VM and Zone identify the sender. The fakes use them to simulate network
	// partitions.
	VM   = "X-Pier-Vm"
	Zone = "X-Pier-Zone"
)

// States of an engine.
const (
	Cold    = "cold"
	Warm    = "warm"
	Leaving = "leaving"
)

// EventStream is the content type of server-sent events.
const EventStream = "text/event-stream"
