package catalog

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/transfer"
)

// Timeouts and delays of a watcher.
const (
	// listTimeout limits the time until a list begins to arrive. The store usually
	// responds within milliseconds, and within a few hundred milliseconds when it is slow.
	listTimeout = 1500 * time.Millisecond
	// watchTimeoutMargin is how much longer than its wait a watch call may take until its
	// response begins to arrive.
	watchTimeoutMargin = 700 * time.Millisecond
	// maxArrivalSilence and maxArrivalTime limit the time between two parts of a response,
	// and from the first to the last. The latter allows several large objects on a link
	// that other transfers use as well.
	maxArrivalSilence = time.Second
	maxArrivalTime    = 6 * time.Second
	// minBackoff is the initial value of the exponential backoff after a failed call;
	// failed calls are billed, too. The delay is a random time between half of the
	// backoff and all of it. maxListBackoff limits the backoff while the kind must be
	// listed; otherwise, Pace.MaxBackoff does.
	minBackoff     = 150 * time.Millisecond
	maxListBackoff = 1200 * time.Millisecond
	// maxProbeWait limits the wait of watch calls while the store is unavailable, and
	// of the prober's second watch call after SetMode(Watching). It is short because a
	// call that is sent during an outage may never be answered.
	maxProbeWait = 150 * time.Millisecond
	// proofWait is the wait of the prober's first watch call after SetMode(Watching),
	// for whose response the other watchers wait.
	proofWait = time.Millisecond
	// minRestartAge is the minimum age of a call that restartOthers cancels. A
	// younger call is assumed to be healthy.
	minRestartAge = 300 * time.Millisecond
	// minWaitShare is the smallest share of a limited wait or delay that remains when
	// it is randomized.
	minWaitShare = 0.6
	// maxIdleSleep is the longest sleep of a watcher that must not call the store at
	// the moment. It is woken earlier when it may call again.
	maxIdleSleep = time.Minute
)

// errRepeated is the cause of the end of a call that is repeated.
var errRepeated = errors.New("the call is repeated")

// Pace limits the rate of a watcher's calls, each of which is billed.
type Pace struct {
	// MaxWait is the longest time for which one watch call waits for a change.
	MaxWait time.Duration
	// BatchDelay is the delay after a change before the next watch call, so that one
	// call returns all changes of a burst.
	BatchDelay time.Duration
	// MaxBackoff is the longest delay after a failed call.
	MaxBackoff time.Duration
}

// Handler receives the lists and changes of a kind in order. Replace and Apply
// are never called concurrently.
type Handler struct {
	// Replace receives the full list of a kind. newEra is true for the first list
	// of a later era of the store: the store came back from an older copy, so the
	// list may lack the latest changes until operators and upstreams have written
	// them again.
	Replace func(list []Object, newEra bool)
	// Apply receives the changes that follow the last Replace or Apply.
	Apply func(changes []Change)
	// Recovered is called with the time at which the store recovered from an outage,
	// before the store's first response after the outage is passed to Replace or
	// Apply. It may be nil.
	Recovered func(at time.Time)
}

// Watcher follows one kind of objects. It lists the kind, then watches for
// changes after the revision of the list.
type Watcher struct {
	group   *Group
	source  Source
	kind    Kind
	pace    Pace
	handler Handler

	backoff time.Duration

	mu sync.Mutex
	// relist is true when the kind must be listed again.
	relist bool
	// shortNextWait is true when the next watch call waits at most maxProbeWait.
	shortNextWait bool
	current       *transfer.Transfer // the call in progress; nil when there is none
	isList        bool               // the call in progress is a list
	callStartedAt time.Time

	wake chan struct{} // ends a sleep
}

// NewWatcher returns a watcher of a kind and adds it to a group.
func NewWatcher(group *Group, source Source, kind Kind, pace Pace, handler Handler) *Watcher {
	w := &Watcher{group: group, source: source, kind: kind, pace: pace, handler: handler, wake: make(chan struct{}, 1)}
	group.add(w)
	return w
}

// Run follows the kind until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !w.group.mayCall(w) {
			w.sleep(ctx, maxIdleSleep)
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
	if w.canWatch() {
		return w.watch(ctx)
	}
	return w.list(ctx)
}

// canWatch reports whether the watcher can watch from the cached revision. It
// returns false if it must list the kind first.
func (w *Watcher) canWatch() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.relist && w.group.cache.Listed(w.kind) && !w.group.cache.isEarlierEra(w.kind)
}

// sleep waits for d, the end of ctx, or a restart.
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
	callCtx, end := w.begin(ctx, listTimeout, true)
	list, revision, err := w.source.List(callCtx, w.kind)
	if end() {
		return nil
	}
	if err != nil {
		return err
	}
	w.callSucceeded()
	w.setRelist(false)
	w.group.replace(w.kind, revision, func() []Object { return w.group.cache.Replace(w.kind, list, revision) })
	return nil
}

