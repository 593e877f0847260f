package billing

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// Limits and times of the agent's side.
const (
	maxHeldParcels      = 5000
	maxConcurrentWrites = 8
	// orphanDelay is how long an agent holds a copy after the origin VM was seen
	// dead before it writes the copy.
	orphanDelay = 10 * time.Second
	// maxCopyAge is the age at which an agent writes a copy although the origin VM
	// is alive. The origin's agent may have failed, and the message that the
	// parcel is stored may have been lost too.
	maxCopyAge = 2 * time.Minute
	// storedNameTTL is how long the names of stored parcels are kept, to respond
	// to repeated puts without another write.
	storedNameTTL = time.Minute
)

// heldParcel is a parcel that this agent holds until it is stored.
type heldParcel struct {
	parcel      Parcel
	writeNow    bool // false for a copy, which is written only when due
	heldSince   time.Time
	writing     bool
	failures    int
	nextWrite   time.Time
	waitingPuts []uint64 // puts to respond to after the write
}

// UploaderCore is the state machine of an agent's uploader. It does no I/O.
type UploaderCore struct {
	held           map[Name]*heldParcel
	oldestFirst    []*heldParcel
	writesInFlight int
	storedAt       map[Name]time.Time
	notAliveSince  map[string]time.Time // VMs that are not alive in the view
	seenVMs        map[string]bool      // all VMs seen in any view
}

// WriteParcel creates the object of a parcel in the platform's store.
type WriteParcel struct {
	Parcel Parcel
}

// Reply responds to the put with the given call number.
type Reply struct {
	Call uint64
	Body PutResponse
}

func (WriteParcel) billingAction() {}
func (Reply) billingAction()       {}

// NewUploaderCore returns the core of an agent's uploader.
func NewUploaderCore() *UploaderCore {
	return &UploaderCore{
		held: make(map[Name]*heldParcel), storedAt: make(map[Name]time.Time),
		notAliveSince: make(map[string]time.Time), seenVMs: make(map[string]bool),
	}
}

// Idle reports whether no parcel is held.
func (c *UploaderCore) Idle() bool { return len(c.held) == 0 }

// Put adds a parcel that is to be written immediately. The reply is sent after
// the write, or at once if the parcel is already stored or can't be held.
func (c *UploaderCore) Put(now time.Time, call uint64, p Parcel) []Action {
	if _, ok := c.storedAt[p.Name]; ok {
		return []Action{Reply{Call: call, Body: PutResponse{Stored: true}}}
	}
	h := c.hold(now, p)
	if h == nil {
		return []Action{Reply{Call: call}}
	}
	h.writeNow = true
	h.waitingPuts = append(h.waitingPuts, call)
	return c.Tick(now)
}

// Copy adds a copy of a parcel and returns whether it is held.
func (c *UploaderCore) Copy(now time.Time, p Parcel) PutResponse {
	if _, ok := c.storedAt[p.Name]; ok {
		return PutResponse{Held: true, Stored: true}
	}
	return PutResponse{Held: c.hold(now, p) != nil}
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

// DropCopies deletes the copies of parcels that the origin reports as stored.
func (c *UploaderCore) DropCopies(now time.Time, d Drop) {
	for _, n := range d.Names {
		if h := c.held[n]; h != nil && !h.writeNow {
			c.markStored(now, h)
		}
	}
}

// Flush makes all held parcels due for writing, including copies.
func (c *UploaderCore) Flush(now time.Time) []Action {
	for _, h := range c.oldestFirst {
		h.writeNow = true
	}
	return c.Tick(now)
}

// SetView updates which VMs are alive, and since when the others are not.
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

// Written handles the result of WriteParcel. If the object already exists, it
// contains the same bills, regardless of which agent wrote it. A write whose
// response was lost can therefore be retried.
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
		out = append(out, Reply{Call: call, Body: PutResponse{Held: true, Stored: ok}})
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

// Tick returns the writes that are due.
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

// due reports whether this agent must write the parcel now. If two agents write
// the same parcel, the second write fails because the object exists.
func (c *UploaderCore) due(now time.Time, h *heldParcel) bool {
	if h.writeNow {
		return true
	}
	age := now.Sub(h.heldSince)
	deadSince, dead := c.notAliveSince[h.parcel.Name.VM]
	return age >= maxCopyAge || dead && age >= orphanDelay && now.Sub(deadSince) >= orphanDelay
}
