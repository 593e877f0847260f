package edge

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/canary"
	"github.com/cranberrypier/cranberrypier/internal/catalog"
	"github.com/cranberrypier/cranberrypier/internal/fleet"
	"github.com/cranberrypier/cranberrypier/internal/logs"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/vm"
)

// Wait times of the store watches. When the store drops its history, a watch
// may receive nothing until its wait time ends. The time limit for a change and
// the stability window together leave about 3 s to detect this. One watch
// therefore has a short wait time; its response restarts the other watches. The
// others wait longer, because each call to the store is billed, and other VMs tell what
// one of them misses; a VM that knows too few others waits shortly in all (maxWatchWait).
const (
	// shortMaxWaitShare is the short wait time as a share of the stability
	// window.
	shortMaxWaitShare = 0.8
	// longMaxWait is the wait time of the other watches; the store allows 30 s. It is
	// lowered to maxHistoryShare of the store's history: a watch that waited longer
	// would begin after the end of the history when it is repeated.
	longMaxWait     = 28 * time.Second
	maxHistoryShare = 0.7
	// batchDelayShare is the delay after a change, as a share of
	// Bounds.MaxConfigApplyTime, so that one call reads several changes.
	// upstreamBatchDelayShare is a share of Bounds.DrainPeriod, after which a
	// draining upstream stops serving. It is larger, because upstreams change
	// constantly in a large fleet.
	batchDelayShare         = 0.25
	upstreamBatchDelayShare = 0.5
	// maxBackoff is the longest delay between calls to an unavailable store.
	// Each VM probes the store independently, and the first one that gets a
	// response informs the others.
	maxBackoff = 1200 * time.Millisecond
	// minTimeLimit is the smallest time limit that is used. It also replaces
	// limits that the settings lack.
	minTimeLimit = time.Second
)

// shareOf returns a share of a time limit. Limits below minTimeLimit count as
// minTimeLimit.
func shareOf(share float64, limit time.Duration) time.Duration {
	return time.Duration(share * float64(max(limit, minTimeLimit)))
}

// Follower follows the store and applies its changes to the proxy.
type Follower struct {
	proxy     *Proxy
	source    catalog.Source
	docs      Documents
	bounds    vm.Bounds
	history   time.Duration // of the store; zero if unknown
	withdrawn withdrawnZones
	rollOuts  map[string]rollOutObject // keyed by object name
	readiness readiness
	// config is the object of the configuration in use.
	config atomic.Pointer[catalog.Object]
	// configMu serializes changes of the configuration in use: the store and another VM
	// may deliver one at the same time.
	configMu sync.Mutex
	lag      configLag
	// dialPeer opens the connections to other VMs for their state; nil for TCP.
	dialPeer DialFunc
	// zone is this VM's availability zone.
	zone string
	// group watches the store; relay decides whether this VM reads it itself.
	group *catalog.Group
	relay *relayState
	// aloneSince is when this VM last knew enough others, or when it started.
	aloneSince time.Time
	// verdictDueAt holds when each pending verdict is written to the store next. A
	// verdict is a change of a roll-out's phase; it is pending until it is in the store.
	verdictDueAt map[verdictKey]time.Time
}

// verdictKey identifies a verdict.
type verdictKey struct {
	service, newVersion string
	phase               canary.Phase
}

// rollOutObject is the last received state of a roll-out's object.
type rollOutObject struct {
	rollOut  canary.RollOut
	revision uint64
}

// NewFollower returns a follower that has not loaded anything yet.
func NewFollower(s *Proxy, o Options, startedAt time.Time) *Follower {
	return &Follower{
		proxy: s, source: o.Source, docs: o.Documents, bounds: o.Settings.Bounds, history: o.Settings.Store.History, zone: o.Settings.Zone,
		withdrawn: newWithdrawnZones(), rollOuts: make(map[string]rollOutObject), verdictDueAt: make(map[verdictKey]time.Time),
		group: catalog.NewGroup(), aloneSince: time.Now(), relay: newRelayState(newRelayConfig(o, startedAt)),
	}
}

// Ready reports whether the configuration and the upstreams are loaded, so that
// the VM can serve callers.
func (f *Follower) Ready() bool { return f.readiness.check(time.Now(), f.proxy.fleet.Len()) }

