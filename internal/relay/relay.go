// Package relay decides whether an entry VM reads the platform's store directly
// or relies on updates from other VMs. Every call to the store is billed, and
// in a large fleet all VMs would read the same objects. The package does no I/O
// and reads no clock.
//
// A few VMs of each availability zone, the readers, read the store. All VMs
// send each other the latest revisions that they have cached and the time since
// the store last confirmed that their copy was complete. A VM that is behind
// fetches the missing changes from the sender. A VM whose last confirmation is
// too old reads the store itself, whether the readers are stopped, partitioned,
// frozen or rejected by the store.
package relay

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// readersPerZone is the number of VMs in an availability zone that read the
	// store. Two of them may fail at the same time.
	readersPerZone = 3
	// minVMsToShare is the minimum number of VMs in a zone for sharing reads. In
	// smaller zones all VMs read, because sharing would save few calls.
	minVMsToShare = 6
	// maxStalenessShare is the share of Config.PropagationLimit above which a VM's
	// staleness makes it read the store itself. The rest of the limit is left for
	// the call and for applying the change.
	maxStalenessShare = 0.7
	// maxStalenessReduction is the largest share by which a VM's staleness limit is
	// lowered. The limit differs per VM, so that the first VMs that read confirm the
	// copies of the others, which then need no read.
	maxStalenessReduction = 0.2
	// directReadWindow is how long a VM continues to read the store after it was
	// stale, because its zone's readers may still be failing.
	directReadWindow = 5 * time.Second
	// listOnlyPeriod is how long after its start a VM lists the store's objects but
	// does not watch them. By the end of the period, gossip has discovered the
	// zone's readers.
	listOnlyPeriod = 800 * time.Millisecond
)

// Digest describes a VM's cached copy of the store to other VMs.
type Digest struct {
	// AgeMS is the time in milliseconds since the copy was last confirmed to be
	// complete.
	AgeMS int64 `cbor:"1,keyasint"`
	// Revisions holds the latest cached revision of each kind of object, in the
	// order of catalog.Kinds.
	Revisions []uint64 `cbor:"2,keyasint"`
	// Era is the store's era in which the copy was read; see catalog.JoinRevision.
	Era uint64 `cbor:"3,keyasint,omitempty"`
}

// Copy is the state of this VM's copy of the store that digests are compared with.
type Copy struct {
	// Era is the latest era that any part of the copy was read in, Revisions the
	// latest cached revision of each kind, in the order of catalog.Kinds.
	Era       uint64
	Revisions []uint64
}

// NewerThan reports whether the digest is of a later era than a copy, or has a later
// revision of any kind in the same era. Kinds that are missing in the copy are
// ignored.
func (d *Digest) NewerThan(local Copy) bool {
	if d.Era != local.Era {
		return d.Era > local.Era
	}
	for i := range d.Revisions {
		if i < len(local.Revisions) && d.Revisions[i] > local.Revisions[i] {
			return true
		}
	}
	return false
}

// Config holds the constant inputs of a VM's decision.
type Config struct {
	VM string
	// PropagationLimit is the shortest of the time limits for changes to take
	// effect.
	PropagationLimit time.Duration
	// StartedAt is the start time of the process.
	StartedAt time.Time
	// Standalone is true when no seed addresses are configured. The VM then does not
	// wait for peers at its start.
	Standalone bool
}

// Reason explains why a VM reads the store or does not.
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

// Decision states which calls to the store the VM makes.
type Decision struct {
	// Lists is true when the VM lists kinds that are not cached yet. Watches is
	// true when it also watches for changes; only then does the VM count as reading
	// the store.
	Lists   bool
	Watches bool
	Reason  Reason
	// Rank is the VM's position in its zone in hash order, from 0. Package edge also
	// derives from it how long a VM that watches waits before it writes a roll-out's
	// verdict, the result of the roll-out, to the store: any VM may write it, and
	// they try in this order until one VM's verdict has been received.
	Rank int
	// SharesReads is true when the VMs of the zone share reads.
	SharesReads bool
	// Staleness is the time since the copy was last confirmed to be complete.
	Staleness time.Duration
}

