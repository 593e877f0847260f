// Package control holds the messages between the agent and the router of one
// VM: the router's long poll for control state, with the statistics that it
// hands over, and the request to drain.
package control

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/peer"
)

// Message types that an agent serves to its own router.
const (
	// Watch is the long poll for control state: WatchRequest, WatchResponse.
	Watch peer.Type = "agent.watch"
	// Leaving tells an agent which upstreams the platform's list shows as
	// leaving: LeavingRequest, no response body.
	LeavingUpstreams peer.Type = "agent.leaving"
	// Drain asks an agent to drain its VM: DrainRequest, no response body.
	Drain peer.Type = "agent.drain"
)

// WatchWait is the longest time that an agent holds a watch without news.
const WatchTimeout = 10 * time.Second

// WatchRequest asks for state newer than After and reports the router's own.
type WatchRequest struct {
	// After is the Number of the last response; zero asks for all state at
	// once.
	AfterRevision uint64 `cbor:"1,keyasint"`
	// Agent is the incarnation of the agent that After belongs to, as in the
	// last response; another agent's numbers are not compared.
	AgentIncarnation uint64 `cbor:"2,keyasint"`
	// Generation is the document in force at the router.
	Generation uint64 `cbor:"3,keyasint"`
	// Ready is true while the router takes new work.
	Ready bool `cbor:"4,keyasint"`
	// Running is the number of requests in progress.
	InFlight int `cbor:"5,keyasint"`
	// Counters are the totals by version since the router's start.
	Counters []VersionCounters `cbor:"6,keyasint,omitempty"`
	// Refused is set when the router could not apply the document that it was
	// given: it names the refused generation.
	RejectedGeneration uint64 `cbor:"7,keyasint,omitempty"`
	// Loads are running requests by upstream and version, which orders must
	// not unload.
	Loads []UpstreamLoad `cbor:"8,keyasint,omitempty"`
}

// VersionCounters are totals of one model version at one router. They only
// grow during an incarnation.
type VersionCounters struct {
	Model    string `cbor:"1,keyasint"`
	Version  string `cbor:"2,keyasint"`
	Requests uint64 `cbor:"3,keyasint"`
	Errors   uint64 `cbor:"4,keyasint"`
	// FirstTokenMS is the sum of times to the first token over FirstTokens
	// answers, in milliseconds.
	FirstTokenMS uint64 `cbor:"5,keyasint"`
	FirstTokens  uint64 `cbor:"6,keyasint"`
	// RatingSum is the sum of Ratings ratings, each from 0 to 1.
	RatingSum float64 `cbor:"7,keyasint"`
	Ratings   uint64  `cbor:"8,keyasint"`
}

// UpstreamLoad is the running work of one version on one upstream.
type UpstreamLoad struct {
	Upstream string `cbor:"1,keyasint"`
	// Target is "model@version".
	Target   string `cbor:"2,keyasint"`
	InFlight int    `cbor:"3,keyasint"`
}

// WatchResponse is the whole control state of a VM. Times are spans from the
// moment at which the response was sent, since the clocks of two processes
// are not compared; the router counts them from before it sent the request.
type WatchResponse struct {
	// Number grows with each change of state at this agent.
	Revision uint64 `cbor:"1,keyasint"`
	// Agent is the agent's incarnation.
	AgentIncarnation uint64 `cbor:"2,keyasint"`
	// Generation is the document in force; zero while there is none.
	Generation uint64 `cbor:"3,keyasint"`
	// Document is the document as YAML; empty when the router already has
	// Generation in force.
	Document []byte `cbor:"4,keyasint,omitempty"`
	// View is the agent's membership view.
	View membership.View `cbor:"5,keyasint"`
	// Seats are the seats that this VM holds.
	Seats Seats `cbor:"6,keyasint"`
	// Shares are the roll-out shares in force.
	Shares []RollOutShare `cbor:"7,keyasint,omitempty"`
	// LiveInZone and LiveInFleet count VMs whose router takes work, this one
	// included; both are at least 1.
	LiveInZone  int `cbor:"8,keyasint"`
	LiveInFleet int `cbor:"9,keyasint"`
	// Draining is true once this VM has been told to drain.
	Draining bool `cbor:"10,keyasint"`
	// PlatformUp is true while the platform answers the agent.
	PlatformAvailable bool `cbor:"11,keyasint"`
	// Leaving are the addresses of upstreams that the platform's list shows as
	// leaving; the list lags, so it may lack some.
	LeavingUpstreams []string `cbor:"12,keyasint,omitempty"`
}

// Seats is a lease of numbered seats.
type Seats struct {
	Numbers []int `cbor:"1,keyasint,omitempty"`
	// ValidMS is the remaining time of the lease, in milliseconds.
	ValidMS int64 `cbor:"2,keyasint"`
}

// RollOutShare is a version's share of new sessions and requests.
type RollOutShare struct {
	Model   string  `cbor:"1,keyasint"`
	Version string  `cbor:"2,keyasint"`
	Share   float64 `cbor:"3,keyasint"`
	// Halted is true when the roll-out was stopped and rolled back.
	Halted bool `cbor:"4,keyasint"`
	// ValidMS is the time after which the share lapses to zero unless it is
	// renewed, in milliseconds.
	ValidMS int64 `cbor:"5,keyasint"`
}

// LeavingRequest is the whole list of leaving upstreams.
type LeavingUpstreamsRequest struct {
	// Addresses are in ascending order.
	Addresses []string `cbor:"1,keyasint"`
}

// DrainRequest asks for a graceful stop.
type DrainRequest struct {
	// Undo takes the VM back into service.
	Undo bool `cbor:"1,keyasint"`
}
