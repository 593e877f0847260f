package admission

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/ctxwait"
	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/peer"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"
)

// TypeShare is the peer message that sends a DemandReport to the allocator.
const TypeShare peer.Type = "admission.share"

const (
	// reportInterval is the time between a VM's reports.
	reportInterval = time.Second
	// earlyReportDelay is the delay before an early report.
	earlyReportDelay = 250 * time.Millisecond
	// shareTTL is how long a share is valid without renewal.
	shareTTL = 4 * reportInterval
)

// Config holds the VM's name and its capacity.
type Config struct {
	VM string
	// Capacity is the number of requests in flight at this VM from which requests
	// of teams above their fair share are rejected. Teams below it are limited to
	// reservedCapacityFactor times as many. Default 2048.
	Capacity int
}

const defaultCapacity = 2048

// Controller admits requests at one VM. Admit and its release function run on the
// request's goroutine, under a mutex that is not held during calls to peers. A
// channel to a goroutine that owns the state would cost each request two context
// switches.
type Controller struct {
	cfg    Config
	peers  peer.Caller
	limits func(team string) (Limits, bool)
	now    func() time.Time

	mu        sync.Mutex
	core      *Core
	allocator *Allocator
	view      membership.View

	// earlyReport wakes Run to report before the next tick. At most one wake-up is
	// pending.
	earlyReport chan struct{}

	rejected *prometheus.CounterVec
}

// New returns a controller. The function limits returns a team's limits in the
// document in force. The argument peers may be nil for a VM without peers; reg may
// be nil too.
func New(cfg Config, peers peer.Caller, limits func(team string) (Limits, bool), reg prometheus.Registerer) *Controller {
	if cfg.Capacity <= 0 {
		cfg.Capacity = defaultCapacity
	}
	c := &Controller{
		cfg: cfg, peers: peers, limits: limits, now: time.Now,
		core: NewCore(cfg.VM, cfg.Capacity), earlyReport: make(chan struct{}, 1),
		rejected: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pier_admission_refused_total",
			Help: "Refused requests by result code.",
		}, []string{"code"}),
	}
	if reg != nil {
		reg.MustRegister(c.rejected)
	}
	return c
}

// LimitsOf returns a team's limits in the document.
func LimitsOf(t *document.Team) Limits {
	return Limits{Rate: t.RequestsPerSecond, Burst: t.Burst, Concurrent: t.Concurrent}
}

// Admit admits one request. The caller must call release when the request has
// ended; further calls have no effect. A rejected request has not run, and its
// error code is TeamOverLimit or Overloaded.
func (c *Controller) Admit(t *document.Team, priority document.Priority, now time.Time) (release func(), err error) {
	c.mu.Lock()
	e := c.core.Admit(t.Name, LimitsOf(t), int(priority), now)
	c.mu.Unlock()
	if e != nil {
		if e.Code == result.TeamOverLimit {
			select {
			case c.earlyReport <- struct{}{}:
			default: // one is already pending
			}
		}
		c.rejected.WithLabelValues(e.Code.Info().Name).Inc()
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

// SetSaturation sets how full the upstreams' queues are, from 0 to 1. The router
// does not call it, so the saturation stays 0 in production.
func (c *Controller) SetSaturation(s float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.SetSaturation(s)
}

// SetView applies a membership view. The argument accepting is the number of VMs
// whose routers accept requests. Members of the view that appear dead count too,
// because they may only be partitioned.
func (c *Controller) SetView(v membership.View, accepting int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view = v
	c.core.SetKnownVMs(max(accepting, len(v.Members)))
	if allocatorVM, _ := c.allocatorMember(); allocatorVM != c.cfg.VM {
		c.allocator = nil
	}
}

// Register installs the handler of the peer message TypeShare.
func (c *Controller) Register(m peer.Mux) {
	m.Handle(TypeShare, func(_ context.Context, from peer.Identity, body peer.Body) (any, error) {
		var r DemandReport
		if err := cbor.Unmarshal(body, &r); err != nil {
			return nil, result.New(result.PeerMessageInvalid, "decode admission report: %v", err)
		}
		r.VM = from.VM
		return c.Allocate(r)
	})
}

// Allocate answers a report as the allocator. If this VM is not the allocator by its
// own view, it rejects the report, and the sender falls back to its floor.
func (c *Controller) Allocate(r DemandReport) (Grant, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if allocatorVM, _ := c.allocatorMember(); allocatorVM != c.cfg.VM {
		return Grant{}, result.New(result.PeerRefused, "VM %s is not the allocator", c.cfg.VM)
	}
	if c.allocator == nil {
		c.allocator = NewAllocator(shareTTL)
	}
	r.KnownVMs = max(r.KnownVMs, c.core.knownVMs)
	return c.allocator.Allocate(r, c.limits, c.now()), nil
}

// allocatorMember returns the allocator's name and peer address, by rendezvous
// hashing.
func (c *Controller) allocatorMember() (vm, addr string) {
	vm = c.cfg.VM
	best := allocatorScore(vm)
	for _, m := range c.view.Members {
		if m.Status == membership.Dead || m.Status == membership.Leaving || m.VM == c.cfg.VM {
			continue
		}
		if s := allocatorScore(m.VM); s > best {
			vm, addr, best = m.VM, m.Router, s
		}
	}
	return vm, addr
}

func allocatorScore(vm string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte("admission/" + vm))
	return h.Sum64()
}

// Run reports to the allocator until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-c.earlyReport:
			// The share is too small: report the demand after a short delay.
			if !ctxwait.For(ctx, earlyReportDelay) {
				return
			}
		}
		c.reportDemand(ctx)
	}
}

func (c *Controller) reportDemand(ctx context.Context) {
	c.mu.Lock()
	allocatorVM, addr := c.allocatorMember()
	sent := c.now()
	r := c.core.Report(allocatorVM, sent)
	c.mu.Unlock()
	var g Grant
	var err error
	switch {
	case allocatorVM == c.cfg.VM:
		g, err = c.Allocate(r)
	case c.peers == nil:
		return
	default:
		callCtx, cancel := context.WithTimeout(ctx, reportInterval)
		err = c.peers.Call(callCtx, addr, TypeShare, r, &g)
		cancel()
	}
	if err != nil {
		klog.V(2).Infof("admission: report to allocator %s failed, shares are not renewed: %v", allocatorVM, err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.Apply(g, sent)
}
