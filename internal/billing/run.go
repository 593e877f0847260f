package billing

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/peer"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
)

// Config identifies the process of a sender or an uploader.
type Config struct {
	VM          string
	Incarnation uint64
	// Agent is the peer address (IP:port) of this VM's own agent.
	Agent string
}

// Message types from routers to agents.
const (
	putType  peer.Type = "billing.put"
	copyType peer.Type = "billing.copy"
	dropType peer.Type = "billing.drop"
)

const (
	// queueSize is the capacity of the queue of bills and of the queue of
	// messages to the core.
	queueSize = 4096
	// enqueueTimeout is how long Bill waits for space in the queue before it
	// discards a bill.
	enqueueTimeout = 2 * time.Second
	tickInterval   = 100 * time.Millisecond
	putTimeout     = 5 * time.Second
	copyTimeout    = time.Second
)

// Sender is the router's side of billing. It collects bills in parcels and sends
// them to the VM's own agent, and a copy to the agent of another VM, until they
// are stored.
//
// If a router or its whole VM is killed, these bills are lost:
//   - bills not yet in a parcel: those of at most one linger time, which is 200 ms
//     or 30 ms per VM of the fleet, whichever is longer;
//   - parcels that neither agent has received yet: those of a few milliseconds.
//
// If the origin VM and the VM that holds its copies are killed at the same time,
// all bills not yet stored are lost: those of about one second while the
// platform's store is available, or those collected since the start of an outage
// of the store.
type Sender struct {
	caller          peer.Caller
	recorder        timeline.Recorder
	bills           chan Bill
	queue           chan func(now time.Time) []Action
	stopped         chan struct{}
	core            *SenderCore
	pendingFlushes  []chan struct{}
	billsTotal      prometheus.Counter
	lostTotal       prometheus.Counter
	unstoredParcels prometheus.Gauge
}

// NewSender returns a sender, which does nothing until Run is called.
func NewSender(cfg Config, caller peer.Caller, rec timeline.Recorder, reg prometheus.Registerer) *Sender {
	f := promauto.With(reg)
	return &Sender{
		caller: caller, recorder: rec,
		bills: make(chan Bill, queueSize), queue: make(chan func(time.Time) []Action, queueSize),
		stopped: make(chan struct{}),
		core:    NewSenderCore(cfg.VM, cfg.Incarnation, cfg.Agent),
		billsTotal: f.NewCounter(prometheus.CounterOpts{
			Name: "pier_billing_bills_total", Help: "Bills taken.",
		}),
		lostTotal: f.NewCounter(prometheus.CounterOpts{
			Name: "pier_billing_lost_total", Help: "Bills lost because the queue stayed full or the sender had stopped.",
		}),
		unstoredParcels: f.NewGauge(prometheus.GaugeOpts{
			Name: "pier_billing_unstored_parcels", Help: "Parcels not known to be stored.",
		}),
	}
}

// Run sends parcels until ctx ends.
func (s *Sender) Run(ctx context.Context) {
	defer close(s.stopped)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		bills := s.bills
		if !s.core.HasRoom() {
			bills = nil // Bill waits, and discards and counts the bill after enqueueTimeout
		}
		var out []Action
		select {
		case <-ctx.Done():
			return
		case b := <-bills:
			out = s.core.Add(time.Now(), b)
		case f := <-s.queue:
			out = f(time.Now())
		case now := <-tick.C:
			out = s.core.Tick(now)
		}
		for _, a := range out {
			s.perform(ctx, a)
		}
		s.unstoredParcels.Set(float64(len(s.core.unstored)))
		s.completeFlushes()
	}
}

func (s *Sender) completeFlushes() {
	if len(s.pendingFlushes) == 0 || len(s.bills) > 0 || !s.core.Idle() {
		return
	}
	for _, d := range s.pendingFlushes {
		close(d)
	}
	s.pendingFlushes = nil
}

// perform sends each message in its own goroutine; the core limits their number.
func (s *Sender) perform(ctx context.Context, a Action) {
	switch a := a.(type) {
	case SendPut:
		go func() {
			var resp PutResponse
			s.call(ctx, putTimeout, a.Addr, putType, a.Parcel, &resp)
			s.enqueue(func(now time.Time) []Action { return s.core.PutDone(now, a.Parcel.Name, resp) })
		}()
	case SendCopy:
		go func() {
			var resp PutResponse
			s.call(ctx, copyTimeout, a.Addr, copyType, a.Parcel, &resp)
			s.enqueue(func(time.Time) []Action {
				s.core.CopyDone(a.Parcel.Name, resp)
				return nil
			})
		}()
	case SendDrop:
		go s.call(ctx, copyTimeout, a.Addr, dropType, a.Body, nil)
	}
}

func (s *Sender) call(ctx context.Context, timeout time.Duration, addr string, t peer.Type, in, out any) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := s.caller.Call(ctx, addr, t, in, out); err != nil {
		klog.V(1).Infof("billing: %s to %s failed: %v", t, addr, err)
	}
}

func (s *Sender) enqueue(f func(time.Time) []Action) {
	select {
	case s.queue <- f:
	case <-s.stopped:
	}
}

// SetView updates the sender's view of which VMs are alive.
func (s *Sender) SetView(v membership.View) {
	s.enqueue(func(time.Time) []Action {
		s.core.SetView(v)
		return nil
	})
}

// Bill queues a bill. If the queue is full, it waits for up to enqueueTimeout. If
// there is still no space, or if Run has ended, the bill is lost: Bill counts and
// logs it.
func (s *Sender) Bill(b Bill) {
	s.billsTotal.Inc()
	select {
	case s.bills <- b:
		return
	default:
	}
	t := time.NewTimer(enqueueTimeout)
	defer t.Stop()
	select {
	case s.bills <- b:
	case <-t.C:
		s.recordLost(b)
	case <-s.stopped:
		s.recordLost(b)
	}
}

func (s *Sender) recordLost(b Bill) {
	s.lostTotal.Inc()
	s.recorder.Record(b.Request, "billing.lost", timeline.F("team", b.Team))
	klog.Errorf("billing: the bill of request %s of team %s is lost: the queue was full or the sender had stopped", b.Request, b.Team)
}

// Flush closes the open parcel and waits until all bills are stored, or returns
// an error if ctx ends first.
func (s *Sender) Flush(ctx context.Context) error {
	done := make(chan struct{})
	s.enqueue(func(now time.Time) []Action {
		s.pendingFlushes = append(s.pendingFlushes, done)
		return s.core.Flush(now)
	})
	return waitForFlush(ctx, done, s.stopped)
}

func waitForFlush(ctx context.Context, done, stopped <-chan struct{}) error {
	select {
	case <-done:
		return nil
	case <-stopped:
		return trace.Wrap(result.New(result.Draining, "billing has stopped"))
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}
