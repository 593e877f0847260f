// Package distribution distributes the operators' document to all VMs. One
// conditional update of the platform's object store decides a submission. One or
// two VMs of each availability zone watch the store, and the other VMs fetch the
// document from them. No VM ever applies a generation lower than one that it has
// already applied.
package distribution

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/peer"
)

// ObjectName is the name of the object that holds the document; its kind is
// platform.KindDocument.
const ObjectName = "current"

// Message types between agents.
const (
	// Notice announces to a peer that a generation can be fetched from the
	// sender. The request is a NoticeRequest; the response has no body.
	Notice peer.Type = "document.notice"
	// Fetch reads the document. The request is a FetchRequest, the response a
	// FetchResponse.
	Fetch peer.Type = "document.fetch"
)

// NoticeRequest announces a generation.
type NoticeRequest struct {
	Generation uint64 `cbor:"1,keyasint"`
	// Address is the peer address of the agent to fetch it from.
	Address string `cbor:"2,keyasint"`
}

// FetchRequest requests the document if its generation is above NewerThan.
type FetchRequest struct {
	NewerThan uint64 `cbor:"1,keyasint"`
}

// FetchResponse contains the document in force at the peer.
type FetchResponse struct {
	Generation uint64 `cbor:"1,keyasint"`
	// GzippedText is the document as gzipped YAML. It is empty when the peer
	// has no generation above NewerThan.
	GzippedText []byte `cbor:"2,keyasint,omitempty"`
}

// Document is an accepted document.
type Document struct {
	// Generation is zero while this VM has no document.
	Generation uint64
	Digest     string
	// Text is the YAML as in the object store.
	Text   []byte
	Parsed *document.Document
}

// Source is the origin of a document.
type Source string

// Sources of documents.
const (
	FromPlatform Source = "platform"
	FromPeer     Source = "peer"
)

// Config configures the state machine.
type Config struct {
	VM   string
	Zone string
	// Address is this agent's peer address.
	Address string
	// Seeds are the peer addresses of agents from which a VM without a document
	// fetches it while the platform is unavailable.
	Seeds []string
}

// Intervals and timeouts.
const (
	// pollInterval is the mean time between two polls of a VM that does not
	// watch. The polls cover the case that a zone's watchers are alive but do
	// not distribute documents.
	pollInterval = 10 * time.Minute
	// minBackoff and maxBackoff are the limits of the backoff after failed
	// reads from the platform. maxIdleBackoff is the upper limit for a VM that
	// has a document and does not watch.
	minBackoff     = 250 * time.Millisecond
	maxBackoff     = 10 * time.Second
	maxIdleBackoff = 2 * time.Minute
	// heartbeatFetchDelay is the minimum time after which a VM fetches a
	// generation that a heartbeat announced. In this time a notice usually
	// arrives, and the VM fetches the document at once.
	heartbeatFetchDelay = 500 * time.Millisecond
)

// Limits of the distribution.
const (
	// watchersPerZone is the number of VMs of a zone that watch the platform.
	watchersPerZone = 2
	// fanOut is the number of VMs of its own zone that a VM notifies.
	fanOut = 3
	// maxNewerPeers is the maximum number of peers kept as having a newer
	// document.
	maxNewerPeers = 8
)

// Message is an input of the state machine.
type Message interface{ message() }

// ViewSet is a new membership view.
type ViewSet struct{ View membership.View }

// PeerGeneration reports that a peer has a generation. Direct is true when a
// notice announced it and false when a heartbeat did.
type PeerGeneration struct {
	Address    string
	Generation uint64
	FromNotice bool
}

// ReadResult is the result of a poll, a watch or a fetch. Text is nil when there
// is no new document.
type ReadResult struct {
	Source Source
	// Address is the peer, for FromPeer.
	Address string
	// Watch is true for the result of a watch.
	Watch bool
	Text  []byte
	// Failed is true when the call failed.
	Failed bool
}

// SubmissionAccepted is a document that was accepted by a submission at this VM.
type SubmissionAccepted struct{ Text []byte }

// Tick advances the time.
type Tick struct{}

func (ViewSet) message()            {}
func (PeerGeneration) message()     {}
func (ReadResult) message()         {}
func (SubmissionAccepted) message() {}
func (Tick) message()               {}

// Action is an output of the state machine.
type Action interface{ action() }

// Publish puts a document in force at this VM.
type PutInForce struct{ Document Document }

// Notify sends a notice to peers.
type Notify struct {
	Addresses  []string
	Generation uint64
}

// FetchFrom fetches the document from a peer.
type FetchFrom struct{ Address string }

// Poll reads the document from the platform.
type Poll struct{}

// Watch waits for a change of the document at the platform.
type Watch struct{}

// Reject reports that a document was rejected.
type Reject struct {
	Generation uint64
	Err        error
}

func (PutInForce) action() {}
func (Notify) action()     {}
func (FetchFrom) action()  {}
func (Poll) action()       {}
func (Watch) action()      {}
func (Reject) action()     {}
