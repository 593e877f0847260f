// Package pause waits in a way that a context can end.
package pause

import (
	"context"
	"time"
)

// For waits for d. It reports false when ctx ended before; no wait at all counts
// as over.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
