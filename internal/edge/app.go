package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/dig"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/canary"
	"github.com/cranberrypier/cranberrypier/internal/catalog"
	"github.com/cranberrypier/cranberrypier/internal/fleet"
	"github.com/cranberrypier/cranberrypier/internal/gossip"
	"github.com/cranberrypier/cranberrypier/internal/logs"
	"github.com/cranberrypier/cranberrypier/internal/poison"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/retrybudget"
	"github.com/cranberrypier/cranberrypier/internal/vm"
)

// Times and sizes of the listeners.
const (
	// headerTime bounds how long a caller may take for a request's header.
	readHeaderTimeout = 10 * time.Second
	// idleTime is how long a caller's connection may stay unused: longer than
	// any configuration allows, so that a caller never meets our close.
	callerIdleTimeout = 60 * time.Second
	// headerMost bounds a request's header, in bytes.
	maxHeaderBytes = 64 << 10
	// memoryShare of the VM's memory is the garbage collector's limit.
	memoryLimitShare = 0.6
	// quickCollect makes the collector keep the heap small: memory at its peak
	// costs more here than the processor time of collecting.
	gcPercent = 50
)

// Options are what the process is started with.
type Options struct {
	dig.In

	Settings  *vm.Settings
	Ingress   Ingress
	Protocol  Protocol
	Documents Documents
	Source    catalog.Source
	Metrics   *Metrics
	// Load reads the settings anew; Reload asks for it. Both may be nil.
	Load   func() (*vm.Settings, error) `optional:"true"`
	Reload Reload                       `optional:"true"`
	// MetricsAddress serves the metrics; empty for none.
	MetricsAddress string `name:"metrics"`
}

// App is the process of an entry VM.
type App struct {
	options  Options
	service  *Service
	follower *Follower
	start    int64
}

// startName names one start of a VM.
func incarnationName(m gossip.Member) string {
	return m.Name + "/" + strconv.FormatInt(m.Start, 36)
}

// New wires the process.
func New(o Options) *App {
	b := o.Settings.Bounds
	start := time.Now().UnixMilli()
	self := gossip.Member{Name: o.Settings.Name, Start: start}
	s := &Service{
		ingress: o.Ingress, protocol: o.Protocol, transport: newUpstreamTransport(), metrics: o.Metrics,
		fleet: fleet.New(fleet.Config{
			VM: o.Settings.Name, Zone: o.Settings.Zone, Regions: o.Settings.Regions, ColdFactor: b.ColdFactor, ColdSlack: b.ColdSlack,
		}),
		budget: retrybudget.New(retrybudget.Config{Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: max(b.RetryWindow, time.Second)}),
		canary: canary.New(incarnationName(self), b.ExposureShare, b.SessionTTL),
		poison: poison.New(),
	}
	follower := NewFollower(s, o, time.Now())
	o.Metrics.registerGauges(s, follower)
	return &App{options: o, service: s, follower: follower, start: start}
}

// StoreTransport is the transport of the store's client.
func StoreTransport() http.RoundTripper { return newStoreTransport() }

// Run serves until ctx ends, then stops gracefully.
func (a *App) Run(ctx context.Context) error {
	debug.SetGCPercent(gcPercent)
	if mb := a.options.Settings.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(float64(mb<<20) * memoryLimitShare))
	}
	klog.InfoS("process: start", "vm", a.options.Settings.Name, "zone", a.options.Settings.Zone, "callers", a.options.Settings.Callers,
		"memoryMB", a.options.Settings.Limits.MemoryMB, "cpus", a.options.Settings.Limits.CPUs)
	backgroundCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var background sync.WaitGroup
	watchers := a.follower.Watchers()
	a.follower.updateDecision(time.Now(), []string{a.options.Settings.Name})
	for _, w := range watchers {
		background.Go(func() { w.Run(backgroundCtx) })
	}
	background.Go(func() { a.service.probeWhileIsolated(backgroundCtx) })
	liveInZone, err := a.startGossip(backgroundCtx, &background)
	if err != nil {
		return err
	}
	background.Go(func() { a.follower.Tick(backgroundCtx, liveInZone) })
	err = a.serve(ctx)
	stop()
	background.Wait()
	klog.InfoS("process: stop", "err", logs.Err(err))
	return err
}

