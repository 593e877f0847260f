// Package control defines the messages between the agent and the router of one
// VM: the router's long poll and the request to drain. The long poll returns the
// control state: the document, the membership view, the seats (see package seats)
// and the roll-out shares that the agent passes to its router. With each poll the
// router reports its statistics. The package also defines the message with which agents share the list
// of leaving upstreams.
package control

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/peer"
)

// Message types that an agent serves.
const (
	// Watch is the router's long poll for control state: WatchRequest,
	// WatchResponse.
	Watch peer.Type = "agent.watch"
	// LeavingUpstreams sends an agent the upstreams that are leaving according to the
	// platform's list: LeavingUpstreamsRequest, no response body.
	LeavingUpstreams peer.Type = "agent.leaving"
	// Drain asks an agent to drain its VM: DrainRequest, no response body.
	Drain peer.Type = "agent.drain"
)

// WatchTimeout is how long an agent waits for a change before it answers a watch.
const WatchTimeout = 10 * time.Second

// WatchRequest requests state newer than AfterRevision and reports the state of
// the router.
type WatchRequest struct {
	// AfterRevision is the Revision of the last response. Zero requests the state
	// immediately.
	AfterRevision uint64 `cbor:"1,keyasint"`
	// AgentIncarnation is the AgentIncarnation of the last response: that of the
	// agent that assigned AfterRevision. Revisions of different incarnations are
	// not comparable.
	AgentIncarnation uint64 `cbor:"2,keyasint"`
	// Generation is the generation of the document in force at the router.
	Generation uint64 `cbor:"3,keyasint"`
	// Ready is true while the router accepts requests.
	Ready bool `cbor:"4,keyasint"`
	// InFlight is the number of in-flight requests.
	InFlight int `cbor:"5,keyasint"`
	// Counters are the totals by model version since the router's start.
	Counters []VersionCounters `cbor:"6,keyasint,omitempty"`
	// RejectedGeneration is the generation of the last document that the router
	// could not apply, or zero.
	RejectedGeneration uint64 `cbor:"7,keyasint,omitempty"`
	// Loads are the in-flight requests by upstream and version. The agent must
	// not order an engine to unload these versions there.
	Loads []UpstreamLoad `cbor:"8,keyasint,omitempty"`
}

// VersionCounters are the totals of one model version at one router. They never
// decrease during an incarnation of the router.
type VersionCounters struct {
	Model    string `cbor:"1,keyasint"`
	Version  string `cbor:"2,keyasint"`
	Requests uint64 `cbor:"3,keyasint"`
	Errors   uint64 `cbor:"4,keyasint"`
	// FirstTokenMS is the sum of the times to first token, in milliseconds, of the
	// responses that had one; FirstTokens is the number of these responses.
	FirstTokenMS uint64 `cbor:"5,keyasint"`
	FirstTokens  uint64 `cbor:"6,keyasint"`
	// RatingSum is the sum of Ratings ratings, each from 0 to 1.
	RatingSum float64 `cbor:"7,keyasint"`
	Ratings   uint64  `cbor:"8,keyasint"`
}

// UpstreamLoad is the number of in-flight requests of one version on one
// upstream.
type UpstreamLoad struct {
	Upstream string `cbor:"1,keyasint"`
	// Target is "model@version".
	Target   string `cbor:"2,keyasint"`
	InFlight int    `cbor:"3,keyasint"`
}

// WatchResponse is the complete control state of a VM. The ValidMS values count from
// when the agent sends the response. The clocks of two processes are not compared,
// so the router counts from before it sent the request. That is earlier, so the
// router uses nothing after it has expired.
type WatchResponse struct {
	// Revision is the revision of the state at this agent. It grows with each
	// change.
	Revision uint64 `cbor:"1,keyasint"`
	// AgentIncarnation is the agent's incarnation.
	AgentIncarnation uint64 `cbor:"2,keyasint"`
	// Generation is the generation of the document in force, or zero if there is
	// none.
	Generation uint64 `cbor:"3,keyasint"`
	// Document is the document as YAML. It is empty if Generation is already in
	// force at the router.
	Document []byte `cbor:"4,keyasint,omitempty"`
	// View lists the VMs as the agent's membership sees them.
	View membership.View `cbor:"5,keyasint"`
	// Seats are the seats that this VM holds; see package seats.
	Seats Seats `cbor:"6,keyasint"`
	// Shares are the roll-out shares in force.
	Shares []RollOutShare `cbor:"7,keyasint,omitempty"`
	// LiveInZone and LiveInFleet are the numbers of VMs whose router accepts
	// requests, including this VM. Both are at least 1.
	LiveInZone  int `cbor:"8,keyasint"`
	LiveInFleet int `cbor:"9,keyasint"`
	// Draining is true once this VM has been requested to drain.
	Draining bool `cbor:"10,keyasint"`
	// PlatformAvailable is true while the platform responds to the agent.
	PlatformAvailable bool `cbor:"11,keyasint"`
	// LeavingUpstreams are the addresses of the upstreams that are leaving
	// according to the platform's list. The platform updates the list late, so
	// upstreams that have just begun to leave may be missing.
	LeavingUpstreams []string `cbor:"12,keyasint,omitempty"`
}

// Seats is a lease on numbered seats.
type Seats struct {
	Numbers []int `cbor:"1,keyasint,omitempty"`
	// ValidMS is the time until the lease expires, in milliseconds.
	ValidMS int64 `cbor:"2,keyasint"`
}

// RollOutShare is the share of new sessions and requests that a version receives
// during its roll-out.
type RollOutShare struct {
	Model   string  `cbor:"1,keyasint"`
	Version string  `cbor:"2,keyasint"`
	Share   float64 `cbor:"3,keyasint"`
	// Halted is true once the roll-out was stopped and reverted.
	Halted bool `cbor:"4,keyasint"`
	// ValidMS is the time until the share expires, in milliseconds. An expired
	// share counts as zero; updates renew it.
	ValidMS int64 `cbor:"5,keyasint"`
}

// LeavingUpstreamsRequest is the complete list of leaving upstreams.
type LeavingUpstreamsRequest struct {
	// Addresses are in ascending order.
	Addresses []string `cbor:"1,keyasint"`
}

// DrainRequest asks the agent to drain its VM, or to end the draining if Undo is
// true.
type DrainRequest struct {
	// Undo puts the VM back into service.
	Undo bool `cbor:"1,keyasint"`
}
