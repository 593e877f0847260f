package quarantine

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/peer"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
)

// Config identifies the process that runs the service.
type Config struct {
	VM          string
	Incarnation uint64
}

const (
	shareType peer.Type = "quarantine.share"

	// inboxSize is the number of calls that may be queued for the core. When the
	// queue is full, further calls are dropped and counted, so that requests
	// never block: a lost mark delays a quarantine, and a run whose end was lost
	// is removed after maxRunDuration.
	inboxSize = 4096
	// outboxSize is the number of messages that may be queued for sending. More
	// are dropped and counted; every resendInterval the marks are sent again.
	outboxSize     = 64
	tickInterval   = time.Second
	resendInterval = 10 * time.Second
	shareTimeout   = 2 * time.Second // limits one call
	// maxSharePeers is the largest number of peers to which updates are sent.
	// Each peer forwards the updates that are new to it.
	maxSharePeers = 8
	// maxSenders is the number of messages that may be sent concurrently, so
	// that an unreachable peer does not delay the others.
	maxSenders = 4
)

// coreCall is a call to the core, which is made by the goroutine of Run.
type coreCall func(c *Core, now time.Time)

type queuedCall struct {
	at   time.Time
	call coreCall
}

type outgoingUpdates struct {
	addr    string
	updates Updates
}

// Service keeps the marks of this VM and shares them with the other VMs. Check and
// RequiresIsolation only read a map that is replaced when a status changes.
type Service struct {
	cfg       Config
	caller    peer.Caller
	rec       timeline.Recorder
	inbox     chan queuedCall
	outbox    chan outgoingUpdates
	lastToken atomic.Uint64
	statuses  atomic.Pointer[map[Fingerprint]Status]
	peers     atomic.Pointer[[]string]

	dropped     prometheus.Counter
	rejected    prometheus.Counter
	suspects    prometheus.Gauge
	quarantined prometheus.Gauge

	// Owned by the goroutine of Run.
	core *Core
	rng  *rand.Rand
}

// New returns a Service. It processes calls only while Run runs.
func New(cfg Config, caller peer.Caller, rec timeline.Recorder, reg prometheus.Registerer) *Service {
	f := promauto.With(reg)
	s := &Service{
		cfg: cfg, caller: caller, rec: rec, core: NewCore(),
		inbox: make(chan queuedCall, inboxSize), outbox: make(chan outgoingUpdates, outboxSize),
		rng: rand.New(rand.NewPCG(cfg.Incarnation, 0)),
		dropped: f.NewCounter(prometheus.CounterOpts{
			Name: "pier_quarantine_dropped_total", Help: "Events and shares dropped because a queue was full.",
		}),
		rejected: f.NewCounter(prometheus.CounterOpts{
			Name: "pier_quarantine_refused_total", Help: "Requests refused as quarantined or held.",
		}),
		suspects: f.NewGauge(prometheus.GaugeOpts{
			Name: "pier_quarantine_suspects", Help: "Fingerprints under suspicion.",
		}),
		quarantined: f.NewGauge(prometheus.GaugeOpts{
			Name: "pier_quarantine_condemned", Help: "Fingerprints in quarantine.",
		}),
	}
	s.statuses.Store(&map[Fingerprint]Status{})
	s.peers.Store(&[]string{})
	return s
}

// Run processes calls and shares updates until ctx is done.
func (s *Service) Run(ctx context.Context) {
	var senders sync.WaitGroup
	defer senders.Wait()
	for range maxSenders {
		senders.Go(func() { s.sendLoop(ctx) })
	}
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	resend := time.NewTicker(resendInterval)
	defer resend.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-s.inbox:
			e.call(s.core, e.at)
		case now := <-tick.C:
			s.core.Tick(now)
		case <-resend.C:
			s.queueUpdates(1, s.core.RecentMarks())
		}
		s.queueUpdates(maxSharePeers, s.core.TakeUpdates())
		if s.core.TakeChanged() {
			s.publishStatuses()
		}
	}
}

// publishStatuses replaces the map that Check and RequiresIsolation
// read.
func (s *Service) publishStatuses() {
	old := *s.statuses.Load()
	statuses := s.core.Statuses()
	quarantined := 0
	for fp, st := range statuses {
		if !st.Quarantined {
			continue
		}
		quarantined++
		if !old[fp].Quarantined {
			klog.Warningf("quarantine: rejecting the request with fingerprint %x: upstreams crashed while they ran it", fp)
			s.rec.Record("", "quarantine.condemned", timeline.F("fingerprint", string(fp[:])))
		}
	}
	s.statuses.Store(&statuses)
	s.suspects.Set(float64(len(statuses)))
	s.quarantined.Set(float64(quarantined))
}

