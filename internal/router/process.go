package router

import (
	"errors"
	"net/http"

	"github.com/go-chi/chi/v5"
	"github.com/go-chi/chi/v5/middleware"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/dig"

	"github.com/cranberrypier/cranberrypier/internal/drain"
	"github.com/cranberrypier/cranberrypier/internal/peer"
	"github.com/cranberrypier/cranberrypier/internal/pki"
	"github.com/cranberrypier/cranberrypier/internal/process"
	"github.com/cranberrypier/cranberrypier/internal/settings"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
	"github.com/cranberrypier/cranberrypier/internal/upstream"
)

// provideProcess registers the constructors that all parts of the process share.
func provideProcess(c *dig.Container) error {
	return errors.Join(
		c.Provide(newListeners),
		c.Provide(newProcess),
		process.Provide(c),
		c.Provide(newPeerServer),
		c.Provide(newUpstreamClient),
		c.Provide(func() *drain.Gate { return &drain.Gate{} }),
		c.Provide(newCounters),
		c.Provide(newControl),
	)
}

// provideExternal registers the clients for the platform and other processes.
func provideExternal(c *dig.Container) error {
	return errors.Join(
		c.Provide(func(p *peer.Client) peer.Caller { return p }),
		c.Provide(process.NewStore),
	)
}

func newProcess(cfg settings.Router) process.Config {
	return process.Config{
		Fleet: cfg.Fleet, VM: cfg.VM, Zone: cfg.Zone, Role: pki.RoleRouter, PeerAddress: cfg.Listen.Peer,
		TLS: cfg.TLS, Platform: cfg.Platform, Timeline: cfg.Timeline, Faults: cfg.Faults,
	}
}

func newPeerServer(cfg peer.Config, keys *pki.Store, l *timeline.Log, components Components) (*peer.Server, error) {
	s, err := process.NewPeerServer(cfg, keys)
	if err != nil {
		return nil, err
	}
	registerHandlers(s, l, components)
	return s, nil
}

func newUpstreamClient(cfg settings.Router, reg prometheus.Registerer) *upstream.Client {
	return upstream.New(upstream.Config{
		VM:                cfg.VM,
		Zone:              cfg.Zone,
		DialTimeout:       cfg.Upstream.ConnectTimeout.D(),
		EventTimeout:      cfg.Upstream.StreamIdleTimeout.D(),
		FirstEventTimeout: cfg.Upstream.FirstTokenTimeout.D(),
	}, reg)
}

func newControl(cfg settings.Router, p peer.Caller, rec timeline.Recorder, gate *drain.Gate, cs *counters) *Control {
	return NewControl(cfg.Agent, p, rec, cfg.Drain.GracePeriod.D(), watchRequestFunc(gate, cs))
}

// adminServer returns the server of metrics and health checks on the admin port.
// Metrics of the whole process are in the default registry, those of its
// components in componentRegistry.
func adminServer(s *Server, componentRegistry *prometheus.Registry, cut *peer.SimulatedPartition) *http.Server {
	all := prometheus.Gatherers{prometheus.DefaultGatherer, componentRegistry}
	r := chi.NewRouter()
	r.Handle("/metrics", promhttp.HandlerFor(all, promhttp.HandlerOpts{}))
	r.Get("/healthz", serveHealth)
	r.Get("/readyz", s.serveReady)
	r.Mount("/debug", middleware.Profiler())
	if cut != nil {
		r.Handle("/cut", cut)
	}
	return &http.Server{Handler: r, ReadHeaderTimeout: headerTimeout}
}
