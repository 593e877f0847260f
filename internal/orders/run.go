package orders

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/placement"
	"github.com/cranberrypier/cranberrypier/internal/platform"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
	"github.com/cranberrypier/cranberrypier/internal/wire"
)

const (
	// inboxSize is the number of messages that may be queued.
	inboxSize = 256
	// tickInterval is the time between two ticks of the state machine.
	tickInterval = 500 * time.Millisecond
	// callTimeout limits a call to the store.
	callTimeout = 3 * time.Second
	// observeTimeout limits a query of an engine.
	observeTimeout = 2 * time.Second
)

var ordersSent = promauto.NewCounterVec(prometheus.CounterOpts{
	Name: "pier_orders_given_total",
	Help: "Orders given to engines, by operation and outcome.",
}, []string{"op", "outcome"})

// Engines are the methods of the engines' client that the runner uses.
type Engines interface {
	Load(ctx context.Context, addr string) (placement.LoadReport, error)
	Order(ctx context.Context, addr string, o wire.OrderBody) error
}

// Runner owns the state machine and performs its calls.
type Runner struct {
	config      Config
	store       platform.Store
	engines     Engines
	listMembers func(context.Context) []membership.Member
	recorder    timeline.Recorder
	inbox       chan Message
	calls       sync.WaitGroup
}

// NewRunner returns a runner. The function listMembers lists all members with
// the document generations in force on them.
func NewRunner(c Config, store platform.Store, e Engines, listMembers func(context.Context) []membership.Member, r timeline.Recorder) *Runner {
	return &Runner{config: c, store: store, engines: e, listMembers: listMembers, recorder: r, inbox: make(chan Message, inboxSize)}
}

// Run runs the state machine until ctx ends and all calls have returned.
func (r *Runner) Run(ctx context.Context) {
	defer r.calls.Wait()
	state := New(r.config, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var m Message = Tick{}
		select {
		case <-ctx.Done():
			return
		case m = <-r.inbox:
		case <-ticker.C:
		}
		for _, a := range state.Step(time.Now(), m) {
			r.calls.Go(func() { r.perform(ctx, a) })
		}
	}
}

// SetDocument passes on the document in force. It blocks while the inbox is
// full, since no document may be lost.
func (r *Runner) SetDocument(ctx context.Context, d *document.Document) {
	r.send(ctx, DocumentSet{Document: d})
}

// SetView passes on the membership view. The view is dropped when the inbox is
// full, since the next one replaces it.
func (r *Runner) SetView(v membership.View) {
	select {
	case r.inbox <- ViewSet{View: v}:
	default:
	}
}

// send blocks while the inbox is full. If the result of a call were lost, the
// state machine would make no further call of its kind.
func (r *Runner) send(ctx context.Context, m Message) {
	select {
	case r.inbox <- m:
	case <-ctx.Done():
	}
}

// perform makes one call and sends its result to the state machine.
func (r *Runner) perform(ctx context.Context, a Action) {
	switch a := a.(type) {
	case ReadLease:
		r.send(ctx, r.readLease(ctx))
	case WriteLease:
		r.send(ctx, r.writeLease(ctx, a))
	case Observe:
		r.send(ctx, r.observe(ctx, a))
	case ListMembers:
		r.send(ctx, ListMembersDone{Members: r.listMembers(ctx)})
	case Order:
		r.send(ctx, r.order(ctx, a))
	}
}

// objectName is the name of the zone's lease object.
func (r *Runner) objectName() string { return "orders-" + r.config.Zone }

func (r *Runner) readLease(ctx context.Context) LeaseReadDone {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var out LeaseReadDone
	var err error
	out.Version, err = platform.ReadJSON(ctx, r.store, platform.KindLease, r.objectName(), &out.Lease)
	out.Failed = err != nil
	return out
}

func (r *Runner) writeLease(ctx context.Context, w WriteLease) LeaseWriteDone {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out := LeaseWriteDone{Sent: time.Now()}
	var err error
	out.Version, err = platform.WriteJSON(ctx, r.store, platform.KindLease, r.objectName(), w.Base, w.Lease)
	out.Failed = err != nil
	return out
}

func (r *Runner) observe(ctx context.Context, a Observe) ObserveDone {
	ctx, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	report, err := r.engines.Load(ctx, a.Address)
	return ObserveDone{Upstream: a.Upstream, Loaded: report.Loaded, Running: report.Running, Failed: err != nil}
}

// order checks the lease once more just before it sends the order. If the
// process is paused after this check, only the fencing number prevents a late
// order from taking effect.
func (r *Runner) order(ctx context.Context, o Order) OrderDone {
	if !time.Now().Before(o.NotAfter) {
		return OrderDone{Order: o, Failed: true}
	}
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	err := r.engines.Order(ctx, o.Address, wire.OrderBody{Op: string(o.Op), Version: o.Target, Fence: o.Fence})
	out := OrderDone{Order: o, Refused: result.Is(err, result.OrderRefused), Failed: err != nil}
	outcome := "taken"
	switch {
	case out.Refused:
		outcome = "refused"
	case out.Failed:
		outcome = "failed"
	}
	ordersSent.WithLabelValues(string(o.Op), outcome).Inc()
	klog.Infof("orders: Sent order to %s %s at %s with fencing number %d, outcome: %s.", o.Op, o.Target, o.Upstream, o.Fence, outcome)
	r.recorder.Record("", "orders."+string(o.Op), timeline.F("upstream", o.Upstream), timeline.F("target", o.Target),
		timeline.F("fence", strconv.FormatUint(o.Fence, 10)), timeline.F("outcome", outcome))
	return out
}
