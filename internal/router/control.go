package router

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/control"
	"github.com/cranberrypier/cranberrypier/internal/ctxwait"
	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/invariant"
	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/peer"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
	"github.com/cranberrypier/cranberrypier/internal/versions"
)

const (
	// watchMargin is how much longer a watch call may take than
	// control.WatchTimeout, the time for which the agent holds a watch open.
	watchMargin = 3 * time.Second
	// watchRetryInterval is the time between a failed watch and the next one.
	watchRetryInterval = 200 * time.Millisecond
)

// Follower receives control state. All methods are called from the same goroutine
// and must not block for long.
type Follower interface {
	// HandleIndex is called with each accepted document, before requests use it.
	HandleIndex(*document.Index)
	// HandleView is called with each membership view. liveInZone and liveInFleet
	// are how many VMs have a router that accepts requests, in this availability
	// zone and in the fleet. Both are at least 1.
	HandleView(v membership.View, liveInZone, liveInFleet int)
	// HandleSeats is called with the seats that this VM holds until notAfter. A
	// seat is a lease on a fixed share of the limits of the zone's cold upstreams,
	// see package seats.
	HandleSeats(held []int, notAfter time.Time)
	// HandleLeaving is called with the addresses of the upstreams that the platform
	// lists as leaving.
	HandleLeaving(addresses []string)
}

// Control watches the agent on the same VM. It keeps the last accepted document
// and continues to use it while the agent is unavailable.
//
// Invariant: the generation in force never decreases, even if an agent that was
// restarted or frozen sends an older document.
type Control struct {
	agentAddr string
	caller    peer.Caller
	recorder  timeline.Recorder
	followers []Follower
	// grace is the drain.grace setting, used only to warn about longer deadlines.
	// A planned stop may wait longer, see app.stopGrace.
	grace      time.Duration
	newRequest func() control.WatchRequest

	index     atomic.Pointer[document.Index]
	shares    atomic.Pointer[[]versions.RollOutShare]
	draining  chan struct{}
	drainOnce sync.Once
	// rejectedGeneration is the last rejected generation, which is reported to the
	// agent. It is zero once a newer one is in force.
	rejectedGeneration uint64
}

// NewControl returns a Control that watches the agent at the given peer address.
// grace is the drain.grace setting, used only for a warning. newRequest creates
// each watch request with the router's own state.
func NewControl(agentAddr string, caller peer.Caller, recorder timeline.Recorder, grace time.Duration, newRequest func() control.WatchRequest) *Control {
	c := &Control{
		agentAddr:  agentAddr,
		caller:     caller,
		recorder:   recorder,
		grace:      grace,
		newRequest: newRequest,
		draining:   make(chan struct{}),
	}
	c.shares.Store(&[]versions.RollOutShare{})
	return c
}

// Follow adds a follower. It must be called before Run.
func (c *Control) Follow(f Follower) { c.followers = append(c.followers, f) }

// Index returns the document in force, or nil before the first one.
func (c *Control) Index() *document.Index { return c.index.Load() }

// Shares returns the most recently received roll-out shares.
func (c *Control) Shares() []versions.RollOutShare { return *c.shares.Load() }

// Draining returns a channel that is closed once an operator drains this VM.
func (c *Control) Draining() <-chan struct{} { return c.draining }

// Run watches the agent until ctx ends.
func (c *Control) Run(ctx context.Context) {
	var afterRevision, agentIncarnation uint64
	for ctx.Err() == nil {
		resp, sentAt, err := c.watch(ctx, afterRevision, agentIncarnation)
		if err != nil {
			klog.V(1).Infof("control: Watching the agent failed, retrying: %v.", err)
			ctxwait.For(ctx, watchRetryInterval)
			continue
		}
		c.apply(resp, sentAt)
		afterRevision, agentIncarnation = resp.Revision, resp.AgentIncarnation
	}
}

