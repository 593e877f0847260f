package catalog

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/transfer"
)

// fakeStore is a store with a revision per change. Its watches can be stalled and
// its calls can hang or fail.
type fakeStore struct {
	mu            sync.Mutex
	objects       map[Kind]map[string]Object
	history       []kindChange
	revision      uint64
	firstRevision uint64 // history before this revision has expired
	stalls        int    // incremented to stall all watches in progress
	hanging       bool
	err           error
	watchErr      map[Kind]error // of watches that would return changes
	calls         map[string]int
	wake          chan struct{}
	// transferTime is how long a watch response of a kind arrives.
	transferTime map[Kind]time.Duration
}

type kindChange struct {
	kind     Kind
	revision uint64
	Change
}

func newFakeStore() *fakeStore {
	return &fakeStore{objects: make(map[Kind]map[string]Object), calls: make(map[string]int), wake: make(chan struct{})}
}

func (s *fakeStore) put(kind Kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	o := Object{Name: name, Revision: s.revision}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]Object)
	}
	s.objects[kind][name] = o
	s.history = append(s.history, kindChange{kind, s.revision, Change{Object: o}})
	close(s.wake)
	s.wake = make(chan struct{})
}

func (s *fakeStore) set(do func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	do()
}

func (s *fakeStore) count(call string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[call]
}

func (s *fakeStore) List(ctx context.Context, kind Kind) ([]Object, uint64, error) {
	s.mu.Lock()
	s.calls["list "+string(kind)]++
	hanging, err := s.hanging, s.err
	s.mu.Unlock()
	if hanging {
		<-ctx.Done()
		return nil, 0, result.New(result.PlatformUnavailable, "%v", ctx.Err())
	}
	if err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Object
	for _, o := range s.objects[kind] {
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b Object) int { return int(a.Revision) - int(b.Revision) })
	return out, s.revision, nil
}

func (s *fakeStore) Watch(ctx context.Context, kind Kind, after uint64, wait time.Duration) ([]Change, uint64, error) {
	end := time.After(wait)
	var stallsAtStart int
	s.set(func() {
		s.calls["watch "+string(kind)]++
		stallsAtStart = s.stalls
	})
	for {
		s.mu.Lock()
		hanging, err, stalled, wake := s.hanging, s.err, s.stalls > stallsAtStart, s.wake
		var out []Change
		for _, c := range s.history {
			if c.kind == kind && c.revision > after {
				out = append(out, c.Change)
			}
		}
		expired := after+1 < s.firstRevision
		at := s.revision
		s.mu.Unlock()
		switch {
		case hanging:
			<-ctx.Done() // the call was sent during the outage and is never answered
			return nil, 0, result.New(result.PlatformUnavailable, "%v", ctx.Err())
		case err != nil:
			return nil, 0, err
		case expired && !stalled:
			return nil, 0, result.New(result.PlatformGone, "history expired")
		case len(out) > 0 && !stalled && s.watchErr[kind] != nil:
			return nil, 0, s.watchErr[kind]
		case len(out) > 0 && !stalled:
			return out, at, s.transfer(ctx, kind)
		}
		select {
		case <-ctx.Done():
			return nil, 0, result.New(result.PlatformUnavailable, "%v", ctx.Err())
		case <-end:
			s.set(func() { expired = after+1 < s.firstRevision })
			if expired {
				return nil, 0, result.New(result.PlatformGone, "history expired")
			}
			return nil, after, nil
		case <-wake:
		}
	}
}

// transfer waits until a response has arrived.
func (s *fakeStore) transfer(ctx context.Context, kind Kind) error {
	const part = 50 * time.Millisecond
	for left := s.transferTime[kind]; left > 0; left -= part {
		time.Sleep(part)
		if ctx.Err() != nil {
			return result.New(result.PlatformUnavailable, "%v", ctx.Err())
		}
		transfer.Arrived(ctx)
	}
	return nil
}

