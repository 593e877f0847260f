package edge

import (
	"sync"
	"time"
)

// maxEmptyFleetTime is how long a VM that knows no upstream waits for the first
// one before it reports that it is ready, and how long one waits for the roll-outs and
// the records of blocked content. All of these come by different calls, so any of them may
// arrive first.
const maxEmptyFleetTime = 2 * time.Second

// readiness decides when the VM can serve callers. It is safe for concurrent use.
type readiness struct {
	mu                                   sync.Mutex
	config, upstreams, rollOuts, blocked bool
	ready                                bool
	// loadedAt is the time of the first check that found both loaded.
	loadedAt time.Time
}

func (r *readiness) configLoaded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.config = true
}

func (r *readiness) upstreamsLoaded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.upstreams = true
}

func (r *readiness) rollOutsLoaded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rollOuts = true
}

// blockedTried is called after the first try to read the records of blocked content.
func (r *readiness) blockedTried() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocked = true
}

// check reports whether the VM is ready. A VM that was ready once stays ready.
func (r *readiness) check(now time.Time, upstreamCount int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ready || !r.config || !r.upstreams {
		return r.ready
	}
	if r.loadedAt.IsZero() {
		r.loadedAt = now
	}
	r.ready = upstreamCount > 0 && r.rollOuts && r.blocked || now.Sub(r.loadedAt) >= maxEmptyFleetTime
	return r.ready
}
