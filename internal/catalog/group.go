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
	awayTime = 700 * time.Millisecond
	// hintTime is the least pause between two probes that other VMs cause; a VM
	// that the store turns away hears of others' success all the time.
	hintTime = 500 * time.Millisecond
)

// Group joins the watchers of one store and what they know. While the store is
// away only the prober calls it, since each call is paid for: the first answer
// renews the others, whose calls may have been sent into the outage and are
// never answered. While other VMs read the store for this one, no watcher calls.
type Group struct {
	cache *Cache
	// taking lets one word at a time be taken: watchers and other VMs speak at once.
	taking   sync.Mutex
	handlers map[Kind]Handler

	mu       sync.Mutex
	watchers []*Watcher
	prober   *Watcher
	mode     Mode
	// varied is true when waits of the prober differ from call to call.
	varied bool
	// failing is since when the store fails; zero while it answers.
	failing time.Time
	// returned is when it last answered again after an absence.
	returned time.Time
	// proved is when the prober was last answered.
	proved time.Time
	// hinted is when the prober was last woken by another VM's word.
	hinted time.Time
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
	g.handlers[w.kind] = w.handle
	if g.prober == nil || w.pace.MaxWait < g.prober.pace.MaxWait {
		g.prober = w
	}
}

// Proved is when the store last answered the watcher with the short wait: what
// is known was whole then.
func (g *Group) LastConfirmed() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.proved
}

// ProvedElsewhere takes that the store answered another VM: it is worth a probe
// when it fails here.
func (g *Group) PeerConfirmed(at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if g.failing.IsZero() || !at.After(g.failing) || now.Sub(g.hinted) < hintTime {
		return
	}
	g.hinted = now
	g.prober.renew(hintTime)
}

// Returned is when the store last answered again after an absence.
func (g *Group) LastRecovered() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.returned
}

// Mode is what the watchers of a group may call.
type Mode int

const (
	// Watching watchers list what they do not know and watch for changes.
	Watching Mode = iota
	// Listing watchers only list what they do not know.
	Listing
	// Parked watchers call nothing, since other VMs read the store for this one.
	Idle
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
		g.prober.hurry()
	}
	for _, w := range g.watchers {
		w.renew(0)
	}
}

// Vary says whether the prober's waits differ from call to call, so that the
// VMs that read for others are answered at different times.
func (g *Group) SetJitter(varied bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.varied = varied
}

// varies reports whether the waits of a watcher differ.
func (g *Group) varies(w *Watcher) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.varied && w == g.prober
}

// mayCall reports whether a watcher may call the store now.
func (g *Group) mayCall(w *Watcher) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.mode == Idle || g.mode == Listing && w.known() {
		return false
	}
	return g.failing.IsZero() || w == g.prober
}

// Away reports whether the store fails.
func (g *Group) StoreUnavailable() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.failing.IsZero()
}

// lost notes a failed call.
func (g *Group) lost(w *Watcher, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.failing.IsZero() {
		return
	}
	g.failing = time.Now()
	klog.InfoS("catalog: store lost", "kind", w.kind, "complete", g.cache.CompleteRevision(w.kind), "err", logs.Err(err))
	if w != g.prober {
		g.prober.renew(0)
	}
}

// answered notes an answer of the store to a call.
func (g *Group) answered(w *Watcher) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if w == g.prober {
		g.proved = now
	}
	if g.failing.IsZero() || w.callBegan().Before(g.failing) {
		return // a call from before the outage says nothing of now
	}
	away := now.Sub(g.failing)
	g.failing = time.Time{}
	klog.InfoS("catalog: store regained", "kind", w.kind, "away", away)
	if away >= awayTime {
		g.regained(now)
	}
	g.renewOthers(w)
}

// regained tells the handlers that the store was away until a time. It is
// called with the lock held, before what the store answered is taken.
func (g *Group) regained(at time.Time) {
	g.returned = at
	for _, h := range g.handlers {
		if h.Recovered != nil {
			h.Recovered(at)
		}
	}
}

// historyGone makes all watchers list anew that may have missed something.
func (g *Group) historyGone(w *Watcher, after uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, other := range g.watchers {
		if g.cache.CompleteRevision(other.kind) <= after {
			other.setAgain(true)
		}
	}
	g.renewOthers(w)
}

func (g *Group) renewOthers(but *Watcher) {
	for _, w := range g.watchers {
		if w != but {
			w.renew(freshTime)
		}
	}
}

// replace takes a whole list of a kind.
func (g *Group) replace(kind Kind, list []Object, at uint64) {
	g.taking.Lock()
	defer g.taking.Unlock()
	g.handlers[kind].Replace(g.cache.Replace(kind, list, at))
}

// apply takes changes of a kind.
func (g *Group) apply(kind Kind, changes []Change, at uint64) {
	g.taking.Lock()
	defer g.taking.Unlock()
	if fresh := g.cache.Apply(kind, changes, at); len(fresh) > 0 {
		g.handlers[kind].Apply(fresh)
	}
}

// Adopt takes what another VM has told of a kind.
func (g *Group) ApplyUpdate(kind Kind, p Update) {
	if g.handlers[kind].Replace == nil {
		return
	}
	if p.Full {
		g.replace(kind, p.Objects, p.CompleteRevision)
	} else {
		changes := make([]Change, 0, len(p.Objects)+len(p.Deletions))
		for _, o := range p.Objects {
			changes = append(changes, Change{Object: o})
		}
		for name, at := range p.Deletions {
			changes = append(changes, Change{Object: Object{Name: name, Revision: at}, Deleted: true})
		}
		g.apply(kind, changes, p.CompleteRevision)
	}
	g.cache.RecordLatest(kind, p.LatestRevision)
}

// ReturnedAt takes from another VM when the store was back after an absence, on
// this VM's clock.
func (g *Group) PeerRecovered(at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if at.After(g.returned) {
		g.regained(at)
	}
}
