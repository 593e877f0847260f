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
	// commandQueueSize bounds the commands queued for the goroutine that owns
	// the Core. When the queue is full, Acquire fails with Overloaded, and all
	// other calls block.
	commandQueueSize = 1024
	// saturationWaitThreshold is the expected wait that counts as full saturation.
	saturationWaitThreshold = 5 * time.Second
	// tickInterval is the time between checks of the queues.
	tickInterval = 50 * time.Millisecond
)

// Service runs a Core, which only the goroutine of Run accesses.
type Placer struct {
	core        *Core
	commands    chan func(now time.Time)
	stopped     chan struct{}
	idx         atomic.Pointer[document.Index]
	hedgeDelays atomic.Pointer[map[string]time.Duration]
	subset      atomic.Pointer[map[string]struct{}]
	// saturation holds the bits of a float64.
	saturation atomic.Uint64
	waiters    map[WaiterID]chan Grant
	recorder   timeline.Recorder
	metrics    *metrics
}

// New returns a Service, which serves once Run is started. The recorder and
// reg may be nil. If cfg.ColdShare is nil, seats.ColdShare applies.
func New(cfg Config, recorder timeline.Recorder, reg prometheus.Registerer) *Placer {
	return &Placer{
		core: NewCore(cfg), commands: make(chan func(time.Time), commandQueueSize), stopped: make(chan struct{}),
		waiters: map[WaiterID]chan Grant{}, recorder: recorder, metrics: newMetrics(reg),
	}
}

// Run serves until ctx ends; afterwards Acquire fails with Draining.
func (p *Placer) Run(ctx context.Context) {
	t := time.NewTicker(tickInterval)
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
			p.publishHedgeDelays()
			p.saturation.Store(math.Float64bits(p.core.Saturation(saturationWaitThreshold)))
		}
		p.deliverGrants()
	}
}

// publishHedgeDelays updates the delays that HedgeDelay reads.
func (p *Placer) publishHedgeDelays() {
	m := make(map[string]time.Duration, len(p.core.pools))
	for t := range p.core.pools {
		m[t] = p.core.HedgeDelay(t)
	}
	p.hedgeDelays.Store(&m)
}

// publishSubset updates the set that InSubset reads.
func (p *Placer) publishSubset() {
	m := map[string]struct{}{}
	for _, pool := range p.core.pools {
		for _, list := range [...][]*upstream{pool.local, pool.remote} {
			for _, u := range list {
				m[u.name] = struct{}{}
			}
		}
	}
	p.subset.Store(&m)
}

// deliverGrants sends grants to the goroutines that wait for them. Each
// channel has a buffer for its grant, so Run's goroutine never blocks.
func (p *Placer) deliverGrants() {
	for _, g := range p.core.Grants() {
		if ch, ok := p.waiters[g.Waiter]; ok {
			delete(p.waiters, g.Waiter)
			ch <- g
		}
	}
}

// enqueue queues f for Run's goroutine, or drops it after the end of Run.
func (p *Placer) enqueue(f func(now time.Time)) {
	select {
	case p.commands <- f:
	case <-p.stopped:
	}
}

// Acquire reserves a slot, waiting in the queue if none is free. It fails at
// once with NoUpstream or Overloaded if waiting can't help. If ctx ends first,
// a slot granted meanwhile is released and Acquire returns DeadlineExceeded,
// marked as not run. Every returned slot must be released.
func (p *Placer) Acquire(ctx context.Context, r Request) (Slot, error) {
	reply := make(chan Grant, 1)
	var id WaiterID
	acquire := func(now time.Time) {
		slot, w, e := p.core.Acquire(r, now)
		if w == 0 {
			reply <- Grant{Slot: slot, Err: e}
			return
		}
		id = w
		p.waiters[w] = reply
	}
	select {
	case p.commands <- acquire:
	case <-p.stopped:
		return Slot{}, result.New(result.Draining, "this VM is shutting down")
	default:
		return Slot{}, result.New(result.Overloaded, "placement command queue is full")
	}
	select {
	case g := <-reply:
		return p.recordResult(r, g)
	case <-p.stopped:
		return Slot{}, result.New(result.Draining, "this VM is shutting down")
	case <-ctx.Done():
	}
	p.enqueue(func(now time.Time) {
		delete(p.waiters, id)
		if id != 0 && p.core.Cancel(id) {
			return
		}
		select {
		case g := <-reply:
			p.core.Release(g.Slot.ReservationID, Outcome{End: EndCanceled}, now)
		default:
		}
	})
	return Slot{}, result.New(result.DeadlineExceeded, "no slot became free before the caller's deadline or cancellation: %v", ctx.Err()).WithRun(result.NotRun)
}