// gossip keeps in touch with the other VMs. It returns what lists the live VMs
// of this VM's zone.
func (a *App) startGossip(ctx context.Context, background *sync.WaitGroup) (liveInZone func() []string, err error) {
	settings := a.options.Settings
	if settings.Peers == "" {
		klog.InfoS("gossip: no address for peers, this VM stands alone")
		return func() []string { return []string{settings.Name} }, nil
	}
	self := gossip.Member{Name: settings.Name, Start: a.start, Address: settings.Peers, Zone: settings.Zone}
	sources := a.service.gossipSources()
	sources.View = a.follower.localView
	sources.Heard = func(now time.Time, m gossip.Message) {
		a.follower.receiveView(now, m)
		a.service.applyMessage(now, m)
	}
	peers, err := gossip.New(self, settings.Seeds, sources)
	if err != nil {
		return nil, err
	}
	background.Go(func() { peers.Run(ctx) })
	background.Go(func() { a.follower.fetchFromPeers(ctx) })
	if err := a.servePeerState(ctx); err != nil {
		return nil, err
	}
	if a.options.Load != nil {
		background.Go(func() { a.watchSettings(ctx, a.options.Reload, a.options.Load, peers.SetSeeds) })
	}
	return peers.Zone, nil
}

// serveState tells other VMs what this one has from the store, until ctx ends.
func (a *App) servePeerState(ctx context.Context) error {
	listener, err := listen(ctx, a.options.Settings.Peers)
	if err != nil {
		return trace.Wrap(result.New(result.AddressInUse, "cannot listen on %s: %v", a.options.Settings.Peers, err))
	}
	server := &http.Server{Handler: a.follower.stateHandler(), ReadHeaderTimeout: readHeaderTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() }) // other VMs ask again elsewhere
	go func() {
		if err := ignoreServerClosed(server.Serve(listener)); err != nil {
			klog.InfoS("peers: state no longer served", "err", logs.Err(err))
		}
	}()
	return nil
}

// serve runs the listeners until they are stopped.
func (a *App) serve(ctx context.Context) error {
	callerServer := &http.Server{
		Handler: a.service, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		BaseContext: func(net.Listener) context.Context { return context.WithoutCancel(ctx) },
	}
	readinessServer := &http.Server{Handler: a.readinessHandler(), ReadHeaderTimeout: readHeaderTimeout}
	servers := []struct {
		server  *http.Server
		address string
	}{{callerServer, a.options.Settings.Callers}, {readinessServer, a.options.Settings.Readiness}}
	var group errgroup.Group
	for _, s := range servers {
		listener, err := listen(ctx, s.address)
		if err != nil {
			return trace.Wrap(result.New(result.AddressInUse, "cannot listen on %s: %v", s.address, err))
		}
		group.Go(func() error { return ignoreServerClosed(s.server.Serve(listener)) })
	}
	a.serveMetrics(ctx)
	<-ctx.Done()
	a.drain(callerServer)
	_ = readinessServer.Close() // nobody asks any more
	return group.Wait()
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return trace.Wrap(err)
}

// readiness answers the platform's readiness checks.
func (a *App) readinessHandler() http.Handler {
	r := chi.NewRouter()
	r.Get(a.options.Documents.ReadinessPath(), func(w http.ResponseWriter, _ *http.Request) {
		if a.service.stopping.Load() || !a.follower.Ready() || a.service.isolation.isIsolated() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return r
}

// serveMetrics serves the metrics where the settings say. A process without
// metrics still serves callers, so a failure is only logged.
func (a *App) serveMetrics(ctx context.Context) {
	if a.options.MetricsAddress == "" {
		return
	}
	listener, err := listen(ctx, a.options.MetricsAddress)
	if err != nil {
		klog.ErrorS(err, "metrics: not served", "address", a.options.MetricsAddress)
		return
	}
	r := chi.NewRouter()
	r.Handle("/metrics", promhttp.HandlerFor(a.options.Metrics.Registry, promhttp.HandlerOpts{DisableCompression: true}))
	go func() {
		if err := http.Serve(listener, r); err != nil { //nolint:gosec // ends with the process
			klog.InfoS("metrics: ended", "err", logs.Err(err))
		}
	}()
}

// Parts of the grace time.
const (
	// leaveTime is how long new connections may still come: the platform takes
	// two readiness checks, a second apart, to notice.
	shutdownDelay = 3 * time.Second
	// drainShare of the grace time is for requests to end.
	drainShare = 0.9
)

// drain stops gracefully: it is no longer ready, goes on serving until the
// platform has noticed, and lets the requests in progress end.
func (a *App) drain(callerServer *http.Server) {
	begin := time.Now()
	a.service.stopping.Store(true)
	grace := time.Duration(drainShare * float64(a.options.Settings.Bounds.Grace))
	klog.InfoS("process: draining", "grace", grace)
	time.Sleep(min(shutdownDelay, grace))
	ctx, cancel := context.WithDeadline(context.Background(), begin.Add(grace))
	defer cancel()
	if err := callerServer.Shutdown(ctx); err != nil {
		klog.InfoS("process: requests cut at the end of the grace time", "err", logs.Err(err))
		_ = callerServer.Close() // the grace time is over
	}
}
