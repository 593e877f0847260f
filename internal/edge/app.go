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
	headerTime = 10 * time.Second
	// idleTime is how long a caller's connection may stay unused: longer than
	// any configuration allows, so that a caller never meets our close.
	idleTime = 60 * time.Second
	// headerMost bounds a request's header, in bytes.
	headerMost = 64 << 10
	// memoryShare of the VM's memory is the garbage collector's limit.
	memoryShare = 0.6
	// quickCollect makes the collector keep the heap small: memory at its peak
	// costs more here than the processor time of collecting.
	quickCollect = 50
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
	LoadSettings func() (*vm.Settings, error) `optional:"true"`
	Reload       ReloadSignal                 `optional:"true"`
	// MetricsAddress serves the metrics; empty for none.
	MetricsAddress string `name:"metrics"`
}

// App is the process of an entry VM.
type App struct {
	o        Options
	service  *Service
	follower *Follower
	start    int64
}

// startName names one start of a VM.
func startName(m gossip.Member) string {
	return m.Name + "/" + strconv.FormatInt(m.Start, 36)
}

// New wires the process.
func New(o Options) *App {
	b := o.Settings.Bounds
	start := time.Now().UnixMilli()
	self := gossip.Member{Name: o.Settings.Name, Start: start}
	s := &Service{
		ingress: o.Ingress, protocol: o.Protocol, upstreams: upstreamTransport(), metrics: o.Metrics,
		fleet: fleet.New(fleet.Config{
			VM: o.Settings.Name, Zone: o.Settings.Zone, Regions: o.Settings.RegionByZone, ColdFactor: b.ColdFactor, ColdSlack: b.ColdSlack,
		}),
		budget: retrybudget.New(retrybudget.Config{Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: max(b.RetryWindow, time.Second)}),
		canary: canary.New(startName(self), b.ExposureShare, b.SessionTTL),
		poison: poison.New(),
	}
	follower := NewFollower(s, o, time.Now())
	o.Metrics.follow(s, follower)
	return &App{o: o, service: s, follower: follower, start: start}
}

// StoreTransport is the transport of the store's client.
func StoreTransport() http.RoundTripper { return storeTransport() }

// Run serves until ctx ends, then stops gracefully.
func (a *App) Run(ctx context.Context) error {
	debug.SetGCPercent(quickCollect)
	if mb := a.o.Settings.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(float64(mb<<20) * memoryShare))
	}
	klog.InfoS("process: start", "vm", a.o.Settings.Name, "zone", a.o.Settings.Zone, "callers", a.o.Settings.CallerAddress,
		"memoryMB", a.o.Settings.Limits.MemoryMB, "cpus", a.o.Settings.Limits.CPUs)
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var background sync.WaitGroup
	watchers := a.follower.NewWatchers()
	a.follower.decide(time.Now(), []string{a.o.Settings.Name})
	for _, w := range watchers {
		background.Go(func() { w.Run(work) })
	}
	background.Go(func() { a.service.probe(work) })
	zone, err := a.gossip(work, &background)
	if err != nil {
		return err
	}
	background.Go(func() { a.follower.RunPeriodicTasks(work, zone) })
	err = a.serve(ctx)
	stop()
	background.Wait()
	klog.InfoS("process: stop", "err", logs.Err(err))
	return err
}

// gossip keeps in touch with the other VMs. It returns what lists the live VMs
// of this VM's zone.
func (a *App) gossip(ctx context.Context, background *sync.WaitGroup) (zone func() []string, err error) {
	set := a.o.Settings
	if set.PeerAddress == "" {
		klog.InfoS("gossip: no address for peers, this VM stands alone")
		return func() []string { return []string{set.Name} }, nil
	}
	self := gossip.Member{Name: set.Name, Start: a.start, Address: set.PeerAddress, Zone: set.Zone}
	sources := a.service.gossipSources()
	sources.Digest = a.follower.view
	sources.OnMessage = func(now time.Time, m gossip.Message) {
		a.follower.hear(now, m)
		a.service.heard(now, m)
	}
	peers, err := gossip.New(self, set.SeedAddresses, sources)
	if err != nil {
		return nil, err
	}
	background.Go(func() { peers.Run(ctx) })
	background.Go(func() { a.follower.askPeers(ctx) })
	if err := a.serveState(ctx); err != nil {
		return nil, err
	}
	if a.o.LoadSettings != nil {
		background.Go(func() { a.follow(ctx, a.o.Reload, a.o.LoadSettings, peers.SetSeeds) })
	}
	return peers.Zone, nil
}

