package placement

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/seats"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
	"github.com/prometheus/client_golang/prometheus"
)

const (
	// commandQueue bounds the commands that wait for the owner. When it is
	// full, Acquire refuses with Overloaded, and all others wait.
	commandQueue = 1024
	// saturatedWait is the wait that counts as full saturation.
	saturatedWait = 5 * time.Second
	// tickPeriod is the time between looks at the queues.
	tickPeriod = 50 * time.Millisecond
)

// Service owns a Core in one goroutine, which Run is.
type Service struct {
	core     *Core
	commands chan func(now time.Time)
	stopped  chan struct{}
	idx      atomic.Pointer[document.Index]
	hedges   atomic.Pointer[map[string]time.Duration]
	deals    atomic.Pointer[map[string]struct{}]
	// saturation is a float64's bits.
	saturation atomic.Uint64
	waiters    map[WaiterID]chan Grant
	recorder   timeline.Recorder
	metrics    *metrics
}

// New returns a service; Run has to be started. The recorder and reg may be
// nil. A nil cfg.ColdShare takes the seats' own rule.
func New(cfg Config, recorder timeline.Recorder, reg prometheus.Registerer) *Service {
	return &Service{
		core: NewCore(cfg), commands: make(chan func(time.Time), commandQueue), stopped: make(chan struct{}),
		waiters: map[WaiterID]chan Grant{}, recorder: recorder, metrics: newMetrics(reg),
	}
}

// Run serves until ctx ends; afterwards Acquire refuses with Draining.
func (p *Service) Run(ctx context.Context) {
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	defer close(p.stopped)
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-p.commands:
			f(time.Now())
		case now := <-t.C:
			p.core.Tick(now)
			p.metrics.observe(p.core)
			p.publishHedges()
			p.saturation.Store(math.Float64bits(p.core.Saturation(saturatedWait)))
		}
		p.deliver()
	}
}

// publishHedges renews what HedgeAfter reads.
func (p *Service) publishHedges() {
	m := make(map[string]time.Duration, len(p.core.pools))
	for t := range p.core.pools {
		m[t] = p.core.HedgeAfter(t)
	}
	p.hedges.Store(&m)
}

// publishDeals renews what Deals reads.
func (p *Service) publishDeals() {
	m := map[string]struct{}{}
	for _, pool := range p.core.pools {
		for _, list := range [...][]*upstream{pool.local, pool.remote} {
			for _, u := range list {
				m[u.name] = struct{}{}
			}
		}
	}
	p.deals.Store(&m)
}

// deliver hands the ends of waits to their requests. The channels hold one
// grant, so the owner never waits.
func (p *Service) deliver() {
	for _, g := range p.core.Grants() {
		if ch, ok := p.waiters[g.Waiter]; ok {
			delete(p.waiters, g.Waiter)
			ch <- g
		}
	}
}

// do runs f in the owner, or not at all after the end of Run.
func (p *Service) do(f func(now time.Time)) {
	select {
	case p.commands <- f:
	case <-p.stopped:
	}
}

// Acquire reserves a place, waiting in the queue if there is none. It refuses
// at once with NoUpstream or Overloaded when waiting can't help. When ctx ends
// the place is given back and ctx's error returned as DeadlineExceeded, not
// run. Every slot returned has to be released.
func (p *Service) Acquire(ctx context.Context, r Request) (Slot, error) {
	reply := make(chan Grant, 1)
	var id WaiterID
	ask := func(now time.Time) {
		slot, w, e := p.core.Acquire(r, now)
		if w == 0 {
			reply <- Grant{Slot: slot, Err: e}
			return
		}
		id = w
		p.waiters[w] = reply
	}
	select {
	case p.commands <- ask:
	case <-p.stopped:
		return Slot{}, result.New(result.Draining, "this VM stops")
	default:
		return Slot{}, result.New(result.Overloaded, "placement is saturated")
	}
	select {
	case g := <-reply:
		return p.granted(r, g)
	case <-p.stopped:
		return Slot{}, result.New(result.Draining, "this VM stops")
	case <-ctx.Done():
	}
	p.do(func(now time.Time) {
		delete(p.waiters, id)
		if id != 0 && p.core.Cancel(id) {
			return
		}
		select {
		case g := <-reply:
			p.core.Release(g.Slot.Ticket, Outcome{End: EndCanceled}, now)
		default:
		}
	})
	return Slot{}, result.New(result.DeadlineExceeded, "gave up waiting for a place: %v", ctx.Err()).WithRun(result.NotRun)
}

