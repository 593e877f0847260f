package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// pool is the upstreams of one target and the queue before them.
type pool struct {
	target string
	// all are the document's upstreams of the target; local and remote are
	// those that this VM deals with.
	all    []*upstream
	local  []*upstream
	remote []*upstream
	queue  queue
	// turn is where a round-robin choice goes on.
	turn int
	// places and spare are this VM's places and the free ones at the last
	// Tick; long is the number of its long runs.
	places, spare, long int
	// longOrder is the order in which long work fills the upstreams, and
	// longHere what it may fill of each. Both follow from the document, so all
	// VMs agree: long runs gather on the same upstreams, and the others keep
	// places for short ones however old the reports are.
	longOrder []*upstream
	longHere  map[*upstream]longPart
	// urgentAt is when urgent work was last seen.
	urgentAt time.Time
	// service is the mean time of a run by band, in seconds.
	service [bandCount]float64
	// slowUrgent is the time above which hedgePart of the urgent runs lie, in
	// seconds; zero before any.
	slowUrgent float64
	// routers is the number of VMs that deal with each upstream.
	routers float64
}

// pools returns the pools that an upstream belongs to.
func (u *upstream) pools(c *Core) []*pool {
	out := u.member[:0]
	for _, t := range u.doc.Serves {
		if p := c.pools[t]; p != nil {
			out = append(out, p)
		}
	}
	u.member = out
	return out
}

// assign divides a pool's upstreams between the VMs: in a large fleet each
// one deals with a fixed subset, drawn by hash of VM and upstream, its own
// zone's first. The subset moves little when upstreams come and go.
func (c *Core) assign(p *pool) {
	p.local, p.remote = p.local[:0], p.remote[:0]
	for _, u := range p.all {
		if u.local {
			p.local = append(p.local, u)
		} else {
			p.remote = append(p.remote, u)
		}
	}
	full := len(p.all)
	size := c.subsetSize(full)
	p.local = c.subset(p.local, size)
	p.remote = c.subset(p.remote, max(size/2, size-len(p.local)))
	p.orderLong()
	dealt := len(p.local) + len(p.remote)
	p.routers = max(1, float64(c.routersTotal)*float64(dealt)/float64(max(1, full)))
}

// Bounds of the subset of a pool that one VM deals with.
const (
	// dealers is the number of VMs that should at least deal with an upstream.
	dealers = 24
	// leastSubset is the number of upstreams of a pool that a VM can choose
	// from in any case.
	leastSubset = 8
)

// subsetSize keeps the sum over many small pools small: each upstream that a
// VM deals with costs it a load report twice a second.
func (c *Core) subsetSize(full int) int {
	enough := (full*dealers + c.routersTotal - 1) / max(1, c.routersTotal)
	return min(c.cfg.MaxSubsetSize, max(leastSubset, enough))
}

// longPart is what long work may fill of an upstream.
type longPart int

const (
	longSome longPart = iota // a part, in small pools
	longNone
	longAll // all but one place
)

// smallPool is the number of a zone's upstreams below which none is kept free
// of long work.
const smallPool = 4

func (p *pool) orderLong() {
	p.longHere = map[*upstream]longPart{}
	zones := map[string][]*upstream{}
	for _, u := range p.all {
		if u.takes {
			zones[u.zone] = append(zones[u.zone], u)
		}
	}
	rank := func(u *upstream) uint64 { return xxhash.Sum64String(p.target + "\x00" + u.name) }
	byRank := func(a, b *upstream) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.name, b.name))
	}
	for _, list := range zones {
		slices.SortFunc(list, byRank)
		if len(list) < smallPool {
			continue
		}
		for i, u := range list {
			p.longHere[u] = longAll
			if i >= len(list)-len(list)/reservePart {
				p.longHere[u] = longNone
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
		return cmp.Or(cmp.Compare(c.rank(a), c.rank(b)), cmp.Compare(a.name, b.name))
	})
	return list[:size]
}

func (c *Core) rank(u *upstream) uint64 { return xxhash.Sum64String(c.cfg.VM + "\x00" + u.name) }

// serviceTime is the expected time of a band's run.
func (p *pool) serviceTime(band int) time.Duration {
	if p.service[band] == 0 {
		return defaultService
	}
	return time.Duration(p.service[band] * float64(time.Second))
}
