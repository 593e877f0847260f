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
	settings := Settings{Versions: []VersionSettings{{Name: target}}, Limit: 2, QueueLimit: 3, ColdLimit: 1}
	if change != nil {
		change(&settings)
	}
	return newState("e", settings.withDefaults(), start)
}

func newRun(priority int) *run {
	return &run{priority: priority, started: make(chan struct{}), cancel: func(error) {}}
}

func isStarted(r *run) bool {
	select {
	case <-r.started:
		return true
	default:
		return false
	}
}

func TestColdLimitViolationsAreCounted(t *testing.T) {
	for _, c := range []struct {
		name        string
		over        ColdOverloadReaction
		rejection   rejectionReason
		causesCrash bool
	}{
		{"violation is only counted", Accept, "", false},
		{"request is rejected as not run", Reject, "over the cold limit", false},
		{"engine crashes", FallOver, "", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestState(func(s *Settings) { s.ColdTime, s.OverColdLimit = document.Duration(time.Minute), c.over })
			first := newRun(0)
			require.Empty(t, s.admit(first, target, start).rejection)
			s.finish(first, start)
			require.Empty(t, s.admit(newRun(0), target, start).rejection, "the first run has ended")
			a := s.admit(newRun(0), target, start.Add(2*time.Second))
			require.Equal(t, c.rejection, a.rejection)
			require.Equal(t, c.causesCrash, a.causesCrash)
			k := s.currentCounters(start)
			require.Equal(t, 1, k.ColdViolations)
			require.Zero(t, k.ColdGraceViolations)
			require.Equal(t, 2, k.MaxCold)
			require.False(t, s.admit(newRun(0), target, start.Add(time.Minute)).cold)
		})
	}
}

func TestRunsStartedBeforeAColdStartAreNotViolations(t *testing.T) {
	s := newTestState(func(s *Settings) { s.ColdTime = document.Duration(time.Minute) })
	now := start.Add(time.Hour)
	s.admit(newRun(0), target, now)
	s.admit(newRun(0), target, now)
	s.beginColdStart(now)
	require.True(t, s.admit(newRun(0), target, now).cold)
	require.Zero(t, s.currentCounters(now).ColdViolations)
	s.admit(newRun(0), target, now)
	k := s.currentCounters(now)
	require.Equal(t, 1, k.ColdViolations)
	require.Equal(t, 1, k.ColdGraceViolations)
}

func TestQueueByPriority(t *testing.T) {
	s := newTestState(nil)
	var runs []*run
	for _, p := range []int{5, 5, 5, 0, 3} {
		r := newRun(p)
		runs = append(runs, r)
		require.Empty(t, s.admit(r, target, start).rejection)
	}
	require.Equal(t, rejectionReason("queue full"), s.admit(newRun(0), target, start).rejection)
	s.finish(runs[0], start)
	require.True(t, isStarted(runs[3]), "the run with the most urgent priority starts first")
	s.finish(runs[4], start)
	s.finish(runs[1], start)
	require.True(t, isStarted(runs[2]), "a run that ended while queued is skipped")
	require.False(t, isStarted(runs[4]))
}

func TestCrashCancelsRunsAndChangesTheIncarnation(t *testing.T) {
	s := newTestState(func(s *Settings) { s.ColdTime = document.Duration(time.Minute) })
	r := newRun(0)
	ctx, cancel := context.WithCancelCause(t.Context())
	r.cancel = cancel
	a := s.admit(r, target, start.Add(time.Hour))
	require.True(t, s.crash(a.incarnation, start.Add(time.Hour)))
	require.ErrorIs(t, context.Cause(ctx), errEngineCrashed)
	require.False(t, s.crash(a.incarnation, start.Add(time.Hour)), "an incarnation crashes only once")
	after := s.currentCounters(start.Add(time.Hour))
	require.NotEqual(t, a.incarnation, after.Incarnation)
	require.Equal(t, wire.EngineCold, after.State)
}

func TestReportsAreDelayed(t *testing.T) {
	s := newTestState(func(s *Settings) {
		s.LoadLag, s.CacheLag, s.CacheGap = document.Duration(time.Second), document.Duration(time.Second), 3
		s.CacheEntries = 2
	})
	now := start.Add(time.Hour)
	s.admit(newRun(0), target, now)
	require.Zero(t, s.loadReport(now).Running)
	require.Equal(t, 1, s.loadReport(now.Add(time.Second)).Running)
	for h := range uint64(4) {
		require.False(t, s.touchPrefix(h, now.Add(time.Duration(h))))
	}
	require.True(t, s.touchPrefix(3, now))
	require.Empty(t, s.cacheEvents(0, now).Events)
	body := s.cacheEvents(0, now.Add(2*time.Second))
	var seqs []uint64
	for _, e := range body.Events {
		seqs = append(seqs, e.Seq)
	}
	require.Equal(t, []uint64{1, 2, 4, 5}, seqs, "every third event is lost")
	require.Equal(t, uint64(5), body.Next)
}

func TestOrdersAreFenced(t *testing.T) {
	for _, c := range []struct {
		name     string
		fencing  bool
		accepted bool
	}{
		{"an engine with fencing rejects an old fencing number", true, false},
		{"an engine without fencing accepts it", false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestState(func(s *Settings) { s.Fencing = c.fencing })
			require.True(t, s.applyOrder(wire.OrderBody{Op: "unload", Version: target, Fence: 5}, false, start))
			require.Equal(t, rejectionReason("not loaded"), s.admit(newRun(0), target, start).rejection)
			require.Equal(t, c.accepted, s.applyOrder(wire.OrderBody{Op: "load", Version: target, Fence: 4}, false, start))
			require.True(t, s.applyOrder(wire.OrderBody{Op: "load", Version: target, Fence: 5}, false, start))
			require.Empty(t, s.admit(newRun(0), target, start).rejection)
		})
	}
}

func TestAnswersAreDeterministic(t *testing.T) {
	shape := AnswerShape{MinTokens: 5, MaxTokens: 50, QualitySpread: 0.2}
	a := NewAnswer(target, "p", 0.5, shape, 0)
	require.Equal(t, a, NewAnswer(target, "p", 0.5, shape, 0))
	require.NotEqual(t, a.Text(), NewAnswer("draft@v2", "p", 0.5, shape, 0).Text())
	q, ok := ParseQuality(a.Text())
	require.True(t, ok)
	require.InDelta(t, a.Quality, q, 0.001)
	_, ok = ParseQuality(a.Text()[:len(a.Text())-12])
	require.False(t, ok)
	require.Len(t, NewAnswer(target, "p", 0.5, shape, 3).Tokens, 3)
}
