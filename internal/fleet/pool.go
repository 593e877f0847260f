package fleet

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// homesPerPrompt is the number of a prompt's homes that are considered: the first
	// two of them that are available are preferred.
	homesPerPrompt = 4
	// drawsPerChoice is the number of upstreams that are drawn at random beside the
	// homes. In a large fleet the loads that a VM knows are old, and all VMs know
	// about the same; if each took the best of all, they would meet there.
	drawsPerChoice = 16
	// maxFullChoice is the number of upstreams up to which all are considered.
	maxFullChoice = 24
	// maxCachedHomes limits the prompts whose homes are kept.
	maxCachedHomes = 256
)

// servicePool holds the upstreams of one service. It is replaced when they change.
type servicePool struct {
	members []*member // sorted by ID
	// zones is the number of availability zones of the members.
	zones int
	homes *lru.Cache[uint64, [homesPerPrompt]*member]
}

func newPool() *servicePool {
	homes, err := lru.New[uint64, [homesPerPrompt]*member](maxCachedHomes)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &servicePool{homes: homes}
}

// countZones counts the zones of the members.
func (p *servicePool) countZones() {
	zones := make(map[string]bool)
	for _, m := range p.members {
		zones[m.Zone] = true
	}
	p.zones = len(zones)
}

// rankInVersions ranks the members of each version by the hash of their IDs, so that
// all VMs find the same first ones of them.
func (p *servicePool) rankInVersions() {
	byVersion := make(map[string][]*member)
	for _, m := range p.members {
		byVersion[m.Version] = append(byVersion[m.Version], m)
	}
	for _, list := range byVersion {
		slices.SortFunc(list, func(a, b *member) int { return cmp.Compare(a.hash, b.hash) })
		for i, m := range list {
			m.versionRank, m.versionCount = i, len(list)
		}
	}
}

// isInShare reports whether the member belongs to the first ones of its version that
// make up a share of them, at least one; zero stands for all.
func (m *member) isInShare(share float64) bool {
	return share == 0 || m.versionRank == 0 || float64(m.versionRank) < share*float64(m.versionCount)
}

// draw appends the upstreams to consider for a prompt: its homes and some others at
// random, each once. The key is zero for none.
func (p *servicePool) draw(rng *rand.Rand, key uint64, out []*member) []*member {
	if key != 0 {
		for _, m := range p.homesOf(key) {
			if m != nil {
				out = append(out, m)
			}
		}
	}
	for range drawsPerChoice {
		if m := p.members[rng.IntN(len(p.members))]; !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	return out
}

// preferred returns the first two of a prompt's homes that are eligible; nil if there
// are none or key is zero.
func (p *servicePool) preferred(key uint64, eligible []*member) (first, second *member) {
	if key == 0 {
		return nil, nil
	}
	for _, m := range p.homesOf(key) {
		switch {
		case m == nil || !slices.Contains(eligible, m):
		case first == nil:
			first = m
		case second == nil:
			second = m
		}
	}
	return first, second
}

// homesOf returns the upstreams that rendezvous hashing selects for a prompt, first
// to last.
func (p *servicePool) homesOf(key uint64) [homesPerPrompt]*member {
	if homes, ok := p.homes.Get(key); ok {
		return homes
	}
	homes := rendezvous(p.members, key)
	p.homes.Add(key, homes)
	return homes
}

// rendezvous returns the members with the highest hashes of a key and their own, in
// this order. All VMs get the same ones without exchanging messages, so the shared
// parts of a prompt are prefilled only there.
func rendezvous(list []*member, key uint64) (best [homesPerPrompt]*member) {
	var hashes [homesPerPrompt]uint64
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], key)
	for _, m := range list {
		binary.LittleEndian.PutUint64(buf[8:], m.hash)
		h := xxhash.Sum64(buf[:])
		for i := range best {
			if best[i] == nil || h > hashes[i] {
				copy(best[i+1:], best[i:homesPerPrompt-1])
				copy(hashes[i+1:], hashes[i:homesPerPrompt-1])
				best[i], hashes[i] = m, h
				break
			}
		}
	}
	return best
}
