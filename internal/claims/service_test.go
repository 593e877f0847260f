package claims

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/peer"
	"github.com/cranberrypier/cranberrypier/internal/platform/memory"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
)

// network connects the services of one test for peer calls.
type network struct {
	mu    sync.Mutex
	nodes map[string]map[peer.Type]peer.Handler
}

func (n *network) Call(ctx context.Context, addr string, t peer.Type, in, out any) error {
	n.mu.Lock()
	h := n.nodes[addr][t]
	n.mu.Unlock()
	if h == nil {
		return result.New(result.PeerUnreachable, "nobody at %s", addr)
	}
	b, err := cbor.Marshal(in)
	if err != nil {
		return err
	}
	ans, err := h(ctx, peer.Identity{}, b)
	if err != nil {
		return err
	}
	if b, err = cbor.Marshal(ans); err != nil {
		return err
	}
	return cbor.Unmarshal(b, out)
}

type handlers map[peer.Type]peer.Handler

func (h handlers) Handle(t peer.Type, f peer.Handler) { h[t] = f }

type noRecorder struct{}

func (noRecorder) Record(string, string, ...timeline.Field) {}

// fleet is a set of services that share one store.
type fleet struct {
	store   *memory.Store
	net     *network
	vms     []*Service
	stop    []context.CancelFunc
	runs    atomic.Int64
	running sync.WaitGroup
}

func newFleet(n int) *fleet {
	f := &fleet{store: memory.New(), net: &network{nodes: map[string]map[peer.Type]peer.Handler{}}}
	var view membership.View
	for i := range n {
		name := fmt.Sprintf("vm%d", i)
		view.Members = append(view.Members, membership.Member{VM: name, Router: name, RouterUp: true, Status: membership.Alive})
	}
	for i := range n {
		cfg := Config{VM: view.Members[i].VM, Incarnation: 1, Secret: simSecret}
		s := New(cfg, f.store, f.net, noRecorder{}, prometheus.NewRegistry())
		h := handlers{}
		s.Register(h)
		f.net.nodes[cfg.VM] = h
		ctx, cancel := context.WithCancel(context.Background())
		f.running.Go(func() { s.Run(ctx) })
		s.SetView(view)
		f.vms = append(f.vms, s)
		f.stop = append(f.stop, cancel)
	}
	return f
}

// killFirst stops the first service without a drain.
func (f *fleet) killFirst() {
	const i = 0
	f.net.mu.Lock()
	delete(f.net.nodes, f.vms[i].cfg.VM)
	f.net.mu.Unlock()
	f.stop[i]()
}

func (f *fleet) close() {
	time.Sleep(time.Minute) // runs of stopped services end
	for _, stop := range f.stop {
		stop()
	}
	f.running.Wait()
}

// work returns a run that takes d. Each run answers with a different body, after
// size zero bytes.
func (f *fleet) work(d time.Duration, size int) func(context.Context) Outcome {
	return func(context.Context) Outcome {
		n := f.runs.Add(1)
		time.Sleep(d)
		body := append(make([]byte, size), fmt.Sprintf("run %d", n)...)
		return Outcome{Run: result.Ran, Status: 201, Body: body}
	}
}

func request(key string) Request {
	return Request{Key: Key{Team: "a", Value: key}, Fingerprint: "body", Deadline: time.Now().Add(30 * time.Second)}
}

func newKey(t testing.TB) string {
	id, err := uuid.NewV7()
	require.NoError(t, err)
	return id.String()
}

