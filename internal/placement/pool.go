package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// pool holds the upstreams of one target and the queue for them.
type pool struct {
	target string
	// all holds the document's upstreams of the target; local and remote hold
	// those that this VM uses, in its own and in other zones.
	all    []*upstream
	local  []*upstream
	remote []*upstream
	queue  queue
	// nextRoundRobin is the index at which the next round-robin choice starts.
	nextRoundRobin int
	// slots and freeSlots are the number of this VM's slots and of the free
	// ones at the last Tick; longInflight is the number of its long runs.
	slots, freeSlots, longInflight int
	// longOrder is the order in which long work fills the upstreams, and
	// longLimits how much of each it may fill. Both are derived from the
	// document, so all VMs agree: long runs concentrate on the same upstreams,
	// and the others keep slots for short runs even if reports are old.
	longOrder  []*upstream
	longLimits map[*upstream]longLimit
	// lastNonLongAt is when urgent or middle work last arrived.
	lastNonLongAt time.Time
	// meanRunSeconds is the mean duration of a run by band, in seconds; zero
	// before the first run.
	meanRunSeconds [bandCount]float64
	// hedgeDelay is the duration that hedgeFraction of the urgent runs
	// exceed, in seconds; zero before the first run.
	hedgeDelay float64
	// vmsPerUpstream is the mean number of VMs that use each upstream.
	vmsPerUpstream float64
}

// pools returns the pools that the upstream belongs to. The result is valid
// until the next call.
func (u *upstream) pools(c *Core) []*pool {
	out := u.poolsBuf[:0]
	for _, t := range u.doc.Serves {
		if p := c.pools[t]; p != nil {
			out = append(out, p)
		}
	}
	u.poolsBuf = out
	return out
}

// assignSubset sets the upstreams of the pool that this VM uses. In a large
// fleet it is a fixed subset, chosen by rendezvous hashing of VM and upstream,
// with preference for the VM's own zone. The subset changes little when
// upstreams are added or removed.
func (c *Core) assignSubset(p *pool) {
	p.local, p.remote = p.local[:0], p.remote[:0]
	for _, u := range p.all {
		if u.local {
			p.local = append(p.local, u)
		} else {
			p.remote = append(p.remote, u)
		}
	}
	total := len(p.all)
	size := c.subsetSize(total)
	p.local = c.subset(p.local, size)
	p.remote = c.subset(p.remote, max(size/2, size-len(p.local)))
	p.planLongWork()
	assigned := len(p.local) + len(p.remote)
	p.vmsPerUpstream = max(1, float64(c.vmCount)*float64(assigned)/float64(max(1, total)))
}

// Bounds of the subset of a pool that one VM uses.
const (
	// minVMsPerUpstream is the minimum number of VMs that should use each
	// upstream.
	minVMsPerUpstream = 24
	// minSubsetSize is the minimum number of a pool's upstreams that a VM
	// uses, if the pool has as many.
	minSubsetSize = 8
)

// subsetSize returns how many upstreams of a pool with total upstreams this VM
// uses: enough that minVMsPerUpstream VMs use each one, but at least
// minSubsetSize and at most MaxSubsetSize. It is no larger than needed, since a
// VM may use many small pools and each upstream in use costs it two load
// reports per second.
func (c *Core) subsetSize(total int) int {
	needed := (total*minVMsPerUpstream + c.vmCount - 1) / max(1, c.vmCount)
	return min(c.cfg.MaxSubsetSize, max(minSubsetSize, needed))
}

// longLimit is how much of an upstream long work may fill.
type longLimit int

const (
	longPartial longLimit = iota // a part of its slots, in small zones
	longNone
	longAllButOne // all its slots but one
)

// minZoneSizeForReserve is the number of a zone's upstreams below which none
// is kept free of long work.
const minZoneSizeForReserve = 4

// planLongWork sets longLimits and longOrder. It ranks the upstreams by target
// and name, so that all VMs derive the same ranks.
func (p *pool) planLongWork() {
	p.longLimits = map[*upstream]longLimit{}
	zones := map[string][]*upstream{}
	for _, u := range p.all {
		if u.enabled {
			zones[u.zone] = append(zones[u.zone], u)
		}
	}
	fleetRank := func(u *upstream) uint64 { return xxhash.Sum64String(p.target + "\x00" + u.name) }
	byRank := func(a, b *upstream) int {
		return cmp.Or(cmp.Compare(fleetRank(a), fleetRank(b)), cmp.Compare(a.name, b.name))
	}
	for _, list := range zones {
		slices.SortFunc(list, byRank)
		if len(list) < minZoneSizeForReserve {
			continue
		}
		for i, u := range list {
			p.longLimits[u] = longAllButOne
			if i >= len(list)-len(list)/longReserveDivisor {
				p.longLimits[u] = longNone
			}
		}
	}
	p.longOrder = append(p.longOrder[:0], p.local...)
	slices.SortFunc(p.longOrder, byRank)
	remote := slices.Clone(p.remote)
	slices.SortFunc(remote, byRank)
	p.longOrder = append(p.longOrder, remote...)
}

func (c *Core) subset(list []*upstream, size int) []*upstream {
	if len(list) <= size {
		return list
	}
	slices.SortFunc(list, func(a, b *upstream) int {
		return cmp.Or(cmp.Compare(c.vmRank(a), c.vmRank(b)), cmp.Compare(a.name, b.name))
	})
	return list[:size]
}

// vmRank ranks the upstreams differently on each VM.
func (c *Core) vmRank(u *upstream) uint64 { return xxhash.Sum64String(c.cfg.VM + "\x00" + u.name) }

// bandRunTime is the expected duration of a run in the band, on any of the
// pool's upstreams.
func (p *pool) bandRunTime(band int) time.Duration {
	if p.meanRunSeconds[band] == 0 {
		return defaultRunTime
	}
	return time.Duration(p.meanRunSeconds[band] * float64(time.Second))
}
