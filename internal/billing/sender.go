package billing

import (
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/cranberrypier/cranberrypier/internal/invariant"
	"github.com/cranberrypier/cranberrypier/internal/membership"
)

// Limits and times of the router's side.
const (
	// Bills are collected in a parcel for minLinger, or for lingerPerVM times the
	// number of VMs if that is longer. This limits the whole fleet to about 40
	// writes per second.
	minLinger   = 200 * time.Millisecond
	lingerPerVM = 30 * time.Millisecond
	// maxUnstoredParcels is the maximum number of parcels that are not stored
	// yet. At this limit the sender accepts no more bills.
	maxUnstoredParcels = 2000
	maxConcurrentPuts  = 16
	billedCacheSize    = 10000
	minRetryDelay      = 500 * time.Millisecond
	maxRetryDelay      = 10 * time.Second
)

// peerAgent is another VM's agent.
type peerAgent struct {
	vm   string
	addr string
}

// unstoredParcel is a parcel that is not confirmed to be stored. The router keeps
// it until then, because agents may be replaced at any time.
type unstoredParcel struct {
	parcel      Parcel
	putInFlight bool
	failures    int
	nextPut     time.Time
	copyAddr    string // address of the agent that holds the copy, or to which it was sent
	copyHeld    bool
	copiesSent  uint64 // number of copies sent, each to a different VM than the one before
}

// SenderCore is the state machine of a router's sender. It does no I/O.
type SenderCore struct {
	vm             string
	incarnation    uint64
	ownAgent       string
	lastNumber     uint64
	openBills      []Bill
	openedAt       time.Time
	unstored       []*unstoredParcel
	putsInFlight   int
	peers          []peerAgent
	pendingDrops   map[string][]Name
	billedRequests *lru.Cache[string, struct{}] // requests billed most recently
}

// SendPut sends a parcel to an agent, which responds when the parcel is stored.
type SendPut struct {
	Addr   string
	Parcel Parcel
}

// SendCopy sends a copy of a parcel to the agent of another VM.
type SendCopy struct {
	Addr   string
	Parcel Parcel
}

// SendDrop sends the names of stored parcels to an agent that holds copies.
type SendDrop struct {
	Addr string
	Body Drop
}

// Action is an output of SenderCore or UploaderCore.
type Action interface{ billingAction() }

func (SendPut) billingAction()  {}
func (SendCopy) billingAction() {}
func (SendDrop) billingAction() {}

// NewSenderCore returns the core of a router's sender. Agent is the address of
// the VM's own agent.
func NewSenderCore(vm string, incarnation uint64, agent string) *SenderCore {
	billed, _ := lru.New[string, struct{}](billedCacheSize) // fails only for sizes below 1
	return &SenderCore{vm: vm, incarnation: incarnation, ownAgent: agent, pendingDrops: make(map[string][]Name), billedRequests: billed}
}

// HasRoom reports whether the core accepts another bill.
func (c *SenderCore) HasRoom() bool { return len(c.unstored) < maxUnstoredParcels }

// Idle reports whether all bills are stored.
func (c *SenderCore) Idle() bool { return len(c.unstored) == 0 && len(c.openBills) == 0 }

// Add adds a bill to the open parcel. It discards a second bill for the same
// request.
func (c *SenderCore) Add(now time.Time, b Bill) []Action {
	duplicate, _ := c.billedRequests.ContainsOrAdd(b.Request, struct{}{})
	invariant.Check(!duplicate, invariant.BilledOnce, "request %s was billed twice", b.Request)
	if duplicate {
		return nil
	}
	if len(c.openBills) == 0 {
		c.openedAt = now
	}
	c.openBills = append(c.openBills, b)
	return c.Tick(now)
}

// SetView updates the list of the other VMs' agents.
func (c *SenderCore) SetView(v membership.View) {
	c.peers = nil
	for _, m := range v.Members {
		if m.VM != c.vm && m.Status == membership.Alive && m.Agent != "" {
			c.peers = append(c.peers, peerAgent{vm: m.VM, addr: m.Agent})
		}
	}
}

// Flush closes the open parcel without waiting for the linger time.
func (c *SenderCore) Flush(now time.Time) []Action {
	c.openedAt = time.Time{}
	return c.Tick(now)
}

// Tick closes the open parcel if it is full or its linger time has passed, and
// returns the messages that are due.
func (c *SenderCore) Tick(now time.Time) []Action {
	var out []Action
	linger := max(minLinger, time.Duration(len(c.peers)+1)*lingerPerVM)
	if len(c.openBills) >= maxParcelBills || len(c.openBills) > 0 && now.Sub(c.openedAt) >= linger {
		c.lastNumber++
		name := Name{VM: c.vm, Incarnation: c.incarnation, Number: c.lastNumber}
		c.unstored = append(c.unstored, &unstoredParcel{parcel: Parcel{Name: name, Bills: c.openBills}, nextPut: now})
		c.openBills = nil
	}
	for _, s := range c.unstored {
		if s.copyAddr == "" && len(c.peers) > 0 {
			s.copyAddr = c.peers[(s.parcel.Name.Number+s.copiesSent)%uint64(len(c.peers))].addr
			s.copiesSent++
			out = append(out, SendCopy{Addr: s.copyAddr, Parcel: s.parcel})
		}
		if s.putInFlight || now.Before(s.nextPut) || c.putsInFlight >= maxConcurrentPuts {
			continue
		}
		s.putInFlight = true
		c.putsInFlight++
		out = append(out, SendPut{Addr: c.putTarget(s), Parcel: s.parcel})
	}
	for addr, names := range c.pendingDrops {
		out = append(out, SendDrop{Addr: addr, Body: Drop{Names: names}})
	}
	clear(c.pendingDrops)
	return out
}

// putTarget returns the address for the next put of a parcel. The first put goes
// to the own agent; retries alternate between other VMs' agents and the own one.
func (c *SenderCore) putTarget(s *unstoredParcel) string {
	if s.failures%2 == 1 && len(c.peers) > 0 {
		return c.peers[(s.failures/2)%len(c.peers)].addr
	}
	return c.ownAgent
}

// PutDone handles the response to SendPut, or the zero PutAnswer if there was
// none.
func (c *SenderCore) PutDone(now time.Time, n Name, a PutResponse) []Action {
	i := c.find(n)
	if i < 0 {
		return nil
	}
	s := c.unstored[i]
	if s.putInFlight {
		s.putInFlight = false
		c.putsInFlight--
	}
	if !a.Stored {
		s.nextPut = now.Add(min(minRetryDelay<<min(s.failures, 10), maxRetryDelay))
		s.failures++
		return c.Tick(now)
	}
	if s.copyHeld {
		c.pendingDrops[s.copyAddr] = append(c.pendingDrops[s.copyAddr], n)
	}
	c.unstored = slices.Delete(c.unstored, i, i+1)
	return c.Tick(now)
}

// CopyDone handles the response to SendCopy. If the agent did not accept the
// copy, the next tick sends it to another VM.
func (c *SenderCore) CopyDone(n Name, a PutResponse) {
	i := c.find(n)
	if i < 0 {
		return
	}
	c.unstored[i].copyHeld = a.Held
	if !a.Held {
		c.unstored[i].copyAddr = ""
	}
}

func (c *SenderCore) find(n Name) int {
	return slices.IndexFunc(c.unstored, func(s *unstoredParcel) bool { return s.parcel.Name == n })
}
