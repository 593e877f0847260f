package catalog

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// startGroup runs a quick and a slow watcher and returns their group.
func startGroup(t *testing.T, store *fakeStore) (group *Group, quick, slow *seen) {
	t.Helper()
	quick, slow = &seen{}, &seen{}
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	group = NewGroup()
	watchers := []*Watcher{
		NewWatcher(group, store, Upstreams, quickPace, quick.handler()),
		NewWatcher(group, store, Configurations, slowPace, slow.handler()),
	}
	for _, w := range watchers {
		wait.Go(func() { w.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		wait.Wait()
	})
	return group, quick, slow
}

// fail makes all calls fail, those in progress too.
func (s *fakeStore) fail(err error) {
	s.set(func() {
		s.err = err
		close(s.wake)
		s.wake = make(chan struct{})
	})
}

// Each call to a store that is away is paid for and serves nobody: one watcher
// finds out for all that it is back.
func TestOneWatcherCallsAStoreThatIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(Configurations, "old")
		_, quick, slow := startGroup(t, store)
		time.Sleep(time.Second)
		config, upstream := store.count("watch configuration"), store.count("watch upstream")
		store.fail(result.New(result.PlatformUnavailable, "reset"))
		time.Sleep(10 * time.Second)
		assert.Equal(t, config, store.count("watch configuration"), "the others wait")
		calls := store.count("watch upstream") - upstream
		assert.GreaterOrEqual(t, calls, 10)
		assert.LessOrEqual(t, calls, 36, "pauses are half of the longest at least, after three shorter ones")
		store.fail(nil)
		begin := time.Now()
		store.put(Configurations, "new")
		time.Sleep(3 * time.Second)
		took, ok := slow.after("new", begin)
		assert.True(t, ok)
		assert.Less(t, took, 1300*time.Millisecond, "the longest pause between probes")
		assert.Equal(t, 1, quick.returned)
	})
}

// A VM that others read for makes no calls, and goes on where others have
// brought it when it reads again.
func TestParkedWatchersDoNotCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(Configurations, "old")
		group, _, slow := startGroup(t, store)
		time.Sleep(time.Second)
		group.SetMode(Idle)
		synctest.Wait()
		before := store.count("watch configuration") + store.count("watch upstream")
		store.put(Configurations, "relayed")
		time.Sleep(time.Minute)
		assert.Equal(t, before, store.count("watch configuration")+store.count("watch upstream"))
		begin := time.Now()
		group.ApplyUpdate(Configurations, Update{Objects: []Object{{Name: "relayed", Revision: store.revision}}, CompleteRevision: store.revision, LatestRevision: store.revision})
		_, ok := slow.after("relayed", begin)
		assert.True(t, ok)
		store.put(Configurations, "missed")
		group.SetMode(Watching)
		time.Sleep(10 * time.Millisecond)
		_, ok = slow.after("missed", begin)
		assert.True(t, ok, "the watch goes on at once")
		assert.Equal(t, 1, store.count("list configuration"))
	})
}

// A VM that has just started needs the objects at once, but not the watches.
func TestListingWatchersOnlyList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(Configurations, "old")
		store.fail(result.New(result.PlatformBusy, "busy"))
		group, _, slow := startGroup(t, store)
		group.SetMode(Listing)
		time.Sleep(2 * time.Second)
		store.fail(nil)
		begin := time.Now()
		time.Sleep(2 * time.Second)
		took, ok := slow.after("old", begin)
		assert.True(t, ok)
		assert.Less(t, took, listPause)
		assert.Zero(t, store.count("watch configuration")+store.count("watch upstream"))
	})
}

// A VM that the store turns away probes when others are answered, but not at
// every word of theirs.
func TestWordsOfOthersCauseFewProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		group, _, _ := startGroup(t, store)
		time.Sleep(time.Second)
		store.fail(result.New(result.PlatformBusy, "turned away"))
		before := store.count("watch upstream")
		for range 500 {
			time.Sleep(20 * time.Millisecond)
			group.PeerConfirmed(time.Now())
		}
		assert.LessOrEqual(t, store.count("watch upstream")-before, 36+20, "its own probes and two a second")
	})
}

// Entries that lapsed with the store are kept also by a VM that hears of their
// removal from another one.
func TestReturnOfTheStoreIsRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group, quick, _ := startGroup(t, newFakeStore())
		time.Sleep(time.Second)
		at := time.Now().Add(-100 * time.Millisecond)
		group.PeerRecovered(at)
		group.PeerRecovered(at)
		assert.Equal(t, 1, quick.returned)
		assert.Equal(t, at, group.LastRecovered())
	})
}
