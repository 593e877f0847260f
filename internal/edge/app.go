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
	"github.com/cranberrypier/cranberrypier/internal/modelchoice"
	"github.com/cranberrypier/cranberrypier/internal/poison"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/retrybudget"
	"github.com/cranberrypier/cranberrypier/internal/vm"
)

// Timeouts and sizes of the listeners, and settings of the garbage collector.
const (
	// readHeaderTimeout limits how long a caller may take to send a request's
	// header.
	readHeaderTimeout = 10 * time.Second
	// callerIdleTimeout limits how long a caller's connection may stay idle. It
	// does not depend on routing.Config.IdleTimeout. It is meant to be longer
	// than any such setting, so that this VM never closes a connection that a
	// caller is about to reuse.
	callerIdleTimeout = 60 * time.Second
	// adminReadTimeout limits how long a readiness check or a request for metrics may
	// take to arrive.
	adminReadTimeout = 10 * time.Second
	// maxHeaderBytes limits the size of a request's header if the configuration sets no
	// limit.
	maxHeaderBytes = 64 << 10
	// memoryLimitShare is the share of the VM's memory that the garbage
	// collector uses as its soft limit.
	memoryLimitShare = 0.6
	// budgetSettleTime is the time after the start until which most of the other VMs
	// are known.
	budgetSettleTime = 10 * time.Second
	// gcPercent is the garbage collector's target percentage (GOGC). It is low,
	// because peak memory costs more here than the CPU time of more frequent
	// collections.
	gcPercent = 50
)

// Options configure the process.
type Options struct {
	dig.In

	Settings  *vm.Settings
	Ingress   Ingress
	Protocol  Protocol
	Documents Documents
	Source    catalog.Source
	Metrics   *Metrics
	// Blocked keeps blocked content across restarts of all VMs; nil if nothing does.
	Blocked BlockedStore `optional:"true"`
	// LoadSettings reads the settings again; Reload requests it. Both may be nil.
	LoadSettings func() (*vm.Settings, error) `optional:"true"`
	Reload       ReloadSignal                 `optional:"true"`
	// DialUpstream opens the connections to upstreams; nil for TCP with this package's
	// timeouts.
	DialUpstream DialFunc `optional:"true"`
	// MetricsAddress is the listen address of the metrics endpoint; empty
	// disables it.
	MetricsAddress string `name:"metrics"`
}

// App is the process of an entry VM.
type App struct {
	options  Options
	proxy    *Proxy
	follower *Follower
	start    int64 // start time, in Unix milliseconds
	// peerServer serves the other VMs; nil if no address for them is configured.
	peerServer *http.Server
	conns      connBounds
}

// incarnationName identifies an incarnation of a VM by its name and start time.
func incarnationName(m gossip.Member) string {
	return m.Name + "/" + strconv.FormatInt(m.Incarnation, 36)
}

// New creates the process and connects its parts.
func New(o Options) *App {
	b := o.Settings.Bounds
	start := time.Now().UnixMilli()
	self := gossip.Member{Name: o.Settings.Name, Incarnation: start}
	dial := o.DialUpstream
	if dial == nil {
		dial = newUpstreamDialer().DialContext
	}
	s := &Proxy{
		ingress: o.Ingress, protocol: o.Protocol, transport: newUpstreamTransport(dial), dialUpstream: dial, metrics: o.Metrics,
		fleet: fleet.New(fleet.Config{
			VM: o.Settings.Name, Zone: o.Settings.Zone, RegionByZone: o.Settings.RegionByZone, ColdFactor: b.ColdFactor, ColdSlack: b.ColdSlack,
		}),
		budget: retrybudget.New(retrybudget.Config{Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: max(b.RetryWindow, time.Second), SettleTime: budgetSettleTime}),
		canary: canary.New(incarnationName(self), canary.Exposure{Share: b.ExposureShare, Tolerance: b.ExposureSlack}, b.SessionTTL),
		poison: poison.New(o.Settings.Name),
		gains:  modelchoice.NewGains(),
		rooms:  newWaitingRooms(),
		bodies: newByteBudget(o.Settings.Limits.MemoryMB), responses: newResponseBudget(o.Settings.Limits.MemoryMB),
		started: newStartSignal(),

		contention: o.Settings.Contention,
		forwarder:  newForwarder(o.Settings.Name, o.Settings.Zone, o.Settings.RegionByZone),
	}
	s.canary.AwaitRollOuts()
	s.lastAnswers, s.beginLastAnswers = context.WithCancel(context.Background())
	follower := NewFollower(s, o, time.Now())
	o.Metrics.registerGauges(s, follower)
	return &App{options: o, proxy: s, follower: follower, start: start, conns: boundsOf(o.Settings.Limits)}
}

