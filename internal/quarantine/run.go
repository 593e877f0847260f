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

// Config holds what the service needs to know about its process.
type Config struct {
	VM          string
	Incarnation uint64
}

const (
	shareType peer.Type = "quarantine.share"

	// inbox is the number of events that may wait for the core. When it is
	// full, events of the request path are dropped and counted: a lost mark
	// delays a verdict, a lost end is dropped after runLife.
	inboxSize = 4096
	// outbox is the number of shares that may wait to be sent; more are
	// dropped and counted, since the backlog repeats them.
	outboxSize     = 64
	tickInterval   = time.Second
	resendInterval = 10 * time.Second
	shareTimeout   = 2 * time.Second // bounds one call
	// fanOut is to how many peers a share goes; each passes on what is new.
	fanOut = 8
	// senders is how many shares are on their way at once: an unreachable peer
	// does not hold up the others.
	senderCount = 4
)

// event is a call that waits for the core.
type coreCall func(c *Core, now time.Time)

type queuedCall struct {
	at   time.Time
	call coreCall
}

type outgoingShare struct {
	addr string
	body Share
}

// Service keeps the marks of this VM and shares them with the others. Check and
// Isolate only look into a table that is replaced when a status changes.
type Service struct {
	cfg       Config
	caller    peer.Caller
	rec       timeline.Recorder
	inbox     chan queuedCall
	outbox    chan outgoingShare
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

// New returns a service; Run must be called for it to work.
func New(cfg Config, caller peer.Caller, rec timeline.Recorder, reg prometheus.Registerer) *Service {
	f := promauto.With(reg)
	s := &Service{
		cfg: cfg, caller: caller, rec: rec, core: NewCore(),
		inbox: make(chan queuedCall, inboxSize), outbox: make(chan outgoingShare, outboxSize),
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

// Run keeps the marks and shares them until ctx ends.
func (s *Service) Run(ctx context.Context) {
	var senders sync.WaitGroup
	defer senders.Wait()
	for range senderCount {
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
			s.queueShare(1, s.core.Backlog())
		}
		s.queueShare(fanOut, s.core.TakeShare())
		if s.core.TakeChanged() {
			s.publishStatuses()
		}
	}
}

// publish replaces the table that Check looks into.
func (s *Service) publishStatuses() {
	old := *s.statuses.Load()
	statuses := s.core.Statuses()
	quarantined := 0
	for fp, st := range statuses {
		if !st.Condemned {
			continue
		}
		quarantined++
		if !old[fp].Condemned {
			klog.Warningf("quarantine: a request's runs coincide with crashes, fingerprint %x", fp)
			s.rec.Record("", "quarantine.condemned", timeline.F("fingerprint", string(fp[:])))
		}
	}
	s.statuses.Store(&statuses)
	s.suspects.Set(float64(len(statuses)))
	s.quarantined.Set(float64(quarantined))
}

// sendTo queues a share for n peers, or all if there are no more.
func (s *Service) queueShare(n int, body Share) {
	if body.empty() {
		return
	}
	peers := *s.peers.Load()
	for _, i := range s.rng.Perm(len(peers))[:min(n, len(peers))] {
		select {
		case s.outbox <- outgoingShare{addr: peers[i], body: body}:
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
			if err := s.caller.Call(callCtx, p.addr, shareType, p.body, nil); err != nil {
				klog.V(1).Infof("quarantine: a share did not reach %s: %v", p.addr, err)
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

// SetView tells the service which VMs live.
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
		var body Share
		if err := cbor.Unmarshal(b, &body); err != nil {
			return nil, trace.Wrap(result.New(result.PeerFrame, "a bad quarantine.share"))
		}
		s.enqueue(time.Now(), func(c *Core, now time.Time) { c.Receive(now, body) })
		return struct{}{}, nil
	})
}

// Check returns an error for a request that may not run: Quarantined, which is
// final, or Overloaded with a time to come back while it is not yet known
// whether its last runs crashed their upstreams. It never waits.
func (s *Service) Check(fp Fingerprint, _ time.Time) error {
	st := (*s.statuses.Load())[fp]
	if !st.Condemned && !st.Hold {
		return nil
	}
	s.rejected.Inc()
	if st.Condemned {
		return result.New(result.Quarantined, "runs of this request crashed their upstreams")
	}
	return result.New(result.Overloaded, "an earlier run of this request broke off").WithRetryAfter(confirmTimeout / 10)
}

// Isolate reports whether the request is under suspicion and has to run on an
// upstream where this VM runs nothing else.
func (s *Service) Isolate(fp Fingerprint, _ time.Time) bool {
	return (*s.statuses.Load())[fp].Suspect
}

// Begin notes that a run starts on an upstream of the given incarnation (empty
// if unknown). Each Begin needs one End. It never waits.
func (s *Service) Begin(fp Fingerprint, upstream, incarnation string, now time.Time) Token {
	t := Token(s.lastToken.Add(1))
	s.enqueue(now, func(c *Core, at time.Time) { c.Begin(at, t, fp, upstream, incarnation) })
	return t
}

// End notes the end of a run. Crashed is true when the connection broke before
// the answer was whole, and false when the answer was whole; a run that was
// cancelled here, or refused by the upstream, ends with Cancel. Incarnation is
// the upstream's as last seen in a response (empty if unknown). It never waits.
func (s *Service) End(t Token, broken bool, incarnation string, now time.Time) {
	s.enqueue(now, func(c *Core, at time.Time) { c.End(at, t, broken, incarnation) })
}

// Cancel notes that a run ended without saying anything about its request.
func (s *Service) Cancel(t Token, now time.Time) {
	s.enqueue(now, func(c *Core, at time.Time) { c.Cancel(at, t) })
}

// Seen notes an upstream's incarnation as told by a response or a load report;
// a broken connection counts as a crash only once the incarnation has changed.
func (s *Service) Seen(upstream, incarnation string, now time.Time) {
	s.enqueue(now, func(c *Core, at time.Time) { c.Seen(at, upstream, incarnation) })
}
