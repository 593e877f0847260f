// Package relay decides whether an entry VM reads the platform's store directly
// or relies on updates from other VMs. Every call to the store is billed, and
// in a large fleet all VMs would read the same objects. The package does no I/O
// and reads no clock.
//
// A few VMs, the readers, read the store. All VMs send each other the latest
// revisions that they have cached and the time since the store last confirmed that
// their copy was complete. A VM that is behind fetches the missing changes from the
// sender. When the confirmations stay away, because readers are stopped, frozen,
// partitioned or rejected by the store, the next VMs of each zone read it
// themselves: a few at first, and the more VMs the longer it lasts. While some of
// them try without success, the store itself is probably unavailable, and most of
// the others do not try.
package relay

import (
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minReaders is the minimum number of readers in the fleet, and maxReadersPerZone
	// the maximum in one zone. Each zone has a reader.
	minReaders        = 5
	maxReadersPerZone = 3
	// minVMsToShare is the minimum number of VMs in a zone for sharing reads. In
	// smaller zones all VMs read, because sharing would save few calls.
	minVMsToShare = 6
	// crossZoneFetchers is the number of VMs of a zone that fetch changes from other
	// zones.
	crossZoneFetchers = 3
	// firstStandbys is the number of VMs of a zone that read the store when
	// confirmations stay away, before any other VM. The next groups are larger, each
	// twice as large as the one before.
	firstStandbys = 3
	standbyGroups = 4
	// minStalenessShare and maxStalenessShare are the shares of
	// Config.PropagationLimit after which the first and the last group read. The rest
	// of the limit is left for the call and for applying the change.
	minStalenessShare = 0.5
	maxStalenessShare = 0.75
	// confirmIntervalShare is the share of the first group's limit within which each
	// reader asks the store again, so that one of them alone keeps the others fresh.
	confirmIntervalShare = 0.75
	// minLatenessShare and maxLatenessShare are the shares of Config.PropagationLimit for
	// which the first and the last group of standbys know of a newer configuration that no
	// peer delivers, before they read the store. A configuration may be large, so most of
	// the limit is left for it to arrive.
	minLatenessShare = 0.2
	maxLatenessShare = 0.3
	// troubledStalenessShare and troubledSharePerRank replace them for all but the
	// first group while other VMs of the zone try to read without success.
	troubledStalenessShare = 1.2
	troubledSharePerRank   = 0.1
	// troubleTTL is how long a report of unsuccessful tries counts.
	troubleTTL = 1500 * time.Millisecond
	// directReadWindow is how long a VM continues to read the store after it was
	// stale, because its zone's readers may still be failing.
	directReadWindow = 5 * time.Second
	// listOnlyPeriod is how long after its start a VM lists the store's objects but
	// does not watch them. By the end of the period, gossip has discovered the
	// zone's readers.
	listOnlyPeriod = 800 * time.Millisecond
	// minListDelay is how long a VM that has just started waits for the state of a
	// peer before it lists the objects itself; maxExtraListDelay is the largest
	// addition, which differs per VM. Seeds do not wait.
	minListDelay      = 2 * time.Second
	maxExtraListDelay = 2 * time.Second
	// noPeersListDelay replaces both while no other VM is known, because there may be
	// none that runs or is in reach.
	noPeersListDelay = 400 * time.Millisecond
	// minCrossZoneDelay and maxExtraCrossZoneDelay are the same for fetching that
	// state from another zone.
	minCrossZoneDelay      = 300 * time.Millisecond
	maxExtraCrossZoneDelay = 800 * time.Millisecond
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
	// Standalone is true when no seed addresses are configured, and Seed when this VM
	// is one of the seeds. The VM then does not wait for peers at its start.
	Standalone bool
	Seed       bool
}

// View is what the decision depends on besides the copy itself.
type View struct {
	// Zone lists the live VMs of this VM's availability zone, including this VM.
	Zone []string
	// Zones is the number of zones that have live VMs.
	Zones int
	// Loaded is true once this VM can serve callers from its copy.
	Loaded bool
	// Late is how long this VM has known of a newer configuration than the one that it
	// uses; zero if it knows of none.
	Late time.Duration
}

// Reason explains why a VM reads the store or does not.
type Reason string

// Reasons of a decision.
const (
	Starting      Reason = "starting"
	AsksPeers     Reason = "asks_peers"
	FewVMs        Reason = "few_vms"
	Reader        Reason = "reader"
	Late          Reason = "late"
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
	// ConfirmInterval limits the time between two calls of a reader for others; zero
	// if the VMs of the zone do not share reads.
	ConfirmInterval time.Duration
	// fetchesAcrossZones is true when the VM fetches changes from other zones.
	fetchesAcrossZones bool
}

