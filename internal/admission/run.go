package admission

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/pause"
	"github.com/cranberrypier/cranberrypier/internal/peer"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"
)

// TypeShare is the peer message that carries a Report to the allocator.
const TypeShare peer.Type = "admission.share"

const (
	// reportPeriod is the time between a VM's reports.
	reportPeriod = time.Second
	// hurryPause is the pause before an early report.
	hurryPause = 250 * time.Millisecond
	// shareTTL is how long a share lasts without renewal.
	shareTTL = 4 * reportPeriod
)

// Config names the VM and its limits.
type Config struct {
	VM string
	// Capacity is the number of requests in progress at this VM from which
	// fairness between teams is enforced. Default 2048.
	Capacity int
}

const defaultCapacity = 2048

// Controller admits requests at one VM. Admit and Release run on the
// request's goroutine under a mutex held for some tens of nanoseconds; a
// channel to an owning goroutine would cost every request two switches.
type Controller struct {
	cfg    Config
	caller peer.Caller
	limits func(team string) (Limits, bool)
	now    func() time.Time

	mu        sync.Mutex
	core      *Core
	allocator *Allocator
	view      membership.View

	// hurry holds at most one wish for an early report.
	hurry chan struct{}

	refused *prometheus.CounterVec
}

// New returns a controller. Limits finds a team's limits in the document in
// force. The caller may be nil for a VM without peers; reg may be nil.
func New(cfg Config, caller peer.Caller, limits func(team string) (Limits, bool), reg prometheus.Registerer) *Controller {
	if cfg.Capacity <= 0 {
		cfg.Capacity = defaultCapacity
	}
	c := &Controller{
		cfg: cfg, caller: caller, limits: limits, now: time.Now,
		core: NewCore(cfg.VM, cfg.Capacity), hurry: make(chan struct{}, 1),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pier_admission_refused_total",
			Help: "Refused requests by result code.",
		}, []string{"code"}),
	}
	if reg != nil {
		reg.MustRegister(c.refused)
	}
	return c
}

// LimitsOf returns a team's limits as the document states them.
func LimitsOf(t *document.Team) Limits {
	return Limits{Rate: t.RequestsPerSecond, Burst: t.Burst, Concurrent: t.Concurrent}
}

// Admit lets one request in; release returns it and may be called once or
// more. A refusal carries TeamOverLimit or Overloaded and never ran.
func (c *Controller) Admit(t *document.Team, priority document.Priority, now time.Time) (release func(), err error) {
	c.mu.Lock()
	e := c.core.Admit(t.Name, LimitsOf(t), int(priority), now)
	c.mu.Unlock()
	if e != nil {
		if e.Code == result.TeamOverLimit {
			select {
			case c.hurry <- struct{}{}:
			default: // one is on its way
			}
		}
		c.refused.WithLabelValues(e.Code.Info().Name).Inc()
		return nil, e
	}
	var once sync.Once
	name := t.Name
	return func() {
		once.Do(func() {
			c.mu.Lock()
			c.core.Release(name)
			c.mu.Unlock()
		})
	}, nil
}

// SetSaturation reports how full the upstreams' queues are, from 0 to 1.
func (c *Controller) SetSaturation(s float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.SetSaturation(s)
}

// SetView applies a membership view. Known is the number of entry VMs in the
// platform's list; VMs of the view that look dead count too, since they may
// only be cut off.
func (c *Controller) SetView(v membership.View, known int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view = v
	c.core.SetKnownVMs(max(known, len(v.Members)))
	if home, _ := c.home(); home != c.cfg.VM {
		c.allocator = nil
	}
}

// Register serves the peer message at this VM.
func (c *Controller) Register(m peer.Mux) {
	m.Handle(TypeShare, func(_ context.Context, from peer.Identity, body peer.Body) (any, error) {
		var r Report
		if err := cbor.Unmarshal(body, &r); err != nil {
			return nil, result.New(result.PeerFrame, "admission report: %v", err)
		}
		r.VM = from.VM
		return c.Handle(r)
	})
}

// Handle answers a report as the allocator. A VM that is not the allocator by
// its own view refuses, and the sender keeps to its floor.
func (c *Controller) Handle(r Report) (Grant, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if home, _ := c.home(); home != c.cfg.VM {
		return Grant{}, result.New(result.PeerRefused, "VM %s is not the allocator", c.cfg.VM)
	}
	if c.allocator == nil {
		c.allocator = NewAllocator(shareTTL)
	}
	r.KnownVMs = max(r.KnownVMs, c.core.known)
	return c.allocator.Handle(r, c.limits, c.now()), nil
}

// home returns the allocator's name and peer address by rendezvous hashing.
func (c *Controller) home() (vm, addr string) {
	vm = c.cfg.VM
	best := score(vm)
	for _, m := range c.view.Members {
		if m.Status == membership.Dead || m.Status == membership.Leaving || m.VM == c.cfg.VM {
			continue
		}
		if s := score(m.VM); s > best {
			vm, addr, best = m.VM, m.Router, s
		}
	}
	return vm, addr
}

func score(vm string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte("admission/" + vm))
	return h.Sum64()
}

// Run reports to the allocator until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	t := time.NewTicker(reportPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-c.hurry:
			// The share is too small: tell the allocator soon, not at once.
			if !pause.For(ctx, hurryPause) {
				return
			}
		}
		c.exchange(ctx)
	}
}

func (c *Controller) exchange(ctx context.Context) {
	c.mu.Lock()
	home, addr := c.home()
	sent := c.now()
	r := c.core.Report(home, sent)
	c.mu.Unlock()
	var g Grant
	var err error
	switch {
	case home == c.cfg.VM:
		g, err = c.Handle(r)
	case c.caller == nil:
		return
	default:
		call, cancel := context.WithTimeout(ctx, reportPeriod)
		err = c.caller.Call(call, addr, TypeShare, r, &g)
		cancel()
	}
	if err != nil {
		klog.V(2).Infof("admission: no shares from %s: %v", home, err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.Apply(g, sent)
}
