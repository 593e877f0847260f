package rollout

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/control"
	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/peer"
	"github.com/cranberrypier/cranberrypier/internal/platform"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
)

const (
	// inboxSize is the number of messages and calls of peers that may be queued.
	inboxSize = 256
	// tickInterval is the time between two ticks of the state machine.
	tickInterval = 500 * time.Millisecond
	// callTimeout limits a call to the store or to a peer.
	callTimeout = 2 * time.Second
)

var (
	shareInForce = promauto.NewGaugeVec(prometheus.GaugeOpts{
		Name: "pier_rollout_share",
		Help: "Share of a version in roll-out that was last in force at this VM.",
	}, []string{"model", "version"})
	stateWrites = promauto.NewCounter(prometheus.CounterOpts{
		Name: "pier_rollout_writes_total",
		Help: "Writes of the state of roll-outs by this VM as the leader.",
	})
)

// Runner owns the state machine and performs its calls.
type Runner struct {
	config   Config
	store    platform.Store
	caller   peer.Caller
	recorder timeline.Recorder
	onShares func([]Share)
	inbox    chan envelope
	calls    sync.WaitGroup
}

// envelope is a message for the state machine or a call of a peer.
type envelope struct {
	message Message
	sender  string
	sync    *SyncRequest
	// response receives the response to the peer's call. It is buffered, so that
	// sending never blocks.
	response chan SyncResponse
}

// NewRunner returns a runner. It calls onShares with each change of the shares
// in force, from one goroutine. The function must not block.
func NewRunner(c Config, store platform.Store, caller peer.Caller, r timeline.Recorder, onShares func([]Share)) *Runner {
	return &Runner{config: c, store: store, caller: caller, recorder: r, onShares: onShares, inbox: make(chan envelope, inboxSize)}
}

// Run runs the state machine until ctx ends and all calls have returned.
func (r *Runner) Run(ctx context.Context) {
	defer r.calls.Wait()
	state := New(r.config, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-r.inbox:
			if e.sync != nil {
				e.response <- state.HandleSync(time.Now(), e.sender, *e.sync)
				continue
			}
			r.perform(ctx, state.Step(time.Now(), e.message))
		case <-ticker.C:
			r.perform(ctx, state.Step(time.Now(), Tick{}))
		}
	}
}

// SetDocument passes on the document in force. It blocks while the inbox is
// full, since documents are rare and none may be lost.
func (r *Runner) SetDocument(ctx context.Context, d *document.Document) {
	r.send(ctx, DocumentSet{Document: d})
}

// SetView passes on the membership view. The view is dropped when the inbox is
// full, since the next one replaces it.
func (r *Runner) SetView(v membership.View) { r.trySend(ViewSet{View: v}) }

// SetRouterTotals passes on the totals of this VM's own router. They are
// dropped when the inbox is full, since the next totals include them.
func (r *Runner) SetRouterTotals(router uint64, list []control.VersionCounters) {
	r.trySend(RouterTotals{RouterIncarnation: router, Totals: list})
}

func (r *Runner) trySend(m Message) {
	select {
	case r.inbox <- envelope{message: m}:
	default:
	}
}

// send blocks while the inbox is full. If the result of a call were lost, the
// state machine would make no further call of its kind.
func (r *Runner) send(ctx context.Context, m Message) {
	select {
	case r.inbox <- envelope{message: m}:
	case <-ctx.Done():
	}
}

// Register adds the handler for the calls of peers.
func (r *Runner) Register(m peer.Mux) {
	m.Handle(Sync, func(ctx context.Context, from peer.Identity, b peer.Body) (any, error) {
		var in SyncRequest
		if err := b.Decode(&in); err != nil {
			return nil, trace.Wrap(err)
		}
		e := envelope{sender: from.VM, sync: &in, response: make(chan SyncResponse, 1)}
		select {
		case r.inbox <- e:
		default:
			return nil, trace.Wrap(result.New(result.Overloaded, "the roll-out inbox is full"))
		}
		select {
		case out := <-e.response:
			return out, nil
		case <-ctx.Done():
			return nil, trace.Wrap(result.New(result.Overloaded, "the roll-out runner did not process the request within the call's timeout"))
		}
	})
}

func (r *Runner) perform(ctx context.Context, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Shares:
			for _, s := range a.List {
				shareInForce.WithLabelValues(s.Model, s.Version).Set(s.Share)
			}
			r.onShares(a.List)
		case Halted:
			klog.Warningf("rollout: %s@%s is halted: %s.", a.Progress.Model, a.Progress.Version, a.Progress.Reason)
			r.recorder.Record("", "rollout.halted", timeline.F("model", a.Progress.Model),
				timeline.F("version", a.Progress.Version), timeline.F("reason", a.Progress.Reason))
		case Read:
			r.calls.Go(func() { r.send(ctx, r.read(ctx)) })
		case Write:
			r.calls.Go(func() { r.send(ctx, r.write(ctx, a)) })
		case SyncCall:
			r.calls.Go(func() { r.send(ctx, r.callPeer(ctx, a)) })
		}
	}
}

func (r *Runner) read(ctx context.Context) ReadDone {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out := ReadDone{Sent: time.Now()}
	var err error
	out.ObjectVersion, err = platform.ReadJSON(ctx, r.store, platform.KindRollOut, ObjectName, &out.Object)
	out.Failed = err != nil
	return out
}

func (r *Runner) write(ctx context.Context, w Write) WriteDone {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v, err := platform.WriteJSON(ctx, r.store, platform.KindRollOut, ObjectName, w.Base, w.Object)
	if err != nil {
		klog.V(1).Infof("rollout: Writing the state failed: %v.", err)
		return WriteDone{Failed: true}
	}
	stateWrites.Inc()
	return WriteDone{Object: w.Object, ObjectVersion: v}
}

func (r *Runner) callPeer(ctx context.Context, a SyncCall) SyncDone {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out := SyncDone{VM: a.VM, Sent: time.Now(), FetchState: a.FetchState}
	out.Failed = r.caller.Call(ctx, a.Address, Sync, a.Request, &out.Response) != nil
	return out
}
