// Package agent is the control process of an entry VM: it follows the
// document, the members and the platform, performs the duties that leases
// assign to it, and serves the own router and the operators.
package agent

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/dig"
	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/billing"
	"github.com/cranberrypier/cranberrypier/internal/distribution"
	"github.com/cranberrypier/cranberrypier/internal/orders"
	"github.com/cranberrypier/cranberrypier/internal/peer"
	"github.com/cranberrypier/cranberrypier/internal/pki"
	"github.com/cranberrypier/cranberrypier/internal/platform"
	"github.com/cranberrypier/cranberrypier/internal/process"
	"github.com/cranberrypier/cranberrypier/internal/rollout"
	"github.com/cranberrypier/cranberrypier/internal/seats"
	"github.com/cranberrypier/cranberrypier/internal/settings"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
)

const (
	// reportTime is how long a stopping agent waits for its router's report.
	reportTime = 500 * time.Millisecond
	// flushTime bounds the upload of bills at a planned stop.
	flushTime = 10 * time.Second
	// shutdownTime bounds the close of operators' connections.
	shutdownTime = time.Second
	// headerTime bounds the header of an HTTP request.
	headerTime = 5 * time.Second
	pollPause  = 50 * time.Millisecond
)

// Run starts an agent and works until ctx ends; then it stops gracefully.
// Errors carry a start code.
func Run(ctx context.Context, cfg *settings.Agent) error {
	a, err := build(cfg, prometheus.DefaultRegisterer, newStore)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(a.run(ctx))
}

// build makes an agent with its ports bound.
func build(cfg *settings.Agent, reg prometheus.Registerer, store func(settings.Agent, prometheus.Registerer) platform.Store) (*app, error) {
	c := dig.New()
	err := errors.Join(
		c.Provide(func() settings.Agent { return *cfg }),
		c.Provide(func() prometheus.Registerer { return reg }),
		c.Provide(store),
		provide(c),
	)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var out *app
	err = c.Invoke(func(a app) { out = &a })
	return out, trace.Wrap(dig.RootCause(err))
}

// app is an agent with its listeners and goroutines.
type app struct {
	dig.In

	Settings     settings.Agent
	Hub          *Hub
	Recorder     timeline.Recorder
	Peers        *peer.Server
	Client       *peer.Client
	Keys         *pki.Store
	Listeners    *process.Listeners
	Operators    *operators
	Distribution *distribution.Runner
	Uploader     *billing.Uploader
	Members      *members
	Seats        *seats.Runner
	Rollout      *rollout.Runner
	Orders       *orders.Runner
	Handlers     handlers
	Cut          *peer.Cut
}

func newListeners(cfg settings.Agent) (*process.Listeners, error) {
	return process.NewListeners(cfg.Listen.Operators, cfg.Listen.Admin)
}

func (a *app) run(ctx context.Context) error {
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	a.Handlers.register(a.Peers, a.Settings.VM)
	a.Hub.OnView(a.Orders.SetView)
	a.Hub.OnDocument(func(d distribution.Document) {
		a.Rollout.SetDocument(work, d.Parsed)
		a.Orders.SetDocument(work, d.Parsed)
	})
	var wg sync.WaitGroup
	for _, run := range a.duties() {
		wg.Go(func() { run(work) })
	}
	operators := a.Operators.server(a.Keys)
	admin := a.Operators.admin(a.Cut)
	wg.Go(func() { serveTLS(operators, a.Listeners.Main) })
	wg.Go(func() { process.Serve(admin, a.Listeners.Admin, "agent") })
	klog.Infof("agent: VM %s serves operators on %s and peers on %s.", a.Settings.VM, a.Listeners.Main.Addr(), a.Peers.Address())
	a.Recorder.Record("", "process.started")

	<-ctx.Done()
	a.stop(operators, admin)
	stopWork()
	_ = a.Client.Close()
	wg.Wait()
	klog.Info("agent: Stopped.")
	return nil
}

// duties lists the goroutines that run until the process stops.
func (a *app) duties() []func(context.Context) {
	return []func(context.Context){
		a.Keys.Run,
		a.Distribution.Run,
		a.Uploader.Run,
		a.Seats.Run,
		a.Rollout.Run,
		a.Orders.Run,
		a.Members.run,
		a.Members.list,
		a.Members.runner.Run,
		func(ctx context.Context) { _ = a.Peers.Serve(ctx) },
	}
}

// stop performs the planned stop. A router that stops too needs its agent for
// the last bills, so the agent outlives it; a router that goes on does not.
func (a *app) stop(servers ...*http.Server) {
	a.Recorder.Record("", "process.stopping")
	a.Hub.Stop()
	time.Sleep(reportTime)
	if r := a.Hub.Router(); r.Up(time.Now()) && (!r.Ready || a.Hub.Draining()) {
		a.Members.leave()
		a.awaitRouter()
		a.Seats.Release()
	}
	ctx, cancel := context.WithTimeout(context.Background(), flushTime)
	defer cancel()
	if err := a.Uploader.Drain(ctx); err != nil {
		klog.Errorf("agent: Bills are not uploaded: %v.", err)
	}
	closing, done := context.WithTimeout(context.Background(), shutdownTime)
	defer done()
	for _, s := range servers {
		_ = s.Shutdown(closing)
	}
}

// awaitRouter waits until the own router is gone.
func (a *app) awaitRouter() {
	limit := time.Now().Add(a.Settings.Drain.Grace.D() + a.Settings.Drain.Announce.D() + flushTime)
	for time.Now().Before(limit) && a.Hub.Router().Up(time.Now()) {
		time.Sleep(pollPause)
	}
}

func serveTLS(s *http.Server, l net.Listener) {
	if err := s.ServeTLS(l, "", ""); !errors.Is(err, http.ErrServerClosed) {
		klog.Errorf("agent: The operators' listener failed: %v.", err)
	}
}
