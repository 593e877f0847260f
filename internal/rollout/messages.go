// Package rollout raises the traffic share of a new version in steps, and halts
// the roll-out and returns the traffic to the stable version when the new
// version violates a limit of its plan. One agent of the fleet leads at a time.
// The state is one object in the platform store, written by conditional
// updates, so that a leader that was paused cannot overwrite its successor's
// changes. A share that is not renewed expires.
package rollout

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/control"
	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/peer"
	"github.com/cranberrypier/cranberrypier/internal/platform"
)

// ObjectName is the name of the object of kind rollout that holds the state.
const ObjectName = "state"

// Sync exchanges statistics for the state, as SyncRequest and SyncResponse.
const Sync peer.Type = "rollout.sync"

// Intervals and timeouts of roll-outs.
const (
	// syncInterval is the time between two reads of the state by a VM, from the
	// store or from the VM's parent in the zone's tree.
	syncInterval = 3 * time.Second
	// idleInterval replaces syncInterval while no version is in roll-out.
	idleInterval = time.Minute
	// maxBackoff limits the backoff after failures.
	maxBackoff = 20 * time.Second
	// takeoverTimeout is how long the state must be unchanged before another VM
	// becomes the leader. Each further rank in the zone waits one more
	// takeoverStep.
	takeoverTimeout = 15 * time.Second
	takeoverStep    = 5 * time.Second
	// ShareTTL is how long a share is in force after the state was read from the
	// store.
	ShareTTL = 45 * time.Second
	// SettledShareTTL replaces ShareTTL for a roll-out that has passed its last
	// step, so that a store outage does not move all traffic back to the stable
	// version.
	SettledShareTTL = time.Hour
	// shortHalfLife and longHalfLife are the half-lives of the two recent
	// statistics of a version. The short one detects early that a version with
	// much traffic has become faulty, the long one collects enough samples of a
	// version with little traffic.
	shortHalfLife = 6 * time.Second
	longHalfLife  = time.Minute
)

// Thresholds for halting a roll-out and for starting its next step.
const (
	// minSamples is the minimum weight of the samples that can halt a roll-out.
	minSamples = 20
	// minStepRequests is the minimum number of requests in a step before the
	// next one.
	minStepRequests = 10
	// zScore is the number of standard errors by which a limit must be violated.
	zScore = 1.64
	// stableErrorFactor is the factor by which a version's error rate must
	// exceed the stable version's, so that a fault that affects both does not
	// halt the roll-out.
	stableErrorFactor = 1.5
	// leadersPerZone is the number of VMs of a zone, by rank, that may lead.
	leadersPerZone = 2
	// fanOut is the number of children of a VM in its zone's tree.
	fanOut = 3
)

// Object is the state of all roll-outs, encoded as JSON.
type StoredState struct {
	// Leader is the VM that wrote the object. Count is incremented by each
	// write.
	Leader string `json:"leader" cbor:"1,keyasint"`
	Count  uint64 `json:"count" cbor:"2,keyasint"`
	// Generation is the highest document generation of any writer. A VM with an
	// older document does not write, since it would drop roll-outs that only the
	// newer document contains.
	Generation uint64     `json:"generation" cbor:"4,keyasint"`
	RollOuts   []Progress `json:"rollouts" cbor:"3,keyasint"`
}

// Progress is one version's roll-out.
type Progress struct {
	Model   string `json:"model" cbor:"1,keyasint"`
	Version string `json:"version" cbor:"2,keyasint"`
	// Plan is a digest of the document's plan. A changed plan starts a new
	// roll-out.
	PlanDigest string `json:"plan" cbor:"3,keyasint"`
	Step       int    `json:"step" cbor:"4,keyasint"`
	// ElapsedMS is the time spent in the step while a VM led, in milliseconds.
	ElapsedMS int64 `json:"elapsed_ms" cbor:"5,keyasint"`
	// Requests counts the version's requests in the current step.
	Requests uint64  `json:"requests" cbor:"6,keyasint"`
	Share    float64 `json:"share" cbor:"7,keyasint"`
	Halted   bool    `json:"halted" cbor:"8,keyasint"`
	// Settled is true once the last step is complete.
	Settled bool   `json:"settled" cbor:"9,keyasint"`
	Reason  string `json:"reason,omitempty" cbor:"10,keyasint,omitempty"`
}

// SyncRequest carries the caller's statistics towards the zone's first VM.
type SyncRequest struct {
	// Agent is the caller's incarnation, to which the totals belong.
	Incarnation uint64                    `cbor:"1,keyasint"`
	Totals      []control.VersionCounters `cbor:"2,keyasint,omitempty"`
}

// SyncResponse carries the state to the caller.
type SyncResponse struct {
	Object StoredState `cbor:"1,keyasint"`
	// AgeMS is the time since the state was read from the store, in
	// milliseconds. It is negative when the responder has no state that was ever
	// read.
	AgeMS int64 `cbor:"2,keyasint"`
	// Agent is the responder's incarnation, to which Totals belong.
	Incarnation uint64                    `cbor:"3,keyasint"`
	Totals      []control.VersionCounters `cbor:"4,keyasint,omitempty"`
}

// Config of the state machine.
type Config struct {
	VM          string
	Zone        string
	Incarnation uint64
}

// Share is the share of a version that applies at this VM until NotAfter.
type Share struct {
	Progress
	NotAfter time.Time
}

// Message is an input of the state machine.
type Message interface{ message() }

// Tick is the periodic event that lets the state machine check its timers.
type Tick struct{}

// DocumentSet is the document that is now in force.
type DocumentSet struct{ Document *document.Document }

// ViewSet is a new membership view.
type ViewSet struct{ View membership.View }

// RouterTotals carries the totals of this VM's own router.
type RouterTotals struct {
	RouterIncarnation uint64
	Totals            []control.VersionCounters
}

// ReadDone is the result of a read from the store. Version zero means that the
// object does not exist.
type ReadDone struct {
	// Sent is the time just before the read was sent.
	Sent          time.Time
	Object        StoredState
	ObjectVersion platform.Version
	Failed        bool
}

// WriteDone is the result of a write.
type WriteDone struct {
	Object        StoredState
	ObjectVersion platform.Version
	Failed        bool
}

// SyncDone is the result of a call to another VM.
type SyncDone struct {
	VM string
	// Sent is the time just before the call was sent.
	Sent     time.Time
	Response SyncResponse
	Failed   bool
	// FetchState is true when the call was made to get the state, not only
	// statistics.
	FetchState bool
}

func (Tick) message()         {}
func (DocumentSet) message()  {}
func (ViewSet) message()      {}
func (RouterTotals) message() {}
func (ReadDone) message()     {}
func (WriteDone) message()    {}
func (SyncDone) message()     {}

// Action is an output of the state machine.
type Action interface{ action() }

// Read reads the state from the store.
type Read struct{}

// Write replaces version Base of the state. With Base zero it creates the
// object.
type Write struct {
	Object StoredState
	Base   platform.Version
}

// SyncCall calls another VM.
type SyncCall struct {
	VM      string
	Address string
	Request SyncRequest
	// FetchState is true when the call is made to get the state, not only
	// statistics.
	FetchState bool
}

// Shares lists the shares that apply at this VM from now on.
type Shares struct{ List []Share }

// Halted reports that this VM, as the leader, halted a roll-out.
type Halted struct{ Progress Progress }

func (Read) action()     {}
func (Write) action()    {}
func (SyncCall) action() {}
func (Shares) action()   {}
func (Halted) action()   {}