// NewWatchers returns a watcher for each kind.
func (f *Follower) NewWatchers() []*catalog.Watcher {
	shortPace := catalog.Pace{MaxWait: shareOf(shortMaxWaitShare, f.bounds.StabilityWindow), BatchDelay: shareOf(upstreamBatchDelayShare, f.bounds.DrainPeriod), MaxBackoff: maxBackoff}
	longWait := longMaxWait
	if f.history > 0 {
		longWait = min(longWait, time.Duration(maxHistoryShare*float64(f.history)))
	}
	longPace := catalog.Pace{MaxWait: longWait, BatchDelay: shareOf(batchDelayShare, f.bounds.MaxConfigApplyTime), MaxBackoff: maxBackoff}
	newWatcher := func(kind catalog.Kind, pace catalog.Pace, h catalog.Handler) *catalog.Watcher {
		return catalog.NewWatcher(f.group, f.source, kind, pace, h)
	}
	return []*catalog.Watcher{
		newWatcher(catalog.Upstreams, shortPace, catalog.Handler{
			Replace: f.replaceUpstreams, Apply: f.applyUpstreamChanges, Recovered: f.proxy.fleet.StoreRecovered,
		}),
		newWatcher(catalog.Configurations, longPace, catalog.Handler{
			Replace: func(l []catalog.Object, _ bool) { f.applyEach(l, f.applyConfig) },
			Apply:   func(c []catalog.Change) { f.applyChanges(c, f.applyConfig, nil) },
		}),
		newWatcher(catalog.RollOuts, longPace, catalog.Handler{
			Replace: f.replaceRollOuts,
			Apply:   func(c []catalog.Change) { f.applyChanges(c, f.applyRollOut, f.removeRollOut) },
		}),
		newWatcher(catalog.Withdrawals, longPace, catalog.Handler{
			Replace: f.replaceWithdrawals,
			Apply:   func(c []catalog.Change) { f.applyChanges(c, f.withdrawZone, f.restoreZone) },
		}),
	}
}

func (f *Follower) applyEach(list []catalog.Object, apply func(catalog.Object)) {
	for _, o := range list {
		apply(o)
	}
}

func (f *Follower) applyChanges(changes []catalog.Change, apply, remove func(catalog.Object)) {
	for _, c := range changes {
		switch {
		case !c.Deleted && !c.Object.Deleting:
			apply(c.Object)
		case remove != nil:
			remove(c.Object)
		}
	}
}

// applyConfig applies a configuration that is newer than the current one.
func (f *Follower) applyConfig(o catalog.Object) {
	if o.Name != f.docs.ConfigName() {
		return
	}
	config, err := f.docs.DecodeConfig(o.Spec)
	if err != nil {
		klog.ErrorS(err, "config: ignored, because it cannot be decoded", "revision", o.Revision)
		return
	}
	f.configMu.Lock()
	defer f.configMu.Unlock()
	if current := f.proxy.configVersion(); config.Version <= current {
		klog.InfoS("config: ignored, because its version is not newer", "version", config.Version, "inForce", current)
		return
	}
	rates := make(map[string]float64, len(config.Services))
	for name, s := range config.Services {
		rates[name] = s.ColdRate
	}
	f.proxy.fleet.SetColdRates(rates)
	f.proxy.config.Store(config)
	f.proxy.forwarder.retainServices(func(name string) bool { return config.Services[name] != nil })
	f.config.Store(&o)
	f.readiness.configLoaded()
	lag := f.lag.apply(time.Now(), config.Version)
	klog.InfoS("config: applied", "version", config.Version, "revision", o.Revision, "routes", config.RouteCount(), "keys", len(config.TeamsByKey),
		"bytes", len(o.Spec), "lag", lag)
}

// configNewerThan returns the object of the configuration in use if its version is
// above the given one, otherwise nil.
func (f *Follower) configNewerThan(version uint64) *catalog.Object {
	if f.proxy.configVersion() <= version {
		return nil
	}
	return f.config.Load()
}