// FetchesFromPeer reports whether the VM fetches missing changes from a peer. It
// always fetches from peers in its zone. Traffic between zones is billed, so
// only the zone's readers fetch from other zones. They need to, because the store
// may deliver a change to them late or not at all.
func (d Decision) FetchesFromPeer(sameZone bool) bool { return sameZone || d.Rank < readersPerZone }

// Core tracks how stale this VM's copy is and decides whether the VM reads the
// store. It is not safe for concurrent use.
type Core struct {
	cfg         Config
	confirmedAt time.Time
	// readUntil is the end of the directReadWindow.
	readUntil time.Time
}

// New returns a core whose copy is not confirmed yet.
func New(cfg Config) *Core { return &Core{cfg: cfg} }

// Confirm records that the store confirmed this VM's copy at the given time.
func (c *Core) Confirm(at time.Time) {
	if at.After(c.confirmedAt) {
		c.confirmedAt = at
	}
}

// Receive processes a peer's digest and reports whether this VM, whose copy is given,
// is behind the peer. If it is not, the peer's confirmation also applies here,
// because this copy contains all changes of the peer's copy. A digest of an earlier
// era confirms nothing: its sender has not noticed yet that the store came back
// from an older copy.
func (c *Core) Receive(now time.Time, digest *Digest, local Copy) (behind bool) {
	if digest.NewerThan(local) {
		return true
	}
	if digest.Era < local.Era {
		return false
	}
	c.Confirm(now.Add(-time.Duration(digest.AgeMS) * time.Millisecond))
	return false
}

// Digest returns the digest to send to peers; nil before the first confirmation.
func (c *Core) Digest(now time.Time, local Copy) *Digest {
	if c.confirmedAt.IsZero() {
		return nil
	}
	return &Digest{AgeMS: now.Sub(c.confirmedAt).Milliseconds(), Revisions: local.Revisions, Era: local.Era}
}

// Decide returns the decision. The zone lists the live VMs of this VM's zone,
// including this VM.
func (c *Core) Decide(now time.Time, zone []string) Decision {
	d := Decision{Lists: true, Watches: true, SharesReads: len(zone) >= minVMsToShare, Rank: rank(c.cfg.VM, zone), Staleness: c.staleness(now)}
	switch {
	case !c.cfg.Standalone && now.Sub(c.cfg.StartedAt) < listOnlyPeriod:
		d.Watches, d.Reason = false, Starting
	case !d.SharesReads:
		d.Reason = FewVMs
	case d.Rank < readersPerZone:
		d.Reason = Reader
	case d.Staleness > c.maxStaleness():
		c.readUntil = now.Add(directReadWindow)
		d.Reason = Stale
	case now.Before(c.readUntil):
		d.Reason = RecentlyStale
	default:
		d.Lists, d.Watches, d.Reason = false, false, Relayed
	}
	return d
}

// staleness returns the time since the last confirmation, or since the start of
// the process if there is none.
func (c *Core) staleness(now time.Time) time.Duration {
	if c.confirmedAt.IsZero() {
		return now.Sub(c.cfg.StartedAt)
	}
	return now.Sub(c.confirmedAt)
}

// maxStaleness returns the staleness above which this VM reads the store itself.
func (c *Core) maxStaleness() time.Duration {
	limit := maxStalenessShare * float64(c.cfg.PropagationLimit)
	return time.Duration(limit * (1 - maxStalenessReduction*c.jitter()))
}

// jitter returns a number in [0, 1) that is constant for this VM.
func (c *Core) jitter() float64 { return float64(xxhash.Sum64String(c.cfg.VM)%1024) / 1024 }

// rank returns the position of a VM in its zone, in hash order, which is the
// same on all VMs.
func rank(vm string, zone []string) int {
	own := xxhash.Sum64String(vm)
	lower := 0
	for _, other := range zone {
		if h := xxhash.Sum64String(other); h < own || h == own && other < vm {
			lower++
		}
	}
	return lower
}
