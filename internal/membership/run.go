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
	// inbox is the number of messages and heartbeats that may wait.
	inbox = 512
	// tick is how often time passes for the state machine.
	tick = 250 * time.Millisecond
	// beatTimeout bounds a heartbeat.
	beatTimeout = time.Second
)

var members = promauto.NewGaugeVec(prometheus.GaugeOpts{
	Name: "pier_membership_members",
	Help: "Members known here, by status.",
}, []string{"status"})

// Follower takes what the runner learns. Its methods are called from one
// goroutine and must not block.
type Follower interface {
	// TakeView is called with each new view.
	HandleView(View)
	// TakeAhead is called when a peer has a newer document than this VM.
	HandleNewerDocument(address string, generation uint64)
}

// Runner owns the state machine and sends its heartbeats.
type Runner struct {
	config   Config
	caller   peer.Caller
	recorder timeline.Recorder
	follower Follower
	inbox    chan envelope
	work     sync.WaitGroup
	statuses map[string]Status
}

// envelope is a message, or a heartbeat or a question that wants an answer.
type envelope struct {
	message  Message
	exchange *Exchange
	// beat takes the response of a heartbeat; it has room for it.
	beat chan Exchange
	// list takes the members of a zone; it has room for them.
	list chan []Member
	zone string
}

// NewRunner returns a runner.
func NewRunner(c Config, caller peer.Caller, r timeline.Recorder, f Follower) *Runner {
	return &Runner{
		config: c, caller: caller, recorder: r, follower: f,
		inbox:    make(chan envelope, inbox),
		statuses: map[string]Status{},
	}
}

// Run works until ctx ends and all heartbeats have returned.
func (r *Runner) Run(ctx context.Context) {
	defer r.work.Wait()
	state := New(r.config, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	ticker := time.NewTicker(tick)
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
	case e.beat != nil:
		reply, actions := state.Receive(time.Now(), *e.exchange)
		e.beat <- reply
		r.perform(ctx, actions)
	case e.list != nil:
		e.list <- state.Members(e.zone)
	default:
		r.perform(ctx, state.Step(time.Now(), e.message))
	}
}

func (r *Runner) perform(ctx context.Context, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Ping:
			r.work.Go(func() { r.beat(ctx, a) })
		case ViewChanged:
			r.report(a.View)
			r.follower.HandleView(a.View)
		case NewerDocument:
			r.follower.HandleNewerDocument(a.Address, a.Generation)
		}
	}
}

func (r *Runner) beat(ctx context.Context, p Ping) {
	call, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	var reply Exchange
	var m Message = PingFailed{Ping: p}
	err := r.caller.Call(call, p.Address, Heartbeat, p.Exchange, &reply)
	if err == nil {
		m = PingReplied{Ping: p, Exchange: reply}
	}
	// The end of a heartbeat waits for room, since its address stays in
	// flight until it arrives.
	select {
	case r.inbox <- envelope{message: m}:
	case <-ctx.Done():
	}
}

// Send gives the state machine a message, waiting for room.
func (r *Runner) Send(ctx context.Context, m Message) {
	select {
	case r.inbox <- envelope{message: m}:
	case <-ctx.Done():
	}
}

// Zone returns the members of a zone with the generations known here.
func (r *Runner) ZoneMembers(ctx context.Context, zone string) ([]Member, error) {
	e := envelope{zone: zone, list: make(chan []Member, 1)}
	select {
	case r.inbox <- e:
	case <-ctx.Done():
		return nil, trace.Wrap(result.New(result.NotReady, "membership is busy"))
	}
	select {
	case list := <-e.list:
		return list, nil
	case <-ctx.Done():
		return nil, trace.Wrap(result.New(result.NotReady, "membership is busy"))
	}
}

// Register adds the handlers that peers call. Heartbeats are refused while the
// inbox is full.
func (r *Runner) Register(m peer.Mux) {
	m.Handle(Heartbeat, func(ctx context.Context, from peer.Identity, b peer.Body) (any, error) {
		var in Exchange
		if err := b.Decode(&in); err != nil {
			return nil, trace.Wrap(err)
		}
		if in.From.VM != from.VM {
			return nil, trace.Wrap(result.New(result.PeerRefused, "%s sent the heartbeat of %s", from.VM, in.From.VM))
		}
		return r.receive(ctx, in)
	})
	m.Handle(ListZone, func(ctx context.Context, _ peer.Identity, _ peer.Body) (any, error) {
		list, err := r.ZoneMembers(ctx, r.config.Self.Zone)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		return View{Members: list}, nil
	})
}

func (r *Runner) receive(ctx context.Context, in Exchange) (any, error) {
	e := envelope{exchange: &in, beat: make(chan Exchange, 1)}
	select {
	case r.inbox <- e:
	default:
		return nil, trace.Wrap(result.New(result.Overloaded, "membership is busy"))
	}
	select {
	case reply := <-e.beat:
		return reply, nil
	case <-ctx.Done():
		return nil, trace.Wrap(result.New(result.Overloaded, "membership is busy"))
	}
}

// report logs and records what has changed.
func (r *Runner) report(v View) {
	counts := map[Status]int{Alive: 0, Suspect: 0, Dead: 0, Leaving: 0}
	for _, m := range v.Members {
		counts[m.Status]++
		if r.statuses[m.VM] == m.Status {
			continue
		}
		r.statuses[m.VM] = m.Status
		klog.Infof("membership: %s in %s is %s.", m.VM, m.Zone, m.Status)
		r.recorder.Record("", "membership."+string(m.Status),
			timeline.F("vm", m.VM), timeline.F("zone", m.Zone), timeline.F("incarnation", strconv.FormatUint(m.Incarnation, 10)))
	}
	for status, n := range counts {
		members.WithLabelValues(string(status)).Set(float64(n))
	}
}
