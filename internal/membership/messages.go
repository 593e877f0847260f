// Package membership maintains on each VM the list of all VMs and their
// liveness. VMs exchange heartbeats inside their availability zone and
// summaries between zones, and a member is suspect before it counts as dead.
package membership

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/invariant"
	"github.com/cranberrypier/cranberrypier/internal/peer"
)

// IncarnationMonotone is violated when the cached incarnation of a VM decreases.
const IncarnationMonotone invariant.Name = "member_incarnation_monotone"

// Message types between agents.
const (
	// Heartbeat carries an Exchange in both directions.
	Heartbeat peer.Type = "member.beat"
	// ListZone requests the members of the agent's zone with their
	// generations. The request has no body; the response is a View.
	ListZone peer.Type = "member.zone"
)

// Status is a member's state as seen by this VM.
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
	// Incarnation increases with each start of the VM's agent.
	Incarnation uint64 `cbor:"3,keyasint" json:"incarnation"`
	// Agent and Router are the peer addresses, IP:port.
	Agent  string `cbor:"4,keyasint" json:"agent"`
	Router string `cbor:"5,keyasint" json:"router"`
	Status Status `cbor:"6,keyasint" json:"status"`
	// Generation is the generation of the document in force at that VM. A
	// speaker receives it from every VM of its own zone; other VMs have the
	// value from their last heartbeat with that VM.
	Generation uint64 `cbor:"7,keyasint" json:"generation"`
	// Schema is the newest document schema that the VM supports.
	Schema int `cbor:"8,keyasint" json:"schema"`
	// RouterUp is true while the VM's router responds to its agent.
	RouterUp bool `cbor:"9,keyasint" json:"router_up"`
	// AnnouncedLeave is true once the VM has announced that it is leaving. It
	// stays true when the VM's status is dead.
	AnnouncedLeave bool `cbor:"10,keyasint" json:"left"`
	// Platform is true while the VM reports that it can reach the platform.
	ReachesPlatform bool `cbor:"11,keyasint" json:"platform"`
}

// View is a list of members, in ascending order of VM name.
type View struct {
	// Number increases with each change of this VM's view. It can't be
	// compared with the numbers of other VMs.
	Number  uint64   `cbor:"1,keyasint" json:"number"`
	Members []Member `cbor:"2,keyasint" json:"members"`
}

// Intervals and timeouts.
const (
	// heartbeatInterval is the mean time between two heartbeats of a VM.
	heartbeatInterval = time.Second
	// suspectTimeout is how long a suspected member has to respond before it
	// is declared dead.
	suspectTimeout = 4 * time.Second
	// summaryInterval is the time between two summaries to each other zone.
	// After a change in the own zone the next summary is sent earlier, but not
	// less than minSummaryInterval after the last.
	summaryInterval    = 3 * time.Second
	minSummaryInterval = time.Second
	// zoneSuspectTimeout and zoneDeadTimeout are the times without a new beat
	// of another zone after which this VM treats all members of that zone as
	// suspect and as dead.
	zoneSuspectTimeout = 10 * time.Second
	zoneDeadTimeout    = 30 * time.Second
	// joinInterval is the mean time between two heartbeats to addresses that
	// no known member has. aloneJoinInterval applies while this VM knows no
	// other member.
	joinInterval      = 30 * time.Second
	aloneJoinInterval = time.Second
	// deadProbeInterval is the mean time between two heartbeats to dead
	// members, which may be on the other side of a network partition.
	deadProbeInterval = 5 * time.Second
	// minSyncInterval is the minimum time between two full comparisons of a
	// zone.
	minSyncInterval = 3 * time.Second
	// minEagerInterval is the minimum time between two rounds of eager
	// heartbeats, which send updates without waiting for heartbeatInterval.
	minEagerInterval = 200 * time.Millisecond
	// deadRetention is how long the record of a dead member is kept.
	deadRetention = time.Hour
	// pauseThreshold is the time between two steps above which this process
	// is assumed to have been paused. Silence measured across the pause does
	// not show that other VMs have failed.
	pauseThreshold = 2 * time.Second
)

// Limits of exchanges.
const (
	// maxUpdates is the maximum number of records in a heartbeat inside the
	// zone, unless it requests a full comparison.
	maxUpdates = 6
	// maxSummaryUpdates is the maximum number of records in a heartbeat to
	// another zone, unless it requests a full comparison.
	maxSummaryUpdates = 32
	// eagerTargets is the number of members in a round of eager heartbeats.
	eagerTargets = 2
	// maxFingers is the maximum number of members of the own zone to which a
	// VM sends regular heartbeats.
	maxFingers = 8
	// speakersPerZone is the number of VMs of a zone that receive the
	// generation in force of every VM of the zone.
	speakersPerZone = 2
)

// Message is an input of the state machine.
type Message interface{ message() }

// Tick advances the time.
type Tick struct{}

// PingReplied is the response to a Ping.
type HeartbeatResponse struct {
	Heartbeat SendHeartbeat
	Exchange  Exchange
}

// PingFailed reports a Ping without a response.
type HeartbeatFailed struct{ Heartbeat SendHeartbeat }

// SetSelf sets the mutable fields of the own record. Generation is the
// generation that can be fetched from this agent, InForce the one in force at
// the router.
type SetSelf struct {
	RouterUp        bool
	Leaving         bool
	ReachesPlatform bool
	Generation      uint64
	InForce         uint64
}

// CandidateAddresses are addresses at which agents may exist.
type CandidateAddresses struct{ Addresses []string }

func (Tick) message()               {}
func (HeartbeatResponse) message()  {}
func (HeartbeatFailed) message()    {}
func (SetSelf) message()            {}
func (CandidateAddresses) message() {}

// Action is an output of the state machine.
type Action interface{ action() }

// Ping sends a heartbeat. VM is empty when only the address is known.
type SendHeartbeat struct {
	VM       string
	Address  string
	Exchange Exchange
}

// ViewChanged publishes a new view.
type ViewChanged struct{ View View }

// NewerDocument reports that a peer has a newer document than this VM.
type NewerDocument struct {
	Address    string
	Generation uint64
}

func (SendHeartbeat) action() {}
func (ViewChanged) action()   {}
func (NewerDocument) action() {}

// Config configures the state machine.
type Config struct {
	// Self is the initial own record.
	Self Record
	// Seeds are configured addresses at which agents may exist.
	Seeds []string
}
