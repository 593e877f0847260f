// Package distribution spreads the operators' document: a submission is
// decided by one conditional update in the platform's service, one or two VMs
// of each availability zone watch the service, and the others get the document
// from these. No VM ever applies a lower generation than it has applied.
package distribution

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/peer"
)

// ObjectName is the name of the document's object of kind document.
const ObjectName = "current"

// Message types between agents.
const (
	// Notice tells a peer that a generation is to be had here: NoticeRequest,
	// no response body.
	Notice peer.Type = "document.notice"
	// Fetch reads the document: FetchRequest, FetchResponse.
	Fetch peer.Type = "document.fetch"
)

// NoticeRequest announces a generation.
type NoticeRequest struct {
	Generation uint64 `cbor:"1,keyasint"`
	// Address is the agent from which to fetch it.
	Address string `cbor:"2,keyasint"`
}

// FetchRequest asks for a document above Have.
type FetchRequest struct {
	NewerThan uint64 `cbor:"1,keyasint"`
}

// FetchResponse holds the document in force at the peer.
type FetchResponse struct {
	Generation uint64 `cbor:"1,keyasint"`
	// Packed is the document as gzipped YAML; empty when the peer has nothing
	// above Have.
	GzippedText []byte `cbor:"2,keyasint,omitempty"`
}

// Document is an accepted document.
type Document struct {
	// Generation is zero while there is none.
	Generation uint64
	Digest     string
	// Text is the YAML as stored.
	Text   []byte
	Parsed *document.Document
}

// Source says where a document was read.
type Source string

// Sources of documents.
const (
	FromPlatform Source = "platform"
	FromPeer     Source = "peer"
)

// Config of the state machine.
type Config struct {
	VM   string
	Zone string
	// Address is this agent's peer address.
	Address string
	// Seeds are agents to ask while the platform is down at the start.
	Seeds []string
}

// Times of the distribution.
const (
	// pollEvery is the mean time between slow polls of a VM that does not
	// watch; it is the backstop for watchers that live but do not work.
	pollEvery = 10 * time.Minute
	// retryFirst and retryMost bound the backoff towards the platform;
	// retryIdle is the bound for a VM that has a document and does not watch.
	retryFirst = 250 * time.Millisecond
	retryMost  = 10 * time.Second
	retryIdle  = 2 * time.Minute
	// catchUp is how long a generation seen in a heartbeat may take to arrive
	// by notice before it is fetched.
	catchUp = 500 * time.Millisecond
)

// Bounds of the spread.
const (
	// watchers is the number of VMs of a zone that watch the platform.
	watchers = 2
	// fanOut is the number of VMs that a VM notifies.
	fanOut = 3
	// maxAhead is the number of peers remembered as having a newer document.
	maxAhead = 8
)

// Message is an input of the state machine.
type Message interface{ message() }

// ViewSet is a new membership view.
type ViewSet struct{ View membership.View }

// Noticed tells that a peer has a generation. Direct is true for a notice and
// false for what a heartbeat said.
type PeerGeneration struct {
	Address    string
	Generation uint64
	Direct     bool
}

// Read is the end of a poll, a watch or a fetch. Text is nil when there was
// nothing new.
type ReadResult struct {
	Source Source
	// Address is the peer, for FromPeer.
	Address string
	// Watch is true for the end of a watch.
	Watch bool
	Text  []byte
	// Failed is true when the call failed.
	Failed bool
}

// Accepted is a document that was accepted by a submission here.
type SubmissionAccepted struct{ Text []byte }

// Tick lets time pass.
type Tick struct{}

func (ViewSet) message()            {}
func (PeerGeneration) message()     {}
func (ReadResult) message()         {}
func (SubmissionAccepted) message() {}
func (Tick) message()               {}

// Action is an output of the state machine.
type Action interface{ action() }

// Publish puts a document in force here.
type Publish struct{ Document Document }

// Notify sends a notice to peers.
type Notify struct {
	Addresses  []string
	Generation uint64
}

// FetchFrom fetches the document from a peer.
type FetchFrom struct{ Address string }

// Poll reads the document from the platform.
type Poll struct{}

// Watch waits for a change at the platform.
type Watch struct{}

// Refuse tells that a document was not applied.
type Reject struct {
	Generation uint64
	Err        error
}

func (Publish) action()   {}
func (Notify) action()    {}
func (FetchFrom) action() {}
func (Poll) action()      {}
func (Watch) action()     {}
func (Reject) action()    {}
