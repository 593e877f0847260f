package orders

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/placement"
	"github.com/cranberrypier/cranberrypier/internal/platform"
	"github.com/cranberrypier/cranberrypier/internal/platform/memory"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
	"github.com/cranberrypier/cranberrypier/internal/wire"
)

// fakeFencedEngine is an engine that checks fencing numbers.
type fakeFencedEngine struct {
	mu     sync.Mutex
	fence  uint64
	loaded []string
	// refused counts orders with a lower number than an earlier order.
	refused int
}

func (f *fakeFencedEngine) Load(context.Context, string) (placement.LoadReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return placement.LoadReport{Loaded: slices.Clone(f.loaded)}, nil
}

func (f *fakeFencedEngine) Order(_ context.Context, _ string, o wire.OrderBody) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if o.Fence < f.fence {
		f.refused++
		return result.New(result.OrderRefused, "a higher fencing number was received")
	}
	f.fence = o.Fence
	f.loaded = slices.DeleteFunc(f.loaded, func(t string) bool { return t == o.Version })
	if Op(o.Op) == OpLoad {
		f.loaded = append(f.loaded, o.Version)
	}
	return nil
}

func (f *fakeFencedEngine) has() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(slices.Values(f.loaded))
}

// TestRunnersShareOneLease runs two agents over one store: one sends the
// orders, and the other one continues after the first was stopped, also after a
// store outage with lost responses.
func TestRunnersShareOneLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, engine := memory.New(), &fakeFencedEngine{}
		v1 := (&site{engines: map[string]*fakeEngine{"e": {fencing: true}}}).next(0, []string{"m@v1"})
		v2 := (&site{engines: map[string]*fakeEngine{"e": {fencing: true}}}).next(1, []string{"m@v2"})
		view := membership.View{Members: []membership.Member{
			{VM: "a", Zone: "z", Status: membership.Alive, Generation: 2},
			{VM: "b", Zone: "z", Status: membership.Alive, Generation: 2},
		}}
		fleet := func(context.Context) []membership.Member { return view.Members }
		var runners []*Runner
		var stops []func()
		for _, vm := range []string{"a", "b"} {
			r := NewRunner(Config{VM: vm, Zone: "z", Incarnation: 1}, store, engine, fleet, timeline.Discard{})
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { defer close(done); r.Run(ctx) }()
			runners = append(runners, r)
			stops = append(stops, func() { cancel(); <-done })
			r.SetView(view)
			r.SetDocument(ctx, v1)
		}
		time.Sleep(time.Minute)
		require.Equal(t, []string{"m@v1"}, engine.has())
		o, err := store.Get(t.Context(), platform.KindLease, "orders-z")
		require.NoError(t, err)
		holder := 0
		if string(o.Value[:13]) == `{"holder":"b"` {
			holder = 1
		}
		stops[holder]()
		other := runners[1-holder]
		store.SetDown(true)
		time.Sleep(time.Minute)
		store.SetDown(false)
		store.LoseResponses(2)
		other.SetDocument(t.Context(), v2)
		time.Sleep(5 * time.Minute)
		require.Equal(t, []string{"m@v2"}, engine.has())
		require.Zero(t, engine.refused)
		err = engine.Order(t.Context(), "e", wire.OrderBody{Op: string(OpUnload), Version: "m@v2", Fence: uint64(o.Version)})
		require.True(t, result.Is(err, result.OrderRefused), "the first holder's number is lower than the second holder's")
		stops[1-holder]()
	})
}
