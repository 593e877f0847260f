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
	reportPeriod = 500 * time.Millisecond
	// reportTimeout bounds one report.
	reportTimeout = time.Second
)

// reports reads the upstreams' load and cache events. Reading costs an engine
// no work, so every router may do it for the upstreams that it uses.
type reports struct {
	client *upstream.Client
	placer *placement.Service
	seen   func(upstreamName, incarnation string, now time.Time)
	index  atomic.Pointer[document.Index]

	mu    sync.Mutex
	known map[string]string
	next  map[string]uint64
	busy  map[string]bool
}

// newReports returns a reader; seen is told each incarnation.
func newReports(client *upstream.Client, placer *placement.Service, seen func(string, string, time.Time)) *reports {
	return &reports{
		seen:   seen,
		client: client,
		placer: placer,
		known:  make(map[string]string),
		next:   make(map[string]uint64),
		busy:   make(map[string]bool),
	}
}

func (p *reports) takeIndex(idx *document.Index) { p.index.Store(idx) }

// incarnation returns the last known incarnation of an upstream.
func (p *reports) incarnation(upstreamName string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known[upstreamName]
}

// run reads all upstreams' reports until ctx ends.
func (p *reports) run(ctx context.Context) {
	for ctx.Err() == nil {
		if idx := p.index.Load(); idx != nil {
			p.round(ctx, idx)
		}
		pause.For(ctx, reportPeriod/2+rand.N(reportPeriod))
	}
}

// round starts one read an upstream; an upstream that has not answered the last
// one is left out.
func (p *reports) round(ctx context.Context, idx *document.Index) {
	for _, u := range idx.Document().Upstreams {
		if u.Kind == document.Rating || !p.placer.InSubset(u.Name) || !p.begin(u.Name) {
			continue
		}
		go func() {
			defer p.end(u.Name)
			p.read(ctx, u)
		}()
	}
}

func (p *reports) begin(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy[name] {
		return false
	}
	p.busy[name] = true
	return true
}

func (p *reports) end(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy, name)
}

func (p *reports) read(ctx context.Context, u document.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r, err := p.client.Load(ctx, u.Address)
	if err != nil {
		klog.V(2).Infof("reports: No report from %s: %v.", u.Name, err)
		return
	}
	r.Upstream = u.Name
	p.mu.Lock()
	p.known[u.Name] = r.Incarnation
	after := p.next[u.Name]
	p.mu.Unlock()
	p.placer.Observe(r)
	if r.Incarnation != "" {
		p.seen(u.Name, r.Incarnation, time.Now())
	}
	if u.Kind == document.Engine {
		p.readCache(ctx, u, after)
	}
}

func (p *reports) readCache(ctx context.Context, u document.Upstream, after uint64) {
	events, next, err := p.client.CacheEvents(ctx, u.Address, after)
	if err != nil {
		return
	}
	p.mu.Lock()
	p.next[u.Name] = next
	p.mu.Unlock()
	if len(events) > 0 {
		p.placer.CacheEvents(u.Name, events)
	}
}
