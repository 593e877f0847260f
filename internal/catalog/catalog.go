// Package catalog watches the objects in the platform's store that the request
// path depends on: the configuration, the upstreams, roll-outs, and withdrawals,
// which are the zones that operators have taken out of service.
package catalog

import (
	"context"
	"encoding/json"
	"time"
)

// Kind is a type of object. Package platform maps it to the store's name for it.
type Kind string

// The kinds that the request path depends on.
const (
	Configurations Kind = "configuration"
	Upstreams      Kind = "upstream"
	RollOuts       Kind = "rollout"
	Withdrawals    Kind = "withdrawal"
)

// Kinds lists all kinds in the order in which VMs exchange their revisions.
var Kinds = []Kind{Configurations, Upstreams, RollOuts, Withdrawals}

// Object is an object in the store.
type Object struct {
	Name string
	// Revision is the revision of the object's last change; see JoinRevision.
	Revision uint64
	// Deleting is true when the object is marked for deletion.
	Deleting bool
	// Spec is written by operators and upstreams, Status by the entry VMs.
	Spec   json.RawMessage
	Status json.RawMessage
}

// Change is one event of a watch.
type Change struct {
	Object  Object
	Deleted bool
}

// Source reads and writes the store. Its errors carry a code of package result:
// PlatformUnusable if the store responded, and the response cannot be used. List and Watch
// record the parts of a response that arrive; see package transfer.
type Source interface {
	// List returns all objects of a kind and the revision from which a watch returns all
	// changes that the list may lack.
	List(ctx context.Context, kind Kind) ([]Object, uint64, error)
	// Watch waits at most wait for changes after a revision. It returns the changes
	// and the revision up to which they are complete. It fails with the code
	// PlatformGone when the store no longer keeps the history after the revision, or
	// when the revision is of an earlier era than the store's.
	Watch(ctx context.Context, kind Kind, after uint64, wait time.Duration) ([]Change, uint64, error)
	// WriteStatus replaces an object's status if the object still has the given
	// revision. It fails with the code PlatformConflict if the revision is of an
	// earlier era than the store's.
	WriteStatus(ctx context.Context, kind Kind, name string, revision uint64, status any) error
}
