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
	// inbox is the number of messages that may wait.
	inbox = 256
	// tick is how often time passes for the state machine.
	tick = 500 * time.Millisecond
	// callTimeout bounds a call of the platform.
	callTimeout = 3 * time.Second
	// observeTimeout bounds a look at an engine.
	observeTimeout = 2 * time.Second
)

var given = promauto.NewCounterVec(prometheus.CounterOpts{
	Name: "pier_orders_given_total",
	Help: "Orders given to engines, by operation and outcome.",
}, []string{"op", "outcome"})

// Engines is what the runner needs of the engines' client.
type Engines interface {
	Load(ctx context.Context, addr string) (placement.LoadReport, error)
	Order(ctx context.Context, addr string, o wire.OrderBody) error
}

// Runner owns the state machine and performs its calls.
type Runner struct {
	config   Config
	store    platform.Store
	engines  Engines
	fleet    func(context.Context) []membership.Member
	recorder timeline.Recorder
	inbox    chan Message
	work     sync.WaitGroup
}

// NewRunner returns a runner; fleet lists all members with the generations in
// force at them.
func NewRunner(c Config, store platform.Store, e Engines, fleet func(context.Context) []membership.Member, r timeline.Recorder) *Runner {
	return &Runner{config: c, store: store, engines: e, fleet: fleet, recorder: r, inbox: make(chan Message, inbox)}
}

// Run works until ctx ends and its calls have returned.
func (r *Runner) Run(ctx context.Context) {
	defer r.work.Wait()
	state := New(r.config, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	ticker := time.NewTicker(tick)
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
			r.work.Go(func() { r.perform(ctx, a) })
		}
	}
}

// SetDocument gives the document in force; it waits for room, since each
// document counts.
func (r *Runner) SetDocument(ctx context.Context, d *document.Document) {
	r.send(ctx, DocumentSet{Document: d})
}

// SetView gives the membership view; dropped when the inbox is full, since the
// next one replaces it.
func (r *Runner) SetView(v membership.View) {
	select {
	case r.inbox <- ViewSet{View: v}:
	default:
	}
}

// send waits for room, since the state machine makes no further call of a kind
// until it has the end of this one.
func (r *Runner) send(ctx context.Context, m Message) {
	select {
	case r.inbox <- m:
	case <-ctx.Done():
	}
}

// perform makes one call and sends its end to the state machine.
func (r *Runner) perform(ctx context.Context, a Action) {
	switch a := a.(type) {
	case ReadLease:
		r.send(ctx, r.readLease(ctx))
	case WriteLease:
		r.send(ctx, r.writeLease(ctx, a))
	case Observe:
		r.send(ctx, r.observe(ctx, a))
	case ListMembers:
		r.send(ctx, MembersListed{Members: r.fleet(ctx)})
	case Order:
		r.send(ctx, r.order(ctx, a))
	}
}

// objectName is the name of the zone's lease object.
func (r *Runner) objectName() string { return "orders-" + r.config.Zone }

func (r *Runner) readLease(ctx context.Context) LeaseRead {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var out LeaseRead
	var err error
	out.Version, err = platform.ReadJSON(ctx, r.store, platform.KindLease, r.objectName(), &out.Lease)
	out.Failed = err != nil
	return out
}

func (r *Runner) writeLease(ctx context.Context, w WriteLease) LeaseWritten {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out := LeaseWritten{Sent: time.Now()}
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

// order checks the lease once more directly before the send. What happens
// between this check and the engine is bounded only by the fencing number.
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
	given.WithLabelValues(string(o.Op), outcome).Inc()
	klog.Infof("orders: %s of %s at %s with number %d is %s.", o.Op, o.Target, o.Upstream, o.Fence, outcome)
	r.recorder.Record("", "orders."+string(o.Op), timeline.F("upstream", o.Upstream), timeline.F("target", o.Target),
		timeline.F("fence", strconv.FormatUint(o.Fence, 10)), timeline.F("outcome", outcome))
	return out
}