// TestService checks one scenario per row. Each scenario starts with three
// services.
func TestService(t *testing.T) {
	const second = time.Second
	type doFunc func(i int, key string) (Outcome, error)
	for _, row := range []struct {
		name     string
		runs     int64
		scenario func(t *testing.T, f *fleet, do doFunc)
	}{
		{"a retry at another VM gets the recorded outcome", 1, func(t *testing.T, f *fleet, do doFunc) {
			k := newKey(t)
			first, err := do(0, k)
			require.NoError(t, err)
			time.Sleep(second)
			again, err := do(1, k)
			require.NoError(t, err)
			require.Equal(t, first.Body, again.Body)
			require.True(t, again.Replayed)
		}},
		{"arrivals at three VMs at once share one run", 1, func(t *testing.T, f *fleet, do doFunc) {
			k := newKey(t)
			var wg sync.WaitGroup
			for i := range 9 {
				wg.Go(func() {
					out, err := do(i%3, k)
					require.NoError(t, err)
					require.Equal(t, "run 1", string(out.Body))
				})
			}
			wg.Wait()
		}},
		{"a caller that cancels does not end the run, and its retry at another VM joins it", 1, func(t *testing.T, f *fleet, do doFunc) {
			k := newKey(t)
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			_, err := f.vms[0].Do(ctx, request(k), f.work(second, 0))
			require.True(t, result.Is(err, result.CallerGone))
			require.Equal(t, result.Unknown, result.From(err).Run)
			out, err := do(1, k)
			require.NoError(t, err)
			require.Equal(t, "run 1", string(out.Body))
		}},
		{"with the store down a key is rejected as not run and a later retry runs", 1, func(t *testing.T, f *fleet, do doFunc) {
			k := newKey(t)
			f.store.SetDown(true)
			began := time.Now()
			_, err := do(0, k)
			require.True(t, result.Is(err, result.ClaimUnavailable))
			require.Equal(t, result.NotRun, result.From(err).Run)
			require.Less(t, time.Since(began), second)
			f.store.SetDown(false)
			time.Sleep(second)
			_, err = do(1, k)
			require.NoError(t, err)
		}},
		{"with the store down a ticket runs once, and its VM answers a retry at another VM", 1, func(t *testing.T, f *fleet, do doFunc) {
			f.store.SetDown(true)
			k, err := f.vms[0].Ticket("a", time.Now())
			require.NoError(t, err)
			first, err := do(0, k)
			require.NoError(t, err)
			again, err := do(2, k)
			require.NoError(t, err)
			require.Equal(t, first.Body, again.Body)
		}},
		{"a ticket first used at another VM is granted by its VM, and only once", 1, func(t *testing.T, f *fleet, do doFunc) {
			f.store.SetDown(true)
			k, err := f.vms[0].Ticket("a", time.Now())
			require.NoError(t, err)
			_, err = do(2, k)
			require.NoError(t, err)
			out, err := do(0, k)
			require.NoError(t, err)
			require.Equal(t, "run 1", string(out.Body))
		}},
		{"a ticket whose VM has stopped is rejected with run state unknown", 0, func(t *testing.T, f *fleet, do doFunc) {
			k, err := f.vms[0].Ticket("a", time.Now())
			require.NoError(t, err)
			f.killFirst()
			_, err = do(1, k)
			require.True(t, result.Is(err, result.TicketForeign))
			require.Equal(t, result.Unknown, result.From(err).Run)
		}},
		{"a ticket of another team is rejected", 0, func(t *testing.T, f *fleet, do doFunc) {
			k, err := f.vms[0].Ticket("b", time.Now())
			require.NoError(t, err)
			_, err = do(0, k)
			require.True(t, result.Is(err, result.IdempotencyKeyMalformed))
		}},
		{"a claim is found in the journal after the answer to its write was lost", 1, func(t *testing.T, f *fleet, do doFunc) {
			f.store.LoseResponses(3)
			_, err := do(0, newKey(t))
			require.NoError(t, err)
		}},
		{"after a claimer was killed during its run, the run state stays unknown", 1, func(t *testing.T, f *fleet, do doFunc) {
			k := newKey(t)
			go func() { _, _ = f.vms[0].Do(context.Background(), request(k), f.work(20*second, 0)) }()
			time.Sleep(second)
			f.killFirst()
			for i := range 4 {
				_, err := do(1+i%2, k)
				require.True(t, result.Is(err, result.RunUnknown), "%v", err)
				time.Sleep(second)
			}
		}},
		{"after a claimer was killed before its claim was written, a retry runs", 1, func(t *testing.T, f *fleet, do doFunc) {
			k := newKey(t)
			f.store.SetDown(true)
			_, err := do(0, k)
			require.Error(t, err)
			f.killFirst()
			f.store.SetDown(false)
			time.Sleep(second)
			_, err = do(1, k)
			require.NoError(t, err)
		}},
		{"an answer too large to store is replayed with its status only", 1, func(t *testing.T, f *fleet, do doFunc) {
			k := newKey(t)
			_, err := f.vms[0].Do(t.Context(), request(k), f.work(0, 10<<10))
			require.NoError(t, err)
			time.Sleep(second)
			out, err := do(1, k)
			require.NoError(t, err)
			require.Equal(t, Outcome{Run: result.Ran, Code: result.AnswerNotStored, Status: 201, Replayed: true}, out)
		}},
		{"keys with another body, an old, missing or future issue time are rejected", 1, func(t *testing.T, f *fleet, do doFunc) {
			k := newKey(t)
			_, err := do(0, k)
			require.NoError(t, err)
			r := request(k)
			r.Fingerprint = "another"
			_, err = f.vms[1].Do(t.Context(), r, f.work(0, 0))
			require.True(t, result.Is(err, result.IdempotencyKeyReused))
			time.Sleep(16 * time.Minute)
			_, err = do(0, k)
			require.True(t, result.Is(err, result.IdempotencyKeyExpired))
			_, err = do(0, "no-time")
			require.True(t, result.Is(err, result.IdempotencyKeyMalformed))
			r = request("future")
			r.Key.IssuedAt = time.Now().Add(time.Hour)
			_, err = f.vms[1].Do(t.Context(), r, f.work(0, 0))
			require.True(t, result.Is(err, result.IdempotencyKeyMalformed))
		}},
		{"if the deadline passes while the store is slow, the request is not run", 0, func(t *testing.T, f *fleet, do doFunc) {
			f.store.SetHook(func(context.Context, memory.Op) memory.Fault { time.Sleep(800 * time.Millisecond); return memory.None })
			r := request(newKey(t))
			r.Deadline = time.Now().Add(500 * time.Millisecond)
			_, err := f.vms[0].Do(t.Context(), r, f.work(0, 0))
			require.Equal(t, result.NotRun, result.From(err).Run)
		}},
		{"the run state after a panic is unknown, also for a retry", 0, func(t *testing.T, f *fleet, do doFunc) {
			k := newKey(t)
			for i := range 2 {
				out, err := f.vms[i].Do(t.Context(), request(k), func(context.Context) Outcome { panic("broken") })
				require.NoError(t, err)
				require.Equal(t, result.Unknown, out.Run)
			}
		}},
		{"a drain waits for the run and records its outcome", 1, func(t *testing.T, f *fleet, do doFunc) {
			k := newKey(t)
			go func() { _, _ = f.vms[0].Do(context.Background(), request(k), f.work(3*second, 0)) }()
			time.Sleep(second)
			require.NoError(t, f.vms[0].Drain(t.Context()))
			f.killFirst()
			out, err := do(1, k)
			require.NoError(t, err)
			require.Equal(t, "run 1", string(out.Body))
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(3)
				defer f.close()
				row.scenario(t, f, func(i int, key string) (Outcome, error) {
					return f.vms[i].Do(t.Context(), request(key), f.work(50*time.Millisecond, 0))
				})
				require.Equal(t, row.runs, f.runs.Load())
			})
		})
	}
}