// replaceUpstreams applies a complete list of upstreams. The first list of a new
// era lacks upstreams that have not written their entry again yet.
func (f *Follower) replaceUpstreams(list []catalog.Object, newEra bool) {
	now := time.Now()
	if newEra {
		f.proxy.fleet.StoreRecovered(now)
	}
	out := make([]fleet.Upstream, 0, len(list))
	for _, o := range list {
		if o.Deleting {
			continue
		}
		u, err := f.decodeUpstream(o, now)
		if err != nil {
			klog.InfoS("fleet: entry ignored, because it cannot be decoded", "upstream", o.Name, "revision", o.Revision, "err", logs.Err(err))
			continue
		}
		out = append(out, u)
	}
	f.proxy.fleet.Replace(now, out)
	f.readiness.upstreamsLoaded()
	klog.InfoS("fleet: list of upstreams applied", "upstreams", len(out))
}

func (f *Follower) decodeUpstream(o catalog.Object, now time.Time) (fleet.Upstream, error) {
	u, err := f.docs.DecodeUpstream(o.Name, o.Spec, now)
	u.Era = catalog.EraOf(o.Revision)
	return u, err
}

func (f *Follower) applyUpstreamChanges(changes []catalog.Change) {
	now := time.Now()
	out := make([]fleet.Change, 0, len(changes))
	for _, c := range changes {
		o := c.Object
		if c.Deleted || o.Deleting {
			out = append(out, fleet.Change{Upstream: fleet.Upstream{ID: o.Name}, Removed: true})
			klog.InfoS("fleet: upstream removed", "upstream", o.Name, "revision", o.Revision)
			continue
		}
		u, err := f.decodeUpstream(o, now)
		if err != nil {
			klog.InfoS("fleet: entry ignored, because it cannot be decoded", "upstream", o.Name, "revision", o.Revision, "err", logs.Err(err))
			continue
		}
		out = append(out, fleet.Change{Upstream: u})
		klog.InfoS("fleet: upstream added or changed", "upstream", u.ID, "service", u.Service, "address", u.Address, "zone", u.Zone,
			"version", u.Version, "leaving", u.Leaving, "born", u.Incarnation, "revision", o.Revision)
	}
	f.proxy.fleet.Apply(now, out)
}

// replaceRollOuts applies a complete list of roll-outs.
func (f *Follower) replaceRollOuts(list []catalog.Object, newEra bool) {
	if newEra {
		f.proxy.mu.Lock()
		f.proxy.canary.StoreRestored(time.Now())
		f.proxy.mu.Unlock()
	}
	f.applyEach(list, f.applyRollOut)
	f.proxy.mu.Lock()
	f.proxy.canary.RollOutsListed()
	f.proxy.mu.Unlock()
	f.readiness.rollOutsLoaded()
}

func (f *Follower) applyRollOut(o catalog.Object) {
	rollOut, err := f.docs.DecodeRollOut(o.Spec, o.Status)
	if err != nil {
		klog.InfoS("canary: roll-out ignored, because it cannot be decoded", "rollout", o.Name, "revision", o.Revision, "err", logs.Err(err))
		return
	}
	if rollOut.Service == "" {
		rollOut.Service = o.Name
	}
	f.proxy.mu.Lock()
	f.rollOuts[o.Name] = rollOutObject{rollOut: rollOut, revision: o.Revision}
	applied := f.proxy.canary.SetRollOut(time.Now(), rollOut)
	f.proxy.mu.Unlock()
	if !applied {
		klog.InfoS("canary: roll-out ignored, because a newer one replaced it before the store came back from an older copy",
			"service", rollOut.Service, "target", rollOut.NewVersion, "revision", o.Revision)
		return
	}
	klog.InfoS("canary: roll-out applied", "service", rollOut.Service, "target", rollOut.NewVersion, "duration", rollOut.Duration,
		"phase", rollOut.Phase, "revision", o.Revision)
	if rollOut.Phase == canary.InProgress && !rollOut.CapsExposure() {
		klog.InfoS("canary: the roll-out is too short to cap the exposure of a version that is not judged; all sessions move after the trial",
			"code", int(result.RollOutTooShort), "service", rollOut.Service, "target", rollOut.NewVersion, "duration", rollOut.Duration)
	}
}

func (f *Follower) removeRollOut(o catalog.Object) {
	f.proxy.mu.Lock()
	defer f.proxy.mu.Unlock()
	if known, ok := f.rollOuts[o.Name]; ok {
		f.proxy.canary.RemoveRollOut(known.rollOut.Service)
		delete(f.rollOuts, o.Name)
	}
	klog.InfoS("canary: roll-out deleted from the store", "rollout", o.Name, "revision", o.Revision)
}