func (s *fakeStore) WriteStatus(context.Context, Kind, string, uint64, any) error { return nil }

// recorder records what a watcher passes to its handler.
type recorder struct {
	mu         sync.Mutex
	seenAt     map[string]time.Time
	recoveries int
}

func (s *recorder) handler() Handler {
	s.seenAt = make(map[string]time.Time)
	note := func(name string) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if _, ok := s.seenAt[name]; !ok {
			s.seenAt[name] = time.Now()
		}
	}
	return Handler{
		Replace: func(list []Object, _ bool) {
			for _, o := range list {
				note(o.Name)
			}
		},
		Apply: func(changes []Change) {
			for _, c := range changes {
				note(c.Object.Name)
			}
		},
		Recovered: func(time.Time) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.recoveries++
		},
	}
}

func (s *recorder) delay(name string, begin time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.seenAt[name]
	return at.Sub(begin), ok
}

var (
	shortPace = Pace{MaxWait: 2400 * time.Millisecond, BatchDelay: 500 * time.Millisecond, MaxBackoff: 600 * time.Millisecond}
	longPace  = Pace{MaxWait: 28 * time.Second, BatchDelay: 500 * time.Millisecond, MaxBackoff: 5 * time.Second}
)

// startWatchers runs a watcher with short waits and one with long waits.
func startWatchers(t *testing.T, store *fakeStore) (shortWait, longWait *recorder, stop func()) {
	t.Helper()
	shortWait, longWait = &recorder{}, &recorder{}
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	group := NewGroup()
	for _, w := range []*Watcher{
		NewWatcher(group, store, Upstreams, shortPace, shortWait.handler()),
		NewWatcher(group, store, Configurations, longPace, longWait.handler()),
	} {
		wait.Go(func() { w.Run(ctx) })
	}
	return shortWait, longWait, func() {
		cancel()
		wait.Wait()
	}
}

// Guards against a response that is thrown away while it arrives, because the prober has seen
// that a change is missing.
func TestCallWhoseResponseArrivesIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(Configurations, "old")
		_, longWait, stop := startWatchers(t, store)
		defer stop()
		time.Sleep(time.Second)
		begin := time.Now()
		store.transferTime = map[Kind]time.Duration{Configurations: 1800 * time.Millisecond}
		store.put(Configurations, "new")
		store.put(Upstreams, "u")
		time.Sleep(5 * time.Second)
		took, ok := longWait.delay("new", begin)
		assert.True(t, ok)
		assert.Equal(t, 1800*time.Millisecond, took)
	})
}

func TestChangesArriveAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(Configurations, "old")
		_, longWait, stop := startWatchers(t, store)
		defer stop()
		time.Sleep(time.Second)
		begin := time.Now()
		store.put(Configurations, "new")
		time.Sleep(time.Second)
		took, ok := longWait.delay("new", begin)
		assert.True(t, ok)
		assert.Less(t, took, 10*time.Millisecond)
	})
}

func TestBurstOfChangesCostsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		_, _, stop := startWatchers(t, store)
		defer stop()
		time.Sleep(time.Second)
		before := store.count("watch " + string(Configurations))
		for i := range 100 {
			store.put(Configurations, string(rune('a'+i%26)))
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(time.Second)
		// 3 s with a batch delay of 500 ms.
		assert.LessOrEqual(t, store.count("watch "+string(Configurations))-before, 6)
	})
}

// The store's history expires while its watches are stalled. The changes that the
// watches missed must be delivered within 4 s of the expiry, also for kinds whose
// own watch would continue to wait.
func TestExpiredHistoryRestartsAllWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(Configurations, "old")
		_, longWait, stop := startWatchers(t, store)
		defer stop()
		time.Sleep(1300 * time.Millisecond)
		store.set(func() { store.stalls++ })
		store.put(Configurations, "missed")
		store.put(Upstreams, "missed too")
		store.set(func() { store.firstRevision, store.history = store.revision+1, nil })
		time.Sleep(time.Second)
		begin := time.Now() // 1 s after the expiry
		time.Sleep(4 * time.Second)
		took, ok := longWait.delay("missed", begin)
		assert.True(t, ok, "the configuration was never delivered")
		assert.Less(t, took, 3*time.Second)
	})
}

