package edge

import (
	"context"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/canary"
	"github.com/cranberrypier/cranberrypier/internal/catalog"
	"github.com/cranberrypier/cranberrypier/internal/fleet"
	"github.com/cranberrypier/cranberrypier/internal/logs"
	"github.com/cranberrypier/cranberrypier/internal/vm"
)

// Waits of the watches. A watch may hear nothing when the store drops its
// history, until its wait ends; then a rule's bound and the stability window
// leave about 3 s to notice. One watch with a short wait is enough: it renews
// the others. Each call is paid for.
const (
	// quickShare of the stability window is the short wait.
	quickShare = 0.8
	// slowWait is the wait of the other watches; the store allows 30 s.
	slowWait = 28 * time.Second
	// gatherShare of a change's bound is the pause after a change. Upstreams
	// change all the time in a large fleet, so theirs is longer.
	gatherShare         = 0.25
	gatherUpstreamShare = 0.5
	// backoff is the longest pause between calls to a store that is away. Each VM
	// probes by itself, and the first that is answered tells the others.
	backoff = 1200 * time.Millisecond
	// leastBound replaces bounds that the settings lack.
	leastBound = time.Second
)

// share is a part of a bound.
func share(part float64, bound time.Duration) time.Duration {
	return time.Duration(part * float64(max(bound, leastBound)))
}

// Follower keeps the service's view of the store.
type Follower struct {
	service        *Service
	source         catalog.Source
	docs           Documents
	bounds         vm.Bounds
	withdrawnZones map[string]bool
	orders         map[string]orderObject // by object name
	known          struct{ config, upstreams atomic.Bool }
	// zone is the VM's own.
	zone string
	// group is what follows the store, and relaying who reads it.
	group    *catalog.Group
	relaying *relaying
	// verdicts are when verdicts that may be written were first seen.
	verdicts map[verdictKey]time.Time
}

// verdictKey names a verdict.
type verdictKey struct {
	service, target string
	phase           canary.Phase
}

// orderObject is a roll-out's object as last seen.
type orderObject struct {
	order    canary.RollOut
	revision uint64
}

// NewFollower returns a follower that knows nothing yet.
func NewFollower(s *Service, o Options, began time.Time) *Follower {
	return &Follower{
		service: s, source: o.Source, docs: o.Documents, bounds: o.Settings.Bounds, zone: o.Settings.Zone,
		withdrawnZones: make(map[string]bool), orders: make(map[string]orderObject), verdicts: make(map[verdictKey]time.Time),
		group: catalog.NewGroup(), relaying: newRelaying(relayConfig(o, began)),
	}
}

// Ready reports whether the VM knows enough to serve callers.
func (f *Follower) Ready() bool { return f.known.config.Load() && f.known.upstreams.Load() }

// Watchers returns a watcher for each kind.
func (f *Follower) NewWatchers() []*catalog.Watcher {
	quick := catalog.Pace{MaxWait: share(quickShare, f.bounds.StabilityWindow), BatchDelay: share(gatherUpstreamShare, f.bounds.DrainTimeout), MaxBackoff: backoff}
	slow := catalog.Pace{MaxWait: slowWait, BatchDelay: share(gatherShare, f.bounds.ConfigApplyTimeout), MaxBackoff: backoff}
	watch := func(kind catalog.Kind, pace catalog.Pace, h catalog.Handler) *catalog.Watcher {
		return catalog.NewWatcher(f.group, f.source, kind, pace, h)
	}
	return []*catalog.Watcher{
		watch(catalog.Upstreams, quick, catalog.Handler{
			Replace: f.upstreams, Apply: f.upstreamChanges, Recovered: f.service.fleet.StoreRecovered,
		}),
		watch(catalog.Configurations, slow, catalog.Handler{
			Replace: func(l []catalog.Object) { f.each(l, f.configuration) },
			Apply:   func(c []catalog.Change) { f.changes(c, f.configuration, nil) },
		}),
		watch(catalog.RollOuts, slow, catalog.Handler{
			Replace: func(l []catalog.Object) { f.each(l, f.rollOut) },
			Apply:   func(c []catalog.Change) { f.changes(c, f.rollOut, f.rollOutGone) },
		}),
		watch(catalog.Withdrawals, slow, catalog.Handler{
			Replace: f.withdrawals,
			Apply:   func(c []catalog.Change) { f.changes(c, f.withdrawn, f.returned) },
		}),
	}
}

