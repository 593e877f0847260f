package agent

import (
	"errors"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/dig"

	"github.com/cranberrypier/cranberrypier/internal/billing"
	"github.com/cranberrypier/cranberrypier/internal/distribution"
	"github.com/cranberrypier/cranberrypier/internal/orders"
	"github.com/cranberrypier/cranberrypier/internal/peer"
	"github.com/cranberrypier/cranberrypier/internal/pki"
	"github.com/cranberrypier/cranberrypier/internal/platform"
	"github.com/cranberrypier/cranberrypier/internal/process"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/rollout"
	"github.com/cranberrypier/cranberrypier/internal/seats"
	"github.com/cranberrypier/cranberrypier/internal/settings"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
	"github.com/cranberrypier/cranberrypier/internal/upstream"
)

func provide(c *dig.Container) error {
	return errors.Join(
		c.Provide(newListeners),
		c.Provide(newProcess),
		process.Provide(c),
		c.Provide(func(p *peer.Client) peer.Caller { return p }),
		c.Provide(newPeerServer),
		c.Provide(newPeerAddress),
		c.Provide(func(cfg settings.Agent, id peer.Identity) *Hub { return NewHub(cfg.Zone, id.Incarnation) }),
		c.Provide(newDistribution),
		c.Provide(newUploader),
		c.Provide(newSeats),
		c.Provide(newRollout),
		c.Provide(newFleet),
		c.Provide(newOrders),
		c.Provide(newMembers),
		c.Provide(newOperators),
	)
}

// keepAlive is the interval of keep-alive packets on an agent's idle connections.
const keepAlive = 10 * time.Second

func newProcess(cfg settings.Agent) process.Config {
	return process.Config{
		Fleet: cfg.Fleet, VM: cfg.VM, Zone: cfg.Zone, Role: pki.RoleAgent, PeerAddress: cfg.Listen.Peer,
		// Agents call each other continuously, and each call has a timeout.
		KeepAliveInterval: keepAlive,
		TLS:               cfg.TLS, Platform: cfg.Platform, Timeline: cfg.Timeline, Faults: cfg.Faults,
	}
}

// handlers holds the components that peers and the VM's own router may call.
type handlers struct {
	dig.In

	Hub          *Hub
	Log          *timeline.Log
	Distribution *distribution.Runner
	Uploader     *billing.Uploader
	Rollout      *rollout.Runner
	Members      *members
}

// newPeerServer binds the peer port before the other components are created,
// because they publish the bound address to other VMs.
func newPeerServer(cfg peer.Config, keys *pki.Store) (*peer.Server, error) {
	host, err := netip.ParseAddrPort(cfg.Address)
	if err != nil || host.Addr().IsUnspecified() {
		return nil, trace.Wrap(result.New(result.SettingsInvalid, "listen.peer: %q is published to other VMs, expected the IP:port at which they reach this VM", cfg.Address))
	}
	return process.NewPeerServer(cfg, keys)
}

// peerAddress is the address at which other VMs reach this agent.
type peerAddress string

func newPeerAddress(s *peer.Server) peerAddress { return peerAddress(s.Address()) }

func newStore(cfg settings.Agent, reg prometheus.Registerer) platform.Store {
	return process.NewStore(newProcess(cfg), reg)
}

func newDistribution(cfg settings.Agent, store platform.Store, c peer.Caller, r timeline.Recorder, h *Hub, self peerAddress) *distribution.Runner {
	config := distribution.Config{VM: cfg.VM, Zone: cfg.Zone, Address: string(self), Seeds: cfg.Seeds}
	return distribution.NewRunner(config, cfg.Fleet, store, c, r, h.SetDocument)
}

func newSeats(cfg settings.Agent, store platform.Store, r timeline.Recorder, h *Hub) *seats.Runner {
	return seats.NewRunner(seats.Config{VM: cfg.VM, Zone: cfg.Zone}, store, r, h.SetSeats)
}

func newRollout(cfg settings.Agent, id peer.Identity, store platform.Store, c peer.Caller, r timeline.Recorder, h *Hub) *rollout.Runner {
	config := rollout.Config{VM: cfg.VM, Zone: cfg.Zone, Incarnation: id.Incarnation}
	return rollout.NewRunner(config, store, c, r, h.SetShares)
}

func newOrders(cfg settings.Agent, id peer.Identity, store platform.Store, f *fleet, r timeline.Recorder, reg prometheus.Registerer) *orders.Runner {
	engines := upstream.New(upstream.Config{VM: cfg.VM, Zone: cfg.Zone, ControlTimeout: orders.OrderTimeout}, reg)
	config := orders.Config{VM: cfg.VM, Zone: cfg.Zone, Incarnation: id.Incarnation}
	return orders.NewRunner(config, store, engines, f.currentMembers, r)
}

func newUploader(cfg settings.Agent, id peer.Identity, store platform.Store, c peer.Caller, r timeline.Recorder, reg prometheus.Registerer, self peerAddress) *billing.Uploader {
	config := billing.Config{VM: cfg.VM, Incarnation: id.Incarnation, Agent: string(self)}
	return billing.NewUploader(config, store, c, r, reg)
}
