package claims

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/platform"
)

// ArrivalID numbers the arrivals at one process.
type ArrivalID uint64

// Message is an input of the core: one of the types below.
type Message interface{ claimsMessage() }

// Arrive is a request that wants its work run.
type Arrive struct {
	ID      ArrivalID
	Request Request
}

// StoreRead is the answer to ReadJournal. A missing object is no error: it has
// version zero. Err carries a result code.
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

// PeerPut asks this VM to apply an item to a journal; Call names the answer.
type PeerPut struct {
	Call uint64
	Body PutBody
}

// PeerJoin asks this VM what became of a claim of its own.
type PeerJoin struct {
	Call uint64
	Body JoinBody
}

// PutDone is the answer to SendPut; Failed is true when none came.
type PutDone struct {
	Call   uint64
	Failed bool
	Body   PutAnswer
}

// JoinDone is the answer to SendJoin; Failed is true when none came.
type JoinDone struct {
	Call   uint64
	Failed bool
	Body   JoinAnswer
}

// RunEnded says what the started run produced.
type RunEnded struct {
	Digest  Digest
	Number  uint64
	Outcome Outcome
}

// SetView is a new list of members.
type SetView struct{ View membership.View }

// Tick lets time pass; the core says by Next when it wants one.
type Tick struct{}

// Flush makes the core record outcomes without waiting to gather more.
type Flush struct{}

func (Arrive) claimsMessage()       {}
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

// WriteJournal writes a journal's object on condition that its version is
// still Base; zero means that it must not exist.
type WriteJournal struct {
	Op          uint64
	Journal     JournalID
	BaseVersion platform.Version
	Value       []byte
	// Items is the number of claims and outcomes that the write adds.
	Items int
}

// SendPut asks the peer at Addr to apply an item.
type SendPut struct {
	Call uint64
	Addr string
	Body PutBody
}

// SendJoin asks the peer at Addr what became of its claim, until Deadline.
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

// Start runs the work of an arrival. It is given once a claimer number.
type Start struct {
	Arrival  ArrivalID
	Digest   Digest
	Number   uint64
	Deadline time.Time
}

// Answer ends an arrival; Err carries a result code and is nil for an outcome.
type Answer struct {
	Arrival ArrivalID
	Outcome Outcome
	Err     error
}

// Note is a time line event.
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
	// Fresh asks for a verdict on the object as it is now, not as remembered.
	BypassCache bool `cbor:"3,keyasint,omitempty"`
}

// PutAnswer is the answer to claims.put.
type PutAnswer struct {
	Verdict Verdict `cbor:"1,keyasint"`
	// Record stands in the journal; set for Taken.
	Record Record `cbor:"2,keyasint"`
}

// JoinBody is the body of claims.join.
type JoinBody struct {
	Digest  Digest  `cbor:"1,keyasint"`
	Claimer Claimer `cbor:"2,keyasint"`
}

// Fate is what became of a claim.
type ClaimStatus uint8

// Fates.
const (
	// FateUnknown: the process asked is not the claimer.
	StatusUnknown ClaimStatus = iota
	// FateEnded: the run ended; the outcome is given.
	StatusEnded
	// FateAbandoned: the claimer never ran the work and never will.
	StatusAbandoned
)

// JoinAnswer is the answer to claims.join.
type JoinAnswer struct {
	Status  ClaimStatus `cbor:"1,keyasint"`
	Outcome Outcome     `cbor:"2,keyasint"`
}
