// Package platform defines the interface of the platform's object service and
// its HTTP client. The service has versioned objects with conditional updates,
// watches, and the list of VMs.
package platform

import "context"

// Version is an object's version. The versions of one object only increase.
// Zero means that the object does not exist.
type Version uint64

// Object is a stored object. Its value has at most MaxValueBytes bytes.
type Object struct {
	Kind    string
	Name    string
	Version Version
	Value   []byte
}

// MaxValueBytes is the maximum size of a value in the service.
const MaxValueBytes = 1 << 20

// Store is the interface of the object service. Every error has a code of the
// result package:
//   - PlatformNotFound, PlatformConflict, PlatformTooLarge and PlatformBusy mean
//     that nothing was written.
//   - PlatformUnavailable means that a read failed or that a write never reached
//     the service.
//   - PlatformWriteUnknown means that a write may have taken effect although no
//     response was received.
type Store interface {
	// Get returns one object.
	Get(ctx context.Context, kind, name string) (Object, error)
	// Create writes a new object. It fails if the object exists.
	Create(ctx context.Context, kind, name string, value []byte) (Version, error)
	// Update replaces an object. It fails if its version is not base.
	Update(ctx context.Context, kind, name string, base Version, value []byte) (Version, error)
	// Delete deletes an object. It fails if its version is not base.
	Delete(ctx context.Context, kind, name string, base Version) error
	// List returns the objects of a kind whose names start with prefix.
	List(ctx context.Context, kind, prefix string) ([]Object, error)
	// Watch waits until an object of the kind has changed since the given
	// revision or ctx ends. It returns the changed objects and the new
	// revision.
	Watch(ctx context.Context, kind string, after uint64) ([]Object, uint64, error)
	// VMs returns the platform's list of VMs, which may be out of date.
	VMs(ctx context.Context) ([]VM, error)
}

// VM is an entry of the platform's list of VMs.
type VM struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// Kind is "entry" for entry VMs and "upstream" for upstreams.
	Kind    string `json:"kind"`
	Leaving bool   `json:"leaving"`
}

// Kinds of objects that cranberrypier stores in the service.
const (
	KindDocument = "document"
	KindJournal  = "journal"
	KindKey      = "key"
	KindBill     = "bill"
	KindLease    = "lease"
	KindSeat     = "seat"
	KindStatus   = "status"
	KindRollOut  = "rollout"
)
