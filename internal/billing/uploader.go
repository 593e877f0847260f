package billing

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// Bounds and times of an agent's end.
const (
	heldMost     = 5000 // parcels
	writesAtOnce = 8
	// orphanTime is how long a copy waits after its origin was seen dead.
	orphanTime = 10 * time.Second
	// copyTime is how long a copy waits while its origin lives. The origin may
	// have lost both its agent and the message that the parcel is stored.
	copyTime = 2 * time.Minute
	// storedTime is how long the names of stored parcels are remembered, to
	// answer repeated puts without a call.
	storedTime = time.Minute
)

// held is a parcel that this agent keeps until it is stored.
type held struct {
	parcel  Parcel
	own     bool // to be written at once; otherwise a copy
	since   time.Time
	writing bool
	tries   int
	next    time.Time
	calls   []uint64 // puts that wait for the answer
}

// UploaderCore decides for one agent.
type UploaderCore struct {
	held    map[Name]*held
	order   []*held // oldest first
	writing int
	stored  map[Name]time.Time
	dead    map[string]time.Time // VMs not alive in the view, and since when
	known   map[string]bool      // VMs ever seen
}

// WriteParcel creates an object.
type WriteParcel struct {
	Parcel Parcel
}

// Reply answers the put of the given number.
type Reply struct {
	Call uint64
	Body PutAnswer
}

func (WriteParcel) billingAction() {}
func (Reply) billingAction()       {}

// NewUploaderCore returns the core of an agent.
func NewUploaderCore() *UploaderCore {
	return &UploaderCore{
		held: make(map[Name]*held), stored: make(map[Name]time.Time),
		dead: make(map[string]time.Time), known: make(map[string]bool),
	}
}

// Idle reports whether no parcel is held.
func (c *UploaderCore) Idle() bool { return len(c.held) == 0 }

// Put takes a parcel to write at once; the answer comes when it is stored.
func (c *UploaderCore) Put(now time.Time, call uint64, p Parcel) []Action {
	if _, ok := c.stored[p.Name]; ok {
		return []Action{Reply{Call: call, Body: PutAnswer{Stored: true}}}
	}
	h := c.keep(now, p)
	if h == nil {
		return []Action{Reply{Call: call}}
	}
	h.own = true
	h.calls = append(h.calls, call)
	return c.Tick(now)
}

// Copy takes a copy and reports whether it is held.
func (c *UploaderCore) Copy(now time.Time, p Parcel) PutAnswer {
	if _, ok := c.stored[p.Name]; ok {
		return PutAnswer{Held: true, Stored: true}
	}
	return PutAnswer{Held: c.keep(now, p) != nil}
}

func (c *UploaderCore) keep(now time.Time, p Parcel) *held {
	if h := c.held[p.Name]; h != nil {
		return h
	}
	if len(c.held) >= heldMost || len(p.Bills) > parcelMost {
		return nil
	}
	h := &held{parcel: p, since: now}
	c.held[p.Name] = h
	c.order = append(c.order, h)
	return h
}

// Dropped forgets copies of parcels that their origin knows to be stored.
func (c *UploaderCore) DropCopies(now time.Time, d Drop) {
	for _, n := range d.Names {
		if h := c.held[n]; h != nil && !h.own {
			c.forget(now, h)
		}
	}
}

// Flush makes every held parcel due, copies too.
func (c *UploaderCore) Flush(now time.Time) []Action {
	for _, h := range c.order {
		h.own = true
	}
	return c.Tick(now)
}

// SetView notes which VMs live.
func (c *UploaderCore) SetView(now time.Time, v membership.View) {
	alive := make(map[string]bool, len(v.Members))
	for _, m := range v.Members {
		c.known[m.VM] = true
		alive[m.VM] = m.Status == membership.Alive || m.Status == membership.Suspect
	}
	for vm := range c.known {
		_, already := c.dead[vm]
		switch {
		case alive[vm]:
			delete(c.dead, vm)
		case !already:
			c.dead[vm] = now
		}
	}
}

// Written takes the answer to WriteParcel. An object that exists holds the same
// bills, whoever wrote it; so a write whose answer was lost is simply repeated.
func (c *UploaderCore) Written(now time.Time, n Name, err error) []Action {
	h := c.held[n]
	if h == nil || !h.writing {
		return nil
	}
	h.writing = false
	c.writing--
	ok := err == nil || result.Is(err, result.PlatformConflict)
	var out []Action
	for _, call := range h.calls {
		out = append(out, Reply{Call: call, Body: PutAnswer{Held: true, Stored: ok}})
	}
	h.calls = nil
	if ok {
		c.forget(now, h)
	} else {
		h.next = now.Add(min(retryLeast<<min(h.tries, 10), retryMost))
		h.tries++
	}
	return append(out, c.Tick(now)...)
}

func (c *UploaderCore) forget(now time.Time, h *held) {
	delete(c.held, h.parcel.Name)
	if h.writing {
		c.writing--
	}
	c.stored[h.parcel.Name] = now
	for i, x := range c.order {
		if x == h {
			c.order = append(c.order[:i], c.order[i+1:]...)
			break
		}
	}
}

// Tick writes what is due.
func (c *UploaderCore) Tick(now time.Time) []Action {
	var out []Action
	for _, h := range c.order {
		if c.writing >= writesAtOnce {
			break
		}
		if h.writing || now.Before(h.next) || !c.due(now, h) {
			continue
		}
		h.writing = true
		c.writing++
		out = append(out, WriteParcel{Parcel: h.parcel})
	}
	for n, at := range c.stored {
		if now.Sub(at) > storedTime {
			delete(c.stored, n)
		}
	}
	return out
}

// due reports whether this agent has to write the parcel now. Two agents that
// both do so collide at the object's name.
func (c *UploaderCore) due(now time.Time, h *held) bool {
	if h.own {
		return true
	}
	age := now.Sub(h.since)
	since, dead := c.dead[h.parcel.Name.VM]
	return age >= copyTime || dead && age >= orphanTime && now.Sub(since) >= orphanTime
}