// Intervals and timeouts of the periodic tasks.
const (
	// tickInterval is the interval of the periodic tasks.
	tickInterval = 100 * time.Millisecond
	// verdictWriteTimeout limits one write of a verdict to the store.
	verdictWriteTimeout = time.Second
	// verdictRetryInterval is the pause after this VM has written a verdict,
	// successfully or not, until it writes the same one again.
	verdictRetryInterval = 700 * time.Millisecond
)

// RunPeriodicTasks decides whether this VM reads the store, judges roll-outs and
// removes expired upstreams, until ctx ends. The function liveInZone lists the
// live VMs in this VM's zone and counts the zones.
func (f *Follower) RunPeriodicTasks(ctx context.Context, liveInZone func() ([]string, int)) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		zone, zones := liveInZone()
		f.updateReadDecision(now, zone, zones)
		if f.Ready() {
			f.proxy.started.signal()
		}
		f.proxy.fleet.Expire(now)
		f.proxy.expireBrittle(now)
		f.expireWithdrawals(now)
		f.writeDueVerdicts(ctx, now)
	}
}

// writeDueVerdicts judges the roll-outs and writes the verdicts that are due.
func (f *Follower) writeDueVerdicts(ctx context.Context, now time.Time) {
	f.proxy.mu.Lock()
	verdicts := f.proxy.canary.Tick(now)
	holds := f.proxy.canary.NewHolds()
	f.proxy.mu.Unlock()
	for _, h := range holds {
		klog.InfoS("canary: the roll-out is held, because the version is not shown to be as good as the old one", "code", int(result.RollOutHeld),
			"service", h.RollOut.Service, "target", h.RollOut.NewVersion, "duration", h.RollOut.Duration, "route", h.Key, "harmFactor", h.Factor)
	}
	if len(verdicts) == 0 {
		clear(f.verdictDueAt)
		return
	}
	delay := f.verdictDelay()
	for _, v := range verdicts {
		key := verdictKey{v.RollOut.Service, v.RollOut.NewVersion, v.Phase}
		dueAt, known := f.verdictDueAt[key]
		if !known {
			dueAt = now.Add(delay)
			f.verdictDueAt[key] = dueAt
		}
		if !now.Before(dueAt) {
			f.writeVerdict(ctx, v)
			f.verdictDueAt[key] = time.Now().Add(verdictRetryInterval)
		}
	}
}

// writeVerdict writes a verdict to the store. If another VM wrote it first, the
// write fails the condition on the revision and changes nothing.
func (f *Follower) writeVerdict(ctx context.Context, v canary.Verdict) {
	f.proxy.mu.Lock()
	name, revision := "", uint64(0)
	for n, o := range f.rollOuts {
		if o.rollOut.Service == v.RollOut.Service {
			name, revision = n, o.revision
		}
	}
	f.proxy.mu.Unlock()
	if name == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, verdictWriteTimeout)
	defer cancel()
	err := f.source.WriteStatus(ctx, catalog.RollOuts, name, revision, f.docs.EncodeRollOutStatus(v.RollOut.NewVersion, v.Phase))
	klog.InfoS("canary: tried to write the verdict to the store", "service", v.RollOut.Service, "target", v.RollOut.NewVersion, "phase", v.Phase, "age", v.Progress,
		"new", v.New.Total, "newBad", v.New.Bad, "old", v.Old.Total, "oldBad", v.Old.Bad, "route", v.Route,
		"newLoad", v.NewLoad.Mean(), "newLoadMost", v.NewLoad.Most, "oldLoad", v.OldLoad.Mean(), "oldLoadMost", v.OldLoad.Most,
		"revision", revision, "err", logs.Err(err))
	if err != nil {
		return
	}
	updated := v.RollOut
	updated.Phase = v.Phase
	f.proxy.mu.Lock()
	defer f.proxy.mu.Unlock()
	if f.rollOuts[name].revision == revision { // otherwise the store has delivered something newer
		_ = f.proxy.canary.SetRollOut(time.Now(), updated) // a verdict is on a roll-out that is applied
	}
}
