// Package process contains the components that the router and the agent have in
// common: identity, keys, timeline, the clients of peers and of the platform, and
// listeners.
package process

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/dig"
	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/peer"
	"github.com/cranberrypier/cranberrypier/internal/pki"
	"github.com/cranberrypier/cranberrypier/internal/platform"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/settings"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
)

// Config describes a process.
type Config struct {
	Fleet string
	VM    string
	Zone  string
	// Role is pki.RoleRouter or pki.RoleAgent.
	Role string
	// PeerAddress is the address of the peer listener, IP:port.
	PeerAddress string
	// KeepAliveInterval is the interval of keep-alive packets on an idle peer connection.
	// Zero selects the default of package peer.
	KeepAliveInterval time.Duration
	TLS               pki.Paths
	Platform          settings.Platform
	Timeline          settings.Timeline
	// Faults allows fault tests to disconnect the process from its peers.
	Faults bool
}

// Provide registers the constructors of the shared components with c. The
// container must also provide a Config.
func Provide(c *dig.Container) error {
	return errors.Join(
		c.Provide(newIdentity),
		c.Provide(newKeys),
		c.Provide(func() *timeline.Clock { return timeline.NewClock(time.Now) }),
		c.Provide(newTimeline),
		c.Provide(func(l *timeline.Log) timeline.Recorder { return l }),
		c.Provide(newFaultSwitch),
		c.Provide(newPeerConfig),
		c.Provide(peer.NewClient),
	)
}

// newIdentity returns the identity of this process. The incarnation is the start
// time, so it grows with each start.
func newIdentity(cfg Config) peer.Identity {
	return peer.Identity{
		Fleet:       cfg.Fleet,
		VM:          cfg.VM,
		Zone:        cfg.Zone,
		Role:        cfg.Role,
		Incarnation: uint64(time.Now().UnixMilli()),
	}
}

func newKeys(cfg Config) (*pki.Store, error) { return pki.Open(cfg.TLS, cfg.Fleet) }

func newTimeline(cfg Config, id peer.Identity, clock *timeline.Clock) *timeline.Log {
	origin := timeline.Origin{VM: id.VM, Role: id.Role, Incarnation: id.Incarnation}
	return timeline.NewLog(clock, origin, cfg.Timeline.MaxEvents)
}

// newFaultSwitch returns the switch with which fault tests disconnect a process
// from its peers. It returns nil, which disconnects nothing, unless the settings
// allow faults.
func newFaultSwitch(cfg Config) *peer.SimulatedPartition {
	if !cfg.Faults {
		return nil
	}
	return &peer.SimulatedPartition{}
}

func newPeerConfig(cfg Config, id peer.Identity, keys *pki.Store, clock *timeline.Clock, faultSwitch *peer.SimulatedPartition) peer.Config {
	return peer.Config{
		Partition:         faultSwitch,
		Address:           cfg.PeerAddress,
		KeepAliveInterval: cfg.KeepAliveInterval,
		TLS:               keys.Client(pki.RoleAgent, pki.RoleRouter),
		Self:              id,
		Clock:             clock,
	}
}

// NewPeerServer binds the peer listener.
func NewPeerServer(cfg peer.Config, keys *pki.Store) (*peer.Server, error) {
	cfg.TLS = keys.Server(pki.RoleAgent, pki.RoleRouter)
	return peer.NewServer(cfg)
}

// NewStore returns a client of the platform's object store.
func NewStore(cfg Config, reg prometheus.Registerer) platform.Store {
	return platform.NewClient(platform.Config{
		Address: cfg.Platform.Address,
		Timeout: cfg.Platform.Timeout.D(),
		VM:      cfg.VM,
		Zone:    cfg.Zone,
	}, reg)
}

// Listen opens a TCP listener. Its errors carry the code AddressInUse.
func Listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.Wrap(result.New(result.AddressInUse, "cannot listen on %s: %v", address, err))
	}
	return l, nil
}

// Serve serves HTTP until the server is shut down. It logs a failure with role
// as prefix.
func Serve(s *http.Server, l net.Listener, role string) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		klog.Errorf("%s: HTTP server stopped unexpectedly: %v", role, err)
	}
}

// Listeners are the TCP listeners of a process. They are opened before any other
// component starts, so that a port in use is reported as one clear error.
type Listeners struct {
	// Main serves callers on a router and operators on an agent.
	Main net.Listener
	// Admin serves metrics and health.
	Admin net.Listener
}

// NewListeners opens both listeners or none. Its errors carry the code
// AddressInUse.
func NewListeners(mainAddress, adminAddress string) (*Listeners, error) {
	main, err := Listen(mainAddress)
	if err != nil {
		return nil, err
	}
	admin, err := Listen(adminAddress)
	if err != nil {
		_ = main.Close()
		return nil, err
	}
	return &Listeners{Main: main, Admin: admin}, nil
}
