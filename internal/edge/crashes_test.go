package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cranberrypier/cranberrypier/internal/exchange"
	"github.com/cranberrypier/cranberrypier/internal/fleet"
	"github.com/cranberrypier/cranberrypier/internal/poison"
	"github.com/cranberrypier/cranberrypier/internal/routing"
)

// Guards against a VM that takes the loss of its own links for crashes of all
// upstreams.
func TestLostLinksAreTakenForCrashes(t *testing.T) {
	s := &Proxy{fleet: fleet.New(fleet.Config{}), poison: poison.New("vm"), forwarder: newForwarder("vm", "a", nil)}
	a := &attempt{
		pick: &fleet.Pick{Upstream: fleet.Upstream{ID: "u1", Incarnation: 1}}, state: &requestState{proxy: s, req: &exchange.Request{Service: &routing.Service{Name: "x"}}},
	}
	now := time.Now()
	s.poison.Broken(now, poison.Run{Upstream: "u1", Incarnation: 1, Keys: []poison.Key{2}, BeganAt: now, EndedAt: now})
	s.forwarder.reach.Failed(now, "x", "u1", 3)
	s.forwarder.reach.Failed(now, "x", "u2", 3)
	s.confirmCrash(now, a)
	assert.Empty(t, s.poison.Share(now), "no crash is known")
	s.recordContact("x", now.Add(time.Millisecond))
	s.confirmCrash(now, a)
	assert.NotEmpty(t, s.poison.Share(now))
}
