package claims

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/platform"
)

// ArrivalID is the number of an arrival at one process.
type ArrivalID uint64

// Message is an input of the core: one of the types below.
type Message interface{ claimsMessage() }

// Arrive is a request to run a unit of work.
type Arrival struct {
	ID      ArrivalID
	Request Request
}

// StoreRead is the answer to ReadJournal. A missing object is not an error; its
// version is zero. Err carries a result code.
type StoreRead struct {
	Op      uint64
	Journal JournalID
	Object  platform.Object
	Err     error
}

// StoreWritten is the answer to WriteJournal. Err carries a result code.
type StoreWritten struct {
	Op      uint64
	Journal JournalID
	Version platform.Version
	Err     error
}

// PeerPut is a peer's request to apply an item to a journal. The ReplyPut that
// answers it carries the same Call.
type PeerPut struct {
	Call uint64
	Body PutBody
}

// PeerJoin is a peer's request for the outcome of a claim of this VM.
type PeerJoin struct {
	Call uint64
	Body JoinBody
}

// PutDone is the answer to SendPut; Failed is true if none was received.
type PutDone struct {
	Call   uint64
	Failed bool
	Body   PutAnswer
}

// JoinDone is the answer to SendJoin; Failed is true if none was received.
type JoinDone struct {
	Call   uint64
	Failed bool
	Body   JoinAnswer
}

// RunEnded reports the outcome of a run that was started.
type RunEnded struct {
	Digest      Digest
	ClaimNumber uint64
	Outcome     Outcome
}

// SetView sets the membership view.
type SetView struct{ View membership.View }

// Tick makes the core process what is due. Core.NextTick returns when it needs one.
type Tick struct{}

// Flush makes the core record outcomes without waiting to batch them.
type Flush struct{}

func (Arrival) claimsMessage()      {}
func (StoreRead) claimsMessage()    {}
func (StoreWritten) claimsMessage() {}
func (PeerPut) claimsMessage()      {}
func (PeerJoin) claimsMessage()     {}
func (PutDone) claimsMessage()      {}
func (JoinDone) claimsMessage()     {}
func (RunEnded) claimsMessage()     {}
func (SetView) claimsMessage()      {}
func (Tick) claimsMessage()         {}
func (Flush) claimsMessage()        {}

// Action is an output of the core: one of the types below.
type Action interface{ claimsAction() }

// ReadJournal reads a journal's object.
type ReadJournal struct {
	Op      uint64
	Journal JournalID
}

// WriteJournal writes a journal's object if its version is still BaseVersion; zero
// means that the object must not exist.
type WriteJournal struct {
	Op          uint64
	Journal     JournalID
	BaseVersion platform.Version
	Value       []byte
	// Items is the number of claims and outcomes that the write adds.
	Items int
}

// SendPut requests the peer at Addr to apply an item.
type SendPut struct {
	Call uint64
	Addr string
	Body PutBody
}

// SendJoin requests the outcome of a claim from its process at Addr and waits for
// it until Deadline.
type SendJoin struct {
	Call     uint64
	Addr     string
	Deadline time.Time
	Body     JoinBody
}

// ReplyPut answers a PeerPut.
type ReplyPut struct {
	Call uint64
	Body PutAnswer
}

// ReplyJoin answers a PeerJoin.
type ReplyJoin struct {
	Call uint64
	Body JoinAnswer
}

// Start runs the work of an arrival. The core returns it at most once per claim
// number.
type Start struct {
	Arrival     ArrivalID
	Digest      Digest
	ClaimNumber uint64
	Deadline    time.Time
}

// Answer answers an arrival. Err carries a result code; it is nil if there is an
// outcome.
type Answer struct {
	Arrival ArrivalID
	Outcome Outcome
	Err     error
}

// RecordEvent records a time line event.
type RecordEvent struct {
	Request string
	Name    string
	Digest  Digest
	Detail  string
}

func (ReadJournal) claimsAction()  {}
func (WriteJournal) claimsAction() {}
func (SendPut) claimsAction()      {}
func (SendJoin) claimsAction()     {}
func (ReplyPut) claimsAction()     {}
func (ReplyJoin) claimsAction()    {}
func (Start) claimsAction()        {}
func (Answer) claimsAction()       {}
func (RecordEvent) claimsAction()  {}

// PutBody is the body of claims.put.
type PutBody struct {
	Journal JournalID `cbor:"1,keyasint"`
	Item    Item      `cbor:"2,keyasint"`
	// BypassCache requests a verdict on the stored journal and not on a cached
	// copy.
	BypassCache bool `cbor:"3,keyasint,omitempty"`
}

// PutAnswer is the answer to claims.put.
type PutAnswer struct {
	Verdict Verdict `cbor:"1,keyasint"`
	// Record is the claim that the journal holds; set for ClaimedByOther.
	Record Record `cbor:"2,keyasint"`
}

// JoinBody is the body of claims.join.
type JoinBody struct {
	Digest  Digest  `cbor:"1,keyasint"`
	Claimer Claimer `cbor:"2,keyasint"`
}

// ClaimStatus is the state of a claim at the process that made it.
type ClaimStatus uint8

// Claim statuses.
const (
	// StatusUnknown: the process that was asked is not the claimer, or can't rule
	// out that the work was started.
	StatusUnknown ClaimStatus = iota
	// StatusEnded: the run ended; the answer contains its outcome.
	StatusEnded
	// StatusAbandoned: the claimer never ran the work and never will.
	StatusAbandoned
)

// JoinAnswer is the answer to claims.join.
type JoinAnswer struct {
	Status  ClaimStatus `cbor:"1,keyasint"`
	Outcome Outcome     `cbor:"2,keyasint"`
}
