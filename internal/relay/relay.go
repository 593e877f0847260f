// Package relay decides whether an entry VM reads the platform's store itself
// or takes what other VMs have read. Each call to the store is paid for, and in
// a large fleet all VMs would ask for the same. It is pure: it does no I/O and
// reads no clock.
//
// A few VMs of each availability zone read. All VMs tell each other the
// revisions of the newest changes that they know, and how old the latest proof
// is that nothing else had changed. A VM that is behind asks the one that told
// it; a VM whose proof gets too old reads the store itself, whatever the reason:
// readers that are gone, cut off, frozen or turned away by the store.
package relay

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// readersPerZone is how many VMs of an availability zone read the store: two
	// may fail at once.
	readersPerZone = 3
	// sharedFrom is the number of VMs in a zone from which on they share what
	// they read; below it there is little to save.
	sharedFrom = 6
	// freshShare of the shortest bound is the age of a proof at which a VM reads
	// the store itself: the rest of the bound is for its call and what follows.
	freshShare = 0.7
	// jitterShare of that age differs from VM to VM: the first ones that read
	// prove the knowledge of the others.
	jitterShare = 0.2
	// holdTime is how long a VM that had to read goes on reading: its readers
	// were out of reach and may be so again.
	holdTime = 5 * time.Second
	// settleTime is how long a VM that has just started lists the store's objects
	// but does not watch them: by then it knows who reads for it.
	settleTime = 800 * time.Millisecond
)

// View is what one VM tells others of its knowledge.
type Digest struct {
	// AgeMS is how long ago the knowledge was last proved to be whole.
	AgeMS int64 `cbor:"1,keyasint"`
	// Last are the revisions of the newest known changes, by kind in a fixed order.
	Revisions []uint64 `cbor:"2,keyasint"`
}

// Behind reports whether a VM that knows last lacks something of the view.
func (v *Digest) NewerThan(last []uint64) bool {
	for i := range v.Revisions {
		if i < len(last) && v.Revisions[i] > last[i] {
			return true
		}
	}
	return false
}

// Config is what a VM's decision depends on for good.
type Config struct {
	VM string
	// Bound is the shortest time within which a change has to be in force.
	PropagationLimit time.Duration
	// Began is when the process started.
	StartedAt time.Time
	// Alone is true when there are no other VMs to ask.
	Standalone bool
}

// Reason says why a VM reads the store or does not.
type Reason string

// Reasons of a decision.
const (
	Starting      Reason = "starting"
	FewVMs        Reason = "few_vms"
	Reader        Reason = "reader"
	Stale         Reason = "no_proof"
	RecentlyStale Reason = "no_proof_lately"
	Relayed       Reason = "others_read"
)

// Decision is whether the VM reads the store.
type Decision struct {
	// Lists is true when the VM lists what it does not know, Reads when it also
	// watches for changes.
	Lists   bool
	Watches bool
	Reason  Reason
	// Rank is the VM's place in its zone. Verdicts that any VM may write to the
	// store are written in this order, until one has been seen.
	Rank int
	// Shared is true where VMs share what they read.
	SharesReads bool
	// Age of the latest proof.
	Staleness time.Duration
}

// Asks reports whether the VM asks another one that knows more. Within the zone
// it always does. Bytes between zones cost something, so only the zone's readers
// ask elsewhere: what the store told them may be late or lost.
func (d Decision) FetchesFromPeer(sameZone bool) bool { return sameZone || d.Rank < readersPerZone }

// Core is the decision's state. It is not safe for concurrent use.
type Core struct {
	cfg    Config
	proved time.Time
	// until is the end of the time in which a VM that lacked a proof reads.
	until time.Time
}

// New returns a core without a proof.
func New(cfg Config) *Core { return &Core{cfg: cfg} }

// Proved notes that the store has answered this VM.
func (c *Core) Confirm(at time.Time) {
	if at.After(c.proved) {
		c.proved = at
	}
}

// Heard takes another VM's view and reports whether this VM, which knows last,
// is behind it. If it is not, the other's proof holds here too: what is known
// here contains all that was known there.
func (c *Core) Receive(now time.Time, v *Digest, last []uint64) (behind bool) {
	if v.NewerThan(last) {
		return true
	}
	c.Confirm(now.Add(-time.Duration(v.AgeMS) * time.Millisecond))
	return false
}

// View is what the VM tells others; nil while it has no proof.
func (c *Core) Digest(now time.Time, last []uint64) *Digest {
	if c.proved.IsZero() {
		return nil
	}
	return &Digest{AgeMS: now.Sub(c.proved).Milliseconds(), Revisions: last}
}

// Decide tells whether the VM reads, with the live VMs of its zone, itself
// included.
func (c *Core) Decide(now time.Time, zone []string) Decision {
	d := Decision{Lists: true, Watches: true, SharesReads: len(zone) >= sharedFrom, Rank: rank(c.cfg.VM, zone), Staleness: c.age(now)}
	switch {
	case !c.cfg.Standalone && now.Sub(c.cfg.StartedAt) < settleTime:
		d.Watches, d.Reason = false, Starting
	case !d.SharesReads:
		d.Reason = FewVMs
	case d.Rank < readersPerZone:
		d.Reason = Reader
	case d.Staleness > c.patience():
		c.until = now.Add(holdTime)
		d.Reason = Stale
	case now.Before(c.until):
		d.Reason = RecentlyStale
	default:
		d.Lists, d.Watches, d.Reason = false, false, Relayed
	}
	return d
}

// age is that of the latest proof; without one, that of the process.
func (c *Core) age(now time.Time) time.Duration {
	if c.proved.IsZero() {
		return now.Sub(c.cfg.StartedAt)
	}
	return now.Sub(c.proved)
}

// patience is the age of a proof at which this VM reads the store itself.
func (c *Core) patience() time.Duration {
	full := freshShare * float64(c.cfg.PropagationLimit)
	return time.Duration(full * (1 - jitterShare*c.part()))
}

// part is a fixed number of this VM between 0 and 1.
func (c *Core) part() float64 { return float64(xxhash.Sum64String(c.cfg.VM)%1024) / 1024 }

// rank is the place of a VM among those of its zone, in an order that all of
// them agree on.
func rank(vm string, zone []string) int {
	own := xxhash.Sum64String(vm)
	ahead := 0
	for _, other := range zone {
		if h := xxhash.Sum64String(other); h < own || h == own && other < vm {
			ahead++
		}
	}
	return ahead
}
