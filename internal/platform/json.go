package platform

import (
	"context"
	"encoding/json"

	"github.com/gravitational/trace"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// ReadJSON decodes an object into v and returns its version. If the object does
// not exist, it returns version 0 without an error and leaves v unchanged.
func ReadJSON(ctx context.Context, s Store, kind, name string, v any) (Version, error) {
	o, err := s.Get(ctx, kind, name)
	if result.Is(err, result.PlatformNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	if err := json.Unmarshal(o.Value, v); err != nil {
		return o.Version, trace.Wrap(result.New(result.Internal, "cannot decode the object %s/%s: %v", kind, name, err))
	}
	return o.Version, nil
}

// WriteJSON encodes v and writes it with one conditional call: a create if base
// is 0, else an update of version base. It returns the new version, and the
// store's error unchanged.
func WriteJSON(ctx context.Context, s Store, kind, name string, base Version, v any) (Version, error) {
	value, err := json.Marshal(v)
	if err != nil {
		return 0, trace.Wrap(result.New(result.Internal, "cannot encode the object %s/%s: %v", kind, name, err))
	}
	if base == 0 {
		return s.Create(ctx, kind, name, value)
	}
	return s.Update(ctx, kind, name, base, value)
}
