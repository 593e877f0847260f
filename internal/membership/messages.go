// Package membership tells each VM which others live: heartbeats inside the
// availability zone, summaries between zones, suspicion before death.
package membership

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/invariant"
	"github.com/cranberrypier/cranberrypier/internal/peer"
)

// IncarnationMonotone is violated when the incarnation known of a VM falls.
const IncarnationMonotone invariant.Name = "member_incarnation_monotone"

// Message types between agents.
const (
	// Heartbeat carries an Exchange in both directions.
	Heartbeat peer.Type = "member.beat"
	// ListZone asks an agent for the members of its zone with their
	// generations: no request body, View.
	ListZone peer.Type = "member.zone"
)

// Status is a member's state as seen here.
type Status string

// Statuses of a member.
const (
	Alive   Status = "alive"
	Suspect Status = "suspect"
	Dead    Status = "dead"
	Leaving Status = "leaving"
)

// Member is one VM.
type Member struct {
	VM   string `cbor:"1,keyasint" json:"vm"`
	Zone string `cbor:"2,keyasint" json:"zone"`
	// Incarnation grows with each start of the VM's agent.
	Incarnation uint64 `cbor:"3,keyasint" json:"incarnation"`
	// Agent and Router are the peer addresses, IP:port.
	Agent  string `cbor:"4,keyasint" json:"agent"`
	Router string `cbor:"5,keyasint" json:"router"`
	Status Status `cbor:"6,keyasint" json:"status"`
	// Generation is the document in force at that VM, as far as it is known
	// here: always for the own zone at its speakers, else from the last
	// heartbeat with that VM.
	Generation uint64 `cbor:"7,keyasint" json:"generation"`
	// Schema is the newest document schema that the VM understands.
	Schema int `cbor:"8,keyasint" json:"schema"`
	// RouterUp is true while the VM's router answers its agent.
	RouterUp bool `cbor:"9,keyasint" json:"router_up"`
	// Left is true once the VM has announced that it leaves, also when it is
	// dead by now.
	AnnouncedLeave bool `cbor:"10,keyasint" json:"left"`
	// Platform is true while the VM says that it reaches the platform.
	Platform bool `cbor:"11,keyasint" json:"platform"`
}

// View is a list of members, in ascending order of VM name.
type View struct {
	// Number grows with each change at this VM; it says nothing elsewhere.
	Number  uint64   `cbor:"1,keyasint" json:"number"`
	Members []Member `cbor:"2,keyasint" json:"members"`
}

// Times of membership.
const (
	// beatEvery is the time between two heartbeats of a VM.
	beatEvery = time.Second
	// suspectTime is how long a suspected member has to answer before it
	// counts as dead.
	suspectTime = 4 * time.Second
	// speakEvery is the time between two summaries to each other zone, and
	// speakNews the least time before one that carries news.
	speakEvery = 3 * time.Second
	speakNews  = time.Second
	// zoneSuspect and zoneDead are the silences after which the members of
	// another zone count as suspect and dead here.
	zoneSuspect = 10 * time.Second
	zoneDead    = 30 * time.Second
	// hintEvery and hintAlone are the times between two tries of an address
	// that no known member has, without and with no other member known.
	hintEvery = 30 * time.Second
	hintAlone = time.Second
	// reviveEvery is the time between two heartbeats to dead members, which
	// may be on the other side of a cut.
	reviveEvery = 5 * time.Second
	// syncEvery is the least time between two full comparisons of a zone.
	syncEvery = 3 * time.Second
	// eagerEvery is the least time between two rounds of heartbeats that
	// spread news at once.
	eagerEvery = 200 * time.Millisecond
	// forgetAfter is how long a dead member is remembered.
	forgetAfter = time.Hour
	// stall is the time between two steps after which this process counts as
	// having been paused: what it measured meanwhile says nothing of others.
	stall = 2 * time.Second
)

// Bounds of exchanges.
const (
	// maxUpdates is the number of records in a heartbeat that is no full
	// comparison.
	maxUpdates = 6
	// maxSummary is the number of records in a heartbeat to another zone that
	// is no full comparison.
	maxSummary = 32
	// eagerTargets is the number of members to which news is spread at once.
	eagerTargets = 2
	// maxFingers bounds the members of the own zone that a VM talks to.
	maxFingers = 8
	// speakers is the number of VMs of a zone that know every generation of
	// the zone.
	speakers = 2
)

// Message is an input of the state machine.
type Message interface{ message() }

// Tick lets time pass.
type Tick struct{}

// Replied is the response to a Ping.
type PingReplied struct {
	Ping     Ping
	Exchange Exchange
}

// Failed is a Ping without a response.
type PingFailed struct{ Ping Ping }

// SetSelf is a change of the own record. Generation can be fetched here,
// InForce is in force at the router.
type SetSelf struct {
	RouterUp   bool
	Leaving    bool
	Platform   bool
	Generation uint64
	InForce    uint64
}

// Hints are addresses of agents that may exist.
type CandidateAddresses struct{ Addresses []string }

func (Tick) message()               {}
func (PingReplied) message()        {}
func (PingFailed) message()         {}
func (SetSelf) message()            {}
func (CandidateAddresses) message() {}

// Action is an output of the state machine.
type Action interface{ action() }

// Ping sends a heartbeat. VM is empty when only the address is known.
type Ping struct {
	VM       string
	Address  string
	Exchange Exchange
}

// Changed is a new view.
type ViewChanged struct{ View View }

// Ahead tells that a peer has a newer document than this VM.
type NewerDocument struct {
	Address    string
	Generation uint64
}

func (Ping) action()          {}
func (ViewChanged) action()   {}
func (NewerDocument) action() {}

// Config of the state machine.
type Config struct {
	// Self is the own record at the start.
	Self Record
	// Seeds are addresses of agents that may exist.
	Seeds []string
}
