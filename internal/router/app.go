package router

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/dig"
	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/control"
	"github.com/cranberrypier/cranberrypier/internal/drain"
	"github.com/cranberrypier/cranberrypier/internal/peer"
	"github.com/cranberrypier/cranberrypier/internal/pki"
	"github.com/cranberrypier/cranberrypier/internal/process"
	"github.com/cranberrypier/cranberrypier/internal/settings"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
)

const (
	// flushTimeout limits how long a planned stop writes outcomes and bills.
	flushTimeout = 10 * time.Second
	// shutdownTimeout limits how long closing idle caller connections takes.
	shutdownTimeout = time.Second
)

// Run starts a router and serves until ctx ends or an operator drains the VM,
// then stops gracefully. Errors carry a start code.
func Run(ctx context.Context, cfg *settings.Router) error {
	a, err := build(cfg, provideExternal)
	if err != nil {
		return trace.Wrap(err)
	}
	a.run(ctx)
	return nil
}

// build creates a router and binds its ports. external provides the clients for
// the platform and the other processes.
func build(cfg *settings.Router, external func(*dig.Container) error) (*app, error) {
	c := dig.New()
	err := errors.Join(
		c.Provide(func() settings.Router { return *cfg }),
		c.Provide(prometheus.NewRegistry),
		c.Provide(func(r *prometheus.Registry) prometheus.Registerer { return r }),
		provideProcess(c),
		provideComponents(c),
		external(c),
		c.Provide(NewServer),
	)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var out *app
	err = c.Invoke(func(a app) { out = &a })
	return out, trace.Wrap(dig.RootCause(err))
}

// app is a router with its listeners and goroutines.
type app struct {
	dig.In

	Settings   settings.Router
	Server     *Server
	Control    *Control
	Gate       *drain.Gate
	Recorder   timeline.Recorder
	Peers      *peer.Server
	Client     *peer.Client
	Keys       *pki.Store
	Listeners  *process.Listeners
	Components Components
	Metrics    *prometheus.Registry
	Cut        *peer.SimulatedPartition
}

func newListeners(cfg settings.Router) (*process.Listeners, error) {
	return process.NewListeners(cfg.Listen.Callers, cfg.Listen.Admin)
}

func (a *app) run(ctx context.Context) {
	taskCtx, cancelTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelTasks()
	var wg sync.WaitGroup
	for _, run := range a.backgroundTasks() {
		wg.Go(func() { run(taskCtx) })
	}
	callers := a.Server.HTTPServer()
	admin := adminServer(a.Server, a.Metrics, a.Cut)
	wg.Go(func() { process.Serve(callers, a.Listeners.Main, "router") })
	wg.Go(func() { process.Serve(admin, a.Listeners.Admin, "router") })
	klog.Infof("router: VM %s serves callers on %s.", a.Settings.VM, a.Listeners.Main.Addr())
	a.Recorder.Record("", "process.started")

	select {
	case <-ctx.Done():
	case <-a.Control.Draining():
	}
	a.stop(callers, admin)
	cancelTasks()
	_ = a.Client.Close()
	wg.Wait()
	klog.Info("router: Stopped.")
}

// backgroundTasks returns the functions that run in goroutines until the process
// stops.
func (a *app) backgroundTasks() []func(context.Context) {
	s := a.Server
	return []func(context.Context){
		a.Keys.Run,
		a.Control.Run,
		s.loadPoller.run,
		s.ratingWorker.run,
		s.claims.Run,
		s.biller.Run,
		s.quarantine.Run,
		s.admission.Run,
		s.placer.Run,
		s.cascade.Run,
		func(ctx context.Context) { _ = a.Peers.Serve(ctx) },
	}
}

// stop performs a planned stop: it reports not ready, rejects new requests, waits
// for requests in progress, and writes outcomes and bills.
func (a *app) stop(servers ...*http.Server) {
	cfg := drain.Config{AnnounceDuration: a.Settings.Drain.AnnouncePeriod.D(), GracePeriod: a.stopGrace()}
	r := drain.NewRunner(cfg, a.Gate, a.Recorder, a.flush)
	r.Stop(context.Background())
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, s := range servers {
		_ = s.Shutdown(ctx)
	}
}

// stopGraceMargin is how much longer than the longest deadline a planned stop
// waits.
const stopGraceMargin = 5 * time.Second

// stopGrace returns how long a planned stop waits for requests in progress: the
// drain.grace setting or, if greater, the longest deadline of the document in
// force plus a margin, because a planned stop must not interrupt requests.
func (a *app) stopGrace() time.Duration {
	grace := a.Settings.Drain.GracePeriod.D()
	if idx := a.Control.Index(); idx != nil {
		grace = max(grace, idx.Document().MaxRequestTime()+stopGraceMargin)
	}
	return grace
}

// flush waits for the deliveries in progress and then writes the outcomes and
// bills, which must outlive the process.
func (a *app) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	a.Components.Deliverer.Wait()
	if err := a.Components.Claims.Drain(ctx); err != nil {
		klog.Errorf("router: Not all outcomes were written: %v.", err)
	}
	if err := a.Components.Billing.Flush(ctx); err != nil {
		klog.Errorf("router: Not all bills were stored: %v.", err)
	}
}

// watchRequestFunc returns a function that creates watch requests with the
// router's current readiness, load and counters.
func watchRequestFunc(gate *drain.Gate, counters *counters) func() control.WatchRequest {
	return func() control.WatchRequest {
		return control.WatchRequest{
			Ready:    gate.Ready(),
			InFlight: gate.InFlight(),
			Counters: counters.snapshot(),
		}
	}
}