// watch sends one watch request and returns the response and the time at which the
// request was sent.
func (c *Control) watch(ctx context.Context, afterRevision, agentIncarnation uint64) (*control.WatchResponse, time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, control.WatchTimeout+watchMargin)
	defer cancel()
	req := c.newRequest()
	req.AfterRevision = afterRevision
	req.AgentIncarnation = agentIncarnation
	req.RejectedGeneration = c.rejectedGeneration
	if idx := c.Index(); idx != nil {
		req.Generation = idx.Generation()
	}
	sentAt := time.Now()
	var resp control.WatchResponse
	if err := c.caller.Call(ctx, c.agentAddr, control.Watch, req, &resp); err != nil {
		return nil, sentAt, trace.Wrap(err)
	}
	return &resp, sentAt, nil
}

// apply applies one response. Durations in the response count from the time the
// request was sent, so that a slow response can only shorten them.
func (c *Control) apply(r *control.WatchResponse, sentAt time.Time) {
	if len(r.Document) > 0 {
		c.applyDocument(r.Generation, r.Document)
	}
	shares := make([]versions.RollOutShare, 0, len(r.Shares))
	for _, s := range r.Shares {
		shares = append(shares, shareOf(s, sentAt))
	}
	c.shares.Store(&shares)
	seatsNotAfter := sentAt.Add(time.Duration(r.Seats.ValidMS) * time.Millisecond)
	for _, f := range c.followers {
		f.HandleView(r.View, max(1, r.LiveInZone), max(1, r.LiveInFleet))
		f.HandleSeats(r.Seats.Numbers, seatsNotAfter)
		f.HandleLeaving(r.LeavingUpstreams)
	}
	if r.Draining {
		c.drainOnce.Do(func() { close(c.draining) })
	}
}

func shareOf(s control.RollOutShare, sentAt time.Time) versions.RollOutShare {
	return versions.RollOutShare{
		Model:    s.Model,
		Version:  s.Version,
		Fraction: s.Share,
		Halted:   s.Halted,
		NotAfter: sentAt.Add(time.Duration(s.ValidMS) * time.Millisecond),
	}
}

// applyDocument puts a document in force if it is newer and valid. An invalid
// document is rejected as a whole.
func (c *Control) applyDocument(generation uint64, text []byte) {
	old := c.Index()
	if old != nil && generation <= old.Generation() {
		return
	}
	d, err := document.LoadStored(text)
	if err != nil {
		c.rejectedGeneration = generation
		klog.Errorf("control: Generation %d is invalid and is not applied: %v.", generation, err)
		return
	}
	d.Generation = generation
	c.warnAboutGrace(old, d)
	c.putInForce(old, document.NewIndex(d))
}

// warnAboutGrace logs which classes and calls may make a planned stop of this
// router take longer than drain.grace. It logs them for the first document and
// when they change.
func (c *Control) warnAboutGrace(old *document.Index, d *document.Document) {
	exceeding := d.DescribeRequestsLongerThan(c.grace)
	if len(exceeding) == 0 || (old != nil && slices.Equal(exceeding, old.Document().DescribeRequestsLongerThan(c.grace))) {
		return
	}
	klog.Warningf("control: drain.grace is %s, but a planned stop may take longer because of: %s.", c.grace, strings.Join(exceeding, "; "))
}

func (c *Control) putInForce(old, idx *document.Index) {
	if old != nil {
		invariant.Check(idx.Generation() > old.Generation(), invariant.GenerationMonotone,
			"generation %d after %d", idx.Generation(), old.Generation())
	}
	for _, f := range c.followers {
		f.HandleIndex(idx)
	}
	c.index.Store(idx)
	c.rejectedGeneration = 0
	generationInForce.Set(float64(idx.Generation()))
	klog.Infof("control: Generation %d is in force.", idx.Generation())
	c.recorder.Record("", "document.in_force", timeline.F("generation", formatUint(idx.Generation())))
}
