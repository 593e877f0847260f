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
	// maxDatagramSize limits a datagram in bytes. It is below the usual MTU.
	maxDatagramSize = 1350
	// maxLoads limits the upstreams in one datagram.
	maxLoads = 24
	// heartbeatInterval is the interval after which a VM without requests in flight
	// sends the next datagram; it is checked every busyInterval. It is short because
	// the confirmation that the copy of the store is complete must reach all VMs
	// within a second.
	heartbeatInterval = 250 * time.Millisecond
	// busyInterval is the interval while this VM has requests in flight or a new VM
	// waits for this VM's state.
	busyInterval = 100 * time.Millisecond
	// minGreetInterval is the minimum time after a round before a new VM receives this
	// VM's state out of turn.
	minGreetInterval = 20 * time.Millisecond
	// maxLiveTargets limits the live VMs that receive a datagram in one round. New
	// VMs and seeds are added to them.
	maxLiveTargets = 12
	// membersInterval is the interval between rounds whose datagrams also contain
	// members, roll-outs and suspects. It is fastMembersInterval during
	// the fastMembersPeriod after the start.
	membersInterval     = time.Second
	fastMembersInterval = 400 * time.Millisecond
	fastMembersPeriod   = 15 * time.Second
	// urgentInterval replaces membersInterval while Callbacks.IsUrgent is true.
	urgentInterval = 200 * time.Millisecond
)

// Callbacks provide the contents of datagrams and receive messages and the current
// membership.
type Callbacks struct {
	Loads    func(limit int) []fleet.VMLoad
	RollOuts func(now time.Time) []canary.Report
	// IsUrgent reports whether the reports of roll-outs and the suspects should be
	// sent more often.
	IsUrgent      func(now time.Time) bool
	ConfigVersion func() uint64
	Suspects      func(now time.Time) []poison.Suspect
	// PeerAppeared is called when a VM has appeared that knows no suspects.
	PeerAppeared func()
	Departures   func(now time.Time) []fleet.Departure
	// Unreachable returns the services of which this VM reaches no upstream.
	Unreachable func() []string
	// Stopping reports whether this VM is about to stop.
	Stopping func() bool
	Brittle  func(now time.Time) []fleet.BrittleReport
	Limits   func(now time.Time) []fleet.LimitReport
	// PrefillTimes and CallTimes return this VM's own estimates of how fast models and plain
	// upstreams are.
	PrefillTimes func() []fleet.PrefillReport
	CallTimes    func(now time.Time) []fleet.CallTimeReport
	// Digest returns the digest of this VM's copy of the store; nil before the copy
	// was first confirmed.
	Digest func(now time.Time) *relay.Digest
	// StoreTrouble returns the time since a VM of this zone last tried to read the
	// store without success, or false if none did lately.
	StoreTrouble func(now time.Time) (time.Duration, bool)
	// OnMessage is called with each message from another VM.
	OnMessage func(now time.Time, m Message)
	// OnMembership is called in each round with members, with the known VMs and the names of the
	// live VMs' incarnations.
	OnMembership func(now time.Time, known []string, live map[string]bool)
	// IncarnationName returns a name that identifies one incarnation of a VM.
	IncarnationName func(Member) string
}

// Service sends and receives datagrams.
type Service struct {
	mu        sync.Mutex // guards core
	core      *Core
	self      Member
	callbacks Callbacks
	conn      *net.UDPConn
	// wake is signaled when a new VM waits for this VM's state.
	wake chan struct{}
}

// New returns a service that listens on the address of self.
func New(self Member, seeds []string, callbacks Callbacks) (*Service, error) {
	address, err := net.ResolveUDPAddr("udp", self.Address)
	if err != nil {
		return nil, trace.Wrap(result.New(result.SettingsInvalid, "cannot resolve the listen address for peers: %v", err))
	}
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, trace.Wrap(result.New(result.AddressInUse, "cannot listen on %s: %v", self.Address, err))
	}
	return &Service{core: NewCore(self, seeds), self: self, callbacks: callbacks, conn: conn, wake: make(chan struct{}, 1)}, nil
}

// Run sends and receives until ctx ends.
func (s *Service) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() }) // unblocks the receiver
	defer stop()
	var wait sync.WaitGroup
	wait.Go(s.receive)
	s.send(ctx)
	wait.Wait()
}

// SetSeeds replaces the seed addresses, which receive datagrams until a live VM
// with that address is known.
func (s *Service) SetSeeds(seeds []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.SetSeeds(seeds)
}

// LiveInZone returns the names of the live VMs in this VM's availability zone,
// including this VM, and the number of zones that have live VMs.
func (s *Service) LiveInZone() (names []string, zones int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.LiveInZone(time.Now())
}

func (s *Service) receive() {
	buf := make([]byte, 64<<10)
	for {
		n, _, err := s.conn.ReadFromUDP(buf)
		if err != nil { // also when Run ends, which closes the socket
			klog.InfoS("gossip: cannot read from the socket; no more datagrams are received", "err", logs.Err(err))
			return
		}
		var m Message
		if err := cbor.Unmarshal(buf[:n], &m); err != nil {
			klog.InfoS("gossip: datagram ignored because it cannot be decoded", "bytes", n, "err", logs.Err(err))
			continue
		}
		if m.From.Name == s.self.Name {
			continue
		}
		now := time.Now()
		s.mu.Lock()
		s.core.Receive(now, m)
		hasNewPeers := s.core.HasNewPeers()
		s.mu.Unlock()
		if hasNewPeers {
			select {
			case s.wake <- struct{}{}:
			default: // already signaled
			}
		}
		s.callbacks.OnMessage(now, m)
	}
}

