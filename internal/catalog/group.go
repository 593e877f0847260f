package catalog

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/logs"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

const (
	// minOutage is how long the store must be unavailable before its recovery is
	// reported to the handlers.
	minOutage = 700 * time.Millisecond
	// minConfirmDelay is how long after the prober's first response the other watchers
	// have received changes that were due.
	minConfirmDelay = 50 * time.Millisecond
	// peerProbeInterval is the minimum interval between probes that are triggered
	// by other VMs. Without it, a VM that the store rejects would probe after each
	// datagram of a VM to which the store responds.
	peerProbeInterval = 500 * time.Millisecond
)

// Group coordinates the watchers of one store and holds their shared cache.
// While the store is unavailable, only the prober, the watcher with the shortest
// wait, calls it, because every call is billed. The first response restarts the
// other watchers, since calls that were sent during the outage may never be
// answered. While other VMs read the store for this VM, no watcher calls it.
type Group struct {
	cache *Cache
	// applyMu serializes the changes that watchers and other VMs deliver
	// concurrently.
	applyMu  sync.Mutex
	handlers map[Kind]Handler

	mu       sync.Mutex
	watchers []*Watcher
	prober   *Watcher
	mode     Mode
	// proberWait limits the prober's waits and delays; zero for no limit.
	proberWait time.Duration
	// failingSince is when the current outage began; zero while the store responds.
	failingSince time.Time
	// recoveredAt is when the store last recovered from an outage of at least
	// minOutage, as seen by this VM or reported by another VM.
	recoveredAt time.Time
	// maxWait limits the waits of all watchers; zero for no limit.
	maxWait time.Duration
	// unproven is true from SetMode(Watching) until the prober's first response. Only
	// the prober calls the store meanwhile. From confirmableFrom on, the prober's
	// responses confirm the copy: the other watchers have called the store, too.
	unproven        bool
	confirmableFrom time.Time
	// confirmedAt is when the prober last received a response. It is set just before
	// the response is applied.
	confirmedAt time.Time
	missed      missedChanges
	// peerProbeAt is when another VM's confirmation last triggered a probe.
	peerProbeAt time.Time
}

// NewGroup returns a group without watchers.
func NewGroup() *Group {
	return &Group{cache: NewCache(), handlers: make(map[Kind]Handler)}
}

// Cache returns the cache that the watchers share.
func (g *Group) Cache() *Cache { return g.cache }

// add adds a watcher to the group. It must be called before any watcher runs.
// The watcher with the shortest wait is the prober.
func (g *Group) add(w *Watcher) {
	g.watchers = append(g.watchers, w)
	g.handlers[w.kind] = w.handler
	if g.prober == nil || w.pace.MaxWait < g.prober.pace.MaxWait {
		g.prober = w
	}
}

// LastConfirmed returns when the store last responded to the prober. The cached copy
// was complete at that time. It returns zero while some kinds are cached from an
// earlier era of the store than others, because these are not complete.
func (g *Group) LastConfirmed() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.cache.IsOneEra() {
		return time.Time{}
	}
	return g.confirmedAt
}

// PeerConfirmed is called when another VM reports when the store last responded to
// it. If this VM's current outage began before that time, the store responds to the
// other VM but not yet to this one. The prober is then woken to call the store, at
// most once per peerProbeInterval.
func (g *Group) PeerConfirmed(at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if g.failingSince.IsZero() || !at.After(g.failingSince) || now.Sub(g.peerProbeAt) < peerProbeInterval {
		return
	}
	g.peerProbeAt = now
	g.prober.restart(peerProbeInterval) // a younger call may still succeed
}

// LastRecovered returns when the store last recovered from an outage of at least
// minOutage, as seen by this VM or reported by another VM.
func (g *Group) LastRecovered() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.recoveredAt
}

// Mode states which calls the watchers of a group may make.
type Mode int

