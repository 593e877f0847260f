package membership

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/peer"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
)

const (
	// inboxSize is the maximum number of queued messages and heartbeats.
	inboxSize = 512
	// tickInterval is the time between two ticks of the state machine.
	tickInterval = 250 * time.Millisecond
	// heartbeatTimeout is the timeout of a heartbeat.
	heartbeatTimeout = time.Second
)

var membersGauge = promauto.NewGaugeVec(prometheus.GaugeOpts{
	Name: "pier_membership_members",
	Help: "Members known here, by status.",
}, []string{"status"})

// Listener is notified of changes. The runner calls its methods from one
// goroutine; they must not block.
type Listener interface {
	// HandleView is called with each new view.
	HandleView(View)
	// HandleNewerDocument is called when a peer has a newer document than
	// this VM.
	HandleNewerDocument(address string, generation uint64)
}

// Runner runs the state machine and sends its heartbeats.
type Runner struct {
	config     Config
	caller     peer.Caller
	recorder   timeline.Recorder
	listener   Listener
	inbox      chan envelope
	heartbeats sync.WaitGroup
	statuses   map[string]Status
}

// envelope is an inbox element: a message, a received heartbeat, or a request
// for the members of a zone.
type envelope struct {
	message  Message
	exchange *Exchange
	// response receives the response to a heartbeat. It is buffered, so that the
	// state machine does not block.
	response chan Exchange
	// members receives the members of a zone. It is buffered, so that the state
	// machine does not block.
	members chan []Member
	zone    string
}

// NewRunner returns a runner.
func NewRunner(c Config, caller peer.Caller, r timeline.Recorder, l Listener) *Runner {
	return &Runner{
		config: c, caller: caller, recorder: r, listener: l,
		inbox:    make(chan envelope, inboxSize),
		statuses: map[string]Status{},
	}
}

// Run runs until ctx is done and all heartbeats have returned.
func (r *Runner) Run(ctx context.Context) {
	defer r.heartbeats.Wait()
	state := New(r.config, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	r.perform(ctx, state.Step(time.Now(), Tick{}))
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-r.inbox:
			r.handle(ctx, state, e)
		case <-ticker.C:
			r.perform(ctx, state.Step(time.Now(), Tick{}))
		}
	}
}

func (r *Runner) handle(ctx context.Context, state *State, e envelope) {
	switch {
	case e.response != nil:
		response, actions := state.Receive(time.Now(), *e.exchange)
		e.response <- response
		r.perform(ctx, actions)
	case e.members != nil:
		e.members <- state.Members(e.zone)
	default:
		r.perform(ctx, state.Step(time.Now(), e.message))
	}
}

func (r *Runner) perform(ctx context.Context, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SendHeartbeat:
			r.heartbeats.Go(func() { r.sendHeartbeat(ctx, a) })
		case ViewChanged:
			r.recordView(a.View)
			r.listener.HandleView(a.View)
		case NewerDocument:
			r.listener.HandleNewerDocument(a.Address, a.Generation)
		}
	}
}

func (r *Runner) sendHeartbeat(ctx context.Context, p SendHeartbeat) {
	callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var response Exchange
	var m Message = HeartbeatFailed{Heartbeat: p}
	err := r.caller.Call(callCtx, p.Address, Heartbeat, p.Exchange, &response)
	if err == nil {
		m = HeartbeatResponse{Heartbeat: p, Exchange: response}
	}
	// The outcome waits for space in the inbox: until it is processed, its
	// address stays in flight and gets no further heartbeat.
	select {
	case r.inbox <- envelope{message: m}:
	case <-ctx.Done():
	}
}

// Send queues a message for the state machine and waits while the inbox is full.
func (r *Runner) Send(ctx context.Context, m Message) {
	select {
	case r.inbox <- envelope{message: m}:
	case <-ctx.Done():
	}
}

// ZoneMembers returns the members of a zone with the last received generations.
func (r *Runner) ZoneMembers(ctx context.Context, zone string) ([]Member, error) {
	e := envelope{zone: zone, members: make(chan []Member, 1)}
	select {
	case r.inbox <- e:
	case <-ctx.Done():
		return nil, trace.Wrap(result.New(result.NotReady, "the membership inbox stayed full until the call's timeout"))
	}
	select {
	case list := <-e.members:
		return list, nil
	case <-ctx.Done():
		return nil, trace.Wrap(result.New(result.NotReady, "membership did not process the request within the call's timeout"))
	}
}

// Register adds the handlers that peers call. Heartbeats are rejected while the
// inbox is full.
func (r *Runner) Register(m peer.Mux) {
	m.Handle(Heartbeat, func(ctx context.Context, from peer.Identity, b peer.Body) (any, error) {
		var in Exchange
		if err := b.Decode(&in); err != nil {
			return nil, trace.Wrap(err)
		}
		if in.From.VM != from.VM {
			return nil, trace.Wrap(result.New(result.PeerRefused, "%s sent a heartbeat that carries the record of %s", from.VM, in.From.VM))
		}
		return r.receiveHeartbeat(ctx, in)
	})
	m.Handle(ListZone, func(ctx context.Context, _ peer.Identity, _ peer.Body) (any, error) {
		list, err := r.ZoneMembers(ctx, r.config.Self.Zone)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		return View{Members: list}, nil
	})
}

func (r *Runner) receiveHeartbeat(ctx context.Context, in Exchange) (any, error) {
	e := envelope{exchange: &in, response: make(chan Exchange, 1)}
	select {
	case r.inbox <- e:
	default:
		return nil, trace.Wrap(result.New(result.Overloaded, "the membership inbox is full"))
	}
	select {
	case response := <-e.response:
		return response, nil
	case <-ctx.Done():
		return nil, trace.Wrap(result.New(result.Overloaded, "membership did not process the heartbeat within the call's timeout"))
	}
}

// recordView logs and records the changed statuses and updates the metric.
func (r *Runner) recordView(v View) {
	counts := map[Status]int{Alive: 0, Suspect: 0, Dead: 0, Leaving: 0}
	for _, m := range v.Members {
		counts[m.Status]++
		if r.statuses[m.VM] == m.Status {
			continue
		}
		r.statuses[m.VM] = m.Status
		klog.Infof("membership: VM %s in zone %s is now %s.", m.VM, m.Zone, m.Status)
		r.recorder.Record("", "membership."+string(m.Status),
			timeline.F("vm", m.VM), timeline.F("zone", m.Zone), timeline.F("incarnation", strconv.FormatUint(m.Incarnation, 10)))
	}
	for status, n := range counts {
		membersGauge.WithLabelValues(string(status)).Set(float64(n))
	}
}
