// Package catalog follows the objects of the platform's store that the request
// path depends on: the configuration, the upstreams, roll-outs and zones that
// operators have withdrawn.
package catalog

import (
	"context"
	"encoding/json"
	"time"
)

// Kind names a group of objects. The adapter maps it to the store's own name.
type Kind string

// The kinds that the request path follows.
const (
	Configurations Kind = "configuration"
	Upstreams      Kind = "upstream"
	RollOuts       Kind = "rollout"
	Withdrawals    Kind = "withdrawal"
)

// Kinds lists all kinds in the order in which VMs tell of them.
var Kinds = []Kind{Configurations, Upstreams, RollOuts, Withdrawals}

// Object is one stored object.
type Object struct {
	Name string
	// Revision is the store's counter at the object's last change.
	Revision uint64
	// Deleting is true when the object is marked for deletion.
	Deleting bool
	// Spec is written by operators and upstreams, Status by this system.
	Spec   json.RawMessage
	Status json.RawMessage
}

// Change is one event of a watch.
type Change struct {
	Object  Object
	Deleted bool
}

// Source reads and writes the store. Errors carry a code of package result:
// PlatformGone when the history after a revision is no longer kept.
type Source interface {
	// List reads all objects of a kind and the revision they are valid at.
	List(ctx context.Context, kind Kind) ([]Object, uint64, error)
	// Watch waits at most wait for changes after a revision.
	Watch(ctx context.Context, kind Kind, after uint64, wait time.Duration) ([]Change, uint64, error)
	// WriteStatus replaces an object's status if its revision is still the given one.
	WriteStatus(ctx context.Context, kind Kind, name string, revision uint64, status any) error
}