const (
	// Watching watchers list kinds that are not cached yet and watch for changes.
	Watching Mode = iota
	// Listing watchers only list kinds that are not cached yet.
	Listing
	// Idle watchers make no calls, because other VMs read the store for this VM.
	Idle
)

// SetMode sets the mode. If the mode changes, all watchers restart, so that they
// follow it at once.
func (g *Group) SetMode(mode Mode) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.mode == mode {
		return
	}
	g.mode = mode
	g.unproven = mode == Watching
	for _, w := range g.watchers {
		w.restart(0)
	}
}

// SetProberWait limits the prober's waits and the delays after its changes, and
// randomizes them, so that the VMs that read for others receive responses often
// enough and at different times. Zero means no limit.
func (g *Group) SetProberWait(limit time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.proberWait = limit
}

// SetMaxWait limits the waits of all watchers; zero means no limit. A watch without a
// response is noticed only when its wait is over, so the waits must be short while no
// other VM would tell what it misses. A new limit ends the watches in progress. It reports
// whether the limit has changed.
func (g *Group) SetMaxWait(limit time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if limit == g.maxWait {
		return false
	}
	g.maxWait = limit
	if limit > 0 && g.mode == Watching {
		g.restartOthers(g.prober)
	}
	return true
}

// waitLimit returns the limit of the waits of all watchers; zero for none.
func (g *Group) waitLimit() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.maxWait
}

// proberLimit returns the limit of the waits of a watcher; zero for none.
func (g *Group) proberLimit(w *Watcher) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w != g.prober {
		return 0
	}
	return g.proberWait
}

// mayCall reports whether a watcher may call the store now.
func (g *Group) mayCall(w *Watcher) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.mode == Idle || g.mode == Listing && w.canWatch() {
		return false
	}
	return w == g.prober || g.failingSince.IsZero() && !g.unproven
}

// isProber reports whether a watcher is the prober.
func (g *Group) isProber(w *Watcher) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return w == g.prober
}

// isUnproven reports whether the prober's first response since SetMode(Watching) is
// still missing.
func (g *Group) isUnproven() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.unproven
}

// TriesInVain reports whether this VM calls the store and gets no response.
func (g *Group) TriesInVain() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mode != Idle && (g.unproven || !g.failingSince.IsZero())
}

// StoreUnavailable reports whether calls to the store currently fail.
func (g *Group) StoreUnavailable() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.failingSince.IsZero()
}

// callFailed records a failed call of a watcher.
func (g *Group) callFailed(w *Watcher, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.failingSince.IsZero() {
		return
	}
	g.failingSince = time.Now()
	klog.InfoS("catalog: a call to the store failed; the store is treated as unavailable", "kind", w.kind, "complete", g.cache.CompleteRevision(w.kind), "err", logs.Err(err))
	if w != g.prober {
		g.prober.restart(0)
	}
}

// callSucceeded records the store's response to a watcher's call.
func (g *Group) callSucceeded(w *Watcher) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.storeResponded(w, now)
	if w == g.prober && !now.Before(g.confirmableFrom) {
		g.confirmedAt = now
	}
}

// responseUnusable records a response that cannot be used. It shows that the store is
// available, but confirms nothing.
func (g *Group) responseUnusable(w *Watcher, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	klog.InfoS("catalog: the store's response cannot be used; the kind is listed next", "code", int(result.PlatformUnusable), "kind", w.kind,
		"complete", g.cache.CompleteRevision(w.kind), "err", logs.Err(err))
	g.storeResponded(w, time.Now())
}

// storeResponded records that the store responded to a watcher's call. It is called with
// the lock held.
func (g *Group) storeResponded(w *Watcher, now time.Time) {
	if g.unproven && w == g.prober {
		g.unproven, g.confirmableFrom = false, now.Add(minConfirmDelay)
		w.shortenNextWait()
		g.restartOthers(w)
	}
	if g.failingSince.IsZero() || w.callStartTime().Before(g.failingSince) {
		return // a call sent before the outage does not show that the outage is over
	}
	outage := now.Sub(g.failingSince)
	g.failingSince = time.Time{}
	klog.InfoS("catalog: the store responds again", "kind", w.kind, "away", outage)
	if outage >= minOutage {
		g.notifyRecovered(now)
	}
	g.restartOthers(w)
}

