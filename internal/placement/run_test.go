package placement

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

// plainIndex is a document with one plain upstream that has one slot.
func plainIndex(leaving bool) *document.Index {
	return docOf([]document.Upstream{{
		Name: "p", Zone: "z", Kind: document.Plain, Address: "10.0.0.1:1",
		Serves: []string{"books"}, Limit: 1, Leaving: leaving,
	}}, document.Zone{Name: "z"})
}

// A wait that is canceled, a slot that is released twice, an upstream that
// leaves while requests are queued, or a shutdown must not leak a slot or block
// a caller.
func TestService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{VM: "vm", Zone: "z"}, nil, nil)
		ctx, stop := context.WithCancel(t.Context())
		runDone := make(chan struct{})
		go func() { s.Run(ctx); close(runDone) }()
		s.SetIndex(plainIndex(false))
		r := Request{ID: "r", Target: "books", Deadline: time.Now().Add(time.Hour)}
		slot, err := s.Acquire(t.Context(), r)
		require.NoError(t, err)
		require.True(t, s.Valid(slot))

		// A canceled wait has no lasting effect, and its slot goes to the next
		// request.
		shortCtx, cancel := context.WithTimeout(t.Context(), time.Second)
		_, err = s.Acquire(shortCtx, r)
		cancel()
		require.True(t, result.Is(err, result.DeadlineExceeded))
		require.Equal(t, result.NotRun, result.From(err).Run)
		got := make(chan Slot, 1)
		go func() {
			slot, err := s.Acquire(t.Context(), r)
			if err == nil {
				got <- slot
			}
		}()
		synctest.Wait()
		s.Release(slot, Outcome{End: EndOK, Elapsed: time.Second})
		s.Release(slot, Outcome{End: EndOK, Elapsed: time.Second})
		second := <-got

		// The document marks the upstream as leaving: the slot is no longer
		// valid for dispatch, and queued requests are rejected.
		rejected := make(chan error, 1)
		go func() {
			_, err := s.Acquire(t.Context(), r)
			rejected <- err
		}()
		synctest.Wait()
		s.SetIndex(plainIndex(true))
		require.True(t, result.Is(<-rejected, result.NoUpstream))
		require.False(t, s.Valid(second))

		// After shutdown no call blocks.
		stop()
		<-runDone
		_, err = s.Acquire(t.Context(), r)
		require.Error(t, err)
		s.Release(second, Outcome{End: EndOK})
		s.SetIndex(plainIndex(false))
	})
	goleak.VerifyNone(t)
}
