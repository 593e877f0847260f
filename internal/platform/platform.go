// Package platform is the client of the platform's object service: versioned
// objects with conditional updates, watches, and the list of VMs.
package platform

import "context"

// Version is an object's version; versions of one object only grow. Zero
// means that the object does not exist.
type Version uint64

// Object is a stored value, at most MaxValue bytes.
type Object struct {
	Kind    string
	Name    string
	Version Version
	Value   []byte
}

// MaxValue is the largest value that the service holds, in bytes.
const MaxValueBytes = 1 << 20

// Store is what the slices need of the object service. Every error carries
// a code of the result package:
// PlatformNotFound, PlatformConflict, PlatformTooLarge and PlatformBusy mean
// that nothing was written; PlatformUnavailable that the call never reached
// the service; PlatformUnsure that a write may have taken effect although no
// answer came.
type Store interface {
	// Get reads one object.
	Get(ctx context.Context, kind, name string) (Object, error)
	// Create writes an object that must not exist.
	Create(ctx context.Context, kind, name string, value []byte) (Version, error)
	// Update writes an object whose version must still be base.
	Update(ctx context.Context, kind, name string, base Version, value []byte) (Version, error)
	// Delete removes an object whose version must still be base.
	Delete(ctx context.Context, kind, name string, base Version) error
	// List reads the objects of a kind whose names start with prefix.
	List(ctx context.Context, kind, prefix string) ([]Object, error)
	// Watch waits until an object of the kind has changed after the given
	// revision, or ctx ends, and returns the changes and the new revision.
	Watch(ctx context.Context, kind string, after uint64) ([]Object, uint64, error)
	// VMs reads the platform's list of VMs, which lags behind reality.
	VMs(ctx context.Context) ([]VM, error)
}

// VM is a row of the platform's list.
type VM struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// Kind is "entry" for our VMs and "upstream" for others.
	Kind    string `json:"kind"`
	Leaving bool   `json:"leaving"`
}

// Kinds of objects that the system keeps in the service.
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
