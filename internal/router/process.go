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

// provideProcess provides what every part of the process shares.
func provideProcess(c *dig.Container) error {
	return errors.Join(
		c.Provide(newListeners),
		c.Provide(newProcess),
		process.Provide(c),
		c.Provide(newPeerServer),
		c.Provide(newEngines),
		c.Provide(func() *drain.Gate { return &drain.Gate{} }),
		c.Provide(newCounters),
		c.Provide(newControl),
	)
}

// provideOutside provides the ways to the platform and to other processes.
func provideOutside(c *dig.Container) error {
	return errors.Join(
		c.Provide(func(p *peer.Client) peer.Caller { return p }),
		c.Provide(process.NewStore),
	)
}

func newProcess(cfg settings.Router) process.Config {
	return process.Config{
		Fleet: cfg.Fleet, VM: cfg.VM, Zone: cfg.Zone, Role: pki.RoleRouter, Peer: cfg.Listen.Peer,
		TLS: cfg.TLS, Platform: cfg.Platform, Timeline: cfg.Timeline, Faults: cfg.Faults,
	}
}

func newPeerServer(cfg peer.Config, keys *pki.Store, l *timeline.Log, sl Components) (*peer.Server, error) {
	s, err := process.NewPeerServer(cfg, keys)
	if err != nil {
		return nil, err
	}
	registerHandlers(s, l, sl)
	return s, nil
}

func newEngines(cfg settings.Router, reg prometheus.Registerer) *upstream.Client {
	return upstream.New(upstream.Config{
		VM:                cfg.VM,
		Zone:              cfg.Zone,
		DialTimeout:       cfg.Upstream.Connect.D(),
		EventTimeout:      cfg.Upstream.Silence.D(),
		FirstEventTimeout: cfg.Upstream.FirstToken.D(),
	}, reg)
}

func newControl(cfg settings.Router, p peer.Caller, rec timeline.Recorder, gate *drain.Gate, cs *counters) *Control {
	return NewControl(cfg.Agent, p, rec, cfg.Drain.Grace.D(), report(gate, cs))
}

// adminServer serves metrics and health on the admin port. Metrics of the
// process as a whole are in the default registry, those of its parts in own.
func adminServer(s *Server, own *prometheus.Registry, cut *peer.Cut) *http.Server {
	all := prometheus.Gatherers{prometheus.DefaultGatherer, own}
	r := chi.NewRouter()
	r.Handle("/metrics", promhttp.HandlerFor(all, promhttp.HandlerOpts{}))
	r.Get("/healthz", serveHealth)
	r.Get("/readyz", s.serveReady)
	r.Mount("/debug", middleware.Profiler())
	if cut != nil {
		r.Handle("/cut", cut)
	}
	return &http.Server{Handler: r, ReadHeaderTimeout: headerTime}
}
