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

// startGroup runs a watcher with short waits and one with long waits and returns
// their group.
func startGroup(t *testing.T, store *fakeStore) (group *Group, shortWait, longWait *recorder) {
	t.Helper()
	shortWait, longWait = &recorder{}, &recorder{}
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	group = NewGroup()
	watchers := []*Watcher{
		NewWatcher(group, store, Upstreams, shortPace, shortWait.handler()),
		NewWatcher(group, store, Configurations, longPace, longWait.handler()),
	}
	for _, w := range watchers {
		wait.Go(func() { w.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		wait.Wait()
	})
	return group, shortWait, longWait
}

// fail makes all calls fail, including those in progress.
func (s *fakeStore) fail(err error) {
	s.set(func() {
		s.err = err
		close(s.wake)
		s.wake = make(chan struct{})
	})
}

// Guards against needless calls during an outage, which are billed: only one
// watcher probes the store, and its first response restarts the others.
func TestOneWatcherProbesAnUnavailableStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(Configurations, "old")
		_, shortWait, longWait := startGroup(t, store)
		time.Sleep(time.Second)
		config, upstream := store.count("watch configuration"), store.count("watch upstream")
		store.fail(result.New(result.PlatformUnavailable, "reset"))
		time.Sleep(10 * time.Second)
		assert.Equal(t, config, store.count("watch configuration"), "the other watchers do not call")
		calls := store.count("watch upstream") - upstream
		assert.GreaterOrEqual(t, calls, 10)
		assert.LessOrEqual(t, calls, 36, "in 10 s, three shorter delays, then delays of at least 300 ms, half of MaxBackoff")
		store.fail(nil)
		begin := time.Now()
		store.put(Configurations, "new")
		time.Sleep(3 * time.Second)
		took, ok := longWait.delay("new", begin)
		assert.True(t, ok)
		assert.Less(t, took, 1300*time.Millisecond, "the longest backoff (600 ms), the wait of the probe (300 ms) and a margin")
		assert.Equal(t, 1, shortWait.recoveries)
	})
}

// A VM for which others read makes no calls. When it reads again, it continues
// from the revision that it received from the others.
func TestIdleWatchersDoNotCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(Configurations, "old")
		group, _, longWait := startGroup(t, store)
		time.Sleep(time.Second)
		group.SetMode(Idle)
		synctest.Wait()
		before := store.count("watch configuration") + store.count("watch upstream")
		store.put(Configurations, "relayed")
		time.Sleep(time.Minute)
		assert.Equal(t, before, store.count("watch configuration")+store.count("watch upstream"))
		begin := time.Now()
		group.ApplyUpdate(Configurations, Update{Objects: []Object{{Name: "relayed", Revision: store.revision}}, CompleteRevision: store.revision, LatestRevision: store.revision})
		_, ok := longWait.delay("relayed", begin)
		assert.True(t, ok)
		store.put(Configurations, "missed")
		group.SetMode(Watching)
		time.Sleep(10 * time.Millisecond)
		_, ok = longWait.delay("missed", begin)
		assert.True(t, ok, "the watch resumes at once")
		assert.Equal(t, 1, store.count("list configuration"))
	})
}

// A VM that has just started lists the objects at once but does not watch them.
func TestListingWatchersOnlyList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(Configurations, "old")
		store.fail(result.New(result.PlatformBusy, "busy"))
		group, _, longWait := startGroup(t, store)
		group.SetMode(Listing)
		time.Sleep(2 * time.Second)
		store.fail(nil)
		begin := time.Now()
		time.Sleep(2 * time.Second)
		took, ok := longWait.delay("old", begin)
		assert.True(t, ok)
		assert.Less(t, took, maxListBackoff)
		assert.Zero(t, store.count("watch configuration")+store.count("watch upstream"))
	})
}

// A VM that the store rejects probes it when the store responds to other VMs,
// but not after every message from them.
func TestPeerConfirmationsCauseFewProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		group, _, _ := startGroup(t, store)
		time.Sleep(time.Second)
		store.fail(result.New(result.PlatformBusy, "rejected"))
		before := store.count("watch upstream")
		for range 500 {
			time.Sleep(20 * time.Millisecond)
			group.PeerConfirmed(time.Now())
		}
		assert.LessOrEqual(t, store.count("watch upstream")-before, 36+20, "its own probes and two per second")
	})
}

// The time of the store's recovery is sent to other VMs, so that a VM that did
// not detect the outage also delays the removal of upstream entries that expired
// during it. Guards against reporting the same recovery twice.
func TestStoreRecoveryIsRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group, shortWait, _ := startGroup(t, newFakeStore())
		time.Sleep(time.Second)
		at := time.Now().Add(-100 * time.Millisecond)
		group.PeerRecovered(at)
		group.PeerRecovered(at)
		assert.Equal(t, 1, shortWait.recoveries)
		assert.Equal(t, at, group.LastRecovered())
	})
}
