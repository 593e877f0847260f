// Package memory is an in-memory object service with fault hooks. Tests use it
// as a platform.Store; the stand-in of the platform serves it over HTTP.
package memory

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/cranberrypier/cranberrypier/internal/platform"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// Verb is a call of the object service.
type Verb string

// Verbs of the object service.
const (
	Get    Verb = "get"
	Create Verb = "create"
	Update Verb = "update"
	Delete Verb = "delete"
	List   Verb = "list"
	Watch  Verb = "watch"
	VMs    Verb = "vms"
)

// Writes reports whether calls of the verb change objects.
func (v Verb) Writes() bool { return v == Create || v == Update || v == Delete }

// Op is one call. Kind and Name are empty where the verb has none.
type Op struct {
	Verb Verb
	Kind string
	Name string
}

// Fault is what a hook does to one call.
type Fault int

// Faults of one call.
const (
	// None lets the call through.
	None Fault = iota
	// Unavailable fails the call before it reaches the service.
	Unavailable
	// Busy refuses the call as over the rate.
	Busy
	// LostRequest fails a write as unsure without performing it.
	LostRequest
	// LostAnswer performs a write and then fails it as unsure. A read fails
	// as unavailable.
	LostAnswer
)

// Hook runs before each call without the store's lock. It may block, which
// makes the service slow, and may change the store.
type Hook func(ctx context.Context, op Op) Fault

type key struct{ kind, name string }

// Store implements platform.Store. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[key]platform.Object
	// removed holds the revision of each removal, so that watches see it.
	removed map[key]uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
	vms     []platform.VM
	calls   map[Op]int
	history history

	hook Hook
	down bool
	lose int
}

var _ platform.Store = (*Store)(nil)

// New returns an empty store.
func New() *Store {
	return &Store{
		objects: map[key]platform.Object{},
		removed: map[key]uint64{},
		changed: make(chan struct{}),
		calls:   map[Op]int{},
	}
}

// Get implements platform.Store.
func (s *Store) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	if err := s.read(ctx, Op{Get, kind, name}); err != nil {
		return platform.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key{kind, name}]
	if !ok {
		return platform.Object{}, trace.Wrap(result.New(result.PlatformNotFound, "no %s %q", kind, name))
	}
	return clone(o), nil
}

// Create implements platform.Store.
func (s *Store) Create(ctx context.Context, kind, name string, value []byte) (platform.Version, error) {
	return s.write(ctx, Op{Create, kind, name}, 0, value)
}

// Update implements platform.Store.
func (s *Store) Update(ctx context.Context, kind, name string, base platform.Version, value []byte) (platform.Version, error) {
	return s.write(ctx, Op{Update, kind, name}, base, value)
}

// Delete implements platform.Store.
func (s *Store) Delete(ctx context.Context, kind, name string, base platform.Version) error {
	_, err := s.write(ctx, Op{Delete, kind, name}, base, nil)
	return err
}

// List implements platform.Store. Objects are in ascending order of name.
func (s *Store) List(ctx context.Context, kind, prefix string) ([]platform.Object, error) {
	out, _, err := s.ListAt(ctx, kind, prefix)
	return out, err
}

// ListAt is List together with the revision at which the list was read.
func (s *Store) ListAt(ctx context.Context, kind, prefix string) ([]platform.Object, uint64, error) {
	if err := s.read(ctx, Op{Verb: List, Kind: kind}); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []platform.Object
	for k, o := range s.objects {
		if k.kind == kind && strings.HasPrefix(k.name, prefix) {
			out = append(out, clone(o))
		}
	}
	slices.SortFunc(out, func(a, b platform.Object) int { return strings.Compare(a.Name, b.Name) })
	return out, s.revision, nil
}

// Watch implements platform.Store. When ctx ends first it returns no objects,
// the same revision and no error.
func (s *Store) Watch(ctx context.Context, kind string, after uint64) ([]platform.Object, uint64, error) {
	if err := s.read(ctx, Op{Verb: Watch, Kind: kind}); err != nil {
		return nil, after, err
	}
	for {
		s.mu.Lock()
		out, last := s.changesLocked(kind, after)
		changed := s.changed
		s.mu.Unlock()
		if len(out) > 0 {
			return out, last, nil
		}
		select {
		case <-ctx.Done():
			return nil, after, nil
		case <-changed:
		}
		if s.isDown() {
			return nil, after, unavailable()
		}
	}
}

