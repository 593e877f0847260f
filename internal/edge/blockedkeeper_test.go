package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/fleet"
	"github.com/cranberrypier/cranberrypier/internal/poison"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// memoryBlockedStore holds the records in memory.
type memoryBlockedStore struct {
	raw      json.RawMessage
	revision uint64
	err      error // of all calls
	saves    int
	// loseAnswer applies the next write and fails it.
	loseAnswer bool
}

func (m *memoryBlockedStore) LoadBlocked(context.Context) (json.RawMessage, uint64, error) {
	return m.raw, m.revision, m.err
}

func (m *memoryBlockedStore) SaveBlocked(_ context.Context, raw json.RawMessage, revision uint64) error {
	if m.err != nil {
		return m.err
	}
	if revision != m.revision {
		return result.New(result.PlatformConflict, "revision %d", m.revision)
	}
	m.raw, m.revision = raw, m.revision+1
	m.saves++
	if m.loseAnswer {
		m.loseAnswer = false
		return result.New(result.PlatformWriteUnknown, "lost")
	}
	return nil
}

// newKeeper returns a keeper of a VM that blocks some contents.
func newKeeper(store BlockedStore, vm string, keys ...poison.Key) *blockedKeeper {
	s := &Proxy{fleet: fleet.New(fleet.Config{VM: vm}), poison: poison.New(vm), metrics: NewMetrics(), forwarder: newForwarder(vm, "a", nil)}
	s.fleet.SetVMs([]string{"vm-1", "vm-2"})
	now := time.Now().Add(-10 * time.Second)
	for i := range 3 {
		for _, key := range keys {
			at, upstream := now.Add(time.Duration(i)*time.Second), fmt.Sprint(key, "-", i)
			s.poison.Broken(at, poison.Run{Upstream: upstream, Incarnation: 1, Keys: []poison.Key{key}, BeganAt: at.Add(-time.Millisecond), EndedAt: at})
			s.poison.Confirm(at, upstream, 1)
		}
	}
	return &blockedKeeper{proxy: s, store: store}
}

func TestRecordsOfSeveralVMsAreJoined(t *testing.T) {
	store := &memoryBlockedStore{}
	a, b := newKeeper(store, "vm-1", 2), newKeeper(store, "vm-2", 4)
	require.NoError(t, a.update(context.Background()))
	require.NoError(t, b.update(context.Background()))
	require.NoError(t, a.update(context.Background()))
	assert.Equal(t, 2, store.saves)
	fresh := newKeeper(store, "vm-3")
	_, err := fresh.load(context.Background())
	require.NoError(t, err)
	for _, key := range []poison.Key{2, 4} {
		_, blocked := fresh.proxy.poison.Blocked(time.Now(), []poison.Key{key})
		assert.True(t, blocked, "%d", key)
	}
}

// Guards against records that are missing for good, because the store came back from an
// older copy or an answer was lost.
func TestMissingRecordsAreWrittenAgain(t *testing.T) {
	store := &memoryBlockedStore{loseAnswer: true}
	k := newKeeper(store, "vm-1", 2)
	now := time.Now()
	assert.True(t, k.isDue(now))
	assert.Error(t, k.update(context.Background()))
	assert.NoError(t, k.update(context.Background()), "it was written")
	assert.Equal(t, 1, store.saves)
	assert.False(t, k.isDue(now))
	store.raw, store.revision = nil, 0
	assert.False(t, k.isDue(now.Add(recheckInterval/2)))
	assert.True(t, k.isDue(now.Add(2*recheckInterval)))
	assert.NoError(t, k.update(context.Background()))
	assert.Equal(t, 2, store.saves)
}

func TestOneVMWritesForAll(t *testing.T) {
	store := &memoryBlockedStore{}
	second := newKeeper(store, "vm-2", 2)
	now := time.Now()
	assert.False(t, second.isDue(now), "the first one's turn")
	assert.True(t, second.isDue(now.Add(writerDelay)), "the first one is gone")
	store.err = result.New(result.PlatformUnavailable, "down")
	assert.Error(t, second.update(context.Background()))
	second.scheduleRetry(now, store.err)
	second.scheduleRetry(now, store.err)
	assert.Equal(t, 2*minBlockedRetry, second.retryAt.Sub(now))
}

// Guards against blocked content that is not known for seconds after the store is back,
// because the start of the VM fell into its outage.
func TestRecordsAreReadSoonAfterAnOutage(t *testing.T) {
	store := &memoryBlockedStore{err: result.New(result.PlatformUnavailable, "down")}
	k := newKeeper(store, "vm-1")
	now := time.Now()
	for range 8 {
		_, err := k.load(context.Background())
		assert.Error(t, err)
		k.scheduleRetry(now, err)
	}
	assert.LessOrEqual(t, k.retryAt.Sub(now), maxRestoreRetry)
	store.err = nil
	_, err := k.load(context.Background())
	require.NoError(t, err)
	k.scheduleRetry(now, err)
	for range 8 {
		k.scheduleRetry(now, result.New(result.PlatformUnavailable, "down"))
	}
	assert.Equal(t, maxBlockedRetry, k.retryAt.Sub(now), "calls are billed")
}
