package catalog

import (
	"cmp"
	"slices"
	"sync"
)

// maxTombstones limits the deletions that are kept for one kind. A VM that lacks
// an older deletion receives the full list if it asks for it, otherwise nothing.
const maxTombstones = 1024

// Cache holds a copy of the store's objects by kind. It merges changes from the
// store and from other VMs by revision: a change that is older than the cached
// object is ignored, so the order of arrival does not matter.
type Cache struct {
	mu    sync.Mutex
	kinds map[Kind]*kindState
	// maxUpdateChanges limits the changes in one partial update; tests use a smaller
	// limit.
	maxUpdateChanges int
}

// kindState is the cached state of one kind.
//
// Invariants:
//   - A name is in at most one of objects and tombstones.
//   - An object whose latest change in the store is at or below completeRevision
//     is cached in its current state.
//   - Every received deletion above tombstoneFloor is in tombstones, unless a later
//     change of the same object was received.
type kindState struct {
	objects map[string]Object
	// tombstones holds the revisions of deletions by object name.
	tombstones map[string]uint64
	// latest is the revision of the latest change that this copy is known to
	// include.
	latest uint64
	// completeRevision is the store's revision up to which no change is missing.
	completeRevision uint64
	// tombstoneFloor is the revision up to which tombstones have been removed.
	tombstoneFloor uint64
	// listed is true once the kind has been listed.
	listed bool
}

// defaultMaxUpdateChanges limits the changes in one partial update, usually to
// about 100 KB, which the slowest link transfers in a tenth of a second. The
// receiver requests the rest in further updates.
const defaultMaxUpdateChanges = 200

// Update is an update of one kind that a VM sends to another VM.
type Update struct {
	// Full is true when Objects is the full list. Otherwise Objects and Deletions
	// hold the oldest changes since the requested revision.
	Full      bool              `json:"whole,omitempty"`
	Objects   []Object          `json:"objects,omitempty"`
	Deletions map[string]uint64 `json:"gone,omitempty"`
	// CompleteRevision is the store's revision up to which the receiver has the
	// current state of each object after applying the update. LatestRevision is the
	// revision of the latest change.
	CompleteRevision uint64 `json:"complete"`
	LatestRevision   uint64 `json:"last"`
}

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{kinds: make(map[Kind]*kindState), maxUpdateChanges: defaultMaxUpdateChanges}
}

func (c *Cache) kind(kind Kind) *kindState {
	s := c.kinds[kind]
	if s == nil {
		s = &kindState{objects: make(map[string]Object), tombstones: make(map[string]uint64)}
		c.kinds[kind] = s
	}
	return s
}

// CompleteRevision returns the store's revision up to which no change of a kind
// is missing; zero if the kind was never listed.
func (c *Cache) CompleteRevision(kind Kind) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.kind(kind).completeRevision
}

// Era returns the latest era of the store that any kind was read in.
func (c *Cache) Era() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.era()
}

func (c *Cache) era() uint64 {
	era := uint64(0)
	for _, s := range c.kinds {
		era = max(era, EraOf(s.completeRevision))
	}
	return era
}

// IsOneEra reports whether all kinds that are cached were read in the same era.
// Otherwise the copy of some kinds is older than the store.
func (c *Cache) IsOneEra() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	era := c.era()
	for _, s := range c.kinds {
		if s.listed && EraOf(s.completeRevision) < era {
			return false
		}
	}
	return true
}

// isEarlierEra reports whether a kind is cached from an earlier era of the store
// than others.
func (c *Cache) isEarlierEra(kind Kind) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return EraOf(c.kind(kind).completeRevision) < c.era()
}

// Listed reports whether a kind has been listed.
func (c *Cache) Listed(kind Kind) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.kind(kind).listed
}

// LatestRevisions returns the revision of the latest change of each kind that this
// copy is known to include, in the order of Kinds.
func (c *Cache) LatestRevisions() []uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]uint64, len(Kinds))
	for i, kind := range Kinds {
		out[i] = c.kind(kind).latest
	}
	return out
}

// Replace replaces the objects of a kind with a full list that was read at a
// revision. Newer cached changes are kept. It returns the resulting list.
func (c *Cache) Replace(kind Kind, list []Object, revision uint64) []Object {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.kind(kind)
	if revision < s.completeRevision {
		return s.sorted()
	}
	listed := make(map[string]bool, len(list))
	for _, o := range list {
		listed[o.Name] = true
		s.put(o)
	}
	for name, o := range s.objects {
		if !listed[name] && o.Revision <= revision {
			delete(s.objects, name)
		}
	}
	s.completeRevision, s.tombstoneFloor, s.listed = revision, revision, true
	// A kind without changes in an era still shows that it was read in it.
	s.latest = max(s.latest, JoinRevision(EraOf(revision), 0))
	for name, deletedAt := range s.tombstones {
		if deletedAt <= revision {
			delete(s.tombstones, name)
		}
	}
	return s.sorted()
}

