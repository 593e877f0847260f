package catalog

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func put(name string, revision uint64) Change {
	return Change{Object: Object{Name: name, Revision: revision}}
}

func del(name string, revision uint64) Change {
	return Change{Object: Object{Name: name, Revision: revision}, Deleted: true}
}

func names(list []Object) (out []string) {
	for _, o := range list {
		out = append(out, fmt.Sprintf("%s@%d", o.Name, o.Revision))
	}
	return out
}

func TestApplyReturnsOnlyEffectiveChanges(t *testing.T) {
	c := NewCache()
	c.Replace(Upstreams, []Object{{Name: "a", Revision: 3}, {Name: "b", Revision: 4}}, 5)
	assert.Len(t, c.Apply(Upstreams, []Change{put("a", 9)}, 9), 1)
	for name, old := range map[string]Change{
		"an older state":                  put("a", 8),
		"the same state":                  put("a", 9),
		"an older deletion":               del("a", 8),
		"a deletion of an unknown object": del("x", 9),
	} {
		assert.Empty(t, c.Apply(Upstreams, []Change{old}, 9), name)
	}
	assert.Len(t, c.Apply(Upstreams, []Change{del("a", 12)}, 12), 1)
	assert.Empty(t, c.Apply(Upstreams, []Change{put("a", 10)}, 12), "a state older than the deletion")
	assert.Len(t, c.Apply(Upstreams, []Change{put("a", 13)}, 13), 1, "created again")
}

func TestOlderListIsIgnored(t *testing.T) {
	c := NewCache()
	c.Replace(Upstreams, []Object{{Name: "a", Revision: 3}, {Name: "b", Revision: 4}, {Name: "c", Revision: 5}}, 5)
	c.Apply(Upstreams, []Change{put("new", 12), del("b", 11)}, 12)
	// The list was read before the changes, but is received after them.
	got := c.Replace(Upstreams, []Object{{Name: "a", Revision: 3}, {Name: "b", Revision: 4}}, 10)
	assert.Equal(t, []string{"a@3", "c@5", "new@12"}, names(got), "an older list is ignored")
	got = c.Replace(Upstreams, []Object{{Name: "a", Revision: 3}, {Name: "new", Revision: 12}}, 14)
	assert.Equal(t, []string{"a@3", "new@12"}, names(got))
}

// Guards against updates that miss deletions, because the VM that sends them no
// longer has the tombstones.
func TestUpdateSince(t *testing.T) {
	c := NewCache()
	_, ok := c.UpdateSince(Upstreams, 0, true)
	assert.False(t, ok, "a kind that was never listed")
	c.Replace(Upstreams, []Object{{Name: "a", Revision: 3}, {Name: "b", Revision: 4}}, 5)
	c.Apply(Upstreams, []Change{put("c", 7), del("a", 8)}, 9)
	u, ok := c.UpdateSince(Upstreams, 6, false)
	require.True(t, ok)
	assert.Equal(t, Update{Objects: []Object{{Name: "c", Revision: 7}}, Deletions: map[string]uint64{"a": 8}, CompleteRevision: 9, LatestRevision: 8}, u)
	_, ok = c.UpdateSince(Upstreams, 4, false)
	assert.False(t, ok, "the full list is returned only on request")
	u, _ = c.UpdateSince(Upstreams, 4, true)
	assert.True(t, u.Full, "there are no tombstones from before the list")
	assert.Equal(t, []string{"b@4", "c@7"}, names(u.Objects))
	// The object x is deleted repeatedly and leaves one tombstone. Each of the other
	// objects leaves its own.
	for i := range maxTombstones + 10 {
		c.Apply(Upstreams, []Change{put("x", uint64(100+2*i)), del("x", uint64(101+2*i))}, uint64(101+2*i))
		c.Apply(Upstreams, []Change{put(fmt.Sprint(i), uint64(10_000+2*i)), del(fmt.Sprint(i), uint64(10_001+2*i))}, uint64(10_001+2*i))
	}
	u, _ = c.UpdateSince(Upstreams, 9, true)
	assert.True(t, u.Full, "old tombstones are removed")
	assert.LessOrEqual(t, len(c.kinds[Upstreams].tombstones), maxTombstones)
}