func (w *Watcher) watch(ctx context.Context) error {
	wait := w.nextWait()
	callCtx, end := w.begin(ctx, wait+watchTimeoutMargin, false)
	after := w.group.cache.CompleteRevision(w.kind)
	changes, revision, err := w.source.Watch(callCtx, w.kind, after, wait)
	if end() {
		return nil
	}
	if result.Is(err, result.PlatformGone) {
		klog.InfoS("catalog: the store no longer has the history after this revision; listing the kind again", "kind", w.kind, "after", after)
		w.group.relistBehind(w, after)
		return nil
	}
	if result.Is(err, result.PlatformUnusable) {
		w.setRelist(true) // a list has each object once, however often it changed
	}
	if err != nil {
		return err
	}
	w.callSucceeded()
	w.group.apply(w.kind, changes, revision)
	if w.group.isProber(w) {
		w.group.proberReached(revision)
	}
	if len(changes) > 0 {
		w.sleep(ctx, w.batchDelay())
	}
	return nil
}

// nextWait returns how long the next watch call waits for a change.
func (w *Watcher) nextWait() time.Duration {
	if w.group.isUnproven() {
		return proofWait
	}
	unavailable, limit, maxWait := w.group.StoreUnavailable(), w.group.proberLimit(w), w.group.waitLimit()
	w.mu.Lock()
	defer w.mu.Unlock()
	short := w.shortNextWait || unavailable
	w.shortNextWait = false
	if short {
		return min(maxProbeWait, w.pace.MaxWait)
	}
	wait := withLimit(w.pace.MaxWait, limit)
	if maxWait > 0 {
		wait = min(wait, maxWait)
	}
	return wait
}

// batchDelay returns the delay after a change.
func (w *Watcher) batchDelay() time.Duration {
	return withLimit(w.pace.BatchDelay, w.group.proberLimit(w))
}

// withLimit returns d, or a random duration between minWaitShare of the limit and the
// limit if there is one and it is lower.
func withLimit(d, limit time.Duration) time.Duration {
	if limit <= 0 || d <= limit {
		return d
	}
	minimum := time.Duration(minWaitShare * float64(limit))
	return minimum + rand.N(limit-minimum)
}

// shortenNextWait limits the wait of the next watch call to maxProbeWait.
func (w *Watcher) shortenNextWait() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.shortNextWait = true
}

func (w *Watcher) setRelist(relist bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.relist = relist
}

// begin begins a call whose response begins to arrive within a timeout. The function end
// ends it and reports whether it is to be repeated or the process is stopping.
func (w *Watcher) begin(ctx context.Context, timeout time.Duration, isList bool) (callCtx context.Context, end func() (ended bool)) {
	callCtx, call := transfer.Start(ctx, transfer.Limits{First: timeout, Silence: maxArrivalSilence, Total: maxArrivalTime})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.current, w.isList, w.callStartedAt = call, isList, time.Now()
	return callCtx, func() bool {
		cause := context.Cause(callCtx)
		call.End(nil)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.current = nil
		return ctx.Err() != nil || errors.Is(cause, errRepeated)
	}
}

func (w *Watcher) callStartTime() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.callStartedAt
}

// restart cancels the call or ends the sleep in progress, so that the next call
// returns changes that were missed. It does not cancel a call that began less
// than minAge ago, or whose response is arriving.
func (w *Watcher) restart(minAge time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.current == nil {
		select {
		case w.wake <- struct{}{}:
		default: // a wake-up is already pending
		}
		return
	}
	if age := time.Since(w.callStartedAt); age >= minAge && !w.current.Arriving() {
		klog.InfoS("catalog: a call is ended and repeated", "kind", w.kind, "list", w.isList, "age", age)
		w.current.End(errRepeated)
	}
}

// restartUnlessListing is restart for a watcher that must list its kind. It does not
// cancel a list in progress.
func (w *Watcher) restartUnlessListing() {
	w.mu.Lock()
	listing := w.current != nil && w.isList
	w.mu.Unlock()
	if !listing {
		w.restart(0)
	}
}

func (w *Watcher) callSucceeded() {
	w.backoff = 0
	w.group.callSucceeded(w)
}

func (w *Watcher) callFailed(err error) {
	maxBackoff := maxListBackoff
	if w.canWatch() {
		maxBackoff = w.pace.MaxBackoff
	}
	w.backoff = min(max(2*w.backoff, minBackoff), maxBackoff)
	if result.Is(err, result.PlatformUnusable) {
		w.group.responseUnusable(w, err)
		return
	}
	w.group.callFailed(w, err)
}