// notifyRecovered passes the time of the store's recovery to the handlers. It is
// called with the lock held. callSucceeded calls it before the store's response is
// applied.
func (g *Group) notifyRecovered(at time.Time) {
	g.recoveredAt = at
	for _, h := range g.handlers {
		if h.Recovered != nil {
			h.Recovered(at)
		}
	}
}

// Relist lets the watcher of a kind list it at its next call. A list has each object once,
// a watch each of its versions since the copy.
func (g *Group) Relist(kind Kind) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, w := range g.watchers {
		if w.kind == kind {
			w.setRelist(true)
		}
	}
}

// relistBehind is called when the store no longer has the history after a
// revision. Watchers whose kind is not complete beyond that revision may have
// missed changes and list their kind again.
func (g *Group) relistBehind(w *Watcher, after uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, other := range g.watchers {
		if g.cache.CompleteRevision(other.kind) <= after {
			other.setRelist(true)
		}
	}
	g.restartOthers(w)
}

// restartEarlierEras restarts the watchers whose kinds are cached from an earlier
// era of the store than others. They list their kinds again; see Watcher.canWatch.
func (g *Group) restartEarlierEras() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, w := range g.watchers {
		if g.cache.isEarlierEra(w.kind) {
			w.restartUnlessListing()
		}
	}
}

func (g *Group) restartOthers(except *Watcher) {
	for _, w := range g.watchers {
		if w != except {
			w.restart(minRestartAge)
		}
	}
}

// replace applies a full list of a kind, which the function merge merges into the
// cache.
func (g *Group) replace(kind Kind, revision uint64, merge func() []Object) {
	g.applyMu.Lock()
	defer g.applyMu.Unlock()
	before := g.cache.CompleteRevision(kind)
	newEra := g.cache.Listed(kind) && EraOf(revision) > EraOf(before)
	if newEra {
		klog.InfoS("catalog: the store began a new era; it came back from an older copy", "kind", kind, "era", EraOf(revision), "before", EraOf(before))
	}
	g.handlers[kind].Replace(merge(), newEra)
	g.recordListed(kind, revision)
	if newEra {
		g.restartEarlierEras()
	}
}

// apply applies changes of a kind.
func (g *Group) apply(kind Kind, changes []Change, revision uint64) {
	g.applyMu.Lock()
	defer g.applyMu.Unlock()
	fresh := g.cache.Apply(kind, changes, revision)
	g.recordSeen(kind, changes, len(fresh))
	if len(fresh) > 0 {
		g.handlers[kind].Apply(fresh)
	}
}

// ApplyUpdate applies an update of a kind from another VM. It ignores kinds
// without a watcher, whose handler is empty.
func (g *Group) ApplyUpdate(kind Kind, u Update) {
	if g.handlers[kind].Replace == nil {
		return
	}
	if u.Full {
		g.replace(kind, u.CompleteRevision, func() []Object { return g.cache.ReplaceByUpdate(kind, u) })
	} else {
		changes := make([]Change, 0, len(u.Objects)+len(u.Deletions))
		for _, o := range u.Objects {
			changes = append(changes, Change{Object: o})
		}
		for name, at := range u.Deletions {
			changes = append(changes, Change{Object: Object{Name: name, Revision: at}, Deleted: true})
		}
		g.apply(kind, changes, u.CompleteRevision)
	}
	g.cache.RecordLatest(kind, u.LatestRevision)
}

// PeerRecovered is called when another VM reports that the store recovered from
// an outage. The time is on this VM's clock.
func (g *Group) PeerRecovered(at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if at.After(g.recoveredAt) {
		g.notifyRecovered(at)
	}
}
