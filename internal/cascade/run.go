package cascade

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/peer"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"
)

// TypeExchange is the peer message that exchanges counters. Request and answer
// are both of type Exchange.
const TypeExchange peer.Type = "cascade.exchange"

const (
	// exchangeInterval is the time between exchanges with one random peer.
	exchangeInterval = 5 * time.Second
	// maxEntries bounds the entries of one message; an entry takes about 200
	// bytes.
	maxEntries = 256
)

// Exchange contains the sender's digest and the entries that the receiver lacks.
// A digest holds only the highest sequence of each origin, so a receiver must get
// an origin's entries in order and without gaps. A sender therefore needs the
// receiver's digest first, and an exchange takes two calls: the first sends only a
// digest and fetches entries, the second sends entries.
type Exchange struct {
	Digest  Digest  `cbor:"1,keyasint"`
	Entries []Entry `cbor:"2,keyasint"`
}

// Service plans steps. Its methods are safe for concurrent use. A mutex guards
// the core and the view; it is not held during calls to peers.
type Service struct {
	vm    string
	peers peer.Caller

	mu   sync.Mutex
	core *Core
	view membership.View

	steps *prometheus.CounterVec
	bad   *prometheus.GaugeVec
}

// New returns the service of one VM. The origin identifies the VM's counters and
// must differ after each restart of the process. The argument peers may be nil for
// a VM without peers; reg may be nil too.
func New(vm, origin string, peers peer.Caller, reg prometheus.Registerer) *Service {
	s := &Service{
		vm: vm, peers: peers, core: NewCore(origin),
		steps: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pier_cascade_steps_total", Help: "Planned steps by model and reason.",
		}, []string{"model", "reason"}),
		bad: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "pier_cascade_bad", Help: "1 while a version is avoided for its ratings.",
		}, []string{"model", "version"}),
	}
	if reg != nil {
		reg.MustRegister(s.steps, s.bad)
	}
	return s
}

// Plan returns the next step of a request.
func (s *Service) Plan(r Request) Step {
	s.mu.Lock()
	step := s.core.Plan(r, time.Now())
	s.mu.Unlock()
	if step.Index >= 0 {
		s.steps.WithLabelValues(r.Options[step.Index].Model, step.Reason).Inc()
	}
	return step
}

// AddRating adds one rating.
func (s *Service) AddRating(r Rating) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.AddRating(r, time.Now())
}

// RecordDuration records how long a complete answer of a version took.
func (s *Service) RecordDuration(model, version string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.RecordDuration(VersionKey{model, version}, d)
}

// Health returns the health of each version by its ratings, for roll-outs.
func (s *Service) Health() []Health {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Health(time.Now())
}

// SetView applies a membership view. Peers are chosen from its members.
func (s *Service) SetView(v membership.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view = v
}

// Register installs the handler of the peer message TypeExchange.
func (s *Service) Register(m peer.Mux) {
	m.Handle(TypeExchange, func(_ context.Context, _ peer.Identity, body peer.Body) (any, error) {
		var in Exchange
		if err := cbor.Unmarshal(body, &in); err != nil {
			return nil, result.New(result.PeerMessageInvalid, "decode cascade exchange: %v", err)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.core.Merge(in.Entries, time.Now())
		return Exchange{Digest: s.core.Digest(), Entries: s.core.NewerEntries(in.Digest, maxEntries)}, nil
	})
}

// Run exchanges counters until ctx ends.
func (s *Service) Run(ctx context.Context) {
	t := time.NewTicker(exchangeInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.exchangeWithPeer(ctx)
			s.evictAndReport()
		}
	}
}

// exchangeWithPeer exchanges counters with one random peer: it fetches the entries
// that this VM lacks, then sends those that the peer lacks.
func (s *Service) exchangeWithPeer(ctx context.Context) {
	addr := s.peerAddress()
	if addr == "" {
		return
	}
	s.mu.Lock()
	out := Exchange{Digest: s.core.Digest()}
	s.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, exchangeInterval/2)
	defer cancel()
	var in Exchange
	if err := s.peers.Call(callCtx, addr, TypeExchange, out, &in); err != nil {
		klog.V(2).Infof("cascade: fetching counters from %s failed: %v", addr, err)
		return
	}
	s.mu.Lock()
	s.core.Merge(in.Entries, time.Now())
	out = Exchange{Digest: s.core.Digest(), Entries: s.core.NewerEntries(in.Digest, maxEntries)}
	s.mu.Unlock()
	if len(out.Entries) == 0 {
		return
	}
	if err := s.peers.Call(callCtx, addr, TypeExchange, out, nil); err != nil {
		klog.V(2).Infof("cascade: sending counters to %s failed: %v", addr, err)
	}
}

func (s *Service) peerAddress() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peers == nil {
		return ""
	}
	var live []string
	for _, m := range s.view.Members {
		if m.VM != s.vm && m.Status == membership.Alive && m.Router != "" {
			live = append(live, m.Router)
		}
	}
	if len(live) == 0 {
		return ""
	}
	return live[rand.IntN(len(live))]
}

func (s *Service) evictAndReport() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.core.EvictDecayed(now)
	for _, h := range s.core.Health(now) {
		v := 0.0
		if h.Bad {
			v = 1
		}
		s.bad.WithLabelValues(h.Model, h.Version).Set(v)
	}
}