// send sends datagrams until ctx ends: every busyInterval while requests are in
// flight, otherwise every heartbeatInterval, and soon when a new VM waits for this
// VM's state.
func (s *Service) send(ctx context.Context) {
	tick := time.NewTicker(busyInterval)
	defer tick.Stop()
	var lastSent, lastMembers time.Time
	startedAt := time.Now()
	busy := false
	s.round(startedAt, nil, false, false) // makes the other VMs send their state early; see Core.HasNewPeers
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-s.wake:
			if time.Since(lastSent) < minGreetInterval {
				continue // the next tick sends the state
			}
		}
		now := time.Now()
		loads := s.callbacks.Loads(maxLoads)
		interval := s.membersInterval(now, startedAt)
		// After the last request, busy causes one more datagram, which shows that no
		// request is in flight.
		newPeers := s.hasNewPeers()
		due := len(loads) > 0 || busy || now.Sub(lastSent) >= min(heartbeatInterval, interval) || newPeers
		busy = len(loads) > 0
		if !due {
			continue
		}
		withMembers := now.Sub(lastMembers) >= interval
		if withMembers {
			lastMembers = now
		}
		lastSent = now
		if newPeers {
			s.callbacks.PeerAppeared()
		}
		s.round(now, loads, withMembers, newPeers)
	}
}

// membersInterval returns the current interval between rounds with members.
func (s *Service) membersInterval(now, startedAt time.Time) time.Duration {
	switch {
	case s.callbacks.IsUrgent(now):
		return urgentInterval
	case now.Sub(startedAt) < fastMembersPeriod:
		return fastMembersInterval
	}
	return membersInterval
}

func (s *Service) hasNewPeers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.HasNewPeers()
}

// round sends one datagram to each target. With withMembers, the datagram also
// contains members and roll-outs. With that or newPeers, suspects follow in one of their
// own: they must not displace the rest, nor the rest them.
func (s *Service) round(now time.Time, loads []fleet.VMLoad, withMembers, newPeers bool) {
	m := Message{
		From: s.self, Loads: loads, ConfigVersion: s.callbacks.ConfigVersion(), Digest: s.callbacks.Digest(now),
		Departures: s.callbacks.Departures(now), Unreachable: s.callbacks.Unreachable(), Stopping: s.callbacks.Stopping(),
		Brittle: s.callbacks.Brittle(now), Limits: s.callbacks.Limits(now),
	}
	if age, ok := s.callbacks.StoreTrouble(now); ok {
		m.StoreTroubleMS = max(age.Milliseconds(), 1)
	}
	s.mu.Lock()
	if withMembers {
		m.Members = s.core.NextMembers(now)
	}
	targets := s.core.NextTargets(now, maxLiveTargets)
	s.mu.Unlock()
	if withMembers {
		s.reportMembership(now)
		m.RollOuts = s.callbacks.RollOuts(now)
	}
	if withMembers || newPeers {
		m.PrefillTimes, m.CallTimes = s.callbacks.PrefillTimes(), s.callbacks.CallTimes(now)
		if suspects := s.callbacks.Suspects(now); len(suspects) > 0 {
			s.sendTo(targets, Message{From: s.self, Suspects: suspects, Unreachable: m.Unreachable, Stopping: m.Stopping})
		}
	}
	s.sendTo(targets, m)
}

// sendTo sends a message to each target.
func (s *Service) sendTo(targets []string, m Message) {
	raw := encode(m)
	for _, target := range targets {
		address, err := net.ResolveUDPAddr("udp", target)
		if err != nil {
			klog.InfoS("gossip: cannot resolve a target's address; datagram not sent", "address", target, "err", logs.Err(err))
			continue
		}
		if _, err := s.conn.WriteToUDP(raw, address); err != nil {
			klog.V(1).InfoS("gossip: datagram not sent", "to", target, "err", logs.Err(err))
		}
	}
}

// encode encodes a message. While the datagram is too long, it drops the estimates of call
// times, then of prefill times, and halves the departures, then the suspects, the relayed counters of roll-outs, the members,
// the loads and the brittle services; a later datagram can carry the dropped entries. If the datagram is
// still too long without them, it is returned as it is.
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
		case len(m.CallTimes) > 0:
			m.CallTimes = nil
		case len(m.PrefillTimes) > 0:
			m.PrefillTimes = nil
		case len(m.Departures) > 0:
			m.Departures = m.Departures[:len(m.Departures)/2]
		case len(m.Suspects) > 0:
			m.Suspects = m.Suspects[:len(m.Suspects)/2]
		case shortenReports(m.RollOuts):
		case len(m.Members) > 0:
			m.Members = m.Members[:len(m.Members)/2]
		case len(m.Loads) > 0:
			m.Loads = m.Loads[:len(m.Loads)/2]
		case len(m.Limits) > 0:
			m.Limits = m.Limits[:len(m.Limits)/2]
		case len(m.Brittle) > 0:
			m.Brittle = m.Brittle[:len(m.Brittle)/2]
		default:
			return raw
		}
	}
}

// reportMembership passes the current membership to the callback.
func (s *Service) reportMembership(now time.Time) {
	s.mu.Lock()
	known := s.core.Known()
	liveIncarnations := s.core.LiveIncarnations(now, s.callbacks.IncarnationName)
	s.mu.Unlock()
	s.callbacks.OnMembership(now, known, liveIncarnations)
}

// shortenReports shortens the reports of roll-outs and reports whether any of them
// became shorter.
func shortenReports(reports []canary.Report) bool {
	shorter := false
	for i := range reports {
		shorter = reports[i].Shorten() || shorter
	}
	return shorter
}
