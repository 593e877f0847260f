package quarantine

import (
	"context"
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
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
)

type network map[string]handlers

type handlers map[peer.Type]peer.Handler

func (h handlers) Handle(t peer.Type, f peer.Handler) { h[t] = f }

func (n network) Call(ctx context.Context, addr string, t peer.Type, in, _ any) error {
	b, err := cbor.Marshal(in)
	if err != nil {
		return err
	}
	_, err = n[addr][t](ctx, peer.Identity{}, b)
	return err
}

type noRecorder struct{}

func (noRecorder) Record(string, string, ...timeline.Field) {}

// TestMarksOfAllVMsAddUp checks that crashes observed by different VMs add up, that
// every VM then rejects the request with a final error until the quarantine
// expires, and that a request that completed is cleared on every VM.
func TestMarksOfAllVMsAddUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := network{}
		var view membership.View
		var vms []*Service
		ctx, stop := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for i := range 3 {
			vm := strconv.Itoa(i)
			s := New(Config{VM: vm, Incarnation: 1}, net, noRecorder{}, prometheus.NewRegistry())
			net[vm] = handlers{}
			s.Register(net[vm])
			view.Members = append(view.Members, membership.Member{VM: vm, Router: vm, Status: membership.Alive})
			vms = append(vms, s)
		}
		for _, s := range vms {
			s.SetView(view)
			running.Go(func() { s.Run(ctx) })
		}
		poison, harmless := Fingerprint{1}, Fingerprint{2}
		crash := func(i int) {
			up := "u" + strconv.Itoa(i)
			for _, s := range vms {
				s.ObserveIncarnation(up, "first", time.Now())
			}
			a, b := vms[i].Begin(poison, up, "", time.Now()), vms[(i+1)%3].Begin(harmless, up, "", time.Now())
			vms[i].End(a, true, "", time.Now())
			vms[(i+1)%3].End(b, true, "", time.Now())
			time.Sleep(time.Second)
			for _, s := range vms {
				s.ObserveIncarnation(up, "second", time.Now())
			}
			again := vms[i].Begin(harmless, "other", "x", time.Now())
			vms[i].End(again, false, "x", time.Now())
			time.Sleep(time.Second)
		}
		for i := range 3 {
			require.NoError(t, vms[2].Check(poison, time.Now()))
			crash(i)
			// After the third crash the request is quarantined and no longer a
			// suspect.
			require.True(t, vms[i].RequiresIsolation(poison, time.Now()) || i == 2)
		}
		for _, s := range vms {
			require.True(t, result.Is(s.Check(poison, time.Now()), result.Quarantined))
			require.NoError(t, s.Check(harmless, time.Now()))
			require.False(t, s.RequiresIsolation(harmless, time.Now()))
		}
		time.Sleep(markTTL + time.Minute)
		require.NoError(t, vms[0].Check(poison, time.Now()), "a quarantine must expire")
		stop()
		running.Wait()
	})
}
