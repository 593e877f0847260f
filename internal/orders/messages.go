// Package orders sends declarative, fenced orders to model engines: load and
// unload versions. In each availability zone one agent at a time, by a lease
// in the platform's service, gives the orders to the zone's engines.
package orders

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/invariant"
	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/platform"
)

// OrderAfterLease is violated by an order that is given without time left in
// the lease.
const OrderAfterLease invariant.Name = "order_after_lease"

// Times of orders.
const (
	// Lease is how long a renewal lasts, counted from before it was sent.
	LeaseTTL = 15 * time.Second
	// renewEvery is the time between renewals, lookEvery between two looks of
	// a VM that does not hold the lease.
	renewEvery = 5 * time.Second
	lookEvery  = 10 * time.Second
	retryEvery = time.Second
	retryMost  = 10 * time.Second
	// OrderTimeout bounds the call that gives an order; Margin is what must be
	// left of the lease beyond it when the call begins.
	OrderTimeout = 2 * time.Second
	LeaseMargin  = 2 * time.Second
	// takeoverAfter is how long a lease must have been seen unchanged before
	// it is taken over.
	takeoverAfter = LeaseTTL + OrderTimeout + LeaseMargin
	// unfencedWait is how much longer a new holder leaves engines alone that
	// don't check fencing numbers, so that a late order of the one before it
	// arrives first and is then corrected.
	unfencedWait = 15 * time.Second
	// observeEvery is the time between two looks at an engine.
	observeEvery = 10 * time.Second
	// askEvery is the time between two questions for the fleet's generations
	// while an unload waits for them.
	askEvery = 5 * time.Second
	// newestFor is how long the fleet's word counts that no VM has a newer
	// document than this one.
	newestFor = 2 * time.Second
	// drainMargin is added to the longest deadline before an unload.
	drainMargin = 5 * time.Second
	// silentMember is how long a VM that died without a leave holds up
	// unloads: it may be cut off and still use a version.
	silentMember = 10 * time.Minute
	// refusedWait is the pause of an engine that refused an order.
	refusedWait = 30 * time.Second
	// candidates is the number of VMs of a zone that may take the lease.
	candidates = 3
	// LoadsPerMinute is what the weight store bears from the whole fleet; the
	// zones divide it evenly, so that they need not agree.
	MaxLoadsPerMinute = 6.0
)

// Op is what an order does.
type Op string

// Orders to engines.
const (
	Load   Op = "load"
	Unload Op = "unload"
)

// LeaseObject is the lease of one zone's orders, encoded as JSON.
type LeaseObject struct {
	Holder string `json:"holder"`
	// Agent is the holder's incarnation.
	Agent uint64 `json:"agent"`
	Count uint64 `json:"count"`
}

// Config of the state machine.
type Config struct {
	VM    string
	Zone  string
	Agent uint64
}

// Message is an input of the state machine.
type Message interface{ message() }

// Tick lets time pass.
type Tick struct{}

// DocumentSet is a document put in force.
type DocumentSet struct{ Document *document.Document }

// ViewSet is a new membership view.
type ViewSet struct{ View membership.View }

// LeaseRead is the end of a read of the lease. Version zero means that there
// is none.
type LeaseRead struct {
	Lease   LeaseObject
	Version platform.Version
	Failed  bool
}

// LeaseWritten is the end of a write of the lease.
type LeaseWritten struct {
	// Sent is the time before the write was sent.
	Sent    time.Time
	Version platform.Version
	Failed  bool
}

// Observed is the end of a look at an engine.
type ObserveDone struct {
	Upstream string
	Loaded   []string
	Running  int
	Failed   bool
}

// Fleet are all members with the generations in force at them.
type MembersListed struct{ Members []membership.Member }

// Ended is the end of an order.
type OrderDone struct {
	Order Order
	// Refused is true when the engine has seen a higher fencing number.
	Refused bool
	Failed  bool
}

func (Tick) message()          {}
func (DocumentSet) message()   {}
func (ViewSet) message()       {}
func (LeaseRead) message()     {}
func (LeaseWritten) message()  {}
func (ObserveDone) message()   {}
func (MembersListed) message() {}
func (OrderDone) message()     {}

// Action is an output of the state machine.
type Action interface{ action() }

// ReadLease reads the zone's lease.
type ReadLease struct{}

// WriteLease writes it over Base; Base zero creates it.
type WriteLease struct {
	Lease LeaseObject
	Base  platform.Version
}

// Observe looks at an engine.
type Observe struct{ Upstream, Address string }

// AskFleet asks for all members' generations.
type ListMembers struct{}

// Order is given to an engine. It must not be sent after NotAfter.
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