func (p *Placer) recordResult(r Request, g Grant) (Slot, error) {
	if g.Err != nil {
		p.metrics.rejected.WithLabelValues(g.Err.Code.Info().Name).Inc()
		return Slot{}, g.Err
	}
	p.metrics.grants.WithLabelValues(g.Slot.Reason).Inc()
	if p.recorder != nil {
		p.recorder.Record(r.ID, "placement.granted", timeline.F("upstream", g.Slot.Upstream),
			timeline.F("target", r.Target), timeline.F("reason", g.Slot.Reason))
	}
	return g.Slot, nil
}

// Valid checks a slot again at the moment of dispatch, against the document
// then in force: its upstream still exists and accepts new work, and the seats
// of a cold slot are still valid.
func (p *Placer) Valid(s Slot) bool {
	idx := p.idx.Load()
	if idx == nil {
		return false
	}
	u, ok := idx.Upstream(s.Upstream)
	if !ok || !idx.AcceptsNewRequests(u) || u.Address != s.Address {
		return false
	}
	return s.NotAfter.IsZero() || time.Now().Before(s.NotAfter)
}

// Release releases a slot; a second call has no effect.
func (p *Placer) Release(s Slot, o Outcome) {
	p.enqueue(func(now time.Time) { p.core.Release(s.ReservationID, o, now) })
}

// SetIndex applies the document that is in force.
func (p *Placer) SetIndex(idx *document.Index) {
	p.idx.Store(idx)
	p.enqueue(func(now time.Time) {
		p.core.SetIndex(idx, now)
		p.publishSubset()
	})
}

// SetSeats applies the seats that this VM holds.
func (p *Placer) SetSeats(h seats.Held) {
	p.enqueue(func(now time.Time) { p.core.SetSeats(h, now) })
}

// InSubset reports whether the upstream is in the subset to which this VM
// sends work; load reports of other upstreams need not be read. Before the
// first document it returns true.
func (p *Placer) InSubset(upstream string) bool {
	m := p.subset.Load()
	if m == nil {
		return true
	}
	_, ok := (*m)[upstream]
	return ok
}

// Saturation is the saturation of the busiest pool, from 0 to 1; it is 1 only
// while requests are queued there.
func (p *Placer) Saturation() float64 { return math.Float64frombits(p.saturation.Load()) }

// HedgeDelay is how long an urgent idempotent run of the target may take before
// a second attempt is worth its cost: the duration that about one in eight
// urgent runs exceeds.
func (p *Placer) HedgeDelay(target string) time.Duration {
	if m := p.hedgeDelays.Load(); m != nil {
		if d, ok := (*m)[target]; ok {
			return d
		}
	}
	return defaultHedgeDelay
}

// SetLeaving applies the addresses of the upstreams that the platform lists as
// leaving.
func (p *Placer) SetLeaving(addresses []string) {
	p.enqueue(func(now time.Time) { p.core.SetLeaving(addresses, now) })
}

// SetVMCount sets the number of VMs in the fleet. The first argument, the
// number of VMs in this zone, is ignored.
func (p *Placer) SetVMCount(_, total int) {
	p.enqueue(func(time.Time) {
		p.core.SetVMCount(total)
		p.publishSubset()
	})
}

// Observe applies a load report.
func (p *Placer) Observe(r LoadReport) {
	p.enqueue(func(now time.Time) { p.core.Observe(r, now) })
}

// CacheEvents applies cache events of an upstream.
func (p *Placer) CacheEvents(upstream string, events []CacheEvent) {
	p.enqueue(func(time.Time) { p.core.CacheEvents(upstream, events) })
}
