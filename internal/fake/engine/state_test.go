package engine

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/wire"
)

var start = time.UnixMilli(1_000_000)

const target = "draft@v1"

func newTestState(change func(*Settings)) *state {
	set := Settings{Versions: []VersionSettings{{Name: target}}, Limit: 2, QueueLimit: 3, ColdLimit: 1}
	if change != nil {
		change(&set)
	}
	return newState("e", set.withDefaults(), start)
}

func newRun(priority int) *run {
	return &run{priority: priority, started: make(chan struct{}), cancel: func(error) {}}
}

func started(r *run) bool {
	select {
	case <-r.started:
		return true
	default:
		return false
	}
}

func TestColdLimitViolationsAreCounted(t *testing.T) {
	for _, c := range []struct {
		name     string
		over     ColdOverloadReaction
		refused  refusal
		fellOver bool
	}{
		{"only counted", Accept, "", false},
		{"refused as not run", Refuse, "over the cold limit", false},
		{"the engine falls over", FallOver, "", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestState(func(s *Settings) { s.ColdTime, s.OverColdLimit = document.Duration(time.Minute), c.over })
			first := newRun(0)
			require.Empty(t, s.arrive(first, target, start).refused)
			s.leave(first, start)
			require.Empty(t, s.arrive(newRun(0), target, start).refused, "the first one has left")
			a := s.arrive(newRun(0), target, start.Add(2*time.Second))
			require.Equal(t, c.refused, a.refused)
			require.Equal(t, c.fellOver, a.fellOver)
			k := s.report(start)
			require.Equal(t, 1, k.ColdViolations)
			require.Zero(t, k.ColdGraceViolations)
			require.Equal(t, 2, k.MaxCold)
			require.False(t, s.arrive(newRun(0), target, start.Add(time.Minute)).cold)
		})
	}
}

func TestRunsStartedBeforeAColdStartAreNotViolations(t *testing.T) {
	s := newTestState(func(s *Settings) { s.ColdTime = document.Duration(time.Minute) })
	now := start.Add(time.Hour)
	s.arrive(newRun(0), target, now)
	s.arrive(newRun(0), target, now)
	s.turnCold(now)
	require.True(t, s.arrive(newRun(0), target, now).cold)
	require.Zero(t, s.report(now).ColdViolations)
	s.arrive(newRun(0), target, now)
	k := s.report(now)
	require.Equal(t, 1, k.ColdViolations)
	require.Equal(t, 1, k.ColdGraceViolations)
}

func TestQueueByPriority(t *testing.T) {
	s := newTestState(nil)
	var runs []*run
	for _, p := range []int{5, 5, 5, 0, 3} {
		r := newRun(p)
		runs = append(runs, r)
		require.Empty(t, s.arrive(r, target, start).refused)
	}
	require.Equal(t, refusal("queue full"), s.arrive(newRun(0), target, start).refused)
	s.leave(runs[0], start)
	require.True(t, started(runs[3]), "the most urgent goes first")
	s.leave(runs[4], start)
	s.leave(runs[1], start)
	require.True(t, started(runs[2]), "a run that left the queue is passed over")
	require.False(t, started(runs[4]))
}

func TestCrashCancelsRunsAndChangesTheIncarnation(t *testing.T) {
	s := newTestState(func(s *Settings) { s.ColdTime = document.Duration(time.Minute) })
	r := newRun(0)
	ctx, cancel := context.WithCancelCause(t.Context())
	r.cancel = cancel
	a := s.arrive(r, target, start.Add(time.Hour))
	require.True(t, s.crash(a.incarnation, start.Add(time.Hour)))
	require.ErrorIs(t, context.Cause(ctx), errCrash)
	require.False(t, s.crash(a.incarnation, start.Add(time.Hour)), "one crash of one incarnation")
	after := s.report(start.Add(time.Hour))
	require.NotEqual(t, a.incarnation, after.Incarnation)
	require.Equal(t, wire.EngineCold, after.State)
}

func TestReportsAreDelayed(t *testing.T) {
	s := newTestState(func(s *Settings) {
		s.LoadLag, s.CacheLag, s.CacheGap = document.Duration(time.Second), document.Duration(time.Second), 3
		s.CacheEntries = 2
	})
	now := start.Add(time.Hour)
	s.arrive(newRun(0), target, now)
	require.Zero(t, s.load(now).Running)
	require.Equal(t, 1, s.load(now.Add(time.Second)).Running)
	for h := range uint64(4) {
		require.False(t, s.prefix(h, now.Add(time.Duration(h))))
	}
	require.True(t, s.prefix(3, now))
	require.Empty(t, s.cacheEvents(0, now).Events)
	body := s.cacheEvents(0, now.Add(2*time.Second))
	var seqs []uint64
	for _, e := range body.Events {
		seqs = append(seqs, e.Seq)
	}
	require.Equal(t, []uint64{1, 2, 4, 5}, seqs, "each third event is lost")
	require.Equal(t, uint64(5), body.Next)
}

func TestOrdersAreFenced(t *testing.T) {
	for _, c := range []struct {
		name     string
		fencing  bool
		accepted bool
	}{
		{"an engine that honours fencing refuses an old number", true, false},
		{"an engine that ignores fencing takes it", false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestState(func(s *Settings) { s.Fencing = c.fencing })
			require.True(t, s.order(wire.OrderBody{Op: "unload", Version: target, Fence: 5}, false, start))
			require.Equal(t, refusal("not loaded"), s.arrive(newRun(0), target, start).refused)
			require.Equal(t, c.accepted, s.order(wire.OrderBody{Op: "load", Version: target, Fence: 4}, false, start))
			require.True(t, s.order(wire.OrderBody{Op: "load", Version: target, Fence: 5}, false, start))
			require.Empty(t, s.arrive(newRun(0), target, start).refused)
		})
	}
}

func TestAnswersAreDeterministic(t *testing.T) {
	shape := AnswerShape{MinTokens: 5, MaxTokens: 50, QualitySpread: 0.2}
	a := NewAnswer(target, "p", 0.5, shape, 0)
	require.Equal(t, a, NewAnswer(target, "p", 0.5, shape, 0))
	require.NotEqual(t, a.Text(), NewAnswer("draft@v2", "p", 0.5, shape, 0).Text())
	q, whole := ParseQuality(a.Text())
	require.True(t, whole)
	require.InDelta(t, a.Quality, q, 0.001)
	_, whole = ParseQuality(a.Text()[:len(a.Text())-12])
	require.False(t, whole)
	require.Len(t, NewAnswer(target, "p", 0.5, shape, 3).Tokens, 3)
}
