package claims

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrypier/cranberrypier/internal/membership"
)

// members is what the claims need of the membership view. It is a hint that
// saves store calls; no decision about a claim rests on it.
type members struct {
	routers map[string]string // every known VM's router address, alive or not
	alive   []candidate       // VMs whose routers take claims, by name
}

type candidate struct {
	vm    string
	hash  uint64
	avoid time.Time // no home until then, since it did not answer
}

// avoidTime is how long a home that did not answer is passed over.
const avoidTime = 3 * time.Second

func (m *members) avoid(addr string, until time.Time) {
	for i, x := range m.alive {
		if m.routers[x.vm] == addr {
			m.alive[i].avoid = until
		}
	}
}

func (m *members) set(v membership.View) {
	m.routers = make(map[string]string, len(v.Members))
	m.alive = nil
	for _, x := range v.Members {
		m.routers[x.VM] = x.Router
		if x.Status == membership.Alive && x.RouterUp && x.Router != "" {
			m.alive = append(m.alive, candidate{vm: x.VM, hash: xxhash.Sum64String(x.VM)})
		}
	}
}

func (m *members) router(vm string) string { return m.routers[vm] }

// home returns the VM that gathers a journal's writes: the highest hash over
// the live VMs. A journal of tickets has the VM that issued them. It returns
// the address and whether the home is another process; a remote home without
// an address can't be reached.
func (c *Core) home(id JournalID) (string, bool) {
	if id.VM != "" {
		if id.VM == c.vm {
			return "", id.Incarnation != c.incarn
		}
		return c.members.router(id.VM), true
	}
	best, top := "", uint64(0)
	seed := mix(uint64(id.Bucket)*SlotsPerBucket + uint64(id.Slot))
	for _, x := range c.members.alive {
		if c.now.Before(x.avoid) {
			continue
		}
		if h := mix(seed ^ x.hash); best == "" || h > top {
			best, top = x.vm, h
		}
	}
	if best == "" || best == c.vm {
		return "", false
	}
	return c.members.router(best), true
}

// mix is the finalizer of SplitMix64: it spreads the bits of x.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