// Three VMs receive changes of one store by lists, watches and partial updates
// from each other, in any order. An object whose latest change is at or below
// the VM's complete revision must be cached in its current state. Any other
// object must be cached in a state that it once had.
func TestCachesAgreeWithTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history []Change
		latest := map[string]int{} // index of the latest change by object name
		caches := []*Cache{NewCache(), NewCache(), NewCache()}
		list := func(revision uint64) (out []Object) {
			now := map[string]Object{}
			for _, c := range history {
				if c.Object.Revision <= revision && !c.Deleted {
					now[c.Object.Name] = c.Object
				} else if c.Object.Revision <= revision {
					delete(now, c.Object.Name)
				}
			}
			return (&kindState{objects: now}).sorted()
		}
		for _, c := range caches {
			c.maxUpdateChanges = rapid.IntRange(1, 4).Draw(t, "max changes per update")
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			cache := caches[rapid.IntRange(0, 2).Draw(t, "vm")]
			revision := uint64(len(history))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0: // the store changes
				name := string(rune('a' + rapid.IntRange(0, 3).Draw(t, "name")))
				i, known := latest[name]
				c := put(name, revision+1)
				if known && !history[i].Deleted && rapid.Bool().Draw(t, "deleted") {
					c.Deleted = true
				}
				latest[name] = len(history)
				history = append(history, c)
			case 1: // a list, which may be received late
				at := uint64(rapid.IntRange(0, len(history)).Draw(t, "when"))
				cache.Replace(Upstreams, list(at), at)
			case 2: // a watch
				if cache.Listed(Upstreams) {
					cache.Apply(Upstreams, history[cache.CompleteRevision(Upstreams):], revision)
				}
			case 3: // an update from another VM
				from := caches[rapid.IntRange(0, 2).Draw(t, "from")]
				if u, ok := from.UpdateSince(Upstreams, cache.CompleteRevision(Upstreams), rapid.Bool().Draw(t, "allow full")); ok {
					applyUpdate(cache, u)
				}
			}
			for _, cache := range caches {
				if cache.Listed(Upstreams) {
					checkConsistent(t, cache, history)
				}
			}
		}
	})
}

func applyUpdate(c *Cache, u Update) {
	g := &Group{cache: c, handlers: map[Kind]Handler{Upstreams: {Replace: func([]Object, bool) {}, Apply: func([]Change) {}}}}
	g.ApplyUpdate(Upstreams, u)
}

// checkConsistent compares a VM's objects with the store's changes.
func checkConsistent(t *rapid.T, c *Cache, history []Change) {
	type state struct {
		name     string
		revision uint64
	}
	latest, existed := map[string]Change{}, map[state]bool{}
	for _, change := range history {
		latest[change.Object.Name] = change
		existed[state{change.Object.Name, change.Object.Revision}] = !change.Deleted
	}
	cached := c.kinds[Upstreams].objects
	for name, change := range latest {
		o, found := cached[name]
		if change.Object.Revision > c.CompleteRevision(Upstreams) {
			assert.True(t, !found || existed[state{name, o.Revision}], "%s never had revision %d", name, o.Revision)
			continue
		}
		assert.Equal(t, !change.Deleted, found, "%s at %d", name, change.Object.Revision)
		assert.Equal(t, !change.Deleted, o.Revision == change.Object.Revision, "%s at %d, cached at %d", name, change.Object.Revision, o.Revision)
	}
	for name := range cached {
		assert.Contains(t, latest, name)
	}
}

func TestUpdatesAreBounded(t *testing.T) {
	from, to := NewCache(), NewCache()
	from.Replace(Upstreams, nil, 1)
	to.Replace(Upstreams, nil, 1)
	for i := range uint64(2*defaultMaxUpdateChanges + 10) {
		from.Apply(Upstreams, []Change{put(fmt.Sprint(i), 2+i)}, 2+i)
	}
	for _, want := range []int{defaultMaxUpdateChanges, defaultMaxUpdateChanges, 10} {
		u, ok := from.UpdateSince(Upstreams, to.CompleteRevision(Upstreams), false)
		require.True(t, ok)
		assert.Len(t, u.Objects, want)
		applyUpdate(to, u)
	}
	assert.Equal(t, from.LatestRevisions(), to.LatestRevisions())
	assert.Equal(t, from.CompleteRevision(Upstreams), to.CompleteRevision(Upstreams))
}

// Guards against deletions that other VMs never hear of, because the store sends them with
// the revision of the object's last change.
func TestDeletionWithTheRevisionOfTheLastChange(t *testing.T) {
	reader, other := NewCache(), NewCache()
	for _, c := range []*Cache{reader, other} {
		c.Replace(Upstreams, []Object{{Name: "a", Revision: 5}, {Name: "b", Revision: 8}}, 8)
	}
	deletion := Change{Object: Object{Name: "a", Revision: 5}, Deleted: true}
	assert.Len(t, reader.Apply(Upstreams, []Change{deletion}, 9), 1)
	assert.Greater(t, reader.LatestRevisions()[slices.Index(Kinds, Upstreams)], uint64(8))
	u, ok := reader.UpdateSince(Upstreams, 8, false)
	assert.True(t, ok)
	assert.Contains(t, u.Deletions, "a")
	again := []Change{deletion, {Object: Object{Name: "a", Revision: 9}}}
	assert.Len(t, other.Apply(Upstreams, again, 9), 2, "it was created again")
	assert.Equal(t, uint64(9), other.CompleteRevision(Upstreams))
	_, deleted := other.kind(Upstreams).tombstones["a"]
	assert.False(t, deleted)
}
