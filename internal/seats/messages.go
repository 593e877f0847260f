// Package seats divides what cold upstreams can bear between the VMs of an
// availability zone. Each zone has a fixed number of seats, each a lease in the
// platform's service; a seat carries a fixed share of every cold limit, so no
// message is needed for a request, and two VMs never hold one seat within the
// lease's bounds.
package seats

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/invariant"
	"github.com/cranberrypier/cranberrypier/internal/platform"
)

// PerZone is the number of seats of a zone.
const PerZone = 8

// SeatOverdue is violated by a seat that is used after its lease without a
// reason to keep it.
const SeatOverdue invariant.Name = "seat_overdue"

// Held lists the seats that this VM holds and until when, on its own
// monotonic clock. Seats past their time count as not held.
type Held struct {
	Seats    []int
	NotAfter time.Time
}

// Times of the leases.
const (
	// Lease is how long a renewal lasts, counted from before it was sent.
	LeaseTTL = 15 * time.Second
	// LongestRun bounds a run on a cold upstream that a seat has allowed.
	MaxRunTime = time.Minute
	// TakeoverAfter is how long a seat must have been seen without renewal,
	// by a VM that could read all the time, before that VM may take it.
	TakeoverTimeout = LeaseTTL + MaxRunTime
	// renewEvery is the time between two renewals, lookEvery between two looks
	// of a VM that holds no seat, and retryEvery after a failure.
	renewEvery = 4 * time.Second
	lookEvery  = 12 * time.Second
	retryEvery = 500 * time.Millisecond
	retryMost  = 8 * time.Second
	// settle is how long a VM that begins to take work waits for others that
	// begin with it.
	settle = 2 * time.Second
	// blind is the time without a read after which what was seen before says
	// nothing about takeover.
	blind = 2 * lookEvery
	// extendStep is how long one extension without the platform lasts, and
	// extendMost how long a VM may go on extending.
	extendStep = 3 * time.Second
	extendMost = time.Hour
	// stall is the time between two steps after which the process counts as
	// having been paused.
	stall = 2 * time.Second
)

// Table is the object of one zone, encoded as JSON.
type Table struct {
	Seats [PerZone]Seat `json:"seats"`
}

// Seat is one row of the table.
type Seat struct {
	// Holder is the VM that holds it; empty when it is free.
	Holder string `json:"holder,omitempty"`
	// Count grows with each renewal.
	Count uint64 `json:"count"`
}

// Config of the state machine.
type Config struct {
	VM   string
	Zone string
}

// Message is an input of the state machine.
type Message interface{ message() }

// Tick lets time pass.
type Tick struct{}

// Members are the VMs of the zone, as membership sees them.
type Members struct{ List []ZoneVM }

// Neighbour is one VM of the zone, the own one included.
type ZoneVM struct {
	VM string
	// Takes is true while its router takes work.
	RouterUp bool
	// Heard is true while the VM is alive.
	Alive bool
	// Left is true for a VM that announced its leave: it takes no seat.
	Left bool
	// Platform is true while the VM reaches the platform.
	ReachesStore bool
	// Rank orders the VMs that take work.
	Rank uint64
}

// ReadDone is the end of a read. Version zero means that there is no table.
type ReadDone struct {
	Table   Table
	Version platform.Version
	Failed  bool
}

// WriteDone is the end of a write.
type WriteDone struct {
	// Sent is the time before the write was sent.
	Sent   time.Time
	Failed bool
	// Conflict is true when another VM wrote first.
	Conflict bool
}

// Suspended tells that the VM's monotonic clock has stood still: nothing that
// was measured with it counts.
type Suspended struct{}

// Release gives all seats back, at a planned stop when no run goes on.
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

// Write writes the table over Base; Base zero creates it.
type Write struct {
	Table Table
	Base  platform.Version
}

// Hold tells which seats are held from now on.
type HoldSeats struct{ Held Held }

func (Read) action()      {}
func (Write) action()     {}
func (HoldSeats) action() {}
