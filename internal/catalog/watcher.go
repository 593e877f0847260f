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
	minBackoff     = 150 * time.Millisecond
	maxListBackoff = 1200 * time.Millisecond
	// probeWait is the wait of watch calls while the store is away. A call that
	// was sent into an outage is never answered, so they have to be short.
	probeWait = 300 * time.Millisecond
	// freshTime is how long a watch call is taken to be sound after it began.
	minRestartAge = 300 * time.Millisecond
	// variedLeast is the least part of a wait or pause that differs from call to
	// call.
	minJitterShare = 0.1
	// idleTime is the longest rest of a watcher that may not call the store; it
	// is woken when it may again.
	idleTimeout = time.Minute
)

// Pace is how a watcher spends calls, each of which is paid for.
type Pace struct {
	// Wait is the longest that one watch call waits for a change.
	Wait time.Duration
	// Gather is the pause after a change, so that changes that come together
	// are answered by one call.
	Gather time.Duration
	// Backoff is the longest pause between failed calls.
	Backoff time.Duration
}

// Handler takes what a watcher sees, in order, in the watcher's goroutine.
type Handler struct {
	// Replace takes the whole list of a kind.
	Replace func(list []Object)
	// Apply takes changes since the list.
	Apply func(changes []Change)
	// Returned is told when the store answered again after an absence, before
	// what it answered. It may be nil.
	Returned func(at time.Time)
}

// Watcher follows one kind of objects: a list, then watches from its revision.
type Watcher struct {
	group   *Group
	source  Source
	kind    Kind
	pace    Pace
	handler Handler

	backoff time.Duration

	mu sync.Mutex
	// again is true when the kind has to be listed anew.
	relist bool
	// short is true when the next watch call has to be answered soon.
	shortWait     bool
	cancel        context.CancelFunc // ends the watch call in progress; nil when there is none
	callStartedAt time.Time

	wake chan struct{} // ends a pause
}

// NewWatcher returns a watcher of a kind that is part of a group.
func NewWatcher(group *Group, source Source, kind Kind, pace Pace, handler Handler) *Watcher {
	w := &Watcher{group: group, source: source, kind: kind, pace: pace, handler: handler, wake: make(chan struct{}, 1)}
	group.add(w)
	return w
}

// Run follows the kind until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !w.group.mayCall(w) {
			w.sleep(ctx, idleTimeout)
			continue
		}
		err := w.call(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			w.callFailed(err)
			w.sleep(ctx, w.backoff/2+rand.N(w.backoff/2))
		}
	}
}

func (w *Watcher) call(ctx context.Context) error {
	if w.listed() {
		return w.watch(ctx)
	}
	return w.list(ctx)
}

// known reports whether watching goes on from what is known.
func (w *Watcher) listed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.relist && w.group.cache.Known(w.kind)
}

// rest waits for d, the end of ctx, or a renewal.
func (w *Watcher) sleep(ctx context.Context, d time.Duration) {
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
	list, revision, err := w.source.List(call, w.kind)
	w.setCancel(nil)
	if errors.Is(call.Err(), context.Canceled) {
		return nil // renewed, or the process stops
	}
	if err != nil {
		return err
	}
	w.callSucceeded()
	w.setRelist(false)
	w.group.replace(w.kind, list, revision)
	return nil
}

func (w *Watcher) watch(ctx context.Context) error {
	wait := w.nextWait()
	call, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	after := w.group.cache.Complete(w.kind)
	w.setCancel(cancel)
	changes, revision, err := w.source.Watch(call, w.kind, after, wait)
	w.setCancel(nil)
	if errors.Is(call.Err(), context.Canceled) {
		return nil // renewed, or the process stops
	}
	if result.Is(err, result.PlatformGone) {
		klog.InfoS("catalog: history gone, listing anew", "kind", w.kind, "after", after)
		w.group.relistAfter(w, after)
		return nil
	}
	if err != nil {
		return err
	}
	w.callSucceeded()
	w.group.apply(w.kind, changes, revision)
	if len(changes) > 0 {
		w.sleep(ctx, w.batchDelay())
	}
	return nil
}

// wait is how long the next watch call waits for a change.
func (w *Watcher) nextWait() time.Duration {
	unavailable, jitters := w.group.Away(), w.group.jitters(w)
	w.mu.Lock()
	defer w.mu.Unlock()
	short := w.shortWait || unavailable
	w.shortWait = false
	if short {
		return min(probeWait, w.pace.Wait)
	}
	if jitters {
		return withJitter(w.pace.Wait)
	}
	return w.pace.Wait
}

// gather is the pause after a change.
func (w *Watcher) batchDelay() time.Duration {
	if w.group.jitters(w) {
		return withJitter(w.pace.Gather)
	}
	return w.pace.Gather
}

// vary is a random part of a time.
func withJitter(d time.Duration) time.Duration {
	minimum := time.Duration(minJitterShare * float64(d))
	return minimum + rand.N(d-minimum)
}

// hurry makes the next watch call a short one.
func (w *Watcher) shortenNextWait() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.shortWait = true
}

func (w *Watcher) setRelist(relist bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.relist = relist
}

func (w *Watcher) setCancel(cancel context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancel = cancel
	if cancel != nil {
		w.callStartedAt = time.Now()
	}
}

func (w *Watcher) callStarted() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.callStartedAt
}

// renew ends the call or the pause in progress, so that the next call tells
// whether anything was missed. A call that is younger than fresh is left alone.
func (w *Watcher) restart(minAge time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancel == nil {
		select {
		case w.wake <- struct{}{}:
		default: // one is waiting already
		}
		return
	}
	if time.Since(w.callStartedAt) >= minAge {
		w.cancel()
	}
}

func (w *Watcher) callSucceeded() {
	w.backoff = 0
	w.group.callSucceeded(w)
}

func (w *Watcher) callFailed(err error) {
	maxBackoff := maxListBackoff
	if w.listed() {
		maxBackoff = w.pace.Backoff
	}
	w.backoff = min(max(2*w.backoff, minBackoff), maxBackoff)
	w.group.callFailed(w, err)
}
