package billing

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/peer"
	"github.com/cranberrypier/cranberrypier/internal/platform"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
)

// writeTime bounds one write.
const writeTime = 2 * time.Second

// Uploader is the agent's end: it creates the objects of parcels.
type Uploader struct {
	store   platform.Store
	rec     timeline.Recorder
	in      chan func(now time.Time) []Action
	stopped chan struct{}
	core    *UploaderCore
	calls   uint64
	puts    map[uint64]chan PutAnswer
	drains  []chan struct{}
	writes  *prometheus.CounterVec
	held    prometheus.Gauge
}

// NewUploader returns an uploader; Run must be called for it to work.
func NewUploader(_ Config, store platform.Store, _ peer.Caller, rec timeline.Recorder, reg prometheus.Registerer) *Uploader {
	f := promauto.With(reg)
	return &Uploader{
		store: store, rec: rec, core: NewUploaderCore(),
		in:      make(chan func(time.Time) []Action, inbox),
		stopped: make(chan struct{}),
		puts:    make(map[uint64]chan PutAnswer),
		writes: f.NewCounterVec(prometheus.CounterOpts{
			Name: "pier_billing_writes_total", Help: "Writes of parcels, by result.",
		}, []string{"result"}),
		held: f.NewGauge(prometheus.GaugeOpts{
			Name: "pier_billing_held_parcels", Help: "Parcels held until stored, copies for other VMs included.",
		}),
	}
}

// Run uploads until ctx ends.
func (u *Uploader) Run(ctx context.Context) {
	defer close(u.stopped)
	tick := time.NewTicker(tickTime)
	defer tick.Stop()
	for {
		var out []Action
		select {
		case <-ctx.Done():
			return
		case f := <-u.in:
			out = f(time.Now())
		case now := <-tick.C:
			out = u.core.Tick(now)
		}
		for _, a := range out {
			u.act(ctx, a)
		}
		u.held.Set(float64(len(u.core.held)))
		if len(u.drains) > 0 && u.core.Idle() {
			for _, d := range u.drains {
				close(d)
			}
			u.drains = nil
		}
	}
}

func (u *Uploader) act(ctx context.Context, a Action) {
	switch a := a.(type) {
	case WriteParcel:
		go u.write(ctx, a.Parcel)
	case Reply:
		u.puts[a.Call] <- a.Body
		delete(u.puts, a.Call)
	}
}

func (u *Uploader) write(ctx context.Context, p Parcel) {
	ctx, cancel := context.WithTimeout(ctx, writeTime)
	defer cancel()
	value, err := p.encode()
	if err == nil {
		_, err = u.store.Create(ctx, platform.KindBill, p.Name.Object(), value)
	}
	name := "ok"
	if err != nil {
		name = result.From(err).Code.Info().Name
		klog.V(1).Infof("billing: parcel %s: %v", p.Name.Object(), err)
	}
	u.writes.WithLabelValues(name).Inc()
	u.rec.Record("", "billing.write", timeline.F("parcel", p.Name.Object()), timeline.F("result", name))
	u.post(func(now time.Time) []Action { return u.core.Written(now, p.Name, err) })
}

// post waits while the inbox is full, until the uploader stops.
func (u *Uploader) post(f func(time.Time) []Action) {
	select {
	case u.in <- f:
	case <-u.stopped:
	}
}

// SetView tells the uploader which VMs live.
func (u *Uploader) SetView(v membership.View) {
	u.post(func(now time.Time) []Action {
		u.core.SetView(now, v)
		return nil
	})
}

// Register adds the handlers of the billing.* peer messages.
func (u *Uploader) Register(m peer.Mux) {
	m.Handle(putType, func(ctx context.Context, _ peer.Identity, b peer.Body) (any, error) {
		return u.take(ctx, b, func(now time.Time, p Parcel, done chan PutAnswer) []Action {
			u.calls++
			u.puts[u.calls] = done
			return u.core.Put(now, u.calls, p)
		})
	})
	m.Handle(copyType, func(ctx context.Context, _ peer.Identity, b peer.Body) (any, error) {
		return u.take(ctx, b, func(now time.Time, p Parcel, done chan PutAnswer) []Action {
			done <- u.core.Copy(now, p)
			return nil
		})
	})
	m.Handle(dropType, func(_ context.Context, _ peer.Identity, b peer.Body) (any, error) {
		var d Drop
		if err := cbor.Unmarshal(b, &d); err != nil {
			return nil, trace.Wrap(result.New(result.PeerFrame, "a bad billing.drop"))
		}
		u.post(func(now time.Time) []Action {
			u.core.DropCopies(now, d)
			return nil
		})
		return struct{}{}, nil
	})
}

func (u *Uploader) take(ctx context.Context, b peer.Body, f func(time.Time, Parcel, chan PutAnswer) []Action) (any, error) {
	var p Parcel
	if err := cbor.Unmarshal(b, &p); err != nil {
		return nil, trace.Wrap(result.New(result.PeerFrame, "a bad parcel of bills"))
	}
	done := make(chan PutAnswer, 1)
	u.post(func(now time.Time) []Action { return f(now, p, done) })
	select {
	case a := <-done:
		return a, nil
	case <-ctx.Done():
		return nil, trace.Wrap(result.New(result.PeerUnreachable, "the caller left"))
	case <-u.stopped:
		return nil, trace.Wrap(result.New(result.Draining, "billing has stopped"))
	}
}

// Drain uploads what is held, copies too, or returns an error when ctx ends
// before.
func (u *Uploader) Drain(ctx context.Context) error {
	done := make(chan struct{})
	u.post(func(now time.Time) []Action {
		u.drains = append(u.drains, done)
		return u.core.Flush(now)
	})
	return wait(ctx, done, u.stopped)
}
