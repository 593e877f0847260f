// Package rollout paces the staged shares of versions in roll-out, and halts
// and rolls back a version that turns bad. One agent of the fleet leads at a
// time; its state is one object in the platform's service, written by
// conditional update, so that a leader that was paused can't undo what its
// successor did. The shares lapse where they are not renewed.
package rollout

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/control"
	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/peer"
	"github.com/cranberrypier/cranberrypier/internal/platform"
)

// ObjectName is the name of the state's object of kind rollout.
const ObjectName = "state"

// Sync exchanges statistics for the state: SyncRequest, SyncResponse.
const Sync peer.Type = "rollout.sync"

// Times of roll-outs.
const (
	// syncEvery is the time between two reads of the state by a VM, from the
	// platform or from the VM above it.
	syncEvery = 3 * time.Second
	// idleEvery is the same while no version is in roll-out.
	idleEvery = time.Minute
	// retryMost bounds the backoff after failures.
	retryMost = 20 * time.Second
	// takeoverAfter is how long the state must have been seen unchanged before
	// another VM leads; each further rank waits one takeoverStep more.
	takeoverAfter = 15 * time.Second
	takeoverStep  = 5 * time.Second
	// Valid is how long a share lasts after the state was read.
	ShareTTL = 45 * time.Second
	// ValidSettled is the same for a roll-out that has passed its last step,
	// so that an outage does not push all work back to the stable version.
	SettledShareTTL = time.Hour
	// shortHalfLife and longHalfLife are the times in which the two recent
	// statistics of a version lose half of their weight: the short one sees a
	// busy version turn bad early, the long one gathers enough of a quiet one.
	shortHalfLife = 6 * time.Second
	longHalfLife  = time.Minute
)

// Bounds of the judgement.
const (
	// minSamples is the least weight of samples that may halt a roll-out.
	minSamples = 20
	// stepSamples is the least number of requests in a step before the next.
	stepSamples = 10
	// confidence is the number of standard errors by which a limit must be
	// missed.
	confidence = 1.64
	// beyondStable is the factor by which a version's error rate must exceed
	// the stable version's, so that a fault of both halts nothing.
	beyondStable = 1.5
	// leaders is the number of ranks of a zone that may lead.
	leaders = 2
	// fanOut is the number of VMs that ask one VM for the state.
	fanOut = 3
)

// Object is the state of all roll-outs, encoded as JSON.
type Object struct {
	// Leader is the VM that wrote it, and Count grows with each write.
	Leader string `json:"leader" cbor:"1,keyasint"`
	Count  uint64 `json:"count" cbor:"2,keyasint"`
	// Generation is the newest document under which it was written; a VM with
	// an older one does not write, since it would drop what it does not know.
	Generation uint64     `json:"generation" cbor:"4,keyasint"`
	RollOuts   []Progress `json:"rollouts" cbor:"3,keyasint"`
}

// Progress is one version's roll-out.
type Progress struct {
	Model   string `json:"model" cbor:"1,keyasint"`
	Version string `json:"version" cbor:"2,keyasint"`
	// Plan is a digest of the document's plan; another plan starts anew.
	Plan string `json:"plan" cbor:"3,keyasint"`
	Step int    `json:"step" cbor:"4,keyasint"`
	// ElapsedMS is the time in the step under a leader, in milliseconds.
	ElapsedMS int64 `json:"elapsed_ms" cbor:"5,keyasint"`
	// Requests counts the version's requests in the step.
	Requests uint64  `json:"requests" cbor:"6,keyasint"`
	Share    float64 `json:"share" cbor:"7,keyasint"`
	Halted   bool    `json:"halted" cbor:"8,keyasint"`
	// Settled is true once the last step has passed.
	Settled bool   `json:"settled" cbor:"9,keyasint"`
	Reason  string `json:"reason,omitempty" cbor:"10,keyasint,omitempty"`
}

// SyncRequest carries the sender's statistics upwards.
type SyncRequest struct {
	// Agent is the sender's incarnation, to which the totals belong.
	Agent  uint64                    `cbor:"1,keyasint"`
	Totals []control.VersionCounters `cbor:"2,keyasint,omitempty"`
}

// SyncResponse carries the state downwards.
type SyncResponse struct {
	Object Object `cbor:"1,keyasint"`
	// AgeMS is the time since the state was read from the platform, in
	// milliseconds; negative when it never was.
	AgeMS int64 `cbor:"2,keyasint"`
	// Agent and Totals are the responder's.
	Agent  uint64                    `cbor:"3,keyasint"`
	Totals []control.VersionCounters `cbor:"4,keyasint,omitempty"`
}

// Config of the state machine.
type Config struct {
	VM    string
	Zone  string
	Agent uint64
}

// Share is a share in force here.
type Share struct {
	Progress
	NotAfter time.Time
}

// Message is an input of the state machine.
type Message interface{ message() }

// Tick lets time pass.
type Tick struct{}

// DocumentSet is a document put in force.
type DocumentSet struct{ Document *document.Document }

// ViewSet is a new membership view.
type ViewSet struct{ View membership.View }

// Counted are the own router's totals.
type RouterTotals struct {
	Router uint64
	Totals []control.VersionCounters
}

// ReadDone is the end of a read from the platform. Version zero means that
// there is no object.
type ReadDone struct {
	// Sent is the time before the read was sent.
	Sent    time.Time
	Object  Object
	Version platform.Version
	Failed  bool
}

// WriteDone is the end of a write.
type WriteDone struct {
	Object  Object
	Version platform.Version
	Failed  bool
}

// Synced is the response of another VM.
type SyncDone struct {
	VM string
	// Sent is the time before the call was sent.
	Sent     time.Time
	Response SyncResponse
	Failed   bool
	// Above is true when the VM was asked for the state.
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

// Read reads the state from the platform.
type Read struct{}

// Write writes the state over Base; Base zero creates it.
type Write struct {
	Object Object
	Base   platform.Version
}

// Ask calls another VM.
type SyncCall struct {
	VM      string
	Address string
	Request SyncRequest
	// Above is true when the VM is asked for the state.
	FetchState bool
}

// Shares are the shares in force here.
type Shares struct{ List []Share }

// Halted tells that this VM, as the leader, halted a roll-out.
type Halted struct{ Progress Progress }

func (Read) action()     {}
func (Write) action()    {}
func (SyncCall) action() {}
func (Shares) action()   {}
func (Halted) action()   {}
