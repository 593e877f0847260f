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

// Config holds what a sender or an uploader needs to know about its process.
type Config struct {
	VM          string
	Incarnation uint64
	// Agent is the peer address of this VM's own agent, IP:port.
	Agent string
}

// Message types from routers to agents.
const (
	putType  peer.Type = "billing.put"
	copyType peer.Type = "billing.copy"
	dropType peer.Type = "billing.drop"
)

const (
	// inbox is the number of bills, or of answers, that may wait for the core.
	inbox = 4096
	// billWait is how long Bill waits for room before a bill is lost.
	billWait = 2 * time.Second
	tickTime = 100 * time.Millisecond
	putTime  = 5 * time.Second
	copyWait = time.Second
)

// Sender is the router's end: it gathers bills in parcels and hands them to the
// own agent, with a copy to another VM's, until they are stored.
//
// Lost with a killed router: the bills of at most one linger (200 ms, or 30 ms
// a VM of the fleet if that is more) that were not yet in a parcel, and parcels
// that neither agent had received yet, a few milliseconds' worth. Lost with a
// killed VM: the same. Lost with two VMs killed at once, the origin and the
// holder of its copies: all that was not stored, about one second's bills while
// the platform's service is up, and what an outage has gathered while it is
// down.
type Sender struct {
	caller  peer.Caller
	rec     timeline.Recorder
	bills   chan Bill
	in      chan func(now time.Time) []Action
	stopped chan struct{}
	core    *SenderCore
	drains  []chan struct{}
	total   prometheus.Counter
	lost    prometheus.Counter
	waiting prometheus.Gauge
}

// New returns a sender; Run must be called for it to work.
func NewSender(cfg Config, caller peer.Caller, rec timeline.Recorder, reg prometheus.Registerer) *Sender {
	f := promauto.With(reg)
	return &Sender{
		caller: caller, rec: rec,
		bills: make(chan Bill, inbox), in: make(chan func(time.Time) []Action, inbox),
		stopped: make(chan struct{}),
		core:    NewSenderCore(cfg.VM, cfg.Incarnation, cfg.Agent),
		total: f.NewCounter(prometheus.CounterOpts{
			Name: "pier_billing_bills_total", Help: "Bills taken.",
		}),
		lost: f.NewCounter(prometheus.CounterOpts{
			Name: "pier_billing_lost_total", Help: "Bills lost because the queue stayed full or the sender had stopped.",
		}),
		waiting: f.NewGauge(prometheus.GaugeOpts{
			Name: "pier_billing_unstored_parcels", Help: "Parcels not known to be stored.",
		}),
	}
}

// Run sends until ctx ends.
func (s *Sender) Run(ctx context.Context) {
	defer close(s.stopped)
	tick := time.NewTicker(tickTime)
	defer tick.Stop()
	for {
		bills := s.bills
		if !s.core.HasRoom() {
			bills = nil // Bill waits, then loses and counts
		}
		var out []Action
		select {
		case <-ctx.Done():
			return
		case b := <-bills:
			out = s.core.Add(time.Now(), b)
		case f := <-s.in:
			out = f(time.Now())
		case now := <-tick.C:
			out = s.core.Tick(now)
		}
		for _, a := range out {
			s.act(ctx, a)
		}
		s.waiting.Set(float64(len(s.core.waiting)))
		s.drained()
	}
}

func (s *Sender) drained() {
	if len(s.drains) == 0 || len(s.bills) > 0 || !s.core.Idle() {
		return
	}
	for _, d := range s.drains {
		close(d)
	}
	s.drains = nil
}

// act sends in a goroutine of its own; the core bounds their number.
func (s *Sender) act(ctx context.Context, a Action) {
	switch a := a.(type) {
	case SendPut:
		go func() {
			var ans PutAnswer
			s.call(ctx, putTime, a.Addr, putType, a.Parcel, &ans)
			s.post(func(now time.Time) []Action { return s.core.PutDone(now, a.Parcel.Name, ans) })
		}()
	case SendCopy:
		go func() {
			var ans PutAnswer
			s.call(ctx, copyWait, a.Addr, copyType, a.Parcel, &ans)
			s.post(func(time.Time) []Action {
				s.core.CopyDone(a.Parcel.Name, ans)
				return nil
			})
		}()
	case SendDrop:
		go s.call(ctx, copyWait, a.Addr, dropType, a.Body, nil)
	}
}

func (s *Sender) call(ctx context.Context, d time.Duration, addr string, t peer.Type, in, out any) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	if err := s.caller.Call(ctx, addr, t, in, out); err != nil {
		klog.V(1).Infof("billing: %s to %s failed: %v", t, addr, err)
	}
}

func (s *Sender) post(f func(time.Time) []Action) {
	select {
	case s.in <- f:
	case <-s.stopped:
	}
}

// SetView tells the sender which VMs live.
func (s *Sender) SetView(v membership.View) {
	s.post(func(time.Time) []Action {
		s.core.SetView(v)
		return nil
	})
}

// Bill queues a bill. While the queue is full it waits up to 2s; then, or after
// Run has ended, the bill is lost, counted and logged.
func (s *Sender) Bill(b Bill) {
	s.total.Inc()
	select {
	case s.bills <- b:
		return
	default:
	}
	t := time.NewTimer(billWait)
	defer t.Stop()
	select {
	case s.bills <- b:
	case <-t.C:
		s.lose(b)
	case <-s.stopped:
		s.lose(b)
	}
}

func (s *Sender) lose(b Bill) {
	s.lost.Inc()
	s.rec.Record(b.Request, "billing.lost", timeline.F("team", b.Team))
	klog.Errorf("billing: the bill %s of team %s is lost", b.Request, b.Team)
}

// Drain names the open parcel and waits until every bill is stored, or ctx ends.
func (s *Sender) Drain(ctx context.Context) error {
	done := make(chan struct{})
	s.post(func(now time.Time) []Action {
		s.drains = append(s.drains, done)
		return s.core.Flush(now)
	})
	return wait(ctx, done, s.stopped)
}

func wait(ctx context.Context, done, stopped <-chan struct{}) error {
	select {
	case <-done:
		return nil
	case <-stopped:
		return trace.Wrap(result.New(result.Draining, "billing has stopped"))
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}