func (f *Follower) each(list []catalog.Object, take func(catalog.Object)) {
	for _, o := range list {
		take(o)
	}
}

func (f *Follower) changes(changes []catalog.Change, take, drop func(catalog.Object)) {
	for _, c := range changes {
		switch {
		case !c.Deleted && !c.Object.Deleting:
			take(c.Object)
		case drop != nil:
			drop(c.Object)
		}
	}
}

// configuration takes a configuration that is newer than the one in force.
func (f *Follower) configuration(o catalog.Object) {
	if o.Name != f.docs.ConfigName() {
		return
	}
	config, err := f.docs.DecodeConfig(o.Spec)
	if err != nil {
		klog.ErrorS(err, "config: rejected", "revision", o.Revision)
		return
	}
	if in := f.service.configVersion(); config.Version <= in {
		klog.InfoS("config: not newer", "version", config.Version, "inForce", in)
		return
	}
	rates := make(map[string]float64, len(config.Services))
	for name, s := range config.Services {
		rates[name] = s.ColdRate
	}
	f.service.fleet.SetServices(rates)
	f.service.config.Store(config)
	f.known.config.Store(true)
	klog.InfoS("config: in force", "version", config.Version, "revision", o.Revision, "routes", config.RouteCount(), "keys", len(config.TeamsByKey))
}

// upstreams takes the whole list of upstreams.
func (f *Follower) upstreams(list []catalog.Object) {
	now := time.Now()
	out := make([]fleet.Upstream, 0, len(list))
	for _, o := range list {
		if o.Deleting {
			continue
		}
		u, err := f.docs.DecodeUpstream(o.Name, o.Spec, now)
		if err != nil {
			klog.InfoS("fleet: entry ignored", "upstream", o.Name, "revision", o.Revision, "err", logs.Err(err))
			continue
		}
		out = append(out, u)
	}
	f.service.fleet.Replace(now, out)
	f.known.upstreams.Store(true)
	klog.InfoS("fleet: listed", "upstreams", len(out))
}

func (f *Follower) upstreamChanges(changes []catalog.Change) {
	now := time.Now()
	out := make([]fleet.Change, 0, len(changes))
	for _, c := range changes {
		o := c.Object
		if c.Deleted || o.Deleting {
			out = append(out, fleet.Change{Upstream: fleet.Upstream{ID: o.Name}, Removed: true})
			klog.InfoS("fleet: upstream gone", "upstream", o.Name, "revision", o.Revision)
			continue
		}
		u, err := f.docs.DecodeUpstream(o.Name, o.Spec, now)
		if err != nil {
			klog.InfoS("fleet: entry ignored", "upstream", o.Name, "revision", o.Revision, "err", logs.Err(err))
			continue
		}
		out = append(out, fleet.Change{Upstream: u})
		klog.InfoS("fleet: upstream", "upstream", u.ID, "service", u.Service, "address", u.Address, "zone", u.Zone,
			"version", u.Version, "leaving", u.Draining, "born", u.Incarnation, "revision", o.Revision)
	}
	f.service.fleet.Apply(now, out)
}

func (f *Follower) rollOut(o catalog.Object) {
	order, err := f.docs.DecodeRollOut(o.Spec, o.Status)
	if err != nil {
		klog.InfoS("canary: order ignored", "rollout", o.Name, "revision", o.Revision, "err", logs.Err(err))
		return
	}
	if order.Service == "" {
		order.Service = o.Name
	}
	f.service.mu.Lock()
	f.orders[o.Name] = orderObject{order: order, revision: o.Revision}
	f.service.canary.SetRollOut(time.Now(), order)
	f.service.mu.Unlock()
	klog.InfoS("canary: order", "service", order.Service, "target", order.Target, "duration", order.Duration,
		"phase", order.Phase, "revision", o.Revision)
}

