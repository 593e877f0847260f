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
	// inbox is the number of messages and questions that may wait.
	inbox = 256
	// tick is how often time passes for the state machine.
	tick = 500 * time.Millisecond
	// callTimeout bounds a call of the platform or a peer.
	callTimeout = 2 * time.Second
)

var (
	shareInForce = promauto.NewGaugeVec(prometheus.GaugeOpts{
		Name: "pier_rollout_share",
		Help: "Share of a version in roll-out that was last in force at this VM.",
	}, []string{"model", "version"})
	leading = promauto.NewCounter(prometheus.CounterOpts{
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
	shares   func([]Share)
	inbox    chan envelope
	work     sync.WaitGroup
}

// envelope is a message or a question.
type envelope struct {
	message Message
	vm      string
	ask     *SyncRequest
	// answer takes the answer to a question; it has room for it.
	answer chan SyncResponse
}

// NewRunner returns a runner; shares is called with each change of the shares
// in force, from one goroutine, and must not block.
func NewRunner(c Config, store platform.Store, caller peer.Caller, r timeline.Recorder, shares func([]Share)) *Runner {
	return &Runner{config: c, store: store, caller: caller, recorder: r, shares: shares, inbox: make(chan envelope, inbox)}
}

// Run works until ctx ends and its calls have returned.
func (r *Runner) Run(ctx context.Context) {
	defer r.work.Wait()
	state := New(r.config, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-r.inbox:
			if e.ask != nil {
				e.answer <- state.HandleSync(time.Now(), e.vm, *e.ask)
				continue
			}
			r.perform(ctx, state.Step(time.Now(), e.message))
		case <-ticker.C:
			r.perform(ctx, state.Step(time.Now(), Tick{}))
		}
	}
}

// SetDocument gives the document in force. It waits for room, since documents
// are few and each counts.
func (r *Runner) SetDocument(ctx context.Context, d *document.Document) {
	r.send(ctx, DocumentSet{Document: d})
}

// SetView gives the membership view; dropped when the inbox is full, since the
// next one replaces it.
func (r *Runner) SetView(v membership.View) { r.offer(ViewSet{View: v}) }

// Count gives the own router's totals; dropped when the inbox is full, since
// totals repeat what came before.
func (r *Runner) SetRouterTotals(router uint64, list []control.VersionCounters) {
	r.offer(RouterTotals{Router: router, Totals: list})
}

func (r *Runner) offer(m Message) {
	select {
	case r.inbox <- envelope{message: m}:
	default:
	}
}

// send waits for room, since the state machine makes no further call of a kind
// until it has the end of this one.
func (r *Runner) send(ctx context.Context, m Message) {
	select {
	case r.inbox <- envelope{message: m}:
	case <-ctx.Done():
	}
}

// Register adds the handler that peers call.
func (r *Runner) Register(m peer.Mux) {
	m.Handle(Sync, func(ctx context.Context, from peer.Identity, b peer.Body) (any, error) {
		var in SyncRequest
		if err := b.Decode(&in); err != nil {
			return nil, trace.Wrap(err)
		}
		e := envelope{vm: from.VM, ask: &in, answer: make(chan SyncResponse, 1)}
		select {
		case r.inbox <- e:
		default:
			return nil, trace.Wrap(result.New(result.Overloaded, "roll-outs are busy"))
		}
		select {
		case out := <-e.answer:
			return out, nil
		case <-ctx.Done():
			return nil, trace.Wrap(result.New(result.Overloaded, "roll-outs are busy"))
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
			r.shares(a.List)
		case Halted:
			klog.Warningf("rollout: %s@%s is halted: %s.", a.Progress.Model, a.Progress.Version, a.Progress.Reason)
			r.recorder.Record("", "rollout.halted", timeline.F("model", a.Progress.Model),
				timeline.F("version", a.Progress.Version), timeline.F("reason", a.Progress.Reason))
		case Read:
			r.work.Go(func() { r.send(ctx, r.read(ctx)) })
		case Write:
			r.work.Go(func() { r.send(ctx, r.write(ctx, a)) })
		case SyncCall:
			r.work.Go(func() { r.send(ctx, r.ask(ctx, a)) })
		}
	}
}

func (r *Runner) read(ctx context.Context) ReadDone {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out := ReadDone{Sent: time.Now()}
	var err error
	out.Version, err = platform.ReadJSON(ctx, r.store, platform.KindRollOut, ObjectName, &out.Object)
	out.Failed = err != nil
	return out
}

func (r *Runner) write(ctx context.Context, w Write) WriteDone {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v, err := platform.WriteJSON(ctx, r.store, platform.KindRollOut, ObjectName, w.Base, w.Object)
	if err != nil {
		klog.V(1).Infof("rollout: The state was not written: %v.", err)
		return WriteDone{Failed: true}
	}
	leading.Inc()
	return WriteDone{Object: w.Object, Version: v}
}

func (r *Runner) ask(ctx context.Context, a SyncCall) SyncDone {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out := SyncDone{VM: a.VM, Sent: time.Now(), FetchState: a.FetchState}
	out.Failed = r.caller.Call(ctx, a.Address, Sync, a.Request, &out.Response) != nil
	return out
}
