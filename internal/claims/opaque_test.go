package claims

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/platform/memory"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
)

// All VMs must set the same issue time for a key without one, even if the answer
// to the create is lost. If the store is down, the key is rejected and nothing
// ran.
func TestStamp(t *testing.T) {
	rows := []struct {
		name  string
		fault func(*memory.Store)
		want  result.Code
	}{
		{"the first arrival sets the time", func(*memory.Store) {}, 0},
		{"the create's answer is lost", func(s *memory.Store) { s.LoseResponses(1) }, 0},
		{"the store is down", func(s *memory.Store) { s.SetDown(true) }, result.ClaimUnavailable},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			store := memory.New()
			r.fault(store)
			var first time.Time
			for _, vm := range []string{"a", "b", "a"} {
				s := New(Config{VM: vm, Incarnation: 1, Secret: []byte("s")}, store, nil, timeline.Discard{}, prometheus.NewRegistry())
				k, err := s.Stamp(context.Background(), Key{Team: "t", Value: "order-17"})
				if r.want != 0 {
					require.True(t, result.Is(err, r.want), "%v", err)
					require.Equal(t, result.NotRun, result.From(err).Run)
					continue
				}
				require.NoError(t, err)
				if first.IsZero() {
					first = k.IssuedAt
				}
				require.Equal(t, first, k.IssuedAt)
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
}

func TestStampLeavesOtherKeys(t *testing.T) {
	store := memory.New()
	s := New(Config{VM: "a", Incarnation: 1, Secret: []byte("s")}, store, nil, timeline.Discard{}, prometheus.NewRegistry())
	for _, k := range []Key{
		{Team: "t"},
		{Team: "t", Value: "0198f3b2-7c1e-7000-8000-000000000001"},
		{Team: "t", Value: "x", IssuedAt: time.UnixMilli(5)},
		{Team: "t", Value: ticketPrefix + "x"},
	} {
		got, err := s.Stamp(t.Context(), k)
		require.NoError(t, err)
		require.Equal(t, k, got)
	}
	_, err := s.Stamp(t.Context(), Key{Team: "t", Value: strings.Repeat("x", 300)})
	require.True(t, result.Is(err, result.IdempotencyKeyMalformed))
	require.Empty(t, store.Calls())
}
