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

// writeTimeout limits one write of a parcel.
const writeTimeout = 2 * time.Second

// Uploader is the agent's side of billing: it stores parcels as objects in the
// platform's store.
type Uploader struct {
	store          platform.Store
	recorder       timeline.Recorder
	queue          chan func(now time.Time) []Action
	stopped        chan struct{}
	core           *UploaderCore
	lastCall       uint64
	pendingPuts    map[uint64]chan PutResponse
	pendingFlushes []chan struct{}
	writesTotal    *prometheus.CounterVec
	heldParcels    prometheus.Gauge
}

// NewUploader returns an uploader, which does nothing until Run is called. The
// Config and the Caller are not used.
func NewUploader(_ Config, store platform.Store, _ peer.Caller, rec timeline.Recorder, reg prometheus.Registerer) *Uploader {
	f := promauto.With(reg)
	return &Uploader{
		store: store, recorder: rec, core: NewUploaderCore(),
		queue:       make(chan func(time.Time) []Action, queueSize),
		stopped:     make(chan struct{}),
		pendingPuts: make(map[uint64]chan PutResponse),
		writesTotal: f.NewCounterVec(prometheus.CounterOpts{
			Name: "pier_billing_writes_total", Help: "Writes of parcels, by result.",
		}, []string{"result"}),
		heldParcels: f.NewGauge(prometheus.GaugeOpts{
			Name: "pier_billing_held_parcels", Help: "Parcels held until stored, copies for other VMs included.",
		}),
	}
}

// Run uploads parcels until ctx ends.
func (u *Uploader) Run(ctx context.Context) {
	defer close(u.stopped)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		var out []Action
		select {
		case <-ctx.Done():
			return
		case f := <-u.queue:
			out = f(time.Now())
		case now := <-tick.C:
			out = u.core.Tick(now)
		}
		for _, a := range out {
			u.perform(ctx, a)
		}
		u.heldParcels.Set(float64(len(u.core.held)))
		if len(u.pendingFlushes) > 0 && u.core.Idle() {
			for _, d := range u.pendingFlushes {
				close(d)
			}
			u.pendingFlushes = nil
		}
	}
}

func (u *Uploader) perform(ctx context.Context, a Action) {
	switch a := a.(type) {
	case WriteParcel:
		go u.write(ctx, a.Parcel)
	case Reply:
		u.pendingPuts[a.Call] <- a.Body
		delete(u.pendingPuts, a.Call)
	}
}

func (u *Uploader) write(ctx context.Context, p Parcel) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	value, err := p.encode()
	if err == nil {
		_, err = u.store.Create(ctx, platform.KindBill, p.Name.Object(), value)
	}
	outcome := "ok"
	if err != nil {
		outcome = result.From(err).Code.Info().Name
		klog.V(1).Infof("billing: writing parcel %s failed: %v", p.Name.Object(), err)
	}
	u.writesTotal.WithLabelValues(outcome).Inc()
	u.recorder.Record("", "billing.write", timeline.F("parcel", p.Name.Object()), timeline.F("result", outcome))
	u.enqueue(func(now time.Time) []Action { return u.core.Written(now, p.Name, err) })
}

// enqueue passes f to Run. It blocks while the queue is full, until the uploader
// stops.
func (u *Uploader) enqueue(f func(time.Time) []Action) {
	select {
	case u.queue <- f:
	case <-u.stopped:
	}
}

// SetView updates the uploader's view of which VMs are alive.
func (u *Uploader) SetView(v membership.View) {
	u.enqueue(func(now time.Time) []Action {
		u.core.SetView(now, v)
		return nil
	})
}

// Register adds the handlers of the billing.* peer messages.
func (u *Uploader) Register(m peer.Mux) {
	m.Handle(putType, func(ctx context.Context, _ peer.Identity, b peer.Body) (any, error) {
		return u.receiveParcel(ctx, b, func(now time.Time, p Parcel, done chan PutResponse) []Action {
			u.lastCall++
			u.pendingPuts[u.lastCall] = done
			return u.core.Put(now, u.lastCall, p)
		})
	})
	m.Handle(copyType, func(ctx context.Context, _ peer.Identity, b peer.Body) (any, error) {
		return u.receiveParcel(ctx, b, func(now time.Time, p Parcel, done chan PutResponse) []Action {
			done <- u.core.Copy(now, p)
			return nil
		})
	})
	m.Handle(dropType, func(_ context.Context, _ peer.Identity, b peer.Body) (any, error) {
		var d Drop
		if err := cbor.Unmarshal(b, &d); err != nil {
			return nil, trace.Wrap(result.New(result.PeerMessageInvalid, "decoding a billing.drop message failed"))
		}
		u.enqueue(func(now time.Time) []Action {
			u.core.DropCopies(now, d)
			return nil
		})
		return struct{}{}, nil
	})
}

func (u *Uploader) receiveParcel(ctx context.Context, b peer.Body, f func(time.Time, Parcel, chan PutResponse) []Action) (any, error) {
	var p Parcel
	if err := cbor.Unmarshal(b, &p); err != nil {
		return nil, trace.Wrap(result.New(result.PeerMessageInvalid, "decoding a parcel of bills failed"))
	}
	response := make(chan PutResponse, 1)
	u.enqueue(func(now time.Time) []Action { return f(now, p, response) })
	select {
	case a := <-response:
		return a, nil
	case <-ctx.Done():
		return nil, trace.Wrap(result.New(result.PeerUnreachable, "the caller canceled the call"))
	case <-u.stopped:
		return nil, trace.Wrap(result.New(result.Draining, "billing has stopped"))
	}
}

// Flush uploads all held parcels, including copies. It returns an error if ctx
// ends first.
func (u *Uploader) Flush(ctx context.Context) error {
	done := make(chan struct{})
	u.enqueue(func(now time.Time) []Action {
		u.pendingFlushes = append(u.pendingFlushes, done)
		return u.core.Flush(now)
	})
	return waitForFlush(ctx, done, u.stopped)
}
