// Package seats divides the cold limits of engines between the VMs of an
// availability zone. A cold limit is the maximum number of concurrent requests
// from all VMs of the zone during an engine's cold start. Each zone has a fixed
// number of seats, each of them a lease in the platform store. A seat carries a
// fixed share of every cold limit, so a request needs no message between VMs.
// Two VMs never use the same seat as long as no run that a seat allowed exceeds
// MaxRunTime. State describes the one exception, in a store outage.
package seats

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/invariant"
	"github.com/cranberrypier/cranberrypier/internal/platform"
)

// PerZone is the number of seats of a zone.
const PerZone = 8

// SeatOverdue is violated when a seat is used after the end of its lease
// without a valid extension.
const SeatOverdue invariant.Name = "seat_overdue"

// Held lists the seats that this VM holds until NotAfter, on its own monotonic
// clock. After that time the seats count as not held.
type Held struct {
	Seats    []int
	NotAfter time.Time
}

// Durations and intervals of the leases.
const (
	// LeaseTTL is how long a renewal is valid, counted from just before it was
	// sent.
	LeaseTTL = 15 * time.Second
	// MaxRunTime is the maximum duration of a run on a cold upstream that a seat
	// has allowed.
	MaxRunTime = time.Minute
	// TakeoverTimeout is how long a VM must have seen a seat without renewal,
	// with uninterrupted reads, before it may take the seat.
	TakeoverTimeout = LeaseTTL + MaxRunTime
	// renewInterval is the time between two renewals. pollInterval is the time
	// between two reads by a VM that holds no seat. minBackoff and maxBackoff
	// limit the time to the next try after a failure.
	renewInterval = 4 * time.Second
	pollInterval  = 12 * time.Second
	minBackoff    = 500 * time.Millisecond
	maxBackoff    = 8 * time.Second
	// settleDelay is how long a VM whose quota has risen from zero waits for
	// other VMs that start at the same time.
	settleDelay = 2 * time.Second
	// maxReadGap is the time without a read after which earlier reads no longer
	// count for a takeover.
	maxReadGap = 2 * pollInterval
	// extensionTTL is how long one extension without the store is valid, and
	// maxTimeSinceRenewal is how long after the last renewal a VM may extend its
	// seats.
	extensionTTL        = 3 * time.Second
	maxTimeSinceRenewal = time.Hour
	// pauseThreshold is the time between two steps after which the process is
	// considered to have been paused.
	pauseThreshold = 2 * time.Second
)

// Table is the object of one zone, encoded as JSON.
type Table struct {
	Seats [PerZone]Seat `json:"seats"`
}

// Seat is one row of the table.
type Seat struct {
	// Holder is the VM that holds the seat, or empty.
	Holder string `json:"holder,omitempty"`
	// Count is incremented by each renewal.
	Count uint64 `json:"count"`
}

// Config of the state machine.
type Config struct {
	VM   string
	Zone string
}

// Message is an input of the state machine.
type Message interface{ message() }

// Tick is the periodic event that lets the state machine check its timers.
type Tick struct{}

// Members lists the VMs of the zone in the membership view.
type Members struct{ List []ZoneVM }

// ZoneVM is one VM of the zone, which may be this VM.
type ZoneVM struct {
	VM string
	// RouterUp is true while the VM's router responds to its agent and reports
	// itself ready for requests.
	RouterUp bool
	// Alive is true while the VM is alive or leaving in the membership view.
	Alive bool
	// Left is true for a VM that announced its departure. It takes no seat.
	Left bool
	// ReachesStore is true while the VM can reach the store.
	ReachesStore bool
	// Rank orders the VMs that accept requests.
	Rank uint64
}

// ReadDone is the result of a read. Version zero means that no table exists.
type ReadDone struct {
	Table   Table
	Version platform.Version
	Failed  bool
}

// WriteDone is the result of a write.
type WriteDone struct {
	// Sent is the time just before the write was sent.
	Sent   time.Time
	Failed bool
	// Conflict is true when another VM has changed the table in the meantime.
	Conflict bool
}

// Suspended reports that the VM's monotonic clock was stopped, so that no
// duration measured with it is valid.
type Suspended struct{}

// Release gives back all seats in a graceful shutdown, when no run is in
// progress.
type Release struct{}

func (Tick) message()      {}
func (Members) message()   {}
func (ReadDone) message()  {}
func (WriteDone) message() {}
func (Suspended) message() {}
func (Release) message()   {}

// Action is an output of the state machine.
type Action interface{ action() }

// Read reads the zone's table.
type Read struct{}

// Write replaces version Base of the table. With Base zero it creates the
// table.
type Write struct {
	Table Table
	Base  platform.Version
}

// HoldSeats sets the seats that this VM holds from now on.
type HoldSeats struct{ Held Held }

func (Read) action()      {}
func (Write) action()     {}
func (HoldSeats) action() {}
