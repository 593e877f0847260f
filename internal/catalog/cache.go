package catalog

import (
	"cmp"
	"maps"
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
//   - Every deletion above tombstoneFloor and outside of gaps is in tombstones, unless
//     a later change of the same object was received.
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
	// gaps are spans in which an object may have been created and deleted unnoticed,
	// because the kind was listed again at their end; oldest first.
	gaps []Gap
	// listed is true once the kind has been listed.
	listed bool
}

// Gap is a span of revisions, without its ends. A copy that is complete up to a
// revision in it may hold objects of whose deletion a VM with this gap knows nothing.
type Gap struct {
	After uint64 `json:"after"`
	Until uint64 `json:"until"`
}

// maxGaps limits the gaps that are kept for one kind.
const maxGaps = 32

// defaultMaxUpdateChanges limits the objects in one partial update, usually to about
// 100 KB, which the slowest link transfers in a tenth of a second. The
// receiver requests the rest in further updates.
const defaultMaxUpdateChanges = 200

// Update is an update of one kind that a VM sends to another VM.
type Update struct {
	// Full is true when Objects is the full list, and Deletions holds the deletions
	// above Floor that were not in Gaps. Otherwise Objects holds the oldest changes since the requested
	// revision, and Deletions all deletions since then.
	Full      bool              `json:"whole,omitempty"`
	Floor     uint64            `json:"floor,omitempty"`
	Gaps      []Gap             `json:"gaps,omitempty"`
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
//
// The first list of an era says nothing about what was deleted before it. A later
// one does: cached objects that it lacks were deleted since, at the latest at its
// revision, which therefore stands for the unknown revisions of these deletions.
func (c *Cache) Replace(kind Kind, list []Object, revision uint64) []Object {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.kind(kind)
	if revision < s.completeRevision {
		return s.sorted()
	}
	first := s.isFirstList(revision)
	listed := make(map[string]bool, len(list))
	for _, o := range list {
		listed[o.Name] = true
		s.put(o)
	}
	for name, o := range s.objects {
		if listed[name] || o.Revision > revision {
			continue
		}
		delete(s.objects, name)
		if !first {
			s.tombstones[name] = revision
			s.latest = max(s.latest, revision)
		}
	}
	if first {
		s.dropTombstones(revision)
	} else {
		s.addGap(Gap{After: s.completeRevision, Until: revision})
	}
	s.completeRevision, s.listed = revision, true
	// A kind without changes in an era still shows that it was read in it.
	s.latest = max(s.latest, JoinRevision(EraOf(revision), 0))
	s.trimTombstones()
	return s.sorted()
}

// ReplaceByUpdate is Replace for a full list from another VM. If it is this VM's
// first list of the era, it takes over the other VM's tombstones, so that it can
// later send partial updates to VMs whose copies are as old as that VM's.
func (c *Cache) ReplaceByUpdate(kind Kind, u Update) []Object {
	c.mu.Lock()
	s := c.kind(kind)
	first := s.isFirstList(u.CompleteRevision)
	c.mu.Unlock()
	out := c.Replace(kind, u.Objects, u.CompleteRevision)
	c.mu.Lock()
	defer c.mu.Unlock()
	if first && s.completeRevision == u.CompleteRevision {
		s.tombstoneFloor, s.gaps = u.Floor, slices.Clone(u.Gaps)
		for name, deletedAt := range u.Deletions {
			if _, found := s.objects[name]; !found {
				s.tombstones[name] = deletedAt
			}
		}
	}
	return out
}

// isFirstList reports whether a list that was read at a revision is the first one of
// its era.
func (s *kindState) isFirstList(revision uint64) bool {
	return !s.listed || EraOf(revision) > EraOf(s.completeRevision)
}

// dropTombstones removes the tombstones up to a revision.
func (s *kindState) dropTombstones(revision uint64) {
	s.tombstoneFloor = max(s.tombstoneFloor, revision)
	for name, deletedAt := range s.tombstones {
		if deletedAt <= s.tombstoneFloor {
			delete(s.tombstones, name)
		}
	}
	s.gaps = slices.DeleteFunc(s.gaps, func(g Gap) bool { return g.Until <= s.tombstoneFloor })
}

func (s *kindState) addGap(g Gap) {
	if g.Until <= g.After+1 {
		return
	}
	s.gaps = append(s.gaps, g)
	if len(s.gaps) > maxGaps {
		s.dropTombstones(s.gaps[0].Until)
	}
}

// knowsDeletionsSince reports whether all deletions after a revision are known.
func (s *kindState) knowsDeletionsSince(revision uint64) bool {
	inGap := func(g Gap) bool { return g.After < revision && revision < g.Until }
	return revision >= s.tombstoneFloor && !slices.ContainsFunc(s.gaps, inGap)
}

// Apply applies the changes up to a revision and returns those that changed the
// cached objects.
func (c *Cache) Apply(kind Kind, changes []Change, revision uint64) []Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.kind(kind)
	out := make([]Change, 0, len(changes))
	for i, change := range changes {
		change = s.datedDeletion(change, changes[i+1:], revision)
		if change.Deleted && s.remove(change.Object) || !change.Deleted && !s.isDeleted(change.Object) && s.put(change.Object) {
			out = append(out, change)
		}
	}
	s.completeRevision = max(s.completeRevision, revision)
	s.trimTombstones()
	return out
}

// datedDeletion returns a deletion with a revision of its own. The store may send one with
// the revision of the object's last change; it happened later, at the latest at the revision
// up to which the changes are known. Without that, no other VM would notice it. A later
// change of the same object says more.
func (s *kindState) datedDeletion(change Change, later []Change, revision uint64) Change {
	known, found := s.objects[change.Object.Name]
	if !change.Deleted || !found || known.Revision != change.Object.Revision || revision <= known.Revision ||
		slices.ContainsFunc(later, func(l Change) bool { return l.Object.Name == change.Object.Name }) {
		return change
	}
	change.Object.Revision = revision
	return change
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
	if !s.knowsDeletionsSince(revision) {
		if !allowFull {
			return Update{}, false
		}
		u.Full, u.Floor, u.Gaps = true, s.tombstoneFloor, slices.Clone(s.gaps)
		u.Objects, u.Deletions = s.sorted(), maps.Clone(s.tombstones)
		return u, true
	}
	u.Objects, u.Deletions = s.objectsSince(revision), s.deletionsSince(revision)
	if len(u.Objects) > c.maxUpdateChanges {
		u.Objects = u.Objects[:c.maxUpdateChanges]
		u.CompleteRevision = u.Objects[c.maxUpdateChanges-1].Revision
		u.LatestRevision = u.CompleteRevision
	}
	return u, true
}

// objectsSince returns the objects that changed after a revision, oldest change
// first.
func (s *kindState) objectsSince(revision uint64) []Object {
	var out []Object
	for _, o := range s.objects {
		if o.Revision > revision {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b Object) int { return cmp.Compare(a.Revision, b.Revision) })
	return out
}

// deletionsSince returns the deletions after a revision, by object name. An update
// includes all of them, because some may have happened earlier than their tombstones
// say; see Cache.Replace.
func (s *kindState) deletionsSince(revision uint64) map[string]uint64 {
	out := make(map[string]uint64)
	for name, at := range s.tombstones {
		if at > revision {
			out[name] = at
		}
	}
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
	s.dropTombstones(revisions[len(revisions)/2])
}

func (s *kindState) sorted() []Object {
	out := make([]Object, 0, len(s.objects))
	for _, o := range s.objects {
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b Object) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
