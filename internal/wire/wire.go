// Package wire names the HTTP headers that cross process boundaries towards
// upstreams and the platform; docs/PROTOCOLS.md says what they mean.
package wire

// Headers of requests and responses.
const (
	HeaderRequestID   = "X-Request-Id"
	HeaderPriority    = "X-Priority"
	HeaderTimeoutMS   = "X-Timeout-Ms"
	HeaderLastEventID = "Last-Event-Id"
	HeaderIncarnation = "X-Incarnation"
	HeaderEngineState = "X-Engine-State"
	HeaderNotRun      = "X-Not-Run"
	HeaderClaimKey    = "X-Claim-Key"
	// VM and Zone name the sender; stand-ins judge partitions by them.
	HeaderSenderVM   = "X-Pier-Vm"
	HeaderSenderZone = "X-Pier-Zone"
)

// States of an engine.
const (
	EngineCold    = "cold"
	EngineWarm    = "warm"
	EngineLeaving = "leaving"
)

// EventStream is the content type of server-sent events.
const ContentTypeEventStream = "text/event-stream"
