// Package agent implements the control process of an entry VM. It tracks the
// document, the fleet's members and the platform, performs the tasks assigned to
// it by leases, and serves the VM's own router and the operators.
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
	// routerReportWait is how long a stopping agent waits for its router's next
	// report, which says whether the router is stopping too.
	routerReportWait = 500 * time.Millisecond
	// flushTimeout limits the upload of bills at a planned stop.
	flushTimeout = 10 * time.Second
	// shutdownTimeout limits the graceful shutdown of the HTTP servers.
	shutdownTimeout = time.Second
	// headerTimeout limits the time to read the header of an HTTP request.
	headerTimeout      = 5 * time.Second
	routerPollInterval = 50 * time.Millisecond
)

// Run starts an agent, runs it until ctx ends and then stops it gracefully.
// Its errors have a start code.
func Run(ctx context.Context, cfg *settings.Agent) error {
	a, err := build(cfg, prometheus.DefaultRegisterer, newStore)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(a.run(ctx))
}

// build creates an agent and binds its ports.
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

// app holds the components of an agent.
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
	Cut          *peer.SimulatedPartition
}

func newListeners(cfg settings.Agent) (*process.Listeners, error) {
	return process.NewListeners(cfg.Listen.Operators, cfg.Listen.Admin)
}

func (a *app) run(ctx context.Context) error {
	workCtx, cancelWork := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelWork()
	a.Handlers.register(a.Peers, a.Settings.VM)
	a.Hub.OnView(a.Orders.SetView)
	a.Hub.OnDocument(func(d distribution.Document) {
		a.Rollout.SetDocument(workCtx, d.Parsed)
		a.Orders.SetDocument(workCtx, d.Parsed)
	})
	var wg sync.WaitGroup
	for _, run := range a.tasks() {
		wg.Go(func() { run(workCtx) })
	}
	operatorServer := a.Operators.server(a.Keys)
	adminServer := a.Operators.adminServer(a.Cut)
	wg.Go(func() { serveTLS(operatorServer, a.Listeners.Main) })
	wg.Go(func() { process.Serve(adminServer, a.Listeners.Admin, "agent") })
	klog.Infof("agent: VM %s serves operators on %s and peers on %s.", a.Settings.VM, a.Listeners.Main.Addr(), a.Peers.Address())
	a.Recorder.Record("", "process.started")

	<-ctx.Done()
	a.stop(operatorServer, adminServer)
	cancelWork()
	_ = a.Client.Close()
	wg.Wait()
	klog.Info("agent: Stopped.")
	return nil
}

// tasks returns the functions that run in goroutines until the process stops.
func (a *app) tasks() []func(context.Context) {
	return []func(context.Context){
		a.Keys.Run,
		a.Distribution.Run,
		a.Uploader.Run,
		a.Seats.Run,
		a.Rollout.Run,
		a.Orders.Run,
		a.Members.updateOwnRecord,
		a.Members.pollVMList,
		a.Members.runner.Run,
		func(ctx context.Context) { _ = a.Peers.Serve(ctx) },
	}
}

// stop performs a planned stop. If the VM's router is stopping too, the agent
// waits for it to exit, because the router sends its last bills to the agent. If
// the router keeps running, the agent does not wait.
func (a *app) stop(servers ...*http.Server) {
	a.Recorder.Record("", "process.stopping")
	a.Hub.Stop()
	time.Sleep(routerReportWait)
	if r := a.Hub.Router(); r.Up(time.Now()) && (!r.Ready || a.Hub.Draining()) {
		a.Members.setLeaving()
		a.waitForRouterExit()
		a.Seats.Release()
	}
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := a.Uploader.Flush(ctx); err != nil {
		klog.Errorf("agent: Uploading the remaining bills failed: %v.", err)
	}
	shutdownCtx, cancelShutdown := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancelShutdown()
	for _, s := range servers {
		_ = s.Shutdown(shutdownCtx)
	}
}

// waitForRouterExit waits until the VM's own router has exited.
func (a *app) waitForRouterExit() {
	deadline := time.Now().Add(a.Settings.Drain.GracePeriod.D() + a.Settings.Drain.AnnouncePeriod.D() + flushTimeout)
	for time.Now().Before(deadline) && a.Hub.Router().Up(time.Now()) {
		time.Sleep(routerPollInterval)
	}
}

func serveTLS(s *http.Server, l net.Listener) {
	if err := s.ServeTLS(l, "", ""); !errors.Is(err, http.ErrServerClosed) {
		klog.Errorf("agent: The operators' HTTPS server failed: %v.", err)
	}
}
