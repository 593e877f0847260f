// Package wire defines the HTTP headers and JSON bodies that processes exchange
// with upstreams and the platform; docs/PROTOCOLS.md describes them.
package wire

// Headers of requests and responses.
const (
	HeaderRequestID   = "X-Request-Id"
	HeaderPriority    = "X-Priority"
	HeaderTimeoutMS   = "X-Timeout-Ms"
	HeaderLastEventID = "Last-Event-Id"
	// HeaderIncarnation and HeaderEngineState are the incarnation and the state of the
	// upstream that sends a response.
	HeaderIncarnation = "X-Incarnation"
	HeaderEngineState = "X-Engine-State"
	// HeaderNotRun is "true" in a response if the upstream rejected the request without
	// running it.
	HeaderNotRun = "X-Not-Run"
	// HeaderClaimKey is the key of the claim under which a request runs.
	HeaderClaimKey = "X-Claim-Key"
	// HeaderSenderVM and HeaderSenderZone identify the sender. The fake platform and
	// upstreams in internal/fake use them to simulate network partitions.
	HeaderSenderVM   = "X-Pier-Vm"
	HeaderSenderZone = "X-Pier-Zone"
)

// States of an engine.
const (
	EngineCold    = "cold"
	EngineWarm    = "warm"
	EngineLeaving = "leaving"
)

// ContentTypeEventStream is the content type of server-sent events.
const ContentTypeEventStream = "text/event-stream"