// Apply applies the changes up to a revision and returns those that changed the
// cached objects.
func (c *Cache) Apply(kind Kind, changes []Change, revision uint64) []Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.kind(kind)
	out := make([]Change, 0, len(changes))
	for _, change := range changes {
		if change.Deleted && s.remove(change.Object) || !change.Deleted && !s.isDeleted(change.Object) && s.put(change.Object) {
			out = append(out, change)
		}
	}
	s.completeRevision = max(s.completeRevision, revision)
	s.trimTombstones()
	return out
}

// UpdateSince returns an update for a VM whose copy is complete up to a revision.
// It returns false if the kind was never listed here, or if only a full list
// would do and allowFull is false.
func (c *Cache) UpdateSince(kind Kind, revision uint64, allowFull bool) (Update, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.kind(kind)
	if !s.listed {
		return Update{}, false
	}
	u := Update{CompleteRevision: s.completeRevision, LatestRevision: s.latest}
	if revision < s.tombstoneFloor {
		if !allowFull {
			return Update{}, false
		}
		u.Full = true
		u.Objects = s.sorted()
		return u, true
	}
	u.Deletions = make(map[string]uint64)
	changes := s.changesSince(revision)
	if len(changes) > c.maxUpdateChanges {
		changes = changes[:c.maxUpdateChanges]
		u.CompleteRevision = changes[c.maxUpdateChanges-1].Object.Revision
		u.LatestRevision = u.CompleteRevision
	}
	for _, change := range changes {
		if change.Deleted {
			u.Deletions[change.Object.Name] = change.Object.Revision
		} else {
			u.Objects = append(u.Objects, change.Object)
		}
	}
	return u, true
}

// changesSince returns the latest change of each object that changed after a
// revision, oldest first.
func (s *kindState) changesSince(revision uint64) []Change {
	var out []Change
	for _, o := range s.objects {
		if o.Revision > revision {
			out = append(out, Change{Object: o})
		}
	}
	for name, at := range s.tombstones {
		if at > revision {
			out = append(out, Change{Object: Object{Name: name, Revision: at}, Deleted: true})
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return cmp.Compare(a.Object.Revision, b.Object.Revision) })
	return out
}

// RecordLatest raises the latest revision of a kind to that of the VM that sent an
// update if this copy is complete up to it. The sender's latest change may be a
// deletion that a full list does not contain. Without RecordLatest, the sender's
// digest would then stay newer, and this VM would request the same update again.
func (c *Cache) RecordLatest(kind Kind, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.kind(kind)
	if revision <= s.completeRevision {
		s.latest = max(s.latest, revision)
	}
}

// isDeleted reports whether an object that is not cached was deleted after the given
// state of it: the copy is complete beyond that state. The tombstone may be gone.
func (s *kindState) isDeleted(o Object) bool {
	_, found := s.objects[o.Name]
	return !found && s.listed && o.Revision <= s.completeRevision
}

func (s *kindState) put(o Object) bool {
	known, found := s.objects[o.Name]
	deletedAt, deleted := s.tombstones[o.Name]
	if found && known.Revision >= o.Revision || deleted && deletedAt >= o.Revision {
		return false
	}
	delete(s.tombstones, o.Name)
	s.objects[o.Name] = o
	s.latest = max(s.latest, o.Revision)
	return true
}

// remove applies a deletion, whose revision is o.Revision. It reports whether
// it removed a cached object.
func (s *kindState) remove(o Object) bool {
	known, found := s.objects[o.Name]
	if found && known.Revision > o.Revision || s.tombstones[o.Name] > o.Revision {
		return false
	}
	delete(s.objects, o.Name)
	s.tombstones[o.Name] = o.Revision
	s.latest = max(s.latest, o.Revision)
	return found
}

// trimTombstones removes the older half of the tombstones when there are more
// than maxTombstones.
func (s *kindState) trimTombstones() {
	if len(s.tombstones) <= maxTombstones {
		return
	}
	revisions := make([]uint64, 0, len(s.tombstones))
	for _, r := range s.tombstones {
		revisions = append(revisions, r)
	}
	slices.Sort(revisions)
	s.tombstoneFloor = max(s.tombstoneFloor, revisions[len(revisions)/2])
	for name, r := range s.tombstones {
		if r <= s.tombstoneFloor {
			delete(s.tombstones, name)
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
