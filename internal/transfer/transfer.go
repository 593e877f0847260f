// Package transfer limits the time of transfers by what arrives: one that goes on is not
// given up, because the size of a message says how long it takes on a slow link.
package transfer

import (
	"context"
	"io"
	"sync"
	"time"
)

// Limits are the time limits of a transfer.
type Limits struct {
	// First is the time until the first part has arrived, Silence the time between two
	// parts, and Total the time from the first part to the last.
	First, Silence, Total time.Duration
}

// Transfer is a transfer in progress. It is safe for concurrent use.
type Transfer struct {
	limits Limits
	cancel context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
	// firstAt and latestAt are when the first and the latest part arrived; zero if none
	// has.
	firstAt, latestAt time.Time
}

type contextKey struct{}

// Start begins a transfer. The context that it returns ends with the cause
// context.DeadlineExceeded when the transfer exceeds its limits.
func Start(ctx context.Context, limits Limits) (context.Context, *Transfer) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &Transfer{limits: limits, cancel: cancel}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(limits.First, t.expire)
	return context.WithValue(ctx, contextKey{}, t), t
}

func (t *Transfer) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if remaining := t.remaining(time.Now()); remaining > 0 {
		t.timer.Reset(remaining)
		return
	}
	t.cancel(context.DeadlineExceeded)
}

// remaining returns how long the transfer may be silent from now on.
func (t *Transfer) remaining(now time.Time) time.Duration {
	if t.firstAt.IsZero() {
		return 0
	}
	return min(t.latestAt.Add(t.limits.Silence).Sub(now), t.firstAt.Add(t.limits.Total).Sub(now))
}

// Arriving reports whether parts have arrived and more may follow.
func (t *Transfer) Arriving() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.remaining(time.Now()) > 0
}

// End ends the transfer with a cause, which its context has from then on unless it has
// ended before; nil if the transfer is complete.
func (t *Transfer) End(cause error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer.Stop()
	t.cancel(cause)
}

// Arrived records that a part of the transfer has arrived whose context is given. It does
// nothing for other contexts.
func Arrived(ctx context.Context) {
	t, ok := ctx.Value(contextKey{}).(*Transfer)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.latestAt = time.Now()
	if t.firstAt.IsZero() {
		t.firstAt = t.latestAt
	}
}

// Reader returns a reader that records what arrives for the transfer whose context is given.
func Reader(ctx context.Context, r io.Reader) io.Reader { return reader{ctx, r} }

type reader struct {
	ctx context.Context
	r   io.Reader
}

func (r reader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	if n > 0 {
		Arrived(r.ctx)
	}
	return n, err
}
