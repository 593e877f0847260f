package drain

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cranberrypier/cranberrypier/internal/invariant"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
)

var cfg = Config{AnnounceDuration: time.Second, GracePeriod: 10 * time.Second}

func TestState(t *testing.T) {
	type step struct {
		after time.Duration
		m     Message
		want  Phase
	}
	rows := []struct {
		name  string
		steps []step
	}{
		{"a stop is announced before new requests are rejected", []step{
			{0, Stop{}, Announcing},
			{time.Second - 1, Tick{}, Announcing},
			{1, Tick{}, Finishing},
		}},
		{"a second stop does not restart the announcement", []step{
			{0, Stop{}, Announcing},
			{time.Second / 2, Stop{}, Announcing},
			{time.Second / 2, Tick{}, Finishing},
		}},
		{"the flush waits for the last request", []step{
			{0, Stop{}, Announcing},
			{time.Second, Tick{InFlight: 2}, Finishing},
			{9 * time.Second, Tick{InFlight: 1}, Finishing},
			{0, Tick{}, Flushing},
			{0, Flushed{}, Stopped},
		}},
		{"a flush reported too early changes nothing", []step{
			{0, Flushed{}, Serving},
			{0, Stop{}, Announcing},
			{0, Flushed{}, Announcing},
		}},
		{"ticks without a stop do not change the phase", []step{{time.Hour, Tick{}, Serving}}},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			s := New(cfg)
			now := time.Unix(0, 0)
			for _, st := range r.steps {
				now = now.Add(st.after)
				s.Step(now, st.m)
				require.Equal(t, st.want, s.Phase())
			}
		})
	}
}

// A stop whose grace time expires aborts requests, which must violate the
// invariant.
func TestShortGracePeriodViolatesInvariant(t *testing.T) {
	invariant.Strict.Store(true)
	defer invariant.Strict.Store(false)
	s := New(cfg)
	now := time.Unix(0, 0)
	s.Step(now, Stop{})
	now = now.Add(cfg.AnnounceDuration)
	s.Step(now, Tick{InFlight: 1})
	require.Panics(t, func() { s.Step(now.Add(cfg.GracePeriod), Tick{InFlight: 1}) })
}

func TestPhasesOnlyAdvance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(cfg)
		now := time.Unix(0, 0)
		last := s.Phase()
		for range 50 {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			m := rapid.SampledFrom([]Message{Stop{}, Tick{}, Tick{InFlight: 3}, Flushed{}}).Draw(t, "m")
			s.Step(now, m)
			require.GreaterOrEqual(t, s.Phase(), last)
			last = s.Phase()
		}
	})
}

type discard struct{}

func (discard) Record(string, string, ...timeline.Field) {}

func TestRunnerWaitsForRequestsInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g Gate
		require.NoError(t, g.Enter())
		flushed := false
		r := NewRunner(cfg, &g, discard{}, func(context.Context) {
			require.Zero(t, g.InFlight())
			flushed = true
		})
		go func() {
			time.Sleep(cfg.AnnounceDuration / 2)
			require.False(t, g.Ready())
			require.NoError(t, g.Enter(), "requests are accepted while the stop is announced")
			time.Sleep(cfg.AnnounceDuration)
			require.True(t, result.Is(g.Enter(), result.Draining))
			time.Sleep(5 * time.Second)
			g.Leave()
			g.Leave()
		}()
		r.Stop(t.Context())
		require.True(t, flushed)
	})
}
