package catalog

import (
	"cmp"
	"slices"
	"sync"
)

// goneMost bounds the deletions that are remembered for one kind. A VM that
// lacks older ones is given the whole list.
const goneMost = 1024

// Cache keeps the objects as they came, by kind. What the store and other VMs
// say is merged by revision: a state that is older than the known one of an
// object changes nothing, so the order of arrival does not matter.
type Cache struct {
	mu    sync.Mutex
	kinds map[Kind]*kindState
	// most bounds the changes in a part; tests make it smaller.
	most int
}

// kindState is what is known of one kind.
//
// Invariants: an object's name is in at most one of objects and gone; every
// object whose newest change is not above complete is known as the store has it;
// every deletion above floor is in gone.
type kindState struct {
	objects map[string]Object
	// gone holds the revisions of deletions.
	gone map[string]uint64
	// last is the revision of the newest change that is known.
	last uint64
	// complete is the store's revision up to which nothing is missing.
	complete uint64
	// floor is the revision up to which deletions are not in gone.
	floor uint64
	// known is true once the kind was listed.
	known bool
}

// partMost bounds the changes that one answer tells of: some 100 KB, which the
// smallest link carries in a tenth of a second.
const partMost = 200

// Part is what one VM tells another of a kind.
type Update struct {
	// Whole is true when Objects are all there are; else they and Gone are the
	// oldest of what changed since the revision that was asked for.
	Full      bool              `json:"whole,omitempty"`
	Objects   []Object          `json:"objects,omitempty"`
	Deletions map[string]uint64 `json:"gone,omitempty"`
	// Complete is the store's revision up to which no newest state of an object
	// is missing, and Last the revision of the newest change.
	CompleteRevision uint64 `json:"complete"`
	LatestRevision   uint64 `json:"last"`
}

// NewCache returns an empty cache.
func NewCache() *Cache { return &Cache{kinds: make(map[Kind]*kindState), most: partMost} }

func (c *Cache) kind(kind Kind) *kindState {
	s := c.kinds[kind]
	if s == nil {
		s = &kindState{objects: make(map[string]Object), gone: make(map[string]uint64)}
		c.kinds[kind] = s
	}
	return s
}

// Complete is the store's revision up to which nothing of a kind is missing;
// zero when it was never listed.
func (c *Cache) CompleteRevision(kind Kind) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.kind(kind).complete
}

// Known reports whether a kind was ever listed.
func (c *Cache) Listed(kind Kind) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.kind(kind).known
}

// Last lists the revisions of the newest changes, in the order of Kinds.
func (c *Cache) LatestRevisions() []uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]uint64, len(Kinds))
	for i, kind := range Kinds {
		out[i] = c.kind(kind).last
	}
	return out
}

// Replace takes the whole list of a kind, valid at a revision, and returns the
// list that counts: with what is known to be newer.
func (c *Cache) Replace(kind Kind, list []Object, at uint64) []Object {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.kind(kind)
	if at < s.complete {
		return s.sorted()
	}
	listed := make(map[string]bool, len(list))
	for _, o := range list {
		listed[o.Name] = true
		s.put(o)
	}
	for name, o := range s.objects {
		if !listed[name] && o.Revision <= at {
			delete(s.objects, name)
		}
	}
	s.complete, s.floor, s.known = at, at, true
	for name, revision := range s.gone {
		if revision <= at {
			delete(s.gone, name)
		}
	}
	return s.sorted()
}

// Apply takes the changes up to a revision and returns those that are new.
func (c *Cache) Apply(kind Kind, changes []Change, at uint64) []Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.kind(kind)
	out := make([]Change, 0, len(changes))
	for _, change := range changes {
		if change.Deleted && s.drop(change.Object) || !change.Deleted && s.put(change.Object) {
			out = append(out, change)
		}
	}
	s.complete = max(s.complete, at)
	s.forget()
	return out
}

// Since tells another VM what it lacks that knows everything up to a revision.
// It reports false when the kind is not known here, and when only the whole list
// would do and the other VM does not want it.
func (c *Cache) UpdateSince(kind Kind, revision uint64, whole bool) (Update, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.kind(kind)
	if !s.known {
		return Update{}, false
	}
	p := Update{CompleteRevision: s.complete, LatestRevision: s.last}
	if revision < s.floor {
		if !whole {
			return Update{}, false
		}
		p.Full = true
		p.Objects = s.sorted()
		return p, true
	}
	p.Deletions = make(map[string]uint64)
	changes := s.since(revision)
	if len(changes) > c.most {
		changes = changes[:c.most]
		p.CompleteRevision = changes[c.most-1].Object.Revision
		p.LatestRevision = p.CompleteRevision
	}
	for _, change := range changes {
		if change.Deleted {
			p.Deletions[change.Object.Name] = change.Object.Revision
		} else {
			p.Objects = append(p.Objects, change.Object)
		}
	}
	return p, true
}

// since lists the newest change of each object that is above a revision, the
// oldest first.
func (s *kindState) since(revision uint64) []Change {
	var out []Change
	for _, o := range s.objects {
		if o.Revision > revision {
			out = append(out, Change{Object: o})
		}
	}
	for name, at := range s.gone {
		if at > revision {
			out = append(out, Change{Object: Object{Name: name, Revision: at}, Deleted: true})
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return cmp.Compare(a.Object.Revision, b.Object.Revision) })
	return out
}

// Saw notes the revision of another VM's newest change once everything up to it
// is known, so that the difference is not asked for again.
func (c *Cache) RecordLatest(kind Kind, last uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.kind(kind)
	if last <= s.complete {
		s.last = max(s.last, last)
	}
}

func (s *kindState) put(o Object) bool {
	known, there := s.objects[o.Name]
	gone, deleted := s.gone[o.Name]
	if there && known.Revision >= o.Revision || deleted && gone >= o.Revision {
		return false
	}
	delete(s.gone, o.Name)
	s.objects[o.Name] = o
	s.last = max(s.last, o.Revision)
	return true
}

// drop notes a deletion; its revision is that of the object.
func (s *kindState) drop(o Object) bool {
	known, there := s.objects[o.Name]
	if there && known.Revision > o.Revision || s.gone[o.Name] > o.Revision {
		return false
	}
	delete(s.objects, o.Name)
	s.gone[o.Name] = o.Revision
	s.last = max(s.last, o.Revision)
	return there
}

// forget drops the older half of the deletions when there are too many.
func (s *kindState) forget() {
	if len(s.gone) <= goneMost {
		return
	}
	revisions := make([]uint64, 0, len(s.gone))
	for _, r := range s.gone {
		revisions = append(revisions, r)
	}
	slices.Sort(revisions)
	s.floor = max(s.floor, revisions[len(revisions)/2])
	for name, r := range s.gone {
		if r <= s.floor {
			delete(s.gone, name)
		}
	}
}

func (s *kindState) sorted() []Object {
	out := make([]Object, 0, len(s.objects))
	for _, o := range s.objects {
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b Object) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