// StoreTransport returns the HTTP transport for the store's client.
func StoreTransport() http.RoundTripper { return newStoreTransport() }

// Run serves until ctx ends and then shuts down gracefully.
func (a *App) Run(ctx context.Context) error {
	debug.SetGCPercent(gcPercent)
	if mb := a.options.Settings.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(float64(mb<<20) * memoryLimitShare))
	}
	klog.InfoS("process: start", "vm", a.options.Settings.Name, "zone", a.options.Settings.Zone, "callers", a.options.Settings.CallerAddress,
		"memoryMB", a.options.Settings.Limits.MemoryMB, "cpus", a.options.Settings.Limits.CPUs)
	backgroundCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var background sync.WaitGroup
	watchers := a.follower.NewWatchers()
	a.follower.updateReadDecision(time.Now(), []string{a.options.Settings.Name}, 1)
	for _, w := range watchers {
		background.Go(func() { w.Run(backgroundCtx) })
	}
	background.Go(func() { a.proxy.probeUnreachable(backgroundCtx) })
	if a.options.Blocked != nil {
		keeper := &blockedKeeper{proxy: a.proxy, store: a.options.Blocked, tried: a.follower.readiness.blockedTried}
		background.Go(func() { keeper.run(backgroundCtx) })
	} else {
		a.follower.readiness.blockedTried()
	}
	liveInZone, err := a.startGossip(backgroundCtx, &background)
	if err != nil {
		return err
	}
	background.Go(func() { a.follower.RunPeriodicTasks(backgroundCtx, liveInZone) })
	err = a.serve(ctx)
	stop()
	background.Wait()
	klog.InfoS("process: stop", "err", logs.Err(err))
	return err
}

// startGossip starts the exchange of state with the other VMs. It returns a
// function that lists the live VMs in this VM's zone and counts the zones.
func (a *App) startGossip(ctx context.Context, background *sync.WaitGroup) (liveInZone func() ([]string, int), err error) {
	settings := a.options.Settings
	if settings.PeerAddress == "" {
		klog.InfoS("gossip: disabled, because no address for peers is configured")
		return func() ([]string, int) { return []string{settings.Name}, 1 }, nil
	}
	self := gossip.Member{Name: settings.Name, Incarnation: a.start, Address: settings.PeerAddress, Zone: settings.Zone}
	callbacks := a.proxy.gossipCallbacks()
	callbacks.Digest = a.follower.localDigest
	callbacks.StoreTrouble = a.follower.storeTrouble
	callbacks.OnMessage = func(now time.Time, m gossip.Message) {
		a.follower.receiveDigest(now, m)
		a.proxy.applyMessage(now, m)
	}
	peers, err := gossip.New(self, settings.SeedAddresses, callbacks)
	if err != nil {
		return nil, err
	}
	background.Go(func() { peers.Run(ctx) })
	background.Go(func() { a.follower.fetchFromPeers(ctx) })
	if err := a.servePeers(ctx); err != nil {
		return nil, err
	}
	if a.options.LoadSettings != nil {
		background.Go(func() { a.watchSettings(ctx, a.options.Reload, a.options.LoadSettings, peers.SetSeeds) })
	}
	return peers.LiveInZone, nil
}

