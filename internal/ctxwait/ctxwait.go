// Package ctxwait provides a sleep that a context can cancel.
package ctxwait

import (
	"context"
	"time"
)

// For waits for d. It returns false if ctx ends before d has passed. If d is zero
// or negative, it returns false only if ctx has already ended.
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