// FetchesFromPeer reports whether the VM fetches missing changes from a peer. It
// always fetches from peers in its zone. Traffic between zones is billed, so only a
// few VMs of a zone fetch from other zones, and VMs that start and get nothing from
// their zone. The former need to, because the store may deliver a change to the
// zone's readers late or not at all.
func (d Decision) FetchesFromPeer(sameZone bool) bool { return sameZone || d.fetchesAcrossZones }

// Core tracks how stale this VM's copy is and decides whether the VM reads the
// store. It is not safe for concurrent use.
type Core struct {
	cfg         Config
	confirmedAt time.Time
	// readUntil is the end of the directReadWindow.
	readUntil time.Time
	// troubleAt is when a VM of the zone last tried to read the store without
	// success, as far as this VM knows.
	troubleAt time.Time
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

// Trouble records that a VM of this zone, possibly this one, tried to read the store
// without success at the given time.
func (c *Core) Trouble(at time.Time) {
	if at.After(c.troubleAt) {
		c.troubleAt = at
	}
}

// TroubleAge returns the time since the last unsuccessful try that this VM knows of,
// to be sent to peers, or false if there was none lately.
func (c *Core) TroubleAge(now time.Time) (time.Duration, bool) {
	age := now.Sub(c.troubleAt)
	return age, age < troubleTTL
}

// Decide returns the decision.
func (c *Core) Decide(now time.Time, v View) Decision {
	d := Decision{
		Lists: true, Watches: true, SharesReads: len(v.Zone) >= minVMsToShare, Rank: rank(c.cfg.VM, v.Zone),
		Staleness: c.staleness(now),
	}
	d.fetchesAcrossZones = d.Rank < crossZoneFetchers || !v.Loaded && c.hasWaited(now, minCrossZoneDelay, maxExtraCrossZoneDelay)
	readers := readersPerZone(v.Zones)
	if d.SharesReads {
		d.ConfirmInterval = time.Duration(confirmIntervalShare * minStalenessShare * float64(c.cfg.PropagationLimit))
	}
	switch {
	case !v.Loaded && !c.cfg.Standalone && !c.cfg.Seed && !c.hasWaitedForPeers(now, v):
		d.Lists, d.Watches, d.Reason = false, false, AsksPeers
	case !c.cfg.Standalone && now.Sub(c.cfg.StartedAt) < listOnlyPeriod:
		d.Watches, d.Reason = false, Starting
	case !d.SharesReads:
		d.Reason = FewVMs
	case d.Rank < readers:
		d.Reason = Reader
	case v.Late > c.maxLateness(d.Rank-readers):
		c.readUntil = now.Add(directReadWindow)
		d.Reason = Late
	case d.Staleness > c.maxStaleness(now, d.Rank-readers):
		c.readUntil = now.Add(directReadWindow)
		d.Reason = Stale
	case now.Before(c.readUntil):
		d.Reason = RecentlyStale
	default:
		d.Lists, d.Watches, d.Reason = !v.Loaded, false, Relayed
	}
	return d
}

// readersPerZone returns the number of readers of each zone.
func readersPerZone(zones int) int {
	zones = max(zones, 1)
	return min(max((minReaders+zones-1)/zones, 1), maxReadersPerZone)
}

// hasWaitedForPeers reports whether this VM has waited long enough for the state of a
// peer.
func (c *Core) hasWaitedForPeers(now time.Time, v View) bool {
	if len(v.Zone) <= 1 && v.Zones <= 1 {
		return now.Sub(c.cfg.StartedAt) >= noPeersListDelay
	}
	return c.hasWaited(now, minListDelay, maxExtraListDelay)
}

// hasWaited reports whether the time since the start exceeds a delay that differs
// per VM.
func (c *Core) hasWaited(now time.Time, minimum, maxExtra time.Duration) bool {
	return now.Sub(c.cfg.StartedAt) >= minimum+time.Duration(c.jitter()*float64(maxExtra))
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
// standby is its position among the VMs of the zone that are not readers.
func (c *Core) maxStaleness(now time.Time, standby int) time.Duration {
	group := standbyGroup(standby)
	share := minStalenessShare + (maxStalenessShare-minStalenessShare)*float64(group)/standbyGroups
	if _, troubled := c.TroubleAge(now); troubled && group > 0 {
		share = troubledStalenessShare + troubledSharePerRank*float64(standby)
	}
	return time.Duration(share * float64(c.cfg.PropagationLimit))
}

// maxLateness returns for how long this VM waits for peers to deliver a newer configuration
// before it reads the store itself.
func (c *Core) maxLateness(standby int) time.Duration {
	share := minLatenessShare + (maxLatenessShare-minLatenessShare)*float64(standbyGroup(standby))/standbyGroups
	return time.Duration(share * float64(c.cfg.PropagationLimit))
}

// standbyGroup returns the group of a VM by its position among those that are not readers.
func standbyGroup(standby int) int {
	return min(bits.Len(uint(standby/firstStandbys+1))-1, standbyGroups)
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
