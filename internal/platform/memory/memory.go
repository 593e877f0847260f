// Package memory implements an in-memory object service with fault injection.
// Tests use it as a platform.Store. The fake platform serves it over HTTP.
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

// Verb is a method of the object service.
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

// Op is one call. Kind and Name are empty if the verb does not use them.
type Op struct {
	Verb Verb
	Kind string
	Name string
}

// Fault is the fault that a hook injects into one call.
type Fault int

// Faults that a hook can inject.
const (
	// None injects no fault.
	None Fault = iota
	// Unavailable fails the call before it reaches the service.
	Unavailable
	// Busy rejects the call because the rate limit is exceeded.
	Busy
	// LostRequest fails a write as unsure without performing it. A read fails
	// as unavailable.
	LostRequest
	// LostAnswer performs a write and then fails it as unsure, as if the
	// response was lost. A read fails as unavailable.
	LostResponse
)

// Hook runs before each call, without holding the store's lock. It may block,
// to simulate a slow service, and may change the store.
type Hook func(ctx context.Context, op Op) Fault

type key struct{ kind, name string }

// Store implements platform.Store. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[key]platform.Object
	// deletions has the revision of each deletion, so that watches return it.
	deletions map[key]uint64
	// changed is closed and replaced on each change, to wake up watches.
	changed chan struct{}
	vms     []platform.VM
	calls   map[Op]int
	history history

	hook            Hook
	down            bool
	responsesToLose int
}

var _ platform.Store = (*Store)(nil)

// New returns an empty store.
func New() *Store {
	return &Store{
		objects:   map[key]platform.Object{},
		deletions: map[key]uint64{},
		changed:   make(chan struct{}),
		calls:     map[Op]int{},
	}
}

// Get implements platform.Store.
func (s *Store) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	if err := s.readFault(ctx, Op{Get, kind, name}); err != nil {
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

// List implements platform.Store. The objects are sorted by name.
func (s *Store) List(ctx context.Context, kind, prefix string) ([]platform.Object, error) {
	out, _, err := s.ListAt(ctx, kind, prefix)
	return out, err
}

// ListAt is like List but also returns the revision of the list.
func (s *Store) ListAt(ctx context.Context, kind, prefix string) ([]platform.Object, uint64, error) {
	if err := s.readFault(ctx, Op{Verb: List, Kind: kind}); err != nil {
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

// Watch implements platform.Store. If ctx ends before a change, it returns no
// objects, the same revision and no error.
func (s *Store) Watch(ctx context.Context, kind string, after uint64) ([]platform.Object, uint64, error) {
	if err := s.readFault(ctx, Op{Verb: Watch, Kind: kind}); err != nil {
		return nil, after, err
	}
	for {
		s.mu.Lock()
		out, newest := s.changesLocked(kind, after)
		changed := s.changed
		s.mu.Unlock()
		if len(out) > 0 {
			return out, newest, nil
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
	if err := s.readFault(ctx, Op{Verb: VMs}); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.vms), nil
}

// changesLocked returns the objects of a kind that changed after a revision, in
// order of revision, and the latest of these revisions. A deleted object has
// version 0. The caller holds mu.
func (s *Store) changesLocked(kind string, after uint64) ([]platform.Object, uint64) {
	type change struct {
		revision uint64
		object   platform.Object
	}
	var changes []change
	for k, o := range s.objects {
		if k.kind == kind && uint64(o.Version) > after {
			changes = append(changes, change{uint64(o.Version), clone(o)})
		}
	}
	for k, revision := range s.deletions {
		if k.kind == kind && revision > after {
			changes = append(changes, change{revision, platform.Object{Kind: k.kind, Name: k.name}})
		}
	}
	slices.SortFunc(changes, func(a, b change) int { return int(a.revision) - int(b.revision) })
	out := make([]platform.Object, 0, len(changes))
	newest := after
	for _, c := range changes {
		out = append(out, c.object)
		newest = c.revision
	}
	return out, newest
}

// readFault counts a read and returns the error of the fault injected into it,
// if any.
func (s *Store) readFault(ctx context.Context, op Op) error {
	switch s.countAndInject(ctx, op) {
	case None:
		return ctxErr(ctx, op)
	case Busy:
		return trace.Wrap(result.New(result.PlatformBusy, "the rate limit is exceeded"))
	case Unavailable, LostRequest, LostResponse:
	}
	return unavailable()
}

// write performs a conditional write and injects faults; base is 0 for a
// create.
func (s *Store) write(ctx context.Context, op Op, base platform.Version, value []byte) (platform.Version, error) {
	f := s.countAndInject(ctx, op)
	switch f {
	case Unavailable:
		return 0, unavailable()
	case Busy:
		return 0, trace.Wrap(result.New(result.PlatformBusy, "the rate limit is exceeded"))
	case LostRequest:
		return 0, unsure()
	case None, LostResponse:
	}
	if err := ctxErr(ctx, op); err != nil {
		return 0, err
	}
	v, err := s.apply(op, base, value)
	if f == LostResponse {
		return 0, unsure()
	}
	return v, err
}

// apply performs a conditional write without faults.
func (s *Store) apply(op Op, base platform.Version, value []byte) (platform.Version, error) {
	if len(value) > platform.MaxValueBytes {
		return 0, trace.Wrap(result.New(result.PlatformTooLarge, "%d bytes", len(value)))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k := key{op.Kind, op.Name}
	if current := s.objects[k].Version; current != base || op.Verb != Create && base == 0 {
		return 0, trace.Wrap(result.New(result.PlatformConflict, "%s %q has version %d, not %d", op.Kind, op.Name, current, base))
	}
	s.revision++
	v := platform.Version(s.revision)
	if op.Verb == Delete {
		delete(s.objects, k)
		s.deletions[k] = s.revision
	} else {
		delete(s.deletions, k)
		s.objects[k] = platform.Object{Kind: op.Kind, Name: op.Name, Version: v, Value: slices.Clone(value)}
	}
	s.history.add(Write{Verb: op.Verb, Kind: op.Kind, Name: op.Name, Base: base, Version: v, AtMS: time.Now().UnixMilli(), Size: len(value), Value: s.objects[k].Value})
	close(s.changed)
	s.changed = make(chan struct{})
	return v, nil
}

// countAndInject counts a call and returns the fault to inject into it.
func (s *Store) countAndInject(ctx context.Context, op Op) Fault {
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
	case op.Verb.Writes() && s.responsesToLose > 0:
		s.responsesToLose--
		return LostResponse
	}
	return None
}

func (s *Store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// ctxErr returns an error if ctx ended while a hook blocked the call. A write
// has not been performed then, but fails as unsure, since a client over a
// network could not tell.
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
	return trace.Wrap(result.New(result.PlatformUnavailable, "the object service is unavailable"))
}

func unsure() error {
	return trace.Wrap(result.New(result.PlatformWriteUnknown, "no response to a write"))
}

func clone(o platform.Object) platform.Object {
	o.Value = slices.Clone(o.Value)
	return o
}