// VMs implements platform.Store.
func (s *Store) VMs(ctx context.Context) ([]platform.VM, error) {
	if err := s.read(ctx, Op{Verb: VMs}); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.vms), nil
}

// changesLocked returns the kind's changes after a revision, in order of
// revision, and the newest of these revisions. A removed object has version 0.
func (s *Store) changesLocked(kind string, after uint64) ([]platform.Object, uint64) {
	type change struct {
		revision uint64
		object   platform.Object
	}
	var found []change
	for k, o := range s.objects {
		if k.kind == kind && uint64(o.Version) > after {
			found = append(found, change{uint64(o.Version), clone(o)})
		}
	}
	for k, revision := range s.removed {
		if k.kind == kind && revision > after {
			found = append(found, change{revision, platform.Object{Kind: k.kind, Name: k.name}})
		}
	}
	slices.SortFunc(found, func(a, b change) int { return int(a.revision) - int(b.revision) })
	out := make([]platform.Object, 0, len(found))
	last := after
	for _, c := range found {
		out = append(out, c.object)
		last = c.revision
	}
	return out, last
}

// read applies faults to a reading call.
func (s *Store) read(ctx context.Context, op Op) error {
	switch s.fault(ctx, op) {
	case None:
		return ctxErr(ctx, op)
	case Busy:
		return trace.Wrap(result.New(result.PlatformBusy, "over the rate"))
	case Unavailable, LostRequest, LostAnswer:
	}
	return unavailable()
}

// write applies faults around a conditional write; base is 0 for a creation.
func (s *Store) write(ctx context.Context, op Op, base platform.Version, value []byte) (platform.Version, error) {
	f := s.fault(ctx, op)
	switch f {
	case Unavailable:
		return 0, unavailable()
	case Busy:
		return 0, trace.Wrap(result.New(result.PlatformBusy, "over the rate"))
	case LostRequest:
		return 0, unsure()
	case None, LostAnswer:
	}
	if err := ctxErr(ctx, op); err != nil {
		return 0, err
	}
	v, err := s.apply(op, base, value)
	if f == LostAnswer {
		return 0, unsure()
	}
	return v, err
}

// apply performs a conditional write.
func (s *Store) apply(op Op, base platform.Version, value []byte) (platform.Version, error) {
	if len(value) > platform.MaxValueBytes {
		return 0, trace.Wrap(result.New(result.PlatformTooLarge, "%d bytes", len(value)))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k := key{op.Kind, op.Name}
	if have := s.objects[k].Version; have != base || op.Verb != Create && base == 0 {
		return 0, trace.Wrap(result.New(result.PlatformConflict, "%s %q has version %d, not %d", op.Kind, op.Name, have, base))
	}
	s.revision++
	v := platform.Version(s.revision)
	if op.Verb == Delete {
		delete(s.objects, k)
		s.removed[k] = s.revision
	} else {
		delete(s.removed, k)
		s.objects[k] = platform.Object{Kind: op.Kind, Name: op.Name, Version: v, Value: slices.Clone(value)}
	}
	s.history.add(Write{Verb: op.Verb, Kind: op.Kind, Name: op.Name, Base: base, Version: v, AtMS: time.Now().UnixMilli(), Size: len(value), Value: s.objects[k].Value})
	close(s.changed)
	s.changed = make(chan struct{})
	return v, nil
}

// fault counts the call and decides what happens to it.
func (s *Store) fault(ctx context.Context, op Op) Fault {
	s.mu.Lock()
	s.calls[Op{Verb: op.Verb, Kind: op.Kind}]++
	hook := s.hook
	s.mu.Unlock()
	f := None
	if hook != nil {
		f = hook(ctx, op)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return Unavailable
	case f != None:
		return f
	case op.Verb.Writes() && s.lose > 0:
		s.lose--
		return LostAnswer
	}
	return None
}

func (s *Store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// ctxErr reports a context that ended while a hook held the call; the write
// has not been performed, but a caller over a network could not know.
func ctxErr(ctx context.Context, op Op) error {
	if ctx.Err() == nil || op.Verb == Watch {
		return nil
	}
	if op.Verb.Writes() {
		return unsure()
	}
	return unavailable()
}

func unavailable() error {
	return trace.Wrap(result.New(result.PlatformUnavailable, "the object service is down"))
}

func unsure() error {
	return trace.Wrap(result.New(result.PlatformUnsure, "no answer to a write"))
}

func clone(o platform.Object) platform.Object {
	o.Value = slices.Clone(o.Value)
	return o
}
