package catalog

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/logs"
)

const (
	// awayTime is how long the store has to fail before its return counts as one
	// after an absence.
	minOutage = 700 * time.Millisecond
	// hintTime is the least pause between two probes that other VMs cause; a VM
	// that the store turns away hears of others' success all the time.
	peerProbeInterval = 500 * time.Millisecond
)

// Group joins the watchers of one store and what they know. While the store is
// away only the prober calls it, since each call is paid for: the first answer
// renews the others, whose calls may have been sent into the outage and are
// never answered. While other VMs read the store for this one, no watcher calls.
type Group struct {
	cache *Cache
	// taking lets one word at a time be taken: watchers and other VMs speak at once.
	applyMu  sync.Mutex
	handlers map[Kind]Handler

	mu       sync.Mutex
	watchers []*Watcher
	prober   *Watcher
	mode     Mode
	// varied is true when waits of the prober differ from call to call.
	jitter bool
	// failing is since when the store fails; zero while it answers.
	failingSince time.Time
	// returned is when it last answered again after an absence.
	recoveredAt time.Time
	// proved is when the prober was last answered.
	confirmedAt time.Time
	// hinted is when the prober was last woken by another VM's word.
	peerProbeAt time.Time
}

// NewGroup returns a group without watchers.
func NewGroup() *Group {
	return &Group{cache: NewCache(), handlers: make(map[Kind]Handler)}
}

// Cache is what the group knows.
func (g *Group) Cache() *Cache { return g.cache }

// add makes a watcher part of the group, before any of them runs. The one with
// the shortest wait is the prober.
func (g *Group) add(w *Watcher) {
	g.watchers = append(g.watchers, w)
	g.handlers[w.kind] = w.handler
	if g.prober == nil || w.pace.Wait < g.prober.pace.Wait {
		g.prober = w
	}
}

// Proved is when the store last answered the watcher with the short wait: what
// is known was whole then.
func (g *Group) Proved() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.confirmedAt
}

// ProvedElsewhere takes that the store answered another VM: it is worth a probe
// when it fails here.
func (g *Group) ProvedElsewhere(at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if g.failingSince.IsZero() || !at.After(g.failingSince) || now.Sub(g.peerProbeAt) < peerProbeInterval {
		return
	}
	g.peerProbeAt = now
	g.prober.restart(peerProbeInterval)
}

// Returned is when the store last answered again after an absence.
func (g *Group) Returned() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.recoveredAt
}

// Mode is what the watchers of a group may call.
type Mode int

const (
	// Watching watchers list what they do not know and watch for changes.
	Watching Mode = iota
	// Listing watchers only list what they do not know.
	Listing
	// Parked watchers call nothing, since other VMs read the store for this one.
	Parked
)

// SetMode says what the watchers may call. The calls in progress end.
func (g *Group) SetMode(mode Mode) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.mode == mode {
		return
	}
	g.mode = mode
	if mode == Watching {
		g.prober.shortenNextWait()
	}
	for _, w := range g.watchers {
		w.restart(0)
	}
}

// Vary says whether the prober's waits differ from call to call, so that the
// VMs that read for others are answered at different times.
func (g *Group) Vary(varied bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.jitter = varied
}

// varies reports whether the waits of a watcher differ.
func (g *Group) jitters(w *Watcher) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.jitter && w == g.prober
}

// mayCall reports whether a watcher may call the store now.
func (g *Group) mayCall(w *Watcher) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.mode == Parked || g.mode == Listing && w.listed() {
		return false
	}
	return g.failingSince.IsZero() || w == g.prober
}

// Away reports whether the store fails.
func (g *Group) Away() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.failingSince.IsZero()
}

// lost notes a failed call.
func (g *Group) callFailed(w *Watcher, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.failingSince.IsZero() {
		return
	}
	g.failingSince = time.Now()
	klog.InfoS("catalog: store lost", "kind", w.kind, "complete", g.cache.Complete(w.kind), "err", logs.Err(err))
	if w != g.prober {
		g.prober.restart(0)
	}
}

// answered notes an answer of the store to a call.
func (g *Group) callSucceeded(w *Watcher) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if w == g.prober {
		g.confirmedAt = now
	}
	if g.failingSince.IsZero() || w.callStarted().Before(g.failingSince) {
		return // a call from before the outage says nothing of now
	}
	outage := now.Sub(g.failingSince)
	g.failingSince = time.Time{}
	klog.InfoS("catalog: store regained", "kind", w.kind, "away", outage)
	if outage >= minOutage {
		g.notifyRecovered(now)
	}
	g.restartOthers(w)
}

// regained tells the handlers that the store was away until a time. It is
// called with the lock held, before what the store answered is taken.
func (g *Group) notifyRecovered(at time.Time) {
	g.recoveredAt = at
	for _, h := range g.handlers {
		if h.Returned != nil {
			h.Returned(at)
		}
	}
}

// historyGone makes all watchers list anew that may have missed something.
func (g *Group) relistAfter(w *Watcher, after uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, other := range g.watchers {
		if g.cache.Complete(other.kind) <= after {
			other.setRelist(true)
		}
	}
	g.restartOthers(w)
}

func (g *Group) restartOthers(except *Watcher) {
	for _, w := range g.watchers {
		if w != except {
			w.restart(minRestartAge)
		}
	}
}

// replace takes a whole list of a kind.
func (g *Group) replace(kind Kind, list []Object, revision uint64) {
	g.applyMu.Lock()
	defer g.applyMu.Unlock()
	g.handlers[kind].Replace(g.cache.Replace(kind, list, revision))
}

// apply takes changes of a kind.
func (g *Group) apply(kind Kind, changes []Change, revision uint64) {
	g.applyMu.Lock()
	defer g.applyMu.Unlock()
	if fresh := g.cache.Apply(kind, changes, revision); len(fresh) > 0 {
		g.handlers[kind].Apply(fresh)
	}
}

// Adopt takes what another VM has told of a kind.
func (g *Group) Adopt(kind Kind, p Part) {
	if g.handlers[kind].Replace == nil {
		return
	}
	if p.Whole {
		g.replace(kind, p.Objects, p.Complete)
	} else {
		changes := make([]Change, 0, len(p.Objects)+len(p.Gone))
		for _, o := range p.Objects {
			changes = append(changes, Change{Object: o})
		}
		for name, at := range p.Gone {
			changes = append(changes, Change{Object: Object{Name: name, Revision: at}, Deleted: true})
		}
		g.apply(kind, changes, p.Complete)
	}
	g.cache.Saw(kind, p.Last)
}

// ReturnedAt takes from another VM when the store was back after an absence, on
// this VM's clock.
func (g *Group) ReturnedAt(at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if at.After(g.recoveredAt) {
		g.notifyRecovered(at)
	}
}
