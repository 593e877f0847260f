package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Record is the state of one member as VMs exchange it. Only the member itself
// changes its incarnation and revision. Other VMs may only raise the condition
// of their copy; the member then publishes a higher revision.
type Record struct {
	_           struct{} `cbor:",toarray"`
	VM          string
	Zone        string
	Agent       string
	Router      string
	Incarnation uint64
	// Revision increases with each change that the member makes to its record
	// during one incarnation.
	Revision  uint64
	Condition Condition
	Leaving   bool
	RouterUp  bool
	// Platform is true while the member can reach the platform.
	Platform bool
	Schema   int
}

// Condition is the liveness of a member as judged by the other VMs.
type Condition uint8

// Conditions in ascending order: within one revision, a later one supersedes an
// earlier one.
const (
	ConditionAlive Condition = iota
	ConditionSuspect
	ConditionDead
)

// supersedes reports whether r is newer than other. Both must be records of the
// same VM.
func (r *Record) supersedes(other *Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	if r.Revision != other.Revision {
		return r.Revision > other.Revision
	}
	return r.Condition > other.Condition
}

// hash returns the record's contribution to its zone's digest. It is zero for a
// dead member, so that VMs that have already removed the member compute the
// same digest as those that have not.
func (r *Record) hash() uint64 {
	if r.Condition == ConditionDead {
		return 0
	}
	d := xxhash.New()
	_, _ = d.WriteString(r.VM)
	var b [17]byte
	binary.BigEndian.PutUint64(b[:], r.Incarnation)
	binary.BigEndian.PutUint64(b[8:], r.Revision)
	b[16] = byte(r.Condition)
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// zoneHash returns the identifier of a zone in exchanges.
func zoneHash(zone string) uint32 { return uint32(xxhash.Sum64String(zone)) }

// Exchange is both the request and the response between two agents.
type Exchange struct {
	// From is the sender's own record.
	From Record `cbor:"1,keyasint"`
	// Generation is the generation of the document that can be fetched from
	// the sender, InForce that of the document in force at the sender's VM.
	Generation uint64 `cbor:"2,keyasint"`
	InForce    uint64 `cbor:"3,keyasint"`
	// Zones summarizes the sender's records, one entry per zone.
	Zones []ZoneSummary `cbor:"4,keyasint"`
	// Updates are records that the receiver may not have.
	Updates []Record `cbor:"5,keyasint,omitempty"`
	// Sync lists the hashes of zones for which Updates holds all of the sender's
	// records, or of which the sender has no records. The response contains the
	// records of these zones that the sender lacks.
	Sync []uint32 `cbor:"6,keyasint,omitempty"`
}

// ZoneSummary summarizes one zone's records.
type ZoneSummary struct {
	_    struct{} `cbor:",toarray"`
	Zone uint32
	// Digest is equal on two VMs that have the same records of the zone.
	Digest uint32
	// Beat is a counter that VMs of the zone increment when they send a summary.
	// Other VMs measure how long the zone has been silent from the last increase
	// that they received.
	Beat uint64
}
