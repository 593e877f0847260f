package catalog

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/logs"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// Times of a watcher.
const (
	// listTimeout bounds one list call; the store answers in milliseconds, and
	// in a few hundred when it is slow.
	listTimeout = 1500 * time.Millisecond
	// watchMargin is how much longer than it asked for a watch call may take.
	watchMargin = 700 * time.Millisecond
	// firstPause begins the exponential backoff between failed calls, each of
	// which is paid for; listPause bounds it while nothing is known yet.
	firstPause = 150 * time.Millisecond
	listPause  = 1200 * time.Millisecond
	// probeWait is the wait of watch calls while the store is away. A call that
	// was sent into an outage is never answered, so they have to be short.
	probeWait = 300 * time.Millisecond
	// freshTime is how long a watch call is taken to be sound after it began.
	freshTime = 300 * time.Millisecond
	// awayTime is how long the store has to fail before its return counts as
	// one after an absence.
	awayTime = 700 * time.Millisecond
)

// Pace is how a watcher spends calls, each of which is paid for.
type Pace struct {
	// Wait is the longest that one watch call waits for a change.
	Wait time.Duration
	// Gather is the pause after a change, so that changes that come together
	// are answered by one call.
	Gather time.Duration
	// Backoff is the longest pause between failed calls. Watchers of a group may
	// leave it to one of them to find out that the store is back.
	Backoff time.Duration
}

// Handler takes what a watcher sees, in order, in the watcher's goroutine.
type Handler struct {
	// Replace takes the whole list of a kind.
	Replace func(list []Object)
	// Apply takes changes since the list.
	Apply func(changes []Change)
	// Returned is told when the store answers again after an absence, before
	// what it answered. It may be nil.
	Returned func()
}

// Group joins the watchers of one store. A watch may go silent when the store
// drops its history; or is away; the first watcher that learns of it renews all others.
type Group struct {
	mu       sync.Mutex
	watchers []*Watcher
	answered time.Time // the store's latest answer to any of them
}

// Away is how long the store has answered no watcher, from the group's first
// call on.
func (g *Group) Away(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.answered.IsZero() {
		g.answered = now
	}
	return now.Sub(g.answered)
}

func (g *Group) sound() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answered = time.Now()
}

// Add makes a watcher part of the group, before it runs.
func (g *Group) Add(w *Watcher) {
	g.mu.Lock()
	defer g.mu.Unlock()
	w.group = g
	g.watchers = append(g.watchers, w)
}

func (g *Group) renewOthers(but *Watcher) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, w := range g.watchers {
		if w != but {
			w.renew()
		}
	}
}

// Watcher follows one kind of objects: a list, then watches from its revision.
type Watcher struct {
	group  *Group
	source Source
	kind   Kind
	pace   Pace
	handle Handler

	failing  time.Time // since when calls fail; zero when they do not
	pause    time.Duration
	revision uint64
	listed   bool

	mu     sync.Mutex
	cancel context.CancelFunc // ends the watch call in progress; nil when there is none
	began  time.Time

	wake chan struct{} // ends a pause
}

// NewWatcher returns a watcher of a kind.
func NewWatcher(source Source, kind Kind, pace Pace, handle Handler) *Watcher {
	return &Watcher{source: source, kind: kind, pace: pace, handle: handle, wake: make(chan struct{}, 1)}
}

// Run follows the kind until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		var err error
		if w.listed {
			err = w.watch(ctx)
		} else {
			err = w.list(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			continue
		}
		w.failed(err)
		w.rest(ctx, w.pause/2+rand.N(w.pause/2))
	}
}

// rest waits for d, the end of ctx, or a renewal.
func (w *Watcher) rest(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-w.wake:
	}
}

func (w *Watcher) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, at, err := w.source.List(ctx, w.kind)
	if err != nil {
		return err
	}
	w.answered()
	w.revision = at
	w.listed = true
	w.handle.Replace(list)
	return nil
}

func (w *Watcher) watch(ctx context.Context) error {
	wait := w.pace.Wait
	if !w.failing.IsZero() {
		wait = probeWait
	}
	call, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	w.setCancel(cancel)
	changes, at, err := w.source.Watch(call, w.kind, w.revision, wait)
	w.setCancel(nil)
	if errors.Is(call.Err(), context.Canceled) {
		return nil // renewed, or the process stops
	}
	if result.Is(err, result.PlatformGone) {
		klog.InfoS("catalog: history gone, listing anew", "kind", w.kind, "revision", w.revision)
		w.listed = false
		w.renewOthers()
		return nil
	}
	if err != nil {
		return err
	}
	w.answered()
	if at > w.revision {
		w.revision = at
	}
	if len(changes) > 0 {
		w.handle.Apply(changes)
		w.rest(ctx, w.pace.Gather)
	}
	return nil
}

func (w *Watcher) setCancel(cancel context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancel = cancel
	w.began = time.Now()
}

func (w *Watcher) renewOthers() {
	if w.group != nil {
		w.group.renewOthers(w)
	}
}

// renew ends the watch call or the pause in progress, so that the next call
// tells whether anything was missed. A call that has just begun is left alone.
func (w *Watcher) renew() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancel == nil {
		select {
		case w.wake <- struct{}{}:
		default: // one is waiting already
		}
		return
	}
	if time.Since(w.began) > freshTime {
		w.cancel()
	}
}

func (w *Watcher) answered() {
	if w.group != nil {
		w.group.sound()
	}
	if !w.failing.IsZero() {
		away := time.Since(w.failing)
		klog.InfoS("catalog: store regained", "kind", w.kind, "away", away)
		if away >= awayTime && w.handle.Returned != nil {
			w.handle.Returned()
		}
		// Calls that were sent into the outage are never answered.
		w.renewOthers()
	}
	w.failing = time.Time{}
	w.pause = 0
}

func (w *Watcher) failed(err error) {
	if w.failing.IsZero() {
		w.failing = time.Now()
		klog.InfoS("catalog: store lost", "kind", w.kind, "revision", w.revision, "err", logs.Err(err))
	}
	longest := listPause
	if w.listed {
		longest = w.pace.Backoff
	}
	w.pause = min(max(2*w.pause, firstPause), longest)
}
