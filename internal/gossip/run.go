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
	datagramMost = 1350
	// loadsMost bounds the upstreams that one datagram tells of.
	loadsMost = 24
	// beatTime is the longest pause between two datagrams: the proof that nothing
	// of the store is missing has to reach all VMs within a second.
	beatTime = 250 * time.Millisecond
	// loadTime is the pause while this VM has requests in progress.
	loadTime = 100 * time.Millisecond
	// fanOut is how many VMs one round tells.
	fanOut = 12
	// membersEvery is the pause between rounds that tell of other members, and
	// membersFirst the same while the VM has only just started.
	membersEvery = time.Second
	membersFirst = 400 * time.Millisecond
	settleTime   = 15 * time.Second
)

// Sources are what a datagram is made of and who takes what arrives.
type Callbacks struct {
	Loads       func(most int) []fleet.Load
	RollOuts    func(now time.Time) []canary.Report
	Config      func() uint64
	Disconnects func(now time.Time) []poison.Disconnect
	// View is what this VM knows of the store; nil while that is nothing.
	Digest func(now time.Time) *relay.Digest
	// Heard takes the other VM's part of a datagram.
	OnMessage func(now time.Time, m Message)
	// Changed is told the known VMs and the live starts after each round.
	OnMembership func(now time.Time, known []string, live map[string]bool)
	// StartName names one start of a VM.
	StartName func(Member) string
}

// Service sends and receives the datagrams.
type Service struct {
	mu      sync.Mutex // guards core
	core    *Core
	self    Member
	sources Callbacks
	conn    *net.UDPConn
}

// New returns a service that listens on the member's own address.
func New(self Member, seeds []string, sources Callbacks) (*Service, error) {
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
		s.core.Receive(now, m)
		s.mu.Unlock()
		s.sources.OnMessage(now, m)
	}
}

// send tells the others, often while there is something to tell.
func (s *Service) send(ctx context.Context) {
	tick := time.NewTicker(loadTime)
	defer tick.Stop()
	var last, members time.Time
	began := time.Now()
	busy := false
	s.round(began, nil, false) // the others tell at once what they know
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		loads := s.sources.Loads(loadsMost)
		// One more datagram after the last request says that nothing is left.
		every := membersEvery
		if now.Sub(began) < settleTime {
			every = membersFirst
		}
		due := len(loads) > 0 || busy || now.Sub(last) >= beatTime || s.greets()
		busy = len(loads) > 0
		if !due {
			continue
		}
		tell := now.Sub(members) >= every
		if tell {
			members = now
		}
		last = now
		s.round(now, loads, tell)
	}
}

func (s *Service) greets() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.HasNewPeers()
}

// round sends one datagram to each target.
func (s *Service) round(now time.Time, loads []fleet.Load, members bool) {
	m := Message{From: s.self, Loads: loads, Config: s.sources.Config(), Digest: s.sources.Digest(now)}
	s.mu.Lock()
	if members {
		m.Members = s.core.Members(now)
	}
	targets := s.core.Targets(now, fanOut)
	known := s.core.Known()
	starts := s.core.LiveStarts(now, s.sources.StartName)
	s.mu.Unlock()
	s.sources.OnMembership(now, known, starts)
	if members {
		m.RollOuts = s.sources.RollOuts(now)
		m.Disconnects = s.sources.Disconnects(now)
	}
	raw := encode(m)
	for _, t := range targets {
		address, err := net.ResolveUDPAddr("udp", t)
		if err != nil {
			klog.InfoS("gossip: address not valid", "address", t, "err", logs.Err(err))
			continue
		}
		if _, err := s.conn.WriteToUDP(raw, address); err != nil {
			klog.V(1).InfoS("gossip: datagram not sent", "to", t, "err", logs.Err(err))
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
		case len(raw) <= datagramMost:
			return raw
		case len(m.Disconnects) > 0:
			m.Disconnects = m.Disconnects[:len(m.Disconnects)/2]
		case len(m.Members) > 0:
			m.Members = m.Members[:len(m.Members)/2]
		case len(m.Loads) > 0:
			m.Loads = m.Loads[:len(m.Loads)/2]
		default:
			return raw
		}
	}
}
