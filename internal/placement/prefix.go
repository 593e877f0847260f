package placement

import lru "github.com/hashicorp/golang-lru/v2"

// prefixIndex records which upstreams have which prompt prefixes in their
// cache, from this VM's own runs and from cache events. Events arrive late and
// with gaps, so an entry may be wrong; this costs one slower prefill.
type prefixIndex struct {
	cache        *lru.Cache[uint64, prefixHolders]
	nextSequence map[string]uint64
}

// prefixHolders are up to two upstreams that hold a prefix, the most recent
// one first.
type prefixHolders [2]*upstream

func newPrefixIndex(size int) *prefixIndex {
	c, err := lru.New[uint64, prefixHolders](size)
	if err != nil {
		panic(err) // a positive size can't fail
	}
	return &prefixIndex{cache: c, nextSequence: map[string]uint64{}}
}

func (p *prefixIndex) holders(hash uint64) prefixHolders {
	if hash == 0 {
		return prefixHolders{}
	}
	h, _ := p.cache.Get(hash)
	return h
}

func (p *prefixIndex) add(hash uint64, u *upstream) {
	if hash == 0 {
		return
	}
	h, _ := p.cache.Get(hash)
	if h[0] == u {
		return
	}
	p.cache.Add(hash, prefixHolders{u, h[0]})
}

func (p *prefixIndex) remove(hash uint64, u *upstream) {
	h, ok := p.cache.Peek(hash)
	if !ok {
		return
	}
	if h[0] == u {
		h[0], h[1] = h[1], nil
	} else if h[1] == u {
		h[1] = nil
	}
	if h[0] == nil {
		p.cache.Remove(hash)
		return
	}
	p.cache.Add(hash, h)
}

// applyEvents applies the cache events of one upstream. Late duplicates are
// skipped.
func (p *prefixIndex) applyEvents(u *upstream, events []CacheEvent) {
	for _, e := range events {
		if e.Sequence < p.nextSequence[u.name] {
			continue
		}
		p.nextSequence[u.name] = e.Sequence + 1
		if e.Added {
			p.add(e.Hash, u)
		} else {
			p.remove(e.Hash, u)
		}
	}
}

// removeUpstream removes the entries of an upstream whose cache was lost. It
// scans all entries, which happens once per restart.
func (p *prefixIndex) removeUpstream(u *upstream) {
	for _, hash := range p.cache.Keys() {
		p.remove(hash, u)
	}
	delete(p.nextSequence, u.name)
}
