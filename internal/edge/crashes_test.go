package edge

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cranberrypier/cranberrypier/internal/exchange"
	"github.com/cranberrypier/cranberrypier/internal/fleet"
	"github.com/cranberrypier/cranberrypier/internal/gossip"
	"github.com/cranberrypier/cranberrypier/internal/poison"
	"github.com/cranberrypier/cranberrypier/internal/routing"
)

// refusedCrash returns a proxy whose links seem to be lost, and an attempt whose upstream
// broke the connection and refuses new ones. Dialing fails with the given error.
func refusedCrash(now time.Time, dial error) (*Proxy, *attempt) {
	s := &Proxy{fleet: fleet.New(fleet.Config{}), poison: poison.New("vm"), forwarder: newForwarder("vm", "a", nil)}
	s.dialUpstream = func(context.Context, string, string) (net.Conn, error) { return nil, dial }
	a := &attempt{
		pick: &fleet.Pick{Upstream: fleet.Upstream{ID: "u1", Incarnation: 1}}, state: &requestState{proxy: s, req: &exchange.Request{Service: &routing.Service{Name: "x"}}},
	}
	s.poison.Broken(now, poison.Run{Upstream: "u1", Incarnation: 1, Keys: []poison.Key{2}, BeganAt: now, EndedAt: now})
	s.forwarder.reach.Failed(now, "x", "u1", 3)
	s.forwarder.reach.Failed(now, "x", "u2", 3)
	return s, a
}

func (s *Proxy) knowsCrashes(now time.Time) bool { return len(s.suspects(now)) > 0 }

// Guards against a VM that takes the loss of its own links for crashes of all
// upstreams.
func TestLostLinksAreTakenForCrashes(t *testing.T) {
	now := time.Now()
	s, a := refusedCrash(now, syscall.ETIMEDOUT)
	s.forwarder.recordReport(now, gossip.Message{From: gossip.Member{Name: "vm-2"}})
	s.confirmCrash(now, a)
	s.decideByPeers("x")
	assert.False(t, s.knowsCrashes(now), "another VM reaches the service")
	s.recordContact("x", now.Add(time.Millisecond))
	s.confirmCrash(now, a)
	assert.True(t, s.knowsCrashes(now))
}

// Guards against crashes that never count, because the VM had seen several refused
// connections.
func TestRefusedCrashIsDecidedLater(t *testing.T) {
	t.Run("by the upstream that others outlive", func(t *testing.T) {
		now := time.Now()
		s, a := refusedCrash(now, syscall.ECONNREFUSED)
		s.confirmCrash(now, a)
		assert.False(t, s.knowsCrashes(now))
		s.recordContact("x", now.Add(time.Millisecond))
		assert.Eventually(t, func() bool { return s.knowsCrashes(now) }, time.Second, time.Millisecond)
	})
	t.Run("by the other VMs", func(t *testing.T) {
		now := time.Now()
		s, a := refusedCrash(now, syscall.ECONNREFUSED)
		s.forwarder.recordReport(now, gossip.Message{From: gossip.Member{Name: "vm-2"}, Unreachable: []string{"x"}})
		s.confirmCrash(now, a)
		s.decideByPeers("x")
		assert.True(t, s.knowsCrashes(now))
	})
}
