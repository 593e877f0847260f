package catalog

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

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
	// variedLeast is the least part of a wait or pause that differs from call to
	// call.
	variedLeast = 0.1
	// idleTime is the longest rest of a watcher that may not call the store; it
	// is woken when it may again.
	idleTime = time.Minute
)

// Pace is how a watcher spends calls, each of which is paid for.
type Pace struct {
	// Wait is the longest that one watch call waits for a change.
	MaxWait time.Duration
	// Gather is the pause after a change, so that changes that come together
	// are answered by one call.
	BatchDelay time.Duration
	// Backoff is the longest pause between failed calls.
	MaxBackoff time.Duration
}

// Handler takes what a watcher sees, in order, in the watcher's goroutine.
type Handler struct {
	// Replace takes the whole list of a kind.
	Replace func(list []Object)
	// Apply takes changes since the list.
	Apply func(changes []Change)
	// Returned is told when the store answered again after an absence, before
	// what it answered. It may be nil.
	Recovered func(at time.Time)
}

// Watcher follows one kind of objects: a list, then watches from its revision.
type Watcher struct {
	group  *Group
	source Source
	kind   Kind
	pace   Pace
	handle Handler

	pause time.Duration

	mu sync.Mutex
	// again is true when the kind has to be listed anew.
	again bool
	// short is true when the next watch call has to be answered soon.
	short  bool
	cancel context.CancelFunc // ends the watch call in progress; nil when there is none
	began  time.Time

	wake chan struct{} // ends a pause
}

// NewWatcher returns a watcher of a kind that is part of a group.
func NewWatcher(group *Group, source Source, kind Kind, pace Pace, handle Handler) *Watcher {
	w := &Watcher{group: group, source: source, kind: kind, pace: pace, handle: handle, wake: make(chan struct{}, 1)}
	group.add(w)
	return w
}

// Run follows the kind until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !w.group.mayCall(w) {
			w.rest(ctx, idleTime)
			continue
		}
		err := w.call(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			w.failed(err)
			w.rest(ctx, w.pause/2+rand.N(w.pause/2))
		}
	}
}

func (w *Watcher) call(ctx context.Context) error {
	if w.known() {
		return w.watch(ctx)
	}
	return w.list(ctx)
}

// known reports whether watching goes on from what is known.
func (w *Watcher) known() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.again && w.group.cache.Listed(w.kind)
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
	call, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	w.setCancel(cancel)
	list, at, err := w.source.List(call, w.kind)
	w.setCancel(nil)
	if errors.Is(call.Err(), context.Canceled) {
		return nil // renewed, or the process stops
	}
	if err != nil {
		return err
	}
	w.answered()
	w.setAgain(false)
	w.group.replace(w.kind, list, at)
	return nil
}

func (w *Watcher) watch(ctx context.Context) error {
	wait := w.wait()
	call, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	after := w.group.cache.CompleteRevision(w.kind)
	w.setCancel(cancel)
	changes, at, err := w.source.Watch(call, w.kind, after, wait)
	w.setCancel(nil)
	if errors.Is(call.Err(), context.Canceled) {
		return nil // renewed, or the process stops
	}
	if result.Is(err, result.PlatformGone) {
		klog.InfoS("catalog: history gone, listing anew", "kind", w.kind, "after", after)
		w.group.historyGone(w, after)
		return nil
	}
	if err != nil {
		return err
	}
	w.answered()
	w.group.apply(w.kind, changes, at)
	if len(changes) > 0 {
		w.rest(ctx, w.gather())
	}
	return nil
}

// wait is how long the next watch call waits for a change.
func (w *Watcher) wait() time.Duration {
	away, varies := w.group.StoreUnavailable(), w.group.varies(w)
	w.mu.Lock()
	defer w.mu.Unlock()
	short := w.short || away
	w.short = false
	if short {
		return min(probeWait, w.pace.MaxWait)
	}
	if varies {
		return vary(w.pace.MaxWait)
	}
	return w.pace.MaxWait
}

// gather is the pause after a change.
func (w *Watcher) gather() time.Duration {
	if w.group.varies(w) {
		return vary(w.pace.BatchDelay)
	}
	return w.pace.BatchDelay
}

// vary is a random part of a time.
func vary(d time.Duration) time.Duration {
	least := time.Duration(variedLeast * float64(d))
	return least + rand.N(d-least)
}

// hurry makes the next watch call a short one.
func (w *Watcher) hurry() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.short = true
}

func (w *Watcher) setAgain(again bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.again = again
}

func (w *Watcher) setCancel(cancel context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancel = cancel
	if cancel != nil {
		w.began = time.Now()
	}
}

func (w *Watcher) callBegan() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.began
}

// renew ends the call or the pause in progress, so that the next call tells
// whether anything was missed. A call that is younger than fresh is left alone.
func (w *Watcher) renew(fresh time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancel == nil {
		select {
		case w.wake <- struct{}{}:
		default: // one is waiting already
		}
		return
	}
	if time.Since(w.began) >= fresh {
		w.cancel()
	}
}

func (w *Watcher) answered() {
	w.pause = 0
	w.group.answered(w)
}

func (w *Watcher) failed(err error) {
	longest := listPause
	if w.known() {
		longest = w.pace.MaxBackoff
	}
	w.pause = min(max(2*w.pause, firstPause), longest)
	w.group.lost(w, err)
}