func (p *Service) granted(r Request, g Grant) (Slot, error) {
	if g.Err != nil {
		p.metrics.refused.WithLabelValues(g.Err.Code.Info().Name).Inc()
		return Slot{}, g.Err
	}
	p.metrics.grants.WithLabelValues(g.Slot.Reason).Inc()
	if p.recorder != nil {
		p.recorder.Record(r.ID, "placement.granted", timeline.F("upstream", g.Slot.Upstream),
			timeline.F("target", r.Target), timeline.F("reason", g.Slot.Reason))
	}
	return g.Slot, nil
}

// Valid checks a slot again at the moment of dispatch, under the document
// then in force: its upstream is still there and takes new work, and a cold
// slot's seats still last.
func (p *Service) Valid(s Slot) bool {
	idx := p.idx.Load()
	if idx == nil {
		return false
	}
	u, ok := idx.Upstream(s.Upstream)
	if !ok || !idx.TakesNewWork(u) || u.Address != s.Address {
		return false
	}
	return s.NotAfter.IsZero() || time.Now().Before(s.NotAfter)
}

// Release gives a slot back; a second release has no effect.
func (p *Service) Release(s Slot, o Outcome) {
	p.do(func(now time.Time) { p.core.Release(s.Ticket, o, now) })
}

// SetIndex applies a document in force.
func (p *Service) SetIndex(idx *document.Index) {
	p.idx.Store(idx)
	p.do(func(now time.Time) {
		p.core.SetIndex(idx, now)
		p.publishDeals()
	})
}

// SetSeats applies the seats that this VM holds.
func (p *Service) SetSeats(h seats.Held) {
	p.do(func(now time.Time) { p.core.SetSeats(h, now) })
}

// Deals reports whether this VM sends work to the upstream at all; the others'
// reports need not be read. Before the first document it does.
func (p *Service) InSubset(upstream string) bool {
	m := p.deals.Load()
	if m == nil {
		return true
	}
	_, ok := (*m)[upstream]
	return ok
}

// Saturation says how full the busiest pool is, from 0 to 1; it is 1 only while
// requests wait there.
func (p *Service) Saturation() float64 { return math.Float64frombits(p.saturation.Load()) }

// HedgeAfter is how long an idempotent lookup of the target may take before a
// second attempt is worth its cost: the time that one in eight outlasts.
func (p *Service) HedgeAfter(target string) time.Duration {
	if m := p.hedges.Load(); m != nil {
		if d, ok := (*m)[target]; ok {
			return d
		}
	}
	return defaultHedge
}

// SetLeaving applies the addresses of upstreams that the platform shows as
// leaving.
func (p *Service) SetLeaving(addresses []string) {
	p.do(func(now time.Time) { p.core.SetLeaving(addresses, now) })
}

// SetFleet sets the number of routers in this zone and in all.
func (p *Service) SetRouterCount(_, total int) {
	p.do(func(time.Time) {
		p.core.SetRouterCount(total)
		p.publishDeals()
	})
}

// Observe applies a load report.
func (p *Service) Observe(r LoadReport) {
	p.do(func(now time.Time) { p.core.Observe(r, now) })
}

// CacheEvents applies cache events of an upstream.
func (p *Service) CacheEvents(upstream string, events []CacheEvent) {
	p.do(func(time.Time) { p.core.CacheEvents(upstream, events) })
}
