package billing

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// Bounds and times of an agent's end.
const (
	maxHeldParcels      = 5000 // parcels
	maxConcurrentWrites = 8
	// orphanTime is how long a copy waits after its origin was seen dead.
	orphanDelay = 10 * time.Second
	// copyTime is how long a copy waits while its origin lives. The origin may
	// have lost both its agent and the message that the parcel is stored.
	maxCopyAge = 2 * time.Minute
	// storedTime is how long the names of stored parcels are remembered, to
	// answer repeated puts without a call.
	storedNameTTL = time.Minute
)

// held is a parcel that this agent keeps until it is stored.
type heldParcel struct {
	parcel      Parcel
	writeNow    bool // to be written at once; otherwise a copy
	heldSince   time.Time
	writing     bool
	failures    int
	nextWrite   time.Time
	waitingPuts []uint64 // puts that wait for the answer
}

// UploaderCore decides for one agent.
type UploaderCore struct {
	held           map[Name]*heldParcel
	oldestFirst    []*heldParcel // oldest first
	writesInFlight int
	storedAt       map[Name]time.Time
	notAliveSince  map[string]time.Time // VMs not alive in the view, and since when
	seenVMs        map[string]bool      // VMs ever seen
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
		held: make(map[Name]*heldParcel), storedAt: make(map[Name]time.Time),
		notAliveSince: make(map[string]time.Time), seenVMs: make(map[string]bool),
	}
}

// Idle reports whether no parcel is held.
func (c *UploaderCore) Idle() bool { return len(c.held) == 0 }

// Put takes a parcel to write at once; the answer comes when it is stored.
func (c *UploaderCore) Put(now time.Time, call uint64, p Parcel) []Action {
	if _, ok := c.storedAt[p.Name]; ok {
		return []Action{Reply{Call: call, Body: PutAnswer{Stored: true}}}
	}
	h := c.hold(now, p)
	if h == nil {
		return []Action{Reply{Call: call}}
	}
	h.writeNow = true
	h.waitingPuts = append(h.waitingPuts, call)
	return c.Tick(now)
}

// Copy takes a copy and reports whether it is held.
func (c *UploaderCore) Copy(now time.Time, p Parcel) PutAnswer {
	if _, ok := c.storedAt[p.Name]; ok {
		return PutAnswer{Held: true, Stored: true}
	}
	return PutAnswer{Held: c.hold(now, p) != nil}
}

func (c *UploaderCore) hold(now time.Time, p Parcel) *heldParcel {
	if h := c.held[p.Name]; h != nil {
		return h
	}
	if len(c.held) >= maxHeldParcels || len(p.Bills) > maxParcelBills {
		return nil
	}
	h := &heldParcel{parcel: p, heldSince: now}
	c.held[p.Name] = h
	c.oldestFirst = append(c.oldestFirst, h)
	return h
}

// Dropped forgets copies of parcels that their origin knows to be stored.
func (c *UploaderCore) Dropped(now time.Time, d Drop) {
	for _, n := range d.Names {
		if h := c.held[n]; h != nil && !h.writeNow {
			c.markStored(now, h)
		}
	}
}

// Flush makes every held parcel due, copies too.
func (c *UploaderCore) Flush(now time.Time) []Action {
	for _, h := range c.oldestFirst {
		h.writeNow = true
	}
	return c.Tick(now)
}

// SetView notes which VMs live.
func (c *UploaderCore) SetView(now time.Time, v membership.View) {
	alive := make(map[string]bool, len(v.Members))
	for _, m := range v.Members {
		c.seenVMs[m.VM] = true
		alive[m.VM] = m.Status == membership.Alive || m.Status == membership.Suspect
	}
	for vm := range c.seenVMs {
		_, listed := c.notAliveSince[vm]
		switch {
		case alive[vm]:
			delete(c.notAliveSince, vm)
		case !listed:
			c.notAliveSince[vm] = now
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
	c.writesInFlight--
	ok := err == nil || result.Is(err, result.PlatformConflict)
	var out []Action
	for _, call := range h.waitingPuts {
		out = append(out, Reply{Call: call, Body: PutAnswer{Held: true, Stored: ok}})
	}
	h.waitingPuts = nil
	if ok {
		c.markStored(now, h)
	} else {
		h.nextWrite = now.Add(min(minRetryDelay<<min(h.failures, 10), maxRetryDelay))
		h.failures++
	}
	return append(out, c.Tick(now)...)
}

func (c *UploaderCore) markStored(now time.Time, h *heldParcel) {
	delete(c.held, h.parcel.Name)
	if h.writing {
		c.writesInFlight--
	}
	c.storedAt[h.parcel.Name] = now
	for i, x := range c.oldestFirst {
		if x == h {
			c.oldestFirst = append(c.oldestFirst[:i], c.oldestFirst[i+1:]...)
			break
		}
	}
}

// Tick writes what is due.
func (c *UploaderCore) Tick(now time.Time) []Action {
	var out []Action
	for _, h := range c.oldestFirst {
		if c.writesInFlight >= maxConcurrentWrites {
			break
		}
		if h.writing || now.Before(h.nextWrite) || !c.due(now, h) {
			continue
		}
		h.writing = true
		c.writesInFlight++
		out = append(out, WriteParcel{Parcel: h.parcel})
	}
	for n, at := range c.storedAt {
		if now.Sub(at) > storedNameTTL {
			delete(c.storedAt, n)
		}
	}
	return out
}

// due reports whether this agent has to write the parcel now. Two agents that
// both do so collide at the object's name.
func (c *UploaderCore) due(now time.Time, h *heldParcel) bool {
	if h.writeNow {
		return true
	}
	age := now.Sub(h.heldSince)
	deadSince, dead := c.notAliveSince[h.parcel.Name.VM]
	return age >= maxCopyAge || dead && age >= orphanDelay && now.Sub(deadSince) >= orphanDelay
}
