package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/ctxwait"
	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/placement"
	"github.com/cranberrypier/cranberrypier/internal/upstream"
)

const (
	// pollInterval is the mean time between two polls of an upstream's load.
	pollInterval = 500 * time.Millisecond
	// pollTimeout limits one poll of an upstream.
	pollTimeout = time.Second
)

// loadPoller polls the load and the cache events of upstreams. A poll takes no
// capacity from an engine, so every router polls the upstreams that it uses.
type loadPoller struct {
	client        *upstream.Client
	placer        *placement.Placer
	onIncarnation func(upstreamName, incarnation string, now time.Time)
	index         atomic.Pointer[document.Index]

	mu           sync.Mutex
	incarnations map[string]string
	nextEvent    map[string]uint64
	inFlight     map[string]bool
}

// newLoadPoller returns a poller that calls onIncarnation with the incarnation in
// each load report.
func newLoadPoller(client *upstream.Client, placer *placement.Placer, onIncarnation func(string, string, time.Time)) *loadPoller {
	return &loadPoller{
		onIncarnation: onIncarnation,
		client:        client,
		placer:        placer,
		incarnations:  make(map[string]string),
		nextEvent:     make(map[string]uint64),
		inFlight:      make(map[string]bool),
	}
}

func (p *loadPoller) setIndex(idx *document.Index) { p.index.Store(idx) }

// incarnation returns the last reported incarnation of an upstream, or an empty
// string if it is unknown.
func (p *loadPoller) incarnation(upstreamName string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnations[upstreamName]
}

// run polls the upstreams until ctx ends.
func (p *loadPoller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if idx := p.index.Load(); idx != nil {
			p.pollAll(ctx, idx)
		}
		ctxwait.For(ctx, pollInterval/2+rand.N(pollInterval))
	}
}

// pollAll starts a poll of each upstream that this router uses, except of rating
// services and of upstreams whose last poll is still in progress.
func (p *loadPoller) pollAll(ctx context.Context, idx *document.Index) {
	for _, u := range idx.Document().Upstreams {
		if u.Kind == document.Rating || !p.placer.InSubset(u.Name) || !p.tryStart(u.Name) {
			continue
		}
		go func() {
			defer p.finish(u.Name)
			p.poll(ctx, u)
		}()
	}
}

func (p *loadPoller) tryStart(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inFlight[name] {
		return false
	}
	p.inFlight[name] = true
	return true
}

func (p *loadPoller) finish(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inFlight, name)
}

func (p *loadPoller) poll(ctx context.Context, u document.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	r, err := p.client.Load(ctx, u.Address)
	if err != nil {
		klog.V(2).Infof("reports: Load poll of %s failed: %v.", u.Name, err)
		return
	}
	r.Upstream = u.Name
	p.mu.Lock()
	p.incarnations[u.Name] = r.Incarnation
	afterEvent := p.nextEvent[u.Name]
	p.mu.Unlock()
	p.placer.Observe(r)
	if r.Incarnation != "" {
		p.onIncarnation(u.Name, r.Incarnation, time.Now())
	}
	if u.Kind == document.Engine {
		p.pollCacheEvents(ctx, u, afterEvent)
	}
}

func (p *loadPoller) pollCacheEvents(ctx context.Context, u document.Upstream, afterEvent uint64) {
	events, next, err := p.client.CacheEvents(ctx, u.Address, afterEvent)
	if err != nil {
		return
	}
	p.mu.Lock()
	p.nextEvent[u.Name] = next
	p.mu.Unlock()
	if len(events) > 0 {
		p.placer.CacheEvents(u.Name, events)
	}
}