// servePeers serves the other VMs until ctx ends: this VM's copy of the store, and the
// requests that they forward.
func (a *App) servePeers(ctx context.Context) error {
	listener, err := listen(ctx, a.options.Settings.PeerAddress)
	if err != nil {
		return trace.Wrap(result.New(result.AddressInUse, "cannot listen on %s: %v", a.options.Settings.PeerAddress, err))
	}
	server := &http.Server{
		Handler: a.proxy.forwardedHandler(a.follower.stateHandler()), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout,
		ConnContext: withCallerConn,
	}
	guard := a.newGuard("peers", a.conns.peers, func() int { return 2 * a.proxy.maxHeaderBytes() }) // a VM may encode lines longer than they were
	guard.elsewhere = true
	listener = guard.protect(server, callerListener{listener, a.options.Metrics.stalled})
	a.peerServer = server
	context.AfterFunc(ctx, func() { _ = server.Close() }) // shutDown has let forwarded requests complete
	go func() {
		if err := ignoreServerClosed(server.Serve(listener)); err != nil {
			klog.InfoS("peers: no longer served", "err", logs.Err(err))
		}
	}()
	return nil
}

// serve runs the caller and readiness listeners until ctx ends and then shuts
// down gracefully.
func (a *App) serve(ctx context.Context) error {
	callerServer := &http.Server{
		Handler: a.proxy, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout,
		BaseContext: func(net.Listener) context.Context { return context.WithoutCancel(ctx) }, ConnContext: withCallerConn,
	}
	readinessServer := &http.Server{Handler: a.readinessHandler(), ReadTimeout: adminReadTimeout, IdleTimeout: callerIdleTimeout}
	servers := []struct {
		server  *http.Server
		address string
		callers bool
		guard   *connGuard
	}{
		{callerServer, a.options.Settings.CallerAddress, true, a.newGuard("callers", a.conns.callers, a.proxy.maxHeaderBytes)},
		{readinessServer, a.options.Settings.ReadinessAddress, false, a.newGuard("readiness", a.conns.admin, maxAdminHeaderBytes)},
	}
	var group errgroup.Group
	for _, s := range servers {
		listener, err := listen(ctx, s.address)
		if err != nil {
			return trace.Wrap(result.New(result.AddressInUse, "cannot listen on %s: %v", s.address, err))
		}
		if s.callers {
			listener = callerListener{listener, a.options.Metrics.stalled}
		}
		listener = s.guard.protect(s.server, listener)
		group.Go(func() error { return ignoreServerClosed(s.server.Serve(listener)) })
	}
	a.serveMetrics(ctx)
	<-ctx.Done()
	a.shutDown(callerServer)
	_ = readinessServer.Close() // callers are no longer served, so readiness no longer matters
	return group.Wait()
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return trace.Wrap(err)
}

// readinessHandler serves the platform's readiness checks.
func (a *App) readinessHandler() http.Handler {
	r := chi.NewRouter()
	r.Get(a.options.Documents.ReadinessPath(), func(w http.ResponseWriter, _ *http.Request) {
		if a.proxy.stop.Load() != nil || !a.follower.Ready() || a.proxy.isolation.isIsolated() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return r
}

// serveMetrics serves the metrics if an address is set. A process without
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
	server := &http.Server{Handler: r, ReadTimeout: adminReadTimeout, IdleTimeout: callerIdleTimeout}
	listener = a.newGuard("metrics", a.conns.admin, maxAdminHeaderBytes).protect(server, listener)
	go func() { // ends with the process
		if err := server.Serve(listener); err != nil {
			klog.InfoS("metrics: no longer served", "err", logs.Err(err))
		}
	}()
}
