package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/pause"
	"github.com/cranberrypier/cranberrypier/internal/placement"
	"github.com/cranberrypier/cranberrypier/internal/upstream"
)

const (
	// reportPeriod is the mean time between two load reports of an upstream.
	pollInterval = 500 * time.Millisecond
	// reportTimeout bounds one report.
	pollTimeout = time.Second
)

// reports reads the upstreams' load and cache events. Reading costs an engine
// no work, so every router may do it for the upstreams that it uses.
type loadPoller struct {
	client        *upstream.Client
	placer        *placement.Service
	onIncarnation func(upstreamName, incarnation string, now time.Time)
	index         atomic.Pointer[document.Index]

	mu           sync.Mutex
	incarnations map[string]string
	nextEvent    map[string]uint64
	inFlight     map[string]bool
}

// newReports returns a reader; seen is told each incarnation.
func newLoadPoller(client *upstream.Client, placer *placement.Service, onIncarnation func(string, string, time.Time)) *loadPoller {
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

// incarnation returns the last known incarnation of an upstream.
func (p *loadPoller) incarnation(upstreamName string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnations[upstreamName]
}

// run reads all upstreams' reports until ctx ends.
func (p *loadPoller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if idx := p.index.Load(); idx != nil {
			p.pollAll(ctx, idx)
		}
		pause.For(ctx, pollInterval/2+rand.N(pollInterval))
	}
}

// round starts one read an upstream; an upstream that has not answered the last
// one is left out.
func (p *loadPoller) pollAll(ctx context.Context, idx *document.Index) {
	for _, u := range idx.Document().Upstreams {
		if u.Kind == document.Rating || !p.placer.Deals(u.Name) || !p.tryStart(u.Name) {
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
		klog.V(2).Infof("reports: No report from %s: %v.", u.Name, err)
		return
	}
	r.Upstream = u.Name
	p.mu.Lock()
	p.incarnations[u.Name] = r.Incarnation
	after := p.nextEvent[u.Name]
	p.mu.Unlock()
	p.placer.Observe(r)
	if r.Incarnation != "" {
		p.onIncarnation(u.Name, r.Incarnation, time.Now())
	}
	if u.Kind == document.Engine {
		p.pollCacheEvents(ctx, u, after)
	}
}

func (p *loadPoller) pollCacheEvents(ctx context.Context, u document.Upstream, after uint64) {
	events, next, err := p.client.CacheEvents(ctx, u.Address, after)
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
