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
	// flushTime bounds the writing of outcomes and bills at a planned stop.
	flushTime = 10 * time.Second
	// shutdownTime bounds the close of idle caller connections.
	shutdownTime = time.Second
)

// Run starts a router and serves until ctx ends or an operator drains the VM;
// then it stops gracefully. Errors carry a start code.
func Run(ctx context.Context, cfg *settings.Router) error {
	a, err := build(cfg, provideOutside)
	if err != nil {
		return trace.Wrap(err)
	}
	a.run(ctx)
	return nil
}

// build makes a router with its ports bound. Outside provides the ways to the
// platform and to the other processes.
func build(cfg *settings.Router, outside func(*dig.Container) error) (*app, error) {
	c := dig.New()
	err := errors.Join(
		c.Provide(func() settings.Router { return *cfg }),
		c.Provide(prometheus.NewRegistry),
		c.Provide(func(r *prometheus.Registry) prometheus.Registerer { return r }),
		provideProcess(c),
		provideSlices(c),
		outside(c),
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
	Cut        *peer.Cut
}

func newListeners(cfg settings.Router) (*process.Listeners, error) {
	return process.NewListeners(cfg.Listen.Callers, cfg.Listen.Admin)
}

func (a *app) run(ctx context.Context) {
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	var wg sync.WaitGroup
	for _, run := range a.duties() {
		wg.Go(func() { run(work) })
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
	stopWork()
	_ = a.Client.Close()
	wg.Wait()
	klog.Info("router: Stopped.")
}

// duties lists the goroutines that run until the process stops.
func (a *app) duties() []func(context.Context) {
	s := a.Server
	return []func(context.Context){
		a.Keys.Run,
		a.Control.Run,
		s.reports.run,
		s.raters.run,
		s.claims.Run,
		s.biller.Run,
		s.quarantine.Run,
		s.admission.Run,
		s.placer.Run,
		s.cascade.Run,
		func(ctx context.Context) { _ = a.Peers.Serve(ctx) },
	}
}

// stop performs the planned stop: unready, no new work, work in progress ends,
// outcomes and bills are written.
func (a *app) stop(servers ...*http.Server) {
	cfg := drain.Config{Announce: a.Settings.Drain.Announce.D(), Grace: a.grace()}
	r := drain.NewRunner(cfg, a.Gate, a.Recorder, a.flush)
	r.Stop(context.Background())
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTime)
	defer cancel()
	for _, s := range servers {
		_ = s.Shutdown(ctx)
	}
}

// graceMargin is how much longer than the longest deadline a stop waits.
const graceMargin = 5 * time.Second

// grace is how long a planned stop waits for the work in progress: the setting,
// or the longest deadline of the document in force where that is more, since a
// planned stop cuts no request.
func (a *app) grace() time.Duration {
	grace := a.Settings.Drain.Grace.D()
	if idx := a.Control.Index(); idx != nil {
		grace = max(grace, idx.Document().MaxRequestTime()+graceMargin)
	}
	return grace
}

// flush writes what must last.
func (a *app) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTime)
	defer cancel()
	a.Components.Deliverer.Wait()
	if err := a.Components.Claims.Drain(ctx); err != nil {
		klog.Errorf("router: Outcomes are not written: %v.", err)
	}
	if err := a.Components.Billing.Drain(ctx); err != nil {
		klog.Errorf("router: Bills are not handed over: %v.", err)
	}
}

// report fills in the router's part of each watch request.
func report(gate *drain.Gate, counters *counters) func() control.WatchRequest {
	return func() control.WatchRequest {
		return control.WatchRequest{
			Ready:    gate.Ready(),
			InFlight: gate.InFlight(),
			Counters: counters.snapshot(),
		}
	}
}
