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
)

// fakeStore is a store with a revision for each change, whose watches can be
// made to receive nothing and whose calls can be made to hang or fail.
type fakeStore struct {
	mu       sync.Mutex
	objects  map[Kind]map[string]Object
	history  []change
	revision uint64
	first    uint64 // history before this revision is gone
	silenced int    // watches that began before this count receive nothing more
	silent   bool
	err      error
	calls    map[string]int
	wake     chan struct{}
}

type change struct {
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
	s.history = append(s.history, change{kind, s.revision, Change{Object: o}})
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
	silent, err := s.silent, s.err
	s.mu.Unlock()
	if silent {
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
	var began int
	s.set(func() {
		s.calls["watch "+string(kind)]++
		began = s.silenced
	})
	for {
		s.mu.Lock()
		down, err, silent, wake := s.silent, s.err, s.silenced > began, s.wake
		var out []Change
		for _, c := range s.history {
			if c.kind == kind && c.revision > after {
				out = append(out, c.Change)
			}
		}
		gone := after+1 < s.first
		at := s.revision
		s.mu.Unlock()
		switch {
		case down:
			<-ctx.Done() // the call was sent into the outage and is never answered
			return nil, 0, result.New(result.PlatformUnavailable, "%v", ctx.Err())
		case err != nil:
			return nil, 0, err
		case gone && !silent:
			return nil, 0, result.New(result.PlatformGone, "history is gone")
		case len(out) > 0 && !silent:
			return out, at, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, result.New(result.PlatformUnavailable, "%v", ctx.Err())
		case <-end:
			s.set(func() { gone = after+1 < s.first })
			if gone {
				return nil, 0, result.New(result.PlatformGone, "history is gone")
			}
			return nil, after, nil
		case <-wake:
		}
	}
}

func (s *fakeStore) WriteStatus(context.Context, Kind, string, uint64, any) error { return nil }

// seen records what a watcher handed on.
type seen struct {
	mu       sync.Mutex
	names    map[string]time.Time
	returned int
}

func (s *seen) handler() Handler {
	s.names = make(map[string]time.Time)
	note := func(name string) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if _, ok := s.names[name]; !ok {
			s.names[name] = time.Now()
		}
	}
	return Handler{
		Replace: func(list []Object) {
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
			s.returned++
		},
	}
}

func (s *seen) after(name string, begin time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.names[name]
	return at.Sub(begin), ok
}

var (
	quickPace = Pace{MaxWait: 2400 * time.Millisecond, BatchDelay: 500 * time.Millisecond, MaxBackoff: 600 * time.Millisecond}
	slowPace  = Pace{MaxWait: 28 * time.Second, BatchDelay: 500 * time.Millisecond, MaxBackoff: 5 * time.Second}
)

// start runs a quick and a slow watcher of a store.
func start(t *testing.T, store *fakeStore) (quick, slow *seen, stop func()) {
	t.Helper()
	quick, slow = &seen{}, &seen{}
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	group := NewGroup()
	for _, w := range []*Watcher{
		NewWatcher(group, store, Upstreams, quickPace, quick.handler()),
		NewWatcher(group, store, Configurations, slowPace, slow.handler()),
	} {
		wait.Go(func() { w.Run(ctx) })
	}
	return quick, slow, func() {
		cancel()
		wait.Wait()
	}
}

func TestChangesArriveAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(Configurations, "old")
		_, slow, stop := start(t, store)
		defer stop()
		time.Sleep(time.Second)
		begin := time.Now()
		store.put(Configurations, "new")
		time.Sleep(time.Second)
		took, ok := slow.after("new", begin)
		assert.True(t, ok)
		assert.Less(t, took, 10*time.Millisecond)
	})
}

func TestChangesThatComeTogetherCostFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		_, _, stop := start(t, store)
		defer stop()
		time.Sleep(time.Second)
		before := store.count("watch " + string(Configurations))
		for i := range 100 {
			store.put(Configurations, string(rune('a'+i%26)))
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(time.Second)
		assert.LessOrEqual(t, store.count("watch "+string(Configurations))-before, 6)
	})
}

// The store drops its history while its watches hear nothing: what changed in
// the meantime must be in force 3 s after the store is sound again, also for
// kinds whose own watch would go on waiting.
func TestDroppedHistoryRenewsAllWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(Configurations, "old")
		_, slow, stop := start(t, store)
		defer stop()
		time.Sleep(1300 * time.Millisecond)
		store.set(func() { store.silenced++ })
		store.put(Configurations, "missed")
		store.put(Upstreams, "missed too")
		store.set(func() { store.first, store.history = store.revision+1, nil })
		time.Sleep(time.Second)
		begin := time.Now()
		time.Sleep(4 * time.Second)
		took, ok := slow.after("missed", begin)
		assert.True(t, ok, "the configuration was never heard of")
		assert.Less(t, took, 3*time.Second)
	})
}

// Calls that were sent into an outage are never answered. The watcher whose
// short wait ends first finds the store back and renews the others.
func TestReturnOfTheStoreRenewsAllWatches(t *testing.T) {
	// The calls that were under way when the store returned differ by the length
	// of the outage.
	for outage := 2 * time.Second; outage < 7*time.Second; outage += 150 * time.Millisecond {
		t.Run(outage.String(), func(t *testing.T) { returnAfter(t, outage) })
	}
}

func returnAfter(t *testing.T, outage time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(Configurations, "old")
		quick, slow, stop := start(t, store)
		defer stop()
		time.Sleep(20 * time.Second)
		store.set(func() { store.silent = true })
		time.Sleep(8 * time.Second) // the slow watch ends its wait here and calls into the silence
		time.Sleep(outage)
		begin := time.Now()
		store.set(func() { store.silent = false })
		store.put(Configurations, "new")
		time.Sleep(5 * time.Second)
		took, ok := slow.after("new", begin)
		assert.True(t, ok, "the configuration was never heard of")
		assert.Less(t, took, 3*time.Second, "the stability window and the bound of a configuration leave no more")
		assert.Positive(t, quick.returned, "the return was not told")
	})
}

func TestFailedCallsBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.err = result.New(result.PlatformBusy, "busy")
		_, _, stop := start(t, store)
		defer stop()
		time.Sleep(30 * time.Second)
		assert.LessOrEqual(t, store.count("list "+string(Upstreams)), 60)
		assert.GreaterOrEqual(t, store.count("list "+string(Upstreams)), 20)
	})
}
