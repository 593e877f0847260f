package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Record is what travels about one member. Only the member itself changes its
// incarnation and revision; others may only raise the condition of the record
// that they hold, and the member answers that with a higher revision.
type Record struct {
	_           struct{} `cbor:",toarray"`
	VM          string
	Zone        string
	Agent       string
	Router      string
	Incarnation uint64
	// Revision grows with each change that the member makes to its record
	// during one incarnation.
	Revision  uint64
	Condition Condition
	Leaving   bool
	RouterUp  bool
	// Platform is true while the member reaches the platform.
	Platform bool
	Schema   int
}

// Condition is whether others believe that the member lives.
type Condition uint8

// Conditions in the order in which they supersede each other within one
// revision.
const (
	ConditionAlive Condition = iota
	ConditionSuspect
	ConditionDead
)

// supersedes reports whether a is newer than b, which must be of the same VM.
func (a *Record) supersedes(b *Record) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Revision != b.Revision {
		return a.Revision > b.Revision
	}
	return a.Condition > b.Condition
}

// hash digests what exchanges compare. A gone member has none, so that VMs
// that have already forgotten it agree with those that have not.
func (a *Record) hash() uint64 {
	if a.Condition == ConditionDead {
		return 0
	}
	d := xxhash.New()
	_, _ = d.WriteString(a.VM)
	var b [17]byte
	binary.BigEndian.PutUint64(b[:], a.Incarnation)
	binary.BigEndian.PutUint64(b[8:], a.Revision)
	b[16] = byte(a.Condition)
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// zoneHash names a zone in exchanges.
func zoneHash(zone string) uint32 { return uint32(xxhash.Sum64String(zone)) }

// Exchange is both the request and the response between two agents.
type Exchange struct {
	// From is the sender's own record.
	From Record `cbor:"1,keyasint"`
	// Generation is the document that can be fetched from the sender, InForce
	// the one in force at its VM.
	Generation uint64 `cbor:"2,keyasint"`
	InForce    uint64 `cbor:"3,keyasint"`
	// Zones sums up what the sender knows.
	Zones []ZoneSummary `cbor:"4,keyasint"`
	// Updates are records that the receiver may not have.
	Updates []Record `cbor:"5,keyasint,omitempty"`
	// Sync names zones whose records are all among the updates; the response
	// brings those that the sender lacks.
	Sync []uint32 `cbor:"6,keyasint,omitempty"`
}

// ZoneSummary sums up one zone's records.
type ZoneSummary struct {
	_    struct{} `cbor:",toarray"`
	Zone uint32
	// Digest is equal at two VMs that hold the same records.
	Digest uint32
	// Beat grows while the zone's speakers work; VMs count a zone's silence
	// from the last growth that they have seen.
	Beat uint64
}
