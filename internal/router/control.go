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
	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/invariant"
	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/pause"
	"github.com/cranberrypier/cranberrypier/internal/peer"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
	"github.com/cranberrypier/cranberrypier/internal/versions"
)

const (
	// watchMargin is how much longer than the agent's wait a watch may take.
	watchMargin = 3 * time.Second
	// watchPause separates failed watches.
	watchPause = 200 * time.Millisecond
)

// Follower takes control state. Each method is called from one goroutine and
// must not block for long.
type Follower interface {
	// TakeIndex is called with each accepted document, before requests see it.
	HandleIndex(*document.Index)
	// TakeView is called with each membership view and the counts of VMs whose
	// routers take work; both counts are at least 1.
	HandleView(v membership.View, liveInZone, liveInFleet int)
	// TakeSeats is called with the seats that this VM holds.
	HandleSeats(held []int, notAfter time.Time)
	// TakeLeaving is called with the addresses of upstreams that the platform
	// shows as leaving.
	HandleLeaving(addresses []string)
}

// Control follows the VM's own agent: it keeps the last accepted document and
// goes on with it while the agent is away.
//
// Invariant: the generation in force never falls, whatever an agent that was
// restarted or frozen sends.
type Control struct {
	agent     string
	caller    peer.Caller
	recorder  timeline.Recorder
	followers []Follower
	// grace is how long a planned stop of this router waits for requests.
	grace  time.Duration
	report func() control.WatchRequest

	index    atomic.Pointer[document.Index]
	shares   atomic.Pointer[[]versions.Share]
	draining chan struct{}
	drained  sync.Once
	refused  uint64
}

// NewControl returns a Control that asks the agent at the given peer address.
// Grace is the planned stop's, for a warning; report fills in the router's own
// part of each watch request.
func NewControl(agent string, caller peer.Caller, recorder timeline.Recorder, grace time.Duration, report func() control.WatchRequest) *Control {
	c := &Control{
		agent:    agent,
		caller:   caller,
		recorder: recorder,
		grace:    grace,
		report:   report,
		draining: make(chan struct{}),
	}
	c.shares.Store(&[]versions.Share{})
	return c
}

// Follow adds a follower; it must be called before Run.
func (c *Control) Follow(f Follower) { c.followers = append(c.followers, f) }

// Index returns the document in force; nil before the first one.
func (c *Control) Index() *document.Index { return c.index.Load() }

// Shares returns the roll-out shares last received.
func (c *Control) Shares() []versions.Share { return *c.shares.Load() }

// Draining is closed once an operator drains this VM.
func (c *Control) Draining() <-chan struct{} { return c.draining }

// Run watches the agent until ctx ends.
func (c *Control) Run(ctx context.Context) {
	var after, agent uint64
	for ctx.Err() == nil {
		resp, sent, err := c.watch(ctx, after, agent)
		if err != nil {
			klog.V(1).Infof("control: The agent does not answer: %v.", err)
			pause.For(ctx, watchPause)
			continue
		}
		c.take(resp, sent)
		after, agent = resp.Revision, resp.AgentIncarnation
	}
}

// watch makes one call and returns the answer and when the call was sent.
func (c *Control) watch(ctx context.Context, after, agent uint64) (*control.WatchResponse, time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, control.WatchTimeout+watchMargin)
	defer cancel()
	req := c.report()
	req.AfterRevision = after
	req.AgentIncarnation = agent
	req.RejectedGeneration = c.refused
	if idx := c.Index(); idx != nil {
		req.Generation = idx.Generation()
	}
	sent := time.Now()
	var resp control.WatchResponse
	if err := c.caller.Call(ctx, c.agent, control.Watch, req, &resp); err != nil {
		return nil, sent, trace.Wrap(err)
	}
	return &resp, sent, nil
}

// take applies one response. Spans count from when the request was sent, so
// that a slow answer only shortens them.
func (c *Control) take(r *control.WatchResponse, sent time.Time) {
	if len(r.Document) > 0 {
		c.takeDocument(r.Generation, r.Document)
	}
	shares := make([]versions.Share, 0, len(r.Shares))
	for _, s := range r.Shares {
		shares = append(shares, shareOf(s, sent))
	}
	c.shares.Store(&shares)
	seatsUntil := sent.Add(time.Duration(r.Seats.ValidMS) * time.Millisecond)
	for _, f := range c.followers {
		f.HandleView(r.View, max(1, r.LiveInZone), max(1, r.LiveInFleet))
		f.HandleSeats(r.Seats.Numbers, seatsUntil)
		f.HandleLeaving(r.LeavingUpstreams)
	}
	if r.Draining {
		c.drained.Do(func() { close(c.draining) })
	}
}

func shareOf(s control.RollOutShare, sent time.Time) versions.Share {
	return versions.Share{
		Model:    s.Model,
		Version:  s.Version,
		Share:    s.Share,
		Halted:   s.Halted,
		NotAfter: sent.Add(time.Duration(s.ValidMS) * time.Millisecond),
	}
}

// takeDocument puts a document in force, whole or not at all.
func (c *Control) takeDocument(generation uint64, text []byte) {
	old := c.Index()
	if old != nil && generation <= old.Generation() {
		return
	}
	d, err := document.LoadStored(text)
	if err != nil {
		c.refused = generation
		klog.Errorf("control: Generation %d is refused, the last one stays in force: %v.", generation, err)
		return
	}
	d.Generation = generation
	c.warnOfGrace(old, d)
	c.putInForce(old, document.NewIndex(d))
}

// warnOfGrace tells, for the first document and each change, what makes a
// planned stop of this router wait longer than its setting.
func (c *Control) warnOfGrace(old *document.Index, d *document.Document) {
	long := d.LongerThan(c.grace)
	if len(long) == 0 || (old != nil && slices.Equal(long, old.Document().LongerThan(c.grace))) {
		return
	}
	klog.Warningf("control: drain.grace is %s; a planned stop may take longer, for %s.", c.grace, strings.Join(long, "; "))
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
	c.refused = 0
	generationInForce.Set(float64(idx.Generation()))
	klog.Infof("control: Generation %d is in force.", idx.Generation())
	c.recorder.Record("", "document.in_force", timeline.F("generation", decimal(idx.Generation())))
}