// queueUpdates queues updates for n random peers, or for all if there are fewer.
func (s *Service) queueUpdates(n int, updates Updates) {
	if updates.empty() {
		return
	}
	peers := *s.peers.Load()
	for _, i := range s.rng.Perm(len(peers))[:min(n, len(peers))] {
		select {
		case s.outbox <- outgoingUpdates{addr: peers[i], updates: updates}:
		default:
			s.dropped.Inc()
		}
	}
}

func (s *Service) sendLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-s.outbox:
			callCtx, cancel := context.WithTimeout(ctx, shareTimeout)
			if err := s.caller.Call(callCtx, p.addr, shareType, p.updates, nil); err != nil {
				klog.V(1).Infof("quarantine: could not send updates to %s: %v", p.addr, err)
			}
			cancel()
		}
	}
}

func (s *Service) enqueue(now time.Time, call coreCall) {
	select {
	case s.inbox <- queuedCall{at: now, call: call}:
	default:
		s.dropped.Inc()
	}
}

// SetView sets the peers of the service to the live VMs of v.
func (s *Service) SetView(v membership.View) {
	var peers []string
	for _, m := range v.Members {
		if m.VM != s.cfg.VM && m.Status == membership.Alive && m.Router != "" {
			peers = append(peers, m.Router)
		}
	}
	s.peers.Store(&peers)
}

// Register adds the handler of the quarantine.share peer message.
func (s *Service) Register(m peer.Mux) {
	m.Handle(shareType, func(_ context.Context, _ peer.Identity, b peer.Body) (any, error) {
		var updates Updates
		if err := cbor.Unmarshal(b, &updates); err != nil {
			return nil, trace.Wrap(result.New(result.PeerMessageInvalid, "invalid quarantine.share body"))
		}
		s.enqueue(time.Now(), func(c *Core, now time.Time) { c.Receive(now, updates) })
		return struct{}{}, nil
	})
}

// Check returns an error for a request that may not run: Quarantined, which is
// final, or Overloaded with a retry delay while the request is on hold; see
// Status.Hold. It never blocks and does not use the time.
func (s *Service) Check(fp Fingerprint, _ time.Time) error {
	st := (*s.statuses.Load())[fp]
	if !st.Quarantined && !st.Hold {
		return nil
	}
	s.rejected.Inc()
	if st.Quarantined {
		return result.New(result.Quarantined, "runs of this request crashed their upstreams")
	}
	return result.New(result.Overloaded, "earlier runs of this request may have crashed their upstreams; it is rejected until this is known").WithRetryAfter(confirmTimeout / 10)
}

// RequiresIsolation reports whether the request is suspected and must run on an
// upstream on which this VM runs no other request. It does not use the time.
func (s *Service) RequiresIsolation(fp Fingerprint, _ time.Time) bool {
	return (*s.statuses.Load())[fp].Suspect
}

// Begin records that a run starts on an upstream with the given incarnation
// (empty if unknown). Each Begin needs one End or Cancel. It never blocks.
func (s *Service) Begin(fp Fingerprint, upstream, incarnation string, now time.Time) Token {
	t := Token(s.lastToken.Add(1))
	s.enqueue(now, func(c *Core, at time.Time) { c.Begin(at, t, fp, upstream, incarnation) })
	return t
}

// End records the end of a run. broken is true if the connection broke before
// the answer was complete, and false if the answer is complete. Runs that were
// canceled by this VM or rejected by the upstream end with Cancel. incarnation is
// the upstream's incarnation in its last response (empty if unknown). It never
// blocks.
func (s *Service) End(t Token, broken bool, incarnation string, now time.Time) {
	s.enqueue(now, func(c *Core, at time.Time) { c.End(at, t, broken, incarnation) })
}

// Cancel records that a run ended in a way that is no evidence for or against
// its request.
func (s *Service) Cancel(t Token, now time.Time) {
	s.enqueue(now, func(c *Core, at time.Time) { c.Cancel(at, t) })
}

// ObserveIncarnation records the incarnation of an upstream from a response or a
// load report. A broken connection counts as a crash only after the incarnation
// has changed.
func (s *Service) ObserveIncarnation(upstream, incarnation string, now time.Time) {
	s.enqueue(now, func(c *Core, at time.Time) { c.ObserveIncarnation(at, upstream, incarnation) })
}