func (f *Follower) rollOutGone(o catalog.Object) {
	f.service.mu.Lock()
	defer f.service.mu.Unlock()
	if known, ok := f.orders[o.Name]; ok {
		f.service.canary.RemoveRollOut(known.order.Service)
		delete(f.orders, o.Name)
	}
	klog.InfoS("canary: order gone", "rollout", o.Name, "revision", o.Revision)
}

func (f *Follower) withdrawals(list []catalog.Object) {
	clear(f.withdrawnZones)
	for _, o := range list {
		if !o.Deleting {
			f.withdrawnZones[o.Name] = true
		}
	}
	f.applyZones()
}

func (f *Follower) withdrawn(o catalog.Object) {
	f.withdrawnZones[o.Name] = true
	f.applyZones()
}

func (f *Follower) returned(o catalog.Object) {
	delete(f.withdrawnZones, o.Name)
	f.applyZones()
}

func (f *Follower) applyZones() {
	zones := make([]string, 0, len(f.withdrawnZones))
	for z := range f.withdrawnZones {
		zones = append(zones, z)
	}
	f.service.fleet.SetWithdrawn(zones)
	klog.InfoS("fleet: zones withdrawn", "zones", zones)
}

// Tick times.
const (
	// tickTime is the pace of what happens by itself.
	tickTime = 100 * time.Millisecond
	// reportTimeout bounds the report of a verdict.
	reportTimeout = time.Second
	// reportAgain is the pause before a report that failed is repeated.
	reportAgain = 700 * time.Millisecond
)

// Tick decides who reads the store, judges roll-outs and expires lapsed entries
// until ctx ends. Zone lists the live VMs of this VM's zone.
func (f *Follower) RunPeriodicTasks(ctx context.Context, zone func() []string) {
	tick := time.NewTicker(tickTime)
	defer tick.Stop()
	var next time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		f.decide(now, zone())
		f.service.fleet.Expire(now)
		if now.Before(next) {
			continue
		}
		if f.judge(ctx, now) {
			next = now.Add(reportAgain)
		}
	}
}

// judge reports the verdicts that are due and tells whether there were any.
func (f *Follower) judge(ctx context.Context, now time.Time) bool {
	f.service.mu.Lock()
	verdicts := f.service.canary.Tick(now)
	f.service.mu.Unlock()
	if len(verdicts) == 0 {
		clear(f.verdicts)
		return false
	}
	patience := f.patienceWithVerdict()
	reported := false
	for _, v := range verdicts {
		key := verdictKey{v.RollOut.Service, v.RollOut.Target, v.Phase}
		since, seen := f.verdicts[key]
		if !seen {
			since = now
			f.verdicts[key] = now
		}
		if now.Sub(since) >= patience {
			f.report(ctx, v)
			reported = true
		}
	}
	return reported
}

// report writes a verdict to the store. Another VM may have been faster; the
// condition on the revision makes that harmless.
func (f *Follower) report(ctx context.Context, v canary.Verdict) {
	f.service.mu.Lock()
	name, revision := "", uint64(0)
	for n, o := range f.orders {
		if o.order.Service == v.RollOut.Service {
			name, revision = n, o.revision
		}
	}
	f.service.mu.Unlock()
	if name == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	err := f.source.WriteStatus(ctx, catalog.RollOuts, name, revision, f.docs.EncodeRollOutStatus(v.RollOut.Target, v.Phase))
	klog.InfoS("canary: verdict", "service", v.RollOut.Service, "target", v.RollOut.Target, "phase", v.Phase, "age", v.Age,
		"new", v.New.Total, "newBad", v.New.Bad, "old", v.Old.Total, "oldBad", v.Old.Bad, "route", v.Route,
		"revision", revision, "err", logs.Err(err))
	if err != nil {
		return
	}
	done := v.RollOut
	done.Phase = v.Phase
	f.service.mu.Lock()
	f.service.canary.SetRollOut(time.Now(), done)
	f.service.mu.Unlock()
}
