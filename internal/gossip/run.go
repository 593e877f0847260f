package gossip

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/canary"
	"github.com/cranberrypier/cranberrypier/internal/fleet"
	"github.com/cranberrypier/cranberrypier/internal/logs"
	"github.com/cranberrypier/cranberrypier/internal/poison"
	"github.com/cranberrypier/cranberrypier/internal/relay"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

const (
	// datagramMost bounds a datagram in bytes, below the usual packet size.
	maxDatagramSize = 1350
	// loadsMost bounds the upstreams that one datagram tells of.
	maxLoads = 24
	// beatTime is the longest pause between two datagrams: the proof that nothing
	// of the store is missing has to reach all VMs within a second.
	heartbeatInterval = 250 * time.Millisecond
	// loadTime is the pause while this VM has requests in progress.
	loadInterval = 100 * time.Millisecond
	// fanOut is how many VMs one round tells.
	fanOut = 12
	// membersEvery is the pause between rounds that tell of other members, and
	// membersFirst the same while the VM has only just started.
	membersInterval        = time.Second
	startupMembersInterval = 400 * time.Millisecond
	startupWindow          = 15 * time.Second
)

// Sources are what a datagram is made of and who takes what arrives.
type Sources struct {
	Loads    func(limit int) []fleet.Load
	RollOuts func(now time.Time) []canary.Report
	Config   func() uint64
	Crashes  func(now time.Time) []poison.Mark
	// View is what this VM knows of the store; nil while that is nothing.
	View func(now time.Time) *relay.Digest
	// Heard takes the other VM's part of a datagram.
	Heard func(now time.Time, m Message)
	// Changed is told the known VMs and the live starts after each round.
	Changed func(now time.Time, known []string, live map[string]bool)
	// StartName names one start of a VM.
	StartName func(Member) string
}

// Service sends and receives the datagrams.
type Service struct {
	mu      sync.Mutex // guards core
	core    *Core
	self    Member
	sources Sources
	conn    *net.UDPConn
}

// New returns a service that listens on the member's own address.
func New(self Member, seeds []string, sources Sources) (*Service, error) {
	address, err := net.ResolveUDPAddr("udp", self.Address)
	if err != nil {
		return nil, trace.Wrap(result.New(result.SettingsInvalid, "the peers' address is not valid: %v", err))
	}
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, trace.Wrap(result.New(result.AddressInUse, "cannot listen on %s: %v", self.Address, err))
	}
	return &Service{core: NewCore(self, seeds), self: self, sources: sources, conn: conn}, nil
}

// Run sends and receives until ctx ends.
func (s *Service) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() }) // ends the receiver
	defer stop()
	var wait sync.WaitGroup
	wait.Go(s.receive)
	s.send(ctx)
	wait.Wait()
}

// SetSeeds replaces the addresses that are told when they are not known to live.
func (s *Service) SetSeeds(seeds []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.SetSeeds(seeds)
}

// Zone lists the live VMs of this VM's availability zone, this one among them.
func (s *Service) Zone() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Zone(time.Now())
}

func (s *Service) receive() {
	buf := make([]byte, 64<<10)
	for {
		n, _, err := s.conn.ReadFromUDP(buf)
		if err != nil {
			klog.InfoS("gossip: receiver ended", "err", logs.Err(err))
			return
		}
		var m Message
		if err := cbor.Unmarshal(buf[:n], &m); err != nil {
			klog.InfoS("gossip: datagram ignored", "bytes", n, "err", logs.Err(err))
			continue
		}
		if m.From.Name == s.self.Name {
			continue
		}
		now := time.Now()
		s.mu.Lock()
		s.core.Heard(now, m)
		s.mu.Unlock()
		s.sources.Heard(now, m)
	}
}

// send tells the others, often while there is something to tell.
func (s *Service) send(ctx context.Context) {
	tick := time.NewTicker(loadInterval)
	defer tick.Stop()
	var lastSent, lastMembers time.Time
	startedAt := time.Now()
	busy := false
	s.round(startedAt, nil, false) // the others tell at once what they know
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		loads := s.sources.Loads(maxLoads)
		// One more datagram after the last request says that nothing is left.
		interval := membersInterval
		if now.Sub(startedAt) < startupWindow {
			interval = startupMembersInterval
		}
		due := len(loads) > 0 || busy || now.Sub(lastSent) >= heartbeatInterval || s.hasNewPeers()
		busy = len(loads) > 0
		if !due {
			continue
		}
		withMembers := now.Sub(lastMembers) >= interval
		if withMembers {
			lastMembers = now
		}
		lastSent = now
		s.round(now, loads, withMembers)
	}
}

func (s *Service) hasNewPeers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Greet()
}

// round sends one datagram to each target.
func (s *Service) round(now time.Time, loads []fleet.Load, withMembers bool) {
	m := Message{From: s.self, Loads: loads, Config: s.sources.Config(), View: s.sources.View(now)}
	s.mu.Lock()
	if withMembers {
		m.Members = s.core.Members(now)
	}
	targets := s.core.Targets(now, fanOut)
	known := s.core.Known()
	starts := s.core.LiveStarts(now, s.sources.StartName)
	s.mu.Unlock()
	s.sources.Changed(now, known, starts)
	if withMembers {
		m.RollOuts = s.sources.RollOuts(now)
		m.Crashes = s.sources.Crashes(now)
	}
	raw := encode(m)
	for _, target := range targets {
		address, err := net.ResolveUDPAddr("udp", target)
		if err != nil {
			klog.InfoS("gossip: address not valid", "address", target, "err", logs.Err(err))
			continue
		}
		if _, err := s.conn.WriteToUDP(raw, address); err != nil {
			klog.V(1).InfoS("gossip: datagram not sent", "to", target, "err", logs.Err(err))
		}
	}
}

// encode drops what can wait when a datagram would get too long.
func encode(m Message) []byte {
	for {
		raw, err := cbor.Marshal(m)
		if err != nil {
			klog.ErrorS(err, "gossip: datagram not encoded")
			return nil
		}
		switch {
		case len(raw) <= maxDatagramSize:
			return raw
		case len(m.Crashes) > 0:
			m.Crashes = m.Crashes[:len(m.Crashes)/2]
		case len(m.Members) > 0:
			m.Members = m.Members[:len(m.Members)/2]
		case len(m.Loads) > 0:
			m.Loads = m.Loads[:len(m.Loads)/2]
		default:
			return raw
		}
	}
}
