package platform_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/fake/objectstore"
	"github.com/cranberrypier/cranberrypier/internal/platform"
	"github.com/cranberrypier/cranberrypier/internal/platform/memory"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// implementation is the implementation of platform.Store under test.
type implementation struct {
	Store platform.Store
	// Backend is the store behind the implementation, in which faults are
	// injected.
	Backend *memory.Store
}

const (
	kind        = "thing"
	testTimeout = 10 * time.Second
)

func TestMemoryContract(t *testing.T) {
	testContract(t, func(*testing.T) implementation {
		s := memory.New()
		return implementation{Store: s, Backend: s}
	})
}

func TestClientContract(t *testing.T) {
	testContract(t, func(t *testing.T) implementation {
		s := objectstore.New("platform", objectstore.Settings{})
		require.NoError(t, s.Server.Start("127.0.0.1:0"))
		t.Cleanup(func() { _ = s.Server.Close() })
		c := platform.NewClient(platform.Config{Address: s.Server.Address(), VM: "vm-1", Zone: "z1"}, nil)
		t.Cleanup(c.Close)
		return implementation{Store: c, Backend: s.Store}
	})
}

// testContract checks the behavior that every implementation of platform.Store
// must have.
func testContract(t *testing.T, open func(t *testing.T) implementation) {
	t.Run("conditional writes", func(t *testing.T) { testConditionalWrites(t, open(t)) })
	t.Run("lists and watches", func(t *testing.T) { testListsAndWatches(t, open(t)) })
	t.Run("faults", func(t *testing.T) { testFaults(t, open(t)) })
}

func testConditionalWrites(t *testing.T, s implementation) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	st := s.Store
	_, err := st.Get(ctx, kind, "a/b c")
	require.True(t, result.Is(err, result.PlatformNotFound), "%v", err)
	v1, err := st.Create(ctx, kind, "a/b c", []byte("one"))
	require.NoError(t, err)
	_, err = st.Create(ctx, kind, "a/b c", []byte("two"))
	require.True(t, result.Is(err, result.PlatformConflict), "%v", err)
	v2, err := st.Update(ctx, kind, "a/b c", v1, []byte("two"))
	require.NoError(t, err)
	require.Greater(t, v2, v1)
	_, err = st.Update(ctx, kind, "a/b c", v1, []byte("three"))
	require.True(t, result.Is(err, result.PlatformConflict), "%v", err)
	_, err = st.Update(ctx, kind, "absent", 0, []byte("x"))
	require.True(t, result.Is(err, result.PlatformConflict), "%v", err)
	o, err := st.Get(ctx, kind, "a/b c")
	require.NoError(t, err)
	require.Equal(t, platform.Object{Kind: kind, Name: "a/b c", Version: v2, Value: []byte("two")}, o)
	require.True(t, result.Is(st.Delete(ctx, kind, "a/b c", v1), result.PlatformConflict))
	require.NoError(t, st.Delete(ctx, kind, "a/b c", v2))
	_, err = st.Get(ctx, kind, "a/b c")
	require.True(t, result.Is(err, result.PlatformNotFound), "%v", err)
	v3, err := st.Create(ctx, kind, "a/b c", nil)
	require.NoError(t, err)
	require.Greater(t, v3, v2, "a version is never reused")
	_, err = st.Create(ctx, kind, "big", make([]byte, platform.MaxValueBytes+1))
	require.True(t, result.Is(err, result.PlatformTooLarge), "%v", err)
	_, err = st.Create(ctx, kind, "largest", make([]byte, platform.MaxValueBytes))
	require.NoError(t, err)
}

func testListsAndWatches(t *testing.T, s implementation) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	st := s.Store
	va, err := st.Create(ctx, kind, "p-a", []byte("a"))
	require.NoError(t, err)
	_, err = st.Create(ctx, kind, "q", []byte("q"))
	require.NoError(t, err)
	_, err = st.Create(ctx, "other", "p-z", []byte("z"))
	require.NoError(t, err)
	list, err := st.List(ctx, kind, "p-")
	require.NoError(t, err)
	require.Equal(t, []platform.Object{{Kind: kind, Name: "p-a", Version: va, Value: []byte("a")}}, list)

	seen, revision, err := st.Watch(ctx, kind, 0)
	require.NoError(t, err)
	require.Len(t, seen, 2)
	done := make(chan []platform.Object, 1)
	go func() {
		changed, _, err := st.Watch(ctx, kind, revision)
		if err == nil {
			done <- changed
		}
		close(done)
	}()
	_, err = st.Create(ctx, "other", "unrelated", nil)
	require.NoError(t, err)
	require.NoError(t, st.Delete(ctx, kind, "p-a", va))
	require.Equal(t, []platform.Object{{Kind: kind, Name: "p-a"}}, <-done)

	short, stop := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer stop()
	last := s.Backend.Revision()
	seen, revision, err = st.Watch(short, kind, last)
	require.NoError(t, err)
	require.Empty(t, seen)
	require.Equal(t, last, revision)

	vms := []platform.VM{{Name: "vm-1", Zone: "z1", Address: "10.0.0.1:1", Kind: "entry"}}
	s.Backend.SetVMs(vms)
	got, err := st.VMs(ctx)
	require.NoError(t, err)
	require.Equal(t, vms, got)
}

func testFaults(t *testing.T, s implementation) {
	for _, c := range []struct {
		name  string
		fault memory.Fault
		read  result.Code
		write result.Code
		// written reports whether the write took effect.
		written bool
	}{
		{"a busy service wrote nothing", memory.Busy, result.PlatformBusy, result.PlatformBusy, false},
		{"a lost request is unsure", memory.LostRequest, result.PlatformUnavailable, result.PlatformWriteUnknown, false},
		{"a lost response is unsure and wrote", memory.LostResponse, result.PlatformUnavailable, result.PlatformWriteUnknown, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			s.Backend.SetHook(func(context.Context, memory.Op) memory.Fault { return c.fault })
			_, err := s.Store.Create(ctx, kind, c.name, []byte("v"))
			require.Equal(t, c.write, result.From(err).Code, "%v", err)
			_, err = s.Store.Get(ctx, kind, c.name)
			require.Equal(t, c.read, result.From(err).Code, "%v", err)
			s.Backend.SetHook(nil)
			o, err := s.Store.Get(ctx, kind, c.name)
			if !c.written {
				require.True(t, result.Is(err, result.PlatformNotFound), "%v", err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, []byte("v"), o.Value)
		})
	}
	t.Run("a write canceled by its caller is unsure", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s.Backend.SetHook(func(ctx context.Context, _ memory.Op) memory.Fault {
			cancel()
			<-ctx.Done()
			return memory.None
		})
		defer s.Backend.SetHook(nil)
		_, err := s.Store.Create(ctx, kind, "cut short", nil)
		require.True(t, result.Is(err, result.PlatformWriteUnknown), "%v", err)
	})
}