// serveState tells other VMs what this one has from the store, until ctx ends.
func (a *App) serveState(ctx context.Context) error {
	listener, err := listen(ctx, a.o.Settings.PeerAddress)
	if err != nil {
		return trace.Wrap(result.New(result.AddressInUse, "cannot listen on %s: %v", a.o.Settings.PeerAddress, err))
	}
	server := &http.Server{Handler: a.follower.stateHandler(), ReadHeaderTimeout: headerTime}
	context.AfterFunc(ctx, func() { _ = server.Close() }) // other VMs ask again elsewhere
	go func() {
		if err := ended(server.Serve(listener)); err != nil {
			klog.InfoS("peers: state no longer served", "err", logs.Err(err))
		}
	}()
	return nil
}

// serve runs the listeners until they are stopped.
func (a *App) serve(ctx context.Context) error {
	front := &http.Server{
		Handler: a.service, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, MaxHeaderBytes: headerMost,
		BaseContext: func(net.Listener) context.Context { return context.WithoutCancel(ctx) },
	}
	ready := &http.Server{Handler: a.readiness(), ReadHeaderTimeout: headerTime}
	servers := []struct {
		server  *http.Server
		address string
	}{{front, a.o.Settings.CallerAddress}, {ready, a.o.Settings.ReadinessAddress}}
	var group errgroup.Group
	for _, s := range servers {
		listener, err := listen(ctx, s.address)
		if err != nil {
			return trace.Wrap(result.New(result.AddressInUse, "cannot listen on %s: %v", s.address, err))
		}
		group.Go(func() error { return ended(s.server.Serve(listener)) })
	}
	a.serveMetrics(ctx)
	<-ctx.Done()
	a.drain(front)
	_ = ready.Close() // nobody asks any more
	return group.Wait()
}

func ended(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return trace.Wrap(err)
}

// readiness answers the platform's readiness checks.
func (a *App) readiness() http.Handler {
	r := chi.NewRouter()
	r.Get(a.o.Documents.ReadinessPath(), func(w http.ResponseWriter, _ *http.Request) {
		if a.service.stopping.Load() || !a.follower.Ready() || a.service.isolation.now() {
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
	if a.o.MetricsAddress == "" {
		return
	}
	listener, err := listen(ctx, a.o.MetricsAddress)
	if err != nil {
		klog.ErrorS(err, "metrics: not served", "address", a.o.MetricsAddress)
		return
	}
	r := chi.NewRouter()
	r.Handle("/metrics", promhttp.HandlerFor(a.o.Metrics.Registry, promhttp.HandlerOpts{DisableCompression: true}))
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
	leaveTime = 3 * time.Second
	// drainShare of the grace time is for requests to end.
	drainShare = 0.9
)

// drain stops gracefully: it is no longer ready, goes on serving until the
// platform has noticed, and lets the requests in progress end.
func (a *App) drain(front *http.Server) {
	begin := time.Now()
	a.service.stopping.Store(true)
	grace := time.Duration(drainShare * float64(a.o.Settings.Bounds.GracePeriod))
	klog.InfoS("process: draining", "grace", grace)
	time.Sleep(min(leaveTime, grace))
	ctx, cancel := context.WithDeadline(context.Background(), begin.Add(grace))
	defer cancel()
	if err := front.Shutdown(ctx); err != nil {
		klog.InfoS("process: requests cut at the end of the grace time", "err", logs.Err(err))
		_ = front.Close() // the grace time is over
	}
}