// Calls that were sent during an outage are never answered. The watcher with the
// short wait detects the recovery first and must restart the others.
func TestStoreRecoveryRestartsAllWatches(t *testing.T) {
	// Which calls are in progress when the store recovers depends on the length of
	// the outage.
	for outage := 2 * time.Second; outage < 7*time.Second; outage += 150 * time.Millisecond {
		t.Run(outage.String(), func(t *testing.T) { recoverAfter(t, outage) })
	}
}

func recoverAfter(t *testing.T, outage time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(Configurations, "old")
		shortWait, longWait, stop := startWatchers(t, store)
		defer stop()
		time.Sleep(20 * time.Second)
		store.set(func() { store.hanging = true })
		time.Sleep(8 * time.Second) // the watch with the long wait returns here and its next call hangs
		time.Sleep(outage)
		begin := time.Now()
		store.set(func() { store.hanging = false })
		store.put(Configurations, "new")
		time.Sleep(5 * time.Second)
		took, ok := longWait.delay("new", begin)
		assert.True(t, ok, "the configuration was never delivered")
		assert.Less(t, took, 3*time.Second, "the stability window and the time limit for a configuration leave no more time to detect the recovery")
		assert.Positive(t, shortWait.recoveries, "the recovery was not reported")
	})
}

func TestFailedCallsBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.err = result.New(result.PlatformBusy, "busy")
		_, _, stop := startWatchers(t, store)
		defer stop()
		// In 30 s, three shorter delays and then delays between 600 ms, half of
		// maxListBackoff, and all of it, with a margin.
		time.Sleep(30 * time.Second)
		assert.LessOrEqual(t, store.count("list "+string(Upstreams)), 60)
		assert.GreaterOrEqual(t, store.count("list "+string(Upstreams)), 20)
	})
}

// Guards against a response that cannot be used and is asked for again, or counts as an
// outage of the store.
func TestUnusableWatchResponseIsReplacedByAList(t *testing.T) {
	for _, kind := range []Kind{Configurations, Upstreams} {
		t.Run(string(kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				store.watchErr = map[Kind]error{kind: result.New(result.PlatformUnusable, "too long")}
				group, shortWait, longWait := startGroup(t, store)
				time.Sleep(time.Second)
				for _, name := range []string{"a", "b", "c"} {
					begin := time.Now()
					store.put(kind, name)
					time.Sleep(time.Second)
					r := longWait
					if kind == Upstreams {
						r = shortWait
					}
					delay, ok := r.delay(name, begin)
					assert.True(t, ok)
					assert.Less(t, delay, 500*time.Millisecond)
					assert.False(t, group.StoreUnavailable())
				}
				assert.Zero(t, shortWait.recoveries)
				assert.LessOrEqual(t, store.count("list "+string(kind)), 4)
				if kind != Upstreams {
					assert.LessOrEqual(t, store.count("watch "+string(Upstreams)), 3, "the prober is not restarted")
				}
			})
		})
	}
}

// Guards against a watch with a long wait that goes on when the waits must be short.
func TestMaxWaitEndsLongWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		group, _, _ := startGroup(t, store)
		calls := func() int { return store.count("watch " + string(Configurations)) }
		time.Sleep(5 * time.Second)
		assert.Equal(t, 1, calls())
		group.SetMaxWait(2 * time.Second)
		time.Sleep(9 * time.Second)
		assert.Equal(t, 6, calls(), "one more at once, and one each 2 s")
		group.SetMaxWait(0)
		time.Sleep(20 * time.Second)
		assert.Equal(t, 7, calls())
	})
}
