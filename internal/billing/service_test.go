package billing

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/peer"
	"github.com/cranberrypier/cranberrypier/internal/platform"
	"github.com/cranberrypier/cranberrypier/internal/platform/memory"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
)

type network struct {
	mu    sync.Mutex
	nodes map[string]handlers
}

type handlers map[peer.Type]peer.Handler

func (h handlers) Handle(t peer.Type, f peer.Handler) { h[t] = f }

func (n *network) Call(ctx context.Context, addr string, t peer.Type, in, out any) error {
	n.mu.Lock()
	h := n.nodes[addr][t]
	n.mu.Unlock()
	if h == nil {
		return result.New(result.PeerUnreachable, "no process at %s", addr)
	}
	b, err := cbor.Marshal(in)
	if err != nil {
		return err
	}
	ans, err := h(ctx, peer.Identity{}, b)
	if err != nil || out == nil {
		return err
	}
	if b, err = cbor.Marshal(ans); err != nil {
		return err
	}
	return cbor.Unmarshal(b, out)
}

type noRecorder struct{}

func (noRecorder) Record(string, string, ...timeline.Field) {}

// TestServices runs senders and uploaders of two VMs with an in-memory store and
// checks that each bill is stored once. Each row injects a different fault.
func TestServices(t *testing.T) {
	type fleet struct {
		store         *memory.Store
		net           *network
		senders       []*Sender
		stopSenders   []context.CancelFunc
		stopUploaders []context.CancelFunc
		view          membership.View
	}
	drain := func(t *testing.T, s *Sender) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		require.NoError(t, s.Flush(ctx))
	}
	for _, row := range []struct {
		name  string
		run   func(t *testing.T, f *fleet)
		bills int
	}{
		{"bills are stored once if responses to writes are lost", func(t *testing.T, f *fleet) {
			f.store.LoseResponses(2)
			for i := range 300 {
				f.senders[0].Bill(Bill{Request: strconv.Itoa(i)})
			}
			drain(t, f.senders[0])
		}, 300},
		{"bills are stored after an outage of the platform", func(t *testing.T, f *fleet) {
			f.store.SetDown(true)
			f.senders[0].Bill(Bill{Request: "a"})
			time.Sleep(time.Minute)
			f.store.SetDown(false)
			drain(t, f.senders[0])
		}, 1},
		{"the own agent is unavailable: another VM's agent stores the bills", func(t *testing.T, f *fleet) {
			f.net.mu.Lock()
			delete(f.net.nodes, "vm0")
			f.net.mu.Unlock()
			f.senders[0].Bill(Bill{Request: "a"})
			drain(t, f.senders[0])
		}, 1},
		{"the origin VM fails during an outage: the agent with the copy stores the bills", func(t *testing.T, f *fleet) {
			f.store.SetDown(true)
			f.senders[0].Bill(Bill{Request: "a"})
			time.Sleep(2 * time.Second)
			f.stopSenders[0]()
			f.stopUploaders[0]()
			f.store.SetDown(false)
			time.Sleep(3 * time.Minute)
		}, 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fleet{store: memory.New(), net: &network{nodes: map[string]handlers{}}}
				for _, vm := range []string{"vm0", "vm1"} {
					f.view.Members = append(f.view.Members, membership.Member{VM: vm, Agent: vm, Status: membership.Alive})
				}
				var running sync.WaitGroup
				for _, m := range f.view.Members {
					cfg := Config{VM: m.VM, Incarnation: 1, Agent: m.Agent}
					u := NewUploader(cfg, f.store, f.net, noRecorder{}, prometheus.NewRegistry())
					f.net.nodes[m.VM] = handlers{}
					u.Register(f.net.nodes[m.VM])
					s := NewSender(cfg, f.net, noRecorder{}, prometheus.NewRegistry())
					f.senders = append(f.senders, s)
					sctx, stop := context.WithCancel(t.Context())
					uctx, stopUp := context.WithCancel(t.Context())
					f.stopSenders, f.stopUploaders = append(f.stopSenders, stop), append(f.stopUploaders, stopUp)
					running.Go(func() { s.Run(sctx) })
					running.Go(func() { u.Run(uctx) })
					s.SetView(f.view)
					u.SetView(f.view)
				}
				row.run(t, f)
				for i := range f.stopSenders {
					f.stopSenders[i]()
					f.stopUploaders[i]()
				}
				running.Wait()
				objects, err := f.store.List(t.Context(), platform.KindBill, "")
				require.NoError(t, err)
				seen := map[string]int{}
				for _, o := range objects {
					var bills []Bill
					require.NoError(t, json.Unmarshal(o.Value, &bills))
					for _, b := range bills {
						seen[b.Request]++
					}
				}
				require.Len(t, seen, row.bills)
				for id, n := range seen {
					require.Equal(t, 1, n, id)
				}
			})
		})
	}
}
