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
	lingerLeast = 200 * time.Millisecond
	lingerVM    = 30 * time.Millisecond
	// parcelsMost is the most parcels that wait to be stored.
	parcelsMost = 2000
	putsAtOnce  = 16
	billedMost  = 10000
	retryLeast  = 500 * time.Millisecond
	retryMost   = 10 * time.Second
)

// peerAgent is another VM's agent.
type peerAgent struct {
	vm   string
	addr string
}

// sent is a parcel that is not known to be stored. It stays here until it is:
// agents may be replaced at any time.
type sent struct {
	parcel Parcel
	busy   bool // a put is on its way
	tries  int
	next   time.Time
	copyTo string // the address that holds, or is to hold, a copy
	copied bool
	copies uint64 // copies sent, to another VM each time
}

// SenderCore decides for one router.
type SenderCore struct {
	vm      string
	incarn  uint64
	agent   string
	number  uint64
	open    []Bill
	opened  time.Time
	waiting []*sent
	busy    int
	peers   []peerAgent
	drops   map[string][]Name
	billed  *lru.Cache[string, struct{}] // the latest identities
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
	billed, _ := lru.New[string, struct{}](billedMost) // fails for sizes below one
	return &SenderCore{vm: vm, incarn: incarnation, agent: agent, drops: make(map[string][]Name), billed: billed}
}

// Room reports whether another bill can be taken.
func (c *SenderCore) HasRoom() bool { return len(c.waiting) < parcelsMost }

// Idle reports whether every bill is stored.
func (c *SenderCore) Idle() bool { return len(c.waiting) == 0 && len(c.open) == 0 }

// Add takes a bill. A second bill of one identity is dropped.
func (c *SenderCore) Add(now time.Time, b Bill) []Action {
	again, _ := c.billed.ContainsOrAdd(b.Request, struct{}{})
	invariant.Check(!again, invariant.BilledOnce, "request %s has a second bill", b.Request)
	if again {
		return nil
	}
	if len(c.open) == 0 {
		c.opened = now
	}
	c.open = append(c.open, b)
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
	c.opened = time.Time{}
	return c.Tick(now)
}

// Tick names a parcel that has gathered long enough and sends what is due.
func (c *SenderCore) Tick(now time.Time) []Action {
	var out []Action
	linger := max(lingerLeast, time.Duration(len(c.peers)+1)*lingerVM)
	if len(c.open) >= parcelMost || len(c.open) > 0 && now.Sub(c.opened) >= linger {
		c.number++
		name := Name{VM: c.vm, Incarnation: c.incarn, Number: c.number}
		c.waiting = append(c.waiting, &sent{parcel: Parcel{Name: name, Bills: c.open}, next: now})
		c.open = nil
	}
	for _, s := range c.waiting {
		if s.copyTo == "" && len(c.peers) > 0 {
			s.copyTo = c.peers[(s.parcel.Name.Number+s.copies)%uint64(len(c.peers))].addr
			s.copies++
			out = append(out, SendCopy{Addr: s.copyTo, Parcel: s.parcel})
		}
		if s.busy || now.Before(s.next) || c.busy >= putsAtOnce {
			continue
		}
		s.busy = true
		c.busy++
		out = append(out, SendPut{Addr: c.target(s), Parcel: s.parcel})
	}
	for addr, names := range c.drops {
		out = append(out, SendDrop{Addr: addr, Body: Drop{Names: names}})
	}
	clear(c.drops)
	return out
}

// target is the own agent, and every other time that it fails another one.
func (c *SenderCore) target(s *sent) string {
	if s.tries%2 == 1 && len(c.peers) > 0 {
		return c.peers[(s.tries/2)%len(c.peers)].addr
	}
	return c.agent
}

// PutDone takes the answer to SendPut; failed when none came.
func (c *SenderCore) PutDone(now time.Time, n Name, a PutAnswer) []Action {
	i := c.find(n)
	if i < 0 {
		return nil
	}
	s := c.waiting[i]
	if s.busy {
		s.busy = false
		c.busy--
	}
	if !a.Stored {
		s.next = now.Add(min(retryLeast<<min(s.tries, 10), retryMost))
		s.tries++
		return c.Tick(now)
	}
	if s.copied {
		c.drops[s.copyTo] = append(c.drops[s.copyTo], n)
	}
	c.waiting = slices.Delete(c.waiting, i, i+1)
	return c.Tick(now)
}

// CopyDone takes the answer to SendCopy; a copy that was not held goes to
// another VM at the next tick.
func (c *SenderCore) CopyDone(n Name, a PutAnswer) {
	i := c.find(n)
	if i < 0 {
		return
	}
	c.waiting[i].copied = a.Held
	if !a.Held {
		c.waiting[i].copyTo = ""
	}
}

func (c *SenderCore) find(n Name) int {
	return slices.IndexFunc(c.waiting, func(s *sent) bool { return s.parcel.Name == n })
}
