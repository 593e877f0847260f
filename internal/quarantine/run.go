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
	inbox = 4096
	// outbox is the number of shares that may wait to be sent; more are
	// dropped and counted, since the backlog repeats them.
	outbox      = 64
	tickTime    = time.Second
	backlogTime = 10 * time.Second
	shareTime   = 2 * time.Second // bounds one call
	// fanOut is to how many peers a share goes; each passes on what is new.
	fanOut = 8
	// senders is how many shares are on their way at once: an unreachable peer
	// does not hold up the others.
	senders = 4
)

// event is a call that waits for the core.
type event func(c *Core, now time.Time)

type envelope struct {
	at time.Time
	do event
}

type parcel struct {
	addr string
	body Share
}

// Service keeps the marks of this VM and shares them with the others. Check and
// Isolate only look into a table that is replaced when a status changes.
type Service struct {
	cfg    Config
	caller peer.Caller
	rec    timeline.Recorder
	in     chan envelope
	out    chan parcel
	next   atomic.Uint64
	table  atomic.Pointer[map[Fingerprint]Status]
	peers  atomic.Pointer[[]string]

	dropped   prometheus.Counter
	refused   prometheus.Counter
	suspects  prometheus.Gauge
	condemned prometheus.Gauge

	// Owned by the goroutine of Run.
	core *Core
	rng  *rand.Rand
}

// New returns a service; Run must be called for it to work.
func New(cfg Config, caller peer.Caller, rec timeline.Recorder, reg prometheus.Registerer) *Service {
	f := promauto.With(reg)
	s := &Service{
		cfg: cfg, caller: caller, rec: rec, core: NewCore(),
		in: make(chan envelope, inbox), out: make(chan parcel, outbox),
		rng: rand.New(rand.NewPCG(cfg.Incarnation, 0)),
		dropped: f.NewCounter(prometheus.CounterOpts{
			Name: "pier_quarantine_dropped_total", Help: "Events and shares dropped because a queue was full.",
		}),
		refused: f.NewCounter(prometheus.CounterOpts{
			Name: "pier_quarantine_refused_total", Help: "Requests refused as quarantined or held.",
		}),
		suspects: f.NewGauge(prometheus.GaugeOpts{
			Name: "pier_quarantine_suspects", Help: "Fingerprints under suspicion.",
		}),
		condemned: f.NewGauge(prometheus.GaugeOpts{
			Name: "pier_quarantine_condemned", Help: "Fingerprints in quarantine.",
		}),
	}
	s.table.Store(&map[Fingerprint]Status{})
	s.peers.Store(&[]string{})
	return s
}

// Run keeps the marks and shares them until ctx ends.
func (s *Service) Run(ctx context.Context) {
	var sending sync.WaitGroup
	defer sending.Wait()
	for range senders {
		sending.Go(func() { s.sendAll(ctx) })
	}
	tick := time.NewTicker(tickTime)
	defer tick.Stop()
	backlog := time.NewTicker(backlogTime)
	defer backlog.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-s.in:
			e.do(s.core, e.at)
		case now := <-tick.C:
			s.core.Tick(now)
		case <-backlog.C:
			s.sendTo(1, s.core.RecentMarks())
		}
		s.sendTo(fanOut, s.core.TakeShare())
		if s.core.TakeChanged() {
			s.publish()
		}
	}
}

// publish replaces the table that Check looks into.
func (s *Service) publish() {
	old := *s.table.Load()
	table := s.core.Statuses()
	condemned := 0
	for fp, st := range table {
		if !st.Quarantined {
			continue
		}
		condemned++
		if !old[fp].Quarantined {
			klog.Warningf("quarantine: a request's runs coincide with crashes, fingerprint %x", fp)
			s.rec.Record("", "quarantine.condemned", timeline.F("fingerprint", string(fp[:])))
		}
	}
	s.table.Store(&table)
	s.suspects.Set(float64(len(table)))
	s.condemned.Set(float64(condemned))
}

// sendTo queues a share for n peers, or all if there are no more.
func (s *Service) sendTo(n int, body Share) {
	if body.empty() {
		return
	}
	peers := *s.peers.Load()
	for _, i := range s.rng.Perm(len(peers))[:min(n, len(peers))] {
		select {
		case s.out <- parcel{addr: peers[i], body: body}:
		default:
			s.dropped.Inc()
		}
	}
}

func (s *Service) sendAll(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-s.out:
			one, cancel := context.WithTimeout(ctx, shareTime)
			if err := s.caller.Call(one, p.addr, shareType, p.body, nil); err != nil {
				klog.V(1).Infof("quarantine: a share did not reach %s: %v", p.addr, err)
			}
			cancel()
		}
	}
}

func (s *Service) post(now time.Time, do event) {
	select {
	case s.in <- envelope{at: now, do: do}:
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
		s.post(time.Now(), func(c *Core, now time.Time) { c.Receive(now, body) })
		return struct{}{}, nil
	})
}

// Check returns an error for a request that may not run: Quarantined, which is
// final, or Overloaded with a time to come back while it is not yet known
// whether its last runs crashed their upstreams. It never waits.
func (s *Service) Check(fp Fingerprint, _ time.Time) error {
	st := (*s.table.Load())[fp]
	if !st.Quarantined && !st.Hold {
		return nil
	}
	s.refused.Inc()
	if st.Quarantined {
		return result.New(result.Quarantined, "runs of this request crashed their upstreams")
	}
	return result.New(result.Overloaded, "an earlier run of this request broke off").WithRetryAfter(confirmTime / 10)
}

// Isolate reports whether the request is under suspicion and has to run on an
// upstream where this VM runs nothing else.
func (s *Service) RequiresIsolation(fp Fingerprint, _ time.Time) bool {
	return (*s.table.Load())[fp].Suspect
}

// Begin notes that a run starts on an upstream of the given incarnation (empty
// if unknown). Each Begin needs one End. It never waits.
func (s *Service) Begin(fp Fingerprint, upstream, incarnation string, now time.Time) Token {
	t := Token(s.next.Add(1))
	s.post(now, func(c *Core, at time.Time) { c.Begin(at, t, fp, upstream, incarnation) })
	return t
}

// End notes the end of a run. Crashed is true when the connection broke before
// the answer was whole, and false when the answer was whole; a run that was
// cancelled here, or refused by the upstream, ends with Cancel. Incarnation is
// the upstream's as last seen in a response (empty if unknown). It never waits.
func (s *Service) End(t Token, crashed bool, incarnation string, now time.Time) {
	s.post(now, func(c *Core, at time.Time) { c.End(at, t, crashed, incarnation) })
}

// Cancel notes that a run ended without saying anything about its request.
func (s *Service) Cancel(t Token, now time.Time) {
	s.post(now, func(c *Core, at time.Time) { c.Cancel(at, t) })
}

// Seen notes an upstream's incarnation as told by a response or a load report;
// a broken connection counts as a crash only once the incarnation has changed.
func (s *Service) ObserveIncarnation(upstream, incarnation string, now time.Time) {
	s.post(now, func(c *Core, at time.Time) { c.ObserveIncarnation(at, upstream, incarnation) })
}
