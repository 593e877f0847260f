package billing

import (
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/cranberrypier/cranberrypier/internal/invariant"
	"github.com/cranberrypier/cranberrypier/internal/membership"
)

// Bounds and times of a router's end.
const (
	// lingerLeast and lingerVM say how long bills gather in a parcel: the longer
	// the more VMs write, to hold the fleet's writes at about 40 a second.
	minLinger   = 200 * time.Millisecond
	lingerPerVM = 30 * time.Millisecond
	// parcelsMost is the most parcels that wait to be stored.
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

// sent is a parcel that is not known to be stored. It stays here until it is:
// agents may be replaced at any time.
type unstoredParcel struct {
	parcel      Parcel
	putInFlight bool // a put is on its way
	failures    int
	nextPut     time.Time
	copyAddr    string // the address that holds, or is to hold, a copy
	copyHeld    bool
	copiesSent  uint64 // copies sent, to another VM each time
}

// SenderCore decides for one router.
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
	billedRequests *lru.Cache[string, struct{}] // the latest identities
}

// SendPut hands a parcel to an agent, which answers when it is stored.
type SendPut struct {
	Addr   string
	Parcel Parcel
}

// SendCopy hands a copy to another VM's agent.
type SendCopy struct {
	Addr   string
	Parcel Parcel
}

// SendDrop tells the holder of copies what is stored.
type SendDrop struct {
	Addr string
	Body Drop
}

// Action is an output of a core.
type Action interface{ billingAction() }

func (SendPut) billingAction()  {}
func (SendCopy) billingAction() {}
func (SendDrop) billingAction() {}

// NewSenderCore returns the core of a router; agent is its own agent's address.
func NewSenderCore(vm string, incarnation uint64, agent string) *SenderCore {
	billed, _ := lru.New[string, struct{}](billedCacheSize) // fails for sizes below one
	return &SenderCore{vm: vm, incarnation: incarnation, ownAgent: agent, pendingDrops: make(map[string][]Name), billedRequests: billed}
}

// Room reports whether another bill can be taken.
func (c *SenderCore) Room() bool { return len(c.unstored) < maxUnstoredParcels }

// Idle reports whether every bill is stored.
func (c *SenderCore) Idle() bool { return len(c.unstored) == 0 && len(c.openBills) == 0 }

// Add takes a bill. A second bill of one identity is dropped.
func (c *SenderCore) Add(now time.Time, b Bill) []Action {
	duplicate, _ := c.billedRequests.ContainsOrAdd(b.Request, struct{}{})
	invariant.Check(!duplicate, invariant.BilledOnce, "request %s has a second bill", b.Request)
	if duplicate {
		return nil
	}
	if len(c.openBills) == 0 {
		c.openedAt = now
	}
	c.openBills = append(c.openBills, b)
	return c.Tick(now)
}

// SetView notes the other VMs' agents.
func (c *SenderCore) SetView(v membership.View) {
	c.peers = nil
	for _, m := range v.Members {
		if m.VM != c.vm && m.Status == membership.Alive && m.Agent != "" {
			c.peers = append(c.peers, peerAgent{vm: m.VM, addr: m.Agent})
		}
	}
}

// Flush names the open parcel at once.
func (c *SenderCore) Flush(now time.Time) []Action {
	c.openedAt = time.Time{}
	return c.Tick(now)
}

// Tick names a parcel that has gathered long enough and sends what is due.
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

// target is the own agent, and every other time that it fails another one.
func (c *SenderCore) putTarget(s *unstoredParcel) string {
	if s.failures%2 == 1 && len(c.peers) > 0 {
		return c.peers[(s.failures/2)%len(c.peers)].addr
	}
	return c.ownAgent
}

// PutDone takes the answer to SendPut; failed when none came.
func (c *SenderCore) PutDone(now time.Time, n Name, a PutAnswer) []Action {
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

// CopyDone takes the answer to SendCopy; a copy that was not held goes to
// another VM at the next tick.
func (c *SenderCore) CopyDone(n Name, a PutAnswer) {
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
