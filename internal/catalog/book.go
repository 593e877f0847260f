package catalog

import (
	"cmp"
	"slices"
	"sync"
)

// goneMost bounds the deletions that are remembered for one kind. A VM that
// lacks older ones is given the whole list.
const goneMost = 1024

// Book keeps the objects as they came, by kind. What the store and other VMs
// say is merged by revision: a word that is older than what is known of an
// object changes nothing, so the order of the words does not matter.
type Book struct {
	mu    sync.Mutex
	kinds map[Kind]*shelf
}

// shelf is what is known of one kind.
//
// Invariants: an object's name is in at most one of objects and gone; every
// change up to complete is contained; every deletion above floor is in gone.
type shelf struct {
	objects map[string]Object
	// gone holds the revisions of deletions.
	gone map[string]uint64
	// last is the revision of the newest change that is known.
	last uint64
	// complete is the store's revision up to which nothing is missing.
	complete uint64
	floor    uint64
	// known is true once the kind was listed.
	known bool
}

// Part is what one VM tells another of a kind.
type Part struct {
	// Whole is true when Objects are all there are; else they and Gone are what
	// changed since the revision that was asked for.
	Whole   bool              `json:"whole,omitempty"`
	Objects []Object          `json:"objects,omitempty"`
	Gone    map[string]uint64 `json:"gone,omitempty"`
	// Complete is the store's revision up to which nothing is missing, and Last
	// the revision of the newest change.
	Complete uint64 `json:"complete"`
	Last     uint64 `json:"last"`
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{kinds: make(map[Kind]*shelf)} }

func (b *Book) shelf(kind Kind) *shelf {
	s := b.kinds[kind]
	if s == nil {
		s = &shelf{objects: make(map[string]Object), gone: make(map[string]uint64)}
		b.kinds[kind] = s
	}
	return s
}

// Complete is the store's revision up to which nothing of a kind is missing;
// zero when it was never listed.
func (b *Book) Complete(kind Kind) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.shelf(kind).complete
}

// Known reports whether a kind was ever listed.
func (b *Book) Known(kind Kind) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.shelf(kind).known
}

// Last lists the revisions of the newest changes, in the order of Kinds.
func (b *Book) Last() []uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]uint64, len(Kinds))
	for i, kind := range Kinds {
		out[i] = b.shelf(kind).last
	}
	return out
}

// Replace takes the whole list of a kind, valid at a revision, and returns the
// list that counts: with what is known to be newer.
func (b *Book) Replace(kind Kind, list []Object, at uint64) []Object {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.shelf(kind)
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
func (b *Book) Apply(kind Kind, changes []Change, at uint64) []Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.shelf(kind)
	out := make([]Change, 0, len(changes))
	for _, c := range changes {
		if c.Deleted && s.drop(c.Object) || !c.Deleted && s.put(c.Object) {
			out = append(out, c)
		}
	}
	s.complete = max(s.complete, at)
	s.forget()
	return out
}

// Since tells another VM what it lacks that knows everything up to a revision.
// It reports false when the kind is not known here.
func (b *Book) Since(kind Kind, revision uint64) (Part, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.shelf(kind)
	if !s.known {
		return Part{}, false
	}
	p := Part{Complete: s.complete, Last: s.last}
	if revision < s.floor {
		p.Whole = true
		p.Objects = s.sorted()
		return p, true
	}
	for _, o := range s.sorted() {
		if o.Revision > revision {
			p.Objects = append(p.Objects, o)
		}
	}
	p.Gone = make(map[string]uint64)
	for name, at := range s.gone {
		if at > revision {
			p.Gone[name] = at
		}
	}
	return p, true
}

// Saw notes the revision of another VM's newest change once everything up to it
// is known, so that the difference is not asked for again.
func (b *Book) Saw(kind Kind, last uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.shelf(kind)
	if last <= s.complete {
		s.last = max(s.last, last)
	}
}

func (s *shelf) put(o Object) bool {
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
func (s *shelf) drop(o Object) bool {
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
func (s *shelf) forget() {
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

func (s *shelf) sorted() []Object {
	out := make([]Object, 0, len(s.objects))
	for _, o := range s.objects {
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b Object) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
