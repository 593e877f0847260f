// Package orders sends orders to model engines to load and unload versions,
// until each engine has the versions that the document assigns to it. In each
// availability zone only the agent that holds a lease in the platform store
// sends orders. A fencing number in each order lets engines reject the orders
// of an earlier holder.
package orders

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/invariant"
	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/platform"
)

// OrderAfterLease is violated when an order is sent with too little time left
// in the lease.
const OrderAfterLease invariant.Name = "order_after_lease"

// Intervals and timeouts of leases and orders.
const (
	// LeaseTTL is how long a renewal is valid, counted from just before it was
	// sent.
	LeaseTTL = 15 * time.Second
	// renewInterval is the time between two renewals, pollInterval the time
	// between two reads by a VM that does not hold the lease.
	renewInterval = 5 * time.Second
	pollInterval  = 10 * time.Second
	minBackoff    = time.Second
	maxBackoff    = 10 * time.Second
	// OrderTimeout limits the call that sends an order. LeaseMargin is the time
	// that must be left in the lease beyond OrderTimeout when the call begins.
	OrderTimeout = 2 * time.Second
	LeaseMargin  = 2 * time.Second
	// takeoverTimeout is how long a lease must be unchanged before another VM
	// takes it.
	takeoverTimeout = LeaseTTL + OrderTimeout + LeaseMargin
	// unfencedDelay is how long a new holder sends no orders to engines that do
	// not check fencing numbers. A late order of the previous holder then
	// arrives first, and the new holder corrects its effect.
	unfencedDelay = 15 * time.Second
	// observeInterval is the time between two queries of an engine.
	observeInterval = 10 * time.Second
	// listInterval is the time between two queries of the fleet's generations
	// while an unload waits for them.
	listInterval = 5 * time.Second
	// newestTTL is how long the result of such a query counts as proof that no
	// VM has a newer document than this one.
	newestTTL = 2 * time.Second
	// drainMargin is added to the longest deadline before an unload.
	drainMargin = 5 * time.Second
	// deadVMTimeout is how long a VM that died without announcing its departure
	// delays unloads: it may only be cut off and still use a version.
	deadVMTimeout = 10 * time.Minute
	// failureCooldown is the mean time without orders to an engine after it
	// refused an order or an order failed.
	failureCooldown = 30 * time.Second
	// maxCandidates is the number of VMs of a zone that may take the lease.
	maxCandidates = 3
	// MaxLoadsPerMinute is the rate of loads by the whole fleet that the weight
	// store can sustain. Each zone gets an equal part, so that the zones need no
	// coordination.
	MaxLoadsPerMinute = 6.0
)

// Op is the operation of an order.
type Op string

// Operations of orders.
const (
	OpLoad   Op = "load"
	OpUnload Op = "unload"
)

// LeaseObject is the lease of one zone's orders, encoded as JSON.
type LeaseObject struct {
	Holder string `json:"holder"`
	// Agent is the holder's incarnation.
	Incarnation uint64 `json:"agent"`
	Count       uint64 `json:"count"`
}

// Config of the state machine.
type Config struct {
	VM          string
	Zone        string
	Incarnation uint64
}

// Message is an input of the state machine.
type Message interface{ message() }

// Tick is the periodic event that lets the state machine check its timers.
type Tick struct{}

// DocumentSet is the document that is now in force.
type DocumentSet struct{ Document *document.Document }

// ViewSet is a new membership view.
type ViewSet struct{ View membership.View }

// LeaseRead is the result of a read of the lease. Version zero means that no
// lease exists.
type LeaseReadDone struct {
	Lease   LeaseObject
	Version platform.Version
	Failed  bool
}

// LeaseWritten is the result of a write of the lease.
type LeaseWriteDone struct {
	// Sent is the time just before the write was sent.
	Sent    time.Time
	Version platform.Version
	Failed  bool
}

// ObserveDone is the result of a query of an engine.
type ObserveDone struct {
	Upstream string
	Loaded   []string
	Running  int
	Failed   bool
}

// MembersListed lists all members with the document generations in force on
// them.
type ListMembersDone struct{ Members []membership.Member }

// OrderDone is the result of an order.
type OrderDone struct {
	Order Order
	// Refused is true when the engine has received a higher fencing number.
	Refused bool
	Failed  bool
}

func (Tick) message()            {}
func (DocumentSet) message()     {}
func (ViewSet) message()         {}
func (LeaseReadDone) message()   {}
func (LeaseWriteDone) message()  {}
func (ObserveDone) message()     {}
func (ListMembersDone) message() {}
func (OrderDone) message()       {}

// Action is an output of the state machine.
type Action interface{ action() }

// ReadLease reads the zone's lease.
type ReadLease struct{}

// WriteLease replaces version Base of the lease. With Base zero it creates it.
type WriteLease struct {
	Lease LeaseObject
	Base  platform.Version
}

// Observe queries the load of an engine.
type Observe struct{ Upstream, Address string }

// ListMembers requests the document generations of all members.
type ListMembers struct{}

// Order is sent to an engine, but not after NotAfter.
type Order struct {
	Upstream string
	Address  string
	Op       Op
	// Target is "model@version".
	Target   string
	Fence    uint64
	NotAfter time.Time
}

func (ReadLease) action()   {}
func (WriteLease) action()  {}
func (Observe) action()     {}
func (ListMembers) action() {}
func (Order) action()       {}
