package claims

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrypier/cranberrypier/internal/membership"
)

// members is the part of the membership view that the claims use. It only saves
// store calls; no decision about a claim depends on it.
type members struct {
	routerAddrs map[string]string // every known VM's router address, alive or not
	alive       []candidate       // VMs whose routers accept claims, sorted by name
}

type candidate struct {
	vm         string
	hash       uint64
	avoidUntil time.Time // not chosen as home until then, because it did not answer
}

// avoidTTL is how long a home VM that did not answer is not chosen as home.
const avoidTTL = 3 * time.Second

func (m *members) avoid(addr string, until time.Time) {
	for i, x := range m.alive {
		if m.routerAddrs[x.vm] == addr {
			m.alive[i].avoidUntil = until
		}
	}
}

func (m *members) set(v membership.View) {
	m.routerAddrs = make(map[string]string, len(v.Members))
	m.alive = nil
	for _, x := range v.Members {
		m.routerAddrs[x.VM] = x.Router
		if x.Status == membership.Alive && x.RouterUp && x.Router != "" {
			m.alive = append(m.alive, candidate{vm: x.VM, hash: xxhash.Sum64String(x.VM)})
		}
	}
}

func (m *members) routerAddr(vm string) string { return m.routerAddrs[vm] }

// home returns the router address of a journal's home, the VM that batches the
// journal's writes, and whether the home is another process. Rendezvous hashing
// chooses the home among the live VMs. The home of a ticket journal is the VM
// that issued the tickets. A remote home without an address can't be reached.
func (c *Core) home(id JournalID) (string, bool) {
	if id.VM != "" {
		if id.VM == c.vm {
			return "", id.Incarnation != c.incarnation
		}
		return c.members.routerAddr(id.VM), true
	}
	bestVM, bestHash := "", uint64(0)
	seed := mix(uint64(id.Bucket)*SlotsPerBucket + uint64(id.Slot))
	for _, x := range c.members.alive {
		if c.now.Before(x.avoidUntil) {
			continue
		}
		if h := mix(seed ^ x.hash); bestVM == "" || h > bestHash {
			bestVM, bestHash = x.vm, h
		}
	}
	if bestVM == "" || bestVM == c.vm {
		return "", false
	}
	return c.members.routerAddr(bestVM), true
}

// mix is the finalizer of SplitMix64, which distributes the bits of x evenly.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
