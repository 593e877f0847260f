package catalog

import (
	"fmt"
	"maps"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestRevisionsOrderEras(t *testing.T) {
	assert.Less(t, JoinRevision(1, 900), JoinRevision(2, 1))
	assert.Less(t, JoinRevision(2, 1), JoinRevision(2, 2))
	assert.Equal(t, uint64(77), JoinRevision(0, 77), "a store without eras")
	era, counter := SplitRevision(JoinRevision(5, 123))
	assert.Equal(t, []uint64{5, 123}, []uint64{era, counter})
	assert.Less(t, JoinRevision(1, 1<<60), JoinRevision(2, 0), "a counter beyond its limit stays in its era")
}

// An update that was requested before this VM listed the kind may hold objects that
// were deleted since. They must not come back.
func TestDeletedObjectDoesNotComeBack(t *testing.T) {
	c := NewCache()
	c.Replace(Upstreams, []Object{{Name: "a", Revision: 3}, {Name: "left", Revision: 4}}, 5)
	c.Replace(Upstreams, []Object{{Name: "a", Revision: 3}}, 9)
	assert.Empty(t, c.Apply(Upstreams, []Change{put("left", 4)}, 6), "from a VM that is behind")
	assert.Len(t, c.Apply(Upstreams, []Change{put("left", 10)}, 10), 1, "created again")
}

// eraStore is a store that can come back from an older copy.
type eraStore struct {
	era, counter uint64
	objects      map[string]Object
	history      []Change
	since        uint64 // counter at the begin of the history
}

func (s *eraStore) next() uint64 { s.counter++; return JoinRevision(s.era, s.counter) }

func (s *eraStore) put(name string) {
	o := Object{Name: name, Revision: s.next()}
	s.objects[name] = o
	s.history = append(s.history, Change{Object: o})
}

func (s *eraStore) remove(name string) {
	if _, ok := s.objects[name]; ok {
		delete(s.objects, name)
		s.history = append(s.history, Change{Object: Object{Name: name, Revision: s.next()}, Deleted: true})
	}
}

func (s *eraStore) copyOf() eraStore {
	c := *s
	c.objects = maps.Clone(s.objects)
	return c
}

// restore brings the store back from a copy. Revisions in the copy belong to the new
// era.
func (s *eraStore) restore(c eraStore) {
	objects := make(map[string]Object, len(c.objects))
	for name, o := range c.objects {
		_, counter := SplitRevision(o.Revision)
		objects[name] = Object{Name: name, Revision: JoinRevision(s.era+1, counter)}
	}
	*s = eraStore{era: s.era + 1, counter: c.counter, objects: objects, since: c.counter}
}

// read does what a watcher does: it watches, or lists if it must.
func (s *eraStore) read(c *Cache) {
	complete := c.CompleteRevision(Upstreams)
	era, counter := SplitRevision(complete)
	if !c.Listed(Upstreams) || era != s.era || counter < s.since {
		var list []Object
		for _, o := range s.objects {
			list = append(list, o)
		}
		c.Replace(Upstreams, list, JoinRevision(s.era, s.counter))
		return
	}
	var changes []Change
	for _, change := range s.history {
		if change.Object.Revision > complete {
			changes = append(changes, change)
		}
	}
	c.Apply(Upstreams, changes, JoinRevision(s.era, s.counter))
}

// exchange sends an update from one VM to another.
func exchange(to, from *Cache, allowFull bool) {
	u, ok := from.UpdateSince(Upstreams, to.CompleteRevision(Upstreams), allowFull)
	switch {
	case !ok:
	case u.Full:
		to.ReplaceByUpdate(Upstreams, u)
	default:
		var changes []Change
		for _, o := range u.Objects {
			changes = append(changes, Change{Object: o})
		}
		for name, at := range u.Deletions {
			changes = append(changes, del(name, at))
		}
		to.Apply(Upstreams, changes, u.CompleteRevision)
	}
}

// VMs read the store and exchange updates while the store changes and comes back
// from copies, some of them cut off from the store for long. A VM whose copy is
// complete up to the store's revision must have exactly the store's objects.
func TestCopiesAcrossEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &eraStore{era: 1, objects: map[string]Object{}}
		old := store.copyOf()
		caches := []*Cache{NewCache(), NewCache(), NewCache()}
		vm := func(label string) *Cache { return caches[rapid.IntRange(0, len(caches)-1).Draw(t, label)] }
		name := func() string { return fmt.Sprint("o", rapid.IntRange(0, 4).Draw(t, "object")) }
		t.Repeat(map[string]func(*rapid.T){
			"put":      func(*rapid.T) { store.put(name()) },
			"remove":   func(*rapid.T) { store.remove(name()) },
			"copy":     func(*rapid.T) { old = store.copyOf() },
			"restore":  func(*rapid.T) { store.restore(old) },
			"read":     func(*rapid.T) { store.read(vm("reader")) },
			"exchange": func(*rapid.T) { exchange(vm("to"), vm("from"), rapid.Bool().Draw(t, "full")) },
			"": func(*rapid.T) {
				for _, c := range caches {
					if c.CompleteRevision(Upstreams) == JoinRevision(store.era, store.counter) {
						requireSame(t, store, c)
					}
				}
			},
		})
		for _, c := range caches {
			store.read(c)
			requireSame(t, store, c)
		}
	})
}

func requireSame(t *rapid.T, s *eraStore, c *Cache) {
	u, ok := c.UpdateSince(Upstreams, 0, true)
	require.True(t, ok)
	require.Len(t, u.Objects, len(s.objects))
	for _, o := range u.Objects {
		require.Equal(t, s.objects[o.Name].Revision, o.Revision, o.Name)
	}
}

// A VM that lists again after it missed a deletion must be able to tell others of
// it, although it does not know when the object was deleted, and although their
// copies are older than its list.
func TestMissedDeletionReachesOthers(t *testing.T) {
	a, b, late := NewCache(), NewCache(), NewCache()
	for _, c := range []*Cache{a, b} {
		c.Replace(Upstreams, []Object{{Name: "a", Revision: 3}, {Name: "left", Revision: 4}}, 5)
	}
	a.Replace(Upstreams, []Object{{Name: "a", Revision: 3}}, 20)
	assert.Greater(t, a.LatestRevisions()[1], b.LatestRevisions()[1], "the digest shows that the other copy is behind")
	exchange(late, a, true) // a VM that starts
	for _, from := range []*Cache{a, late} {
		u, ok := from.UpdateSince(Upstreams, b.CompleteRevision(Upstreams), false)
		require.True(t, ok, "a partial update is enough")
		assert.Equal(t, map[string]uint64{"left": 20}, u.Deletions)
	}
	exchange(b, late, false)
	assert.Equal(t, a.LatestRevisions(), b.LatestRevisions())
}
