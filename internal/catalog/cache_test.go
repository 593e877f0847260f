package catalog

import (
	"fmt"
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

func TestOlderWordsChangeNothing(t *testing.T) {
	b := NewCache()
	b.Replace(Upstreams, []Object{{Name: "a", Revision: 3}, {Name: "b", Revision: 4}}, 5)
	assert.Len(t, b.Apply(Upstreams, []Change{put("a", 9)}, 9), 1)
	for name, old := range map[string]Change{
		"an older state":                  put("a", 8),
		"the same state":                  put("a", 9),
		"an older deletion":               del("a", 8),
		"a deletion of what is not there": del("x", 9),
	} {
		assert.Empty(t, b.Apply(Upstreams, []Change{old}, 9), name)
	}
	assert.Len(t, b.Apply(Upstreams, []Change{del("a", 12)}, 12), 1)
	assert.Empty(t, b.Apply(Upstreams, []Change{put("a", 10)}, 12), "a state from before the deletion")
	assert.Len(t, b.Apply(Upstreams, []Change{put("a", 13)}, 13), 1, "created anew")
}

func TestAListKeepsWhatIsNewer(t *testing.T) {
	b := NewCache()
	b.Replace(Upstreams, []Object{{Name: "a", Revision: 3}, {Name: "b", Revision: 4}, {Name: "c", Revision: 5}}, 5)
	b.Apply(Upstreams, []Change{put("new", 12), del("b", 11)}, 12)
	// The list was read before, but is heard of after the changes.
	got := b.Replace(Upstreams, []Object{{Name: "a", Revision: 3}, {Name: "b", Revision: 4}}, 10)
	assert.Equal(t, []string{"a@3", "c@5", "new@12"}, names(got), "an older list changes nothing")
	got = b.Replace(Upstreams, []Object{{Name: "a", Revision: 3}, {Name: "new", Revision: 12}}, 14)
	assert.Equal(t, []string{"a@3", "new@12"}, names(got))
}

func TestPartsForOtherVMs(t *testing.T) {
	b := NewCache()
	_, ok := b.UpdateSince(Upstreams, 0, true)
	assert.False(t, ok, "a kind that was never listed")
	b.Replace(Upstreams, []Object{{Name: "a", Revision: 3}, {Name: "b", Revision: 4}}, 5)
	b.Apply(Upstreams, []Change{put("c", 7), del("a", 8)}, 9)
	p, ok := b.UpdateSince(Upstreams, 6, false)
	require.True(t, ok)
	assert.Equal(t, Update{Objects: []Object{{Name: "c", Revision: 7}}, Deletions: map[string]uint64{"a": 8}, CompleteRevision: 9, LatestRevision: 8}, p)
	_, ok = b.UpdateSince(Upstreams, 4, false)
	assert.False(t, ok, "whole lists are given only on demand")
	p, _ = b.UpdateSince(Upstreams, 4, true)
	assert.True(t, p.Full, "deletions before the list are not known one by one")
	assert.Equal(t, []string{"b@4", "c@7"}, names(p.Objects))
	for i := range goneMost + 10 {
		b.Apply(Upstreams, []Change{put("x", uint64(100+2*i)), del("x", uint64(101+2*i))}, uint64(101+2*i))
		b.Apply(Upstreams, []Change{put(fmt.Sprint(i), uint64(10_000+2*i)), del(fmt.Sprint(i), uint64(10_001+2*i))}, uint64(10_001+2*i))
	}
	p, _ = b.UpdateSince(Upstreams, 9, true)
	assert.True(t, p.Full, "old deletions are forgotten")
	assert.LessOrEqual(t, len(b.kinds[Upstreams].gone), goneMost)
}

// Three VMs hear of the same store by watches, lists and from each other, in
// any order and in parts. An object whose newest change is not above what a VM
// is complete to is known as the store has it; any other as it once was.
func TestCachesAgreeWithTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history []Change
		at := map[string]int{} // by name: the index of its newest change
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
			c.most = rapid.IntRange(1, 4).Draw(t, "most changes a part")
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			b := caches[rapid.IntRange(0, 2).Draw(t, "vm")]
			revision := uint64(len(history))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0: // the store changes
				name := string(rune('a' + rapid.IntRange(0, 3).Draw(t, "name")))
				i, known := at[name]
				c := put(name, revision+1)
				if known && !history[i].Deleted && rapid.Bool().Draw(t, "deleted") {
					c.Deleted = true
				}
				at[name] = len(history)
				history = append(history, c)
			case 1: // a list, which may be heard of late
				when := uint64(rapid.IntRange(0, len(history)).Draw(t, "when"))
				b.Replace(Upstreams, list(when), when)
			case 2: // a watch
				if b.Listed(Upstreams) {
					b.Apply(Upstreams, history[b.CompleteRevision(Upstreams):], revision)
				}
			case 3: // another VM's word
				from := caches[rapid.IntRange(0, 2).Draw(t, "from")]
				if p, ok := from.UpdateSince(Upstreams, b.CompleteRevision(Upstreams), rapid.Bool().Draw(t, "whole")); ok {
					adopt(b, p)
				}
			}
			for _, b := range caches {
				if b.Listed(Upstreams) {
					checkKnown(t, b, history)
				}
			}
		}
	})
}

func adopt(b *Cache, p Update) {
	g := &Group{cache: b, handlers: map[Kind]Handler{Upstreams: {Replace: func([]Object) {}, Apply: func([]Change) {}}}}
	g.ApplyUpdate(Upstreams, p)
}

// checkKnown compares a VM's objects with the store's changes.
func checkKnown(t *rapid.T, c *Cache, history []Change) {
	type state struct {
		name     string
		revision uint64
	}
	newest, ever := map[string]Change{}, map[state]bool{}
	for _, change := range history {
		newest[change.Object.Name] = change
		ever[state{change.Object.Name, change.Object.Revision}] = !change.Deleted
	}
	known := c.kinds[Upstreams].objects
	for name, change := range newest {
		o, there := known[name]
		if change.Object.Revision > c.CompleteRevision(Upstreams) {
			assert.True(t, !there || ever[state{name, o.Revision}], "%s never was at %d", name, o.Revision)
			continue
		}
		assert.Equal(t, !change.Deleted, there, "%s at %d", name, change.Object.Revision)
		assert.Equal(t, !change.Deleted, o.Revision == change.Object.Revision, "%s at %d, known at %d", name, change.Object.Revision, o.Revision)
	}
	for name := range known {
		assert.Contains(t, newest, name)
	}
}

func TestPartsAreSmall(t *testing.T) {
	from, to := NewCache(), NewCache()
	from.Replace(Upstreams, nil, 1)
	to.Replace(Upstreams, nil, 1)
	for i := range uint64(2*partMost + 10) {
		from.Apply(Upstreams, []Change{put(fmt.Sprint(i), 2+i)}, 2+i)
	}
	for _, want := range []int{partMost, partMost, 10} {
		p, ok := from.UpdateSince(Upstreams, to.CompleteRevision(Upstreams), false)
		require.True(t, ok)
		assert.Len(t, p.Objects, want)
		adopt(to, p)
	}
	assert.Equal(t, from.LatestRevisions(), to.LatestRevisions())
	assert.Equal(t, from.CompleteRevision(Upstreams), to.CompleteRevision(Upstreams))
}
