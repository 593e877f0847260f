package delivery

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/invariant"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/soak"
	"github.com/stretchr/testify/require"
)

func TestMain(m *testing.M) {
	invariant.Strict.Store(true)
	m.Run()
}

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// ev is an event of an attempt's stream in a table.
type ev struct {
	attempt AttemptID
	id      uint64
	digest  uint64
}

// after is a message that comes at a time after the start.
type after struct {
	d   time.Duration
	msg Message
}

// play runs a script against a machine and renders what came out.
func play(m *Machine, script []any) (out []string) {
	now := t0
	out = render(out, m.Start(now))
	for _, s := range script {
		switch v := s.(type) {
		case ev:
			out = append(out, [...]string{"drop", "forward", "broken"}[m.Event(v.attempt, v.id, v.digest, now)])
		case after:
			now = t0.Add(v.d)
			out = render(out, m.Step(v.msg, now))
		case Message:
			out = render(out, m.Step(v, now))
		}
	}
	return out
}

func render(out []string, actions []Action) []string {
	for _, a := range actions {
		switch v := a.(type) {
		case Dispatch:
			s := fmt.Sprintf("dispatch %d", v.Attempt)
			if v.Resume {
				s += fmt.Sprintf(" after %d", v.LastEventID)
			}
			if v.Only != "" {
				s += " only " + v.Only
			}
			if v.Prefer != "" {
				s += " prefer " + v.Prefer
			}
			if len(v.Exclude) > 0 {
				s += fmt.Sprintf(" not %v", v.Exclude)
			}
			for name, on := range map[string]bool{"rechoose": v.ReselectVersion, "hedge": v.Hedge, "fresh": v.FreshConn} {
				if on {
					s += " " + name
				}
			}
			out = append(out, s)
		case Finish:
			out = append(out, fmt.Sprintf("finish %d", v.Attempt))
		case GiveUp:
			out = append(out, fmt.Sprintf("give up %s %s", v.Err.Code.Info().Name, v.Err.Run))
		case Cancel:
			out = append(out, fmt.Sprintf("cancel %d", v.Attempt))
		case Settle:
			out = append(out, fmt.Sprintf("settle %s %v", v.Run, v.Complete))
		}
	}
	return out
}

func TestFaults(t *testing.T) {
	base := Spec{RequestID: "r", Repeatable: true, Deadline: t0.Add(time.Minute), MaxAttempts: 3, ProgressTimeout: 5 * time.Second}
	once := base
	once.Repeatable = false
	hedge := base
	hedge.Hedge, hedge.HedgeDelay = true, 50*time.Millisecond
	sent := func(a AttemptID, u string) Message { return Dispatched{a, u} }
	ok := func(a AttemptID) Message { return Accepted{a, "r"} }
	fail := func(a AttemptID, k Failure, sent bool) Message { return Failed{Attempt: a, Kind: k, Sent: sent} }
	full := result.New(result.Overloaded, "full")
	gone := result.New(result.NoVersion, "withdrawn")
	tests := []struct {
		name   string
		spec   Spec
		script []any
		want   []string
	}{
		{
			"a stream with its terminator is whole", base,
			[]any{sent(1, "a"), ok(1), ev{1, 1, 0}, ev{1, 2, 0}, Done{1}},
			[]string{"dispatch 1", "forward", "forward", "finish 1"},
		},
		{
			"a cut stream resumes after the last event, at the same upstream first", base,
			[]any{sent(1, "a"), ok(1), ev{1, 1, 7}, fail(1, FailCut, true), sent(2, "a"), ok(2), ev{2, 2, 7}, fail(2, FailCut, true), sent(3, "b"), ok(3), ev{3, 3, 7}, Done{3}},
			[]string{"dispatch 1", "forward", "dispatch 2 after 1 prefer a not [a]", "forward", "dispatch 3 after 2 not [a]", "forward", "finish 3"},
		},
		{
			"a resume that replays the same events forwards none twice", base,
			[]any{sent(1, "a"), ok(1), ev{1, 1, 7}, ev{1, 2, 8}, fail(1, FailCut, true), sent(2, "b"), ok(2), ev{2, 1, 7}, ev{2, 2, 8}, ev{2, 3, 9}, Done{2}},
			[]string{"dispatch 1", "forward", "forward", "dispatch 2 after 2 prefer a not [a]", "drop", "drop", "forward", "finish 2"},
		},
		{
			"a resume that replays other content is broken, not joined", base,
			[]any{sent(1, "a"), ok(1), ev{1, 1, 7}, fail(1, FailCut, true), sent(2, "b"), ok(2), ev{2, 1, 6}},
			[]string{"dispatch 1", "forward", "dispatch 2 after 1 prefer a not [a]", "broken"},
		},
		{
			"a replay that ends before the caller's last event is not whole", base,
			[]any{sent(1, "a"), ok(1), ev{1, 1, 7}, ev{1, 2, 8}, fail(1, FailCut, true), sent(2, "b"), ok(2), ev{2, 1, 7}, Done{2}},
			[]string{"dispatch 1", "forward", "forward", "dispatch 2 after 2 prefer a not [a]", "drop", "dispatch 3 after 2 not [a b]"},
		},
		{
			"a gap breaks the attempt", base,
			[]any{sent(1, "a"), ok(1), ev{1, 1, 0}, ev{1, 3, 0}},
			[]string{"dispatch 1", "forward", "broken"},
		},
		{
			"an answer to another request is never forwarded", base,
			[]any{sent(1, "a"), Accepted{1, "other"}, ev{1, 1, 0}, sent(2, "b"), ok(2), ev{2, 1, 0}, Done{2}},
			[]string{"dispatch 1", "cancel 1", "dispatch 2 not [a]", "drop", "forward", "finish 2"},
		},
		{
			"events that come after their attempt ended are late", base,
			[]any{sent(1, "a"), ok(1), fail(1, FailCut, true), ev{1, 1, 0}, sent(2, "b"), ok(2), ev{2, 1, 0}, ev{1, 2, 0}, Done{2}},
			[]string{"dispatch 1", "dispatch 2 not [a]", "drop", "forward", "drop", "finish 2"},
		},
		{
			"a silent attempt is replaced over a fresh connection", base,
			[]any{sent(1, "a"), after{5 * time.Second, Tick{}}, sent(2, "b"), ok(2), Done{2}},
			[]string{"dispatch 1", "cancel 1", "dispatch 2 not [a] fresh", "finish 2"},
		},
		{
			"a refusal of every upstream is not run", base,
			[]any{sent(1, "a"), fail(1, FailRefused, true), sent(2, "b"), fail(2, FailUnreachable, false), fail(3, FailUnreachable, false)},
			[]string{"dispatch 1", "dispatch 2 not [a]", "dispatch 3 not [a b]", "give up upstream_failed not_run"},
		},
		{
			"one possibly sent attempt forbids not_run", base,
			[]any{sent(1, "a"), fail(1, FailCut, true), Failed{2, FailPlacement, false, full}},
			[]string{"dispatch 1", "dispatch 2 not [a]", "give up overloaded unknown"},
		},
		{
			"no place at all is not run", base,
			[]any{Failed{1, FailPlacement, false, full}},
			[]string{"dispatch 1", "give up overloaded not_run"},
		},
		{
			"a version withdrawn before the dispatch is chosen again, once", base,
			[]any{Failed{1, FailPlacement, false, gone}, Failed{2, FailPlacement, false, gone}},
			[]string{"dispatch 1", "dispatch 2 rechoose", "give up no_version not_run"},
		},
		{
			"a withdrawn version's run ends on its own upstream only", base,
			[]any{sent(1, "a"), ok(1), ev{1, 1, 0}, Withdrawn{}, fail(1, FailCut, true), Failed{2, FailPlacement, false, full}},
			[]string{"dispatch 1", "forward", "dispatch 2 after 1 only a prefer a", "give up answer_cut ran"},
		},
		{
			"a withdrawn version's run that gave nothing yet moves to the version in force", base,
			[]any{sent(1, "a"), ok(1), Withdrawn{}, fail(1, FailCut, true)},
			[]string{"dispatch 1", "dispatch 2 not [a] rechoose"},
		},
		{
			"the deadline ends the request at once", base,
			[]any{sent(1, "a"), ok(1), ev{1, 1, 0}, after{time.Minute, Tick{}}},
			[]string{"dispatch 1", "forward", "give up deadline_exceeded ran", "cancel 1"},
		},
		{
			"a caller that leaves cancels the run", base,
			[]any{sent(1, "a"), ok(1), CallerGone{}, ev{1, 1, 0}},
			[]string{"dispatch 1", "give up caller_gone ran", "cancel 1", "drop"},
		},
		{
			"a lookup is hedged, the first whole answer wins", hedge,
			[]any{sent(1, "a"), after{50 * time.Millisecond, Tick{}}, sent(2, "b"), ok(2), Done{2}, ok(1), Done{1}},
			[]string{"dispatch 1", "dispatch 2 not [a] hedge", "cancel 1", "finish 2"},
		},
		{
			"a hedge that finds no place leaves the first attempt alone", hedge,
			[]any{sent(1, "a"), after{50 * time.Millisecond, Tick{}}, Failed{2, FailPlacement, false, full}, ok(1), Done{1}},
			[]string{"dispatch 1", "dispatch 2 not [a] hedge", "finish 1"},
		},
		{
			"the loser of a streamed hedge is canceled and never mixed in", hedge,
			[]any{sent(1, "a"), after{50 * time.Millisecond, Tick{}}, sent(2, "b"), ok(1), ok(2), ev{2, 1, 0}, ev{1, 1, 0}, Tick{}, ev{2, 2, 0}, Done{2}},
			[]string{"dispatch 1", "dispatch 2 not [a] hedge", "forward", "drop", "cancel 1", "forward", "finish 2"},
		},
		{
			"work that is not repeatable is not sent again once it may have run", once,
			[]any{sent(1, "a"), fail(1, FailCut, true)},
			[]string{"dispatch 1", "give up run_unknown unknown", "settle unknown false"},
		},
		{
			"work that is not repeatable moves on after a proved refusal", once,
			[]any{sent(1, "a"), fail(1, FailRefused, true), sent(2, "b"), ok(2), Done{2}},
			[]string{"dispatch 1", "dispatch 2 not [a]", "settle ran true", "finish 2"},
		},
		{
			"a caller that leaves does not cancel work that is not repeatable", once,
			[]any{sent(1, "a"), CallerGone{}, ok(1), Done{1}},
			[]string{"dispatch 1", "give up caller_gone unknown", "settle ran true"},
		},
		{
			"the deadline answers the caller while the run's outcome is awaited", once,
			[]any{sent(1, "a"), after{time.Minute, Tick{}}, fail(1, FailCut, true)},
			[]string{"dispatch 1", "give up deadline_exceeded unknown", "settle unknown false"},
		},
		{
			"silence does not cut work that is not repeatable", once,
			[]any{sent(1, "a"), after{30 * time.Second, Tick{}}, ok(1), Done{1}},
			[]string{"dispatch 1", "settle ran true", "finish 1"},
		},
		{
			"a caller that leaves before the dispatch leaves nothing run", once,
			[]any{CallerGone{}, sent(1, "a")},
			[]string{"dispatch 1", "give up caller_gone not_run", "cancel 1", "settle not_run false"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, play(New(tt.spec, NewBudget(0.2, 10)), tt.script))
		})
	}
}

func TestBudgetBoundsRetriesButNotResumes(t *testing.T) {
	b := NewBudget(0, 0)
	spec := Spec{RequestID: "r", Repeatable: true, Deadline: t0.Add(time.Minute), MaxAttempts: 3}
	got := play(New(spec, b), []any{Dispatched{1, "a"}, Failed{1, FailCut, true, nil}})
	require.Equal(t, []string{"dispatch 1", "give up upstream_failed unknown"}, got)
	got = play(New(spec, b), []any{Dispatched{1, "a"}, Accepted{1, "r"}, ev{1, 1, 0}, Failed{1, FailCut, true, nil}})
	require.Equal(t, []string{"dispatch 1", "forward", "dispatch 2 after 1 prefer a not [a]"}, got)
	b = NewBudget(0.2, 2)
	retries := 0
	for range 100 {
		b.Deposit()
		if b.Withdraw() {
			retries++
		}
	}
	require.LessOrEqual(t, retries, 22, "a fifth of the first attempts and the reserve")
}

// world models the upstreams of one request under a random schedule.
type world struct {
	t    *testing.T
	rng  *rand.Rand
	m    *Machine
	spec Spec
	now  time.Time
	live map[AttemptID]*modelRun
	dead []AttemptID
	// executed is what upstreams really did, sent the possibly sent attempts.
	executed, sent int
	forwarded      uint64
	finals         int
	settles        int
	dispatches     int
	final          *result.Error
	whole          bool
}

// modelRun is one attempt as the upstream sees it.
type modelRun struct {
	phase  phase
	next   uint64
	length uint64
}

func (w *world) apply(actions []Action) {
	for _, a := range actions {
		switch v := a.(type) {
		case Dispatch:
			w.dispatches++
			require.Zero(w.t, w.finals, "a dispatch after the final answer")
			require.Equal(w.t, v.Resume, w.forwarded > 0)
			require.Equal(w.t, w.forwarded, v.LastEventID)
			next := v.LastEventID + 1
			if w.rng.IntN(4) == 0 {
				next = 1 // an upstream that ignores Last-Event-ID
			}
			w.live[v.Attempt] = &modelRun{next: next, length: 12}
		case Cancel:
			w.drop(v.Attempt)
		case Finish:
			w.finals++
			w.whole = true
		case GiveUp:
			w.finals++
			w.final = v.Err
			if v.Err.Run == result.NotRun {
				require.Zero(w.t, w.executed, "refused as not run although it ran")
			}
		case Settle:
			w.settles++
			if v.Run == result.NotRun {
				require.Zero(w.t, w.executed)
			}
		}
	}
}

func (w *world) drop(id AttemptID) {
	delete(w.live, id)
	w.dead = append(w.dead, id)
}

// step does one random thing.
func (w *world) step() {
	switch n := w.rng.IntN(400); {
	case n < 2:
		w.apply(w.m.Step(CallerGone{}, w.now))
	case n < 4:
		w.apply(w.m.Step(Withdrawn{}, w.now))
	case n < 14:
		w.now = w.now.Add(time.Duration(w.rng.IntN(1500)) * time.Millisecond)
		w.apply(w.m.Step(Tick{}, w.now))
	case n < 20 && len(w.dead) > 0:
		id := w.dead[w.rng.IntN(len(w.dead))]
		require.Equal(w.t, Drop, w.m.Event(id, w.forwarded+1, 0, w.now), "a late event")
		w.apply(w.m.Step(Done{id}, w.now))
	default:
		ids := slices.Sorted(maps.Keys(w.live))
		if len(ids) > 0 {
			id := ids[w.rng.IntN(len(ids))]
			w.advance(id, w.live[id])
		}
	}
}

func (w *world) advance(id AttemptID, r *modelRun) {
	fault := w.rng.IntN(20) == 0
	switch {
	case r.phase == phaseIdle && fault:
		w.drop(id)
		w.apply(w.m.Step(Failed{id, FailPlacement, false, result.New(result.NoUpstream, "none")}, w.now))
	case r.phase == phaseIdle:
		r.phase = phaseSent
		w.sent++
		w.apply(w.m.Step(Dispatched{id, fmt.Sprintf("u%d", w.rng.IntN(3))}, w.now))
	case r.phase == phaseSent && fault:
		w.drop(id)
		f := []Failed{{id, FailRefused, true, nil}, {id, FailUnreachable, false, nil}, {id, FailCut, true, nil}}[w.rng.IntN(3)]
		if f.Kind == FailCut && w.rng.IntN(2) == 0 {
			w.executed++ // the answer was lost after the work
		}
		w.apply(w.m.Step(f, w.now))
	case r.phase == phaseSent:
		r.phase = phaseAccepted
		w.executed++
		echo := "r"
		if w.rng.IntN(20) == 0 {
			echo = "crossed"
		}
		w.apply(w.m.Step(Accepted{id, echo}, w.now))
	case fault:
		w.drop(id)
		w.apply(w.m.Step(Failed{id, []Failure{FailCut, FailSilent, FailStatus}[w.rng.IntN(3)], true, nil}, w.now))
	case r.next > r.length:
		w.drop(id)
		w.apply(w.m.Step(Done{id}, w.now))
	default:
		w.event(id, r)
	}
}

func (w *world) event(id AttemptID, r *modelRun) {
	n := r.next
	switch w.rng.IntN(60) {
	case 0:
		n++ // a gap
	case 1:
		n = max(1, n-1) // a repeat
	default:
		r.next++
	}
	switch w.m.Event(id, n, n*31, w.now) {
	case Forward:
		require.Equal(w.t, w.forwarded+1, n, "events in order, each once")
		w.forwarded = n
	case Broken:
		w.drop(id)
		w.apply(w.m.Step(Failed{id, FailMismatch, true, nil}, w.now))
	case Drop:
	}
	if w.m.HasLosers() {
		w.apply(w.m.Step(Tick{}, w.now))
	}
}

// TestRandomSchedules runs machines under random faults, late and crossed
// answers, withdrawals and departing callers.
func TestRandomSchedules(t *testing.T) {
	seeds := 0
	whole, notRun, settled := 0, 0, 0
	for seed := range soak.Seeds(20_000, 100) {
		seeds++
		rng := rand.New(rand.NewPCG(seed, 4))
		spec := Spec{
			RequestID: "r", Repeatable: seed%3 != 0, Hedge: seed%5 == 0, HedgeDelay: 300 * time.Millisecond,
			ProgressTimeout: 4 * time.Second, Deadline: t0.Add(40 * time.Second), MaxAttempts: 1 + rng.IntN(4),
		}
		w := &world{t: t, rng: rng, spec: spec, now: t0, live: map[AttemptID]*modelRun{}}
		w.m = New(spec, NewBudget(0.2, 3))
		w.apply(w.m.Start(t0))
		for steps := 0; !w.m.Ended() && steps < 2000; steps++ {
			w.step()
		}
		require.True(t, w.m.Ended(), "seed %d", seed)
		require.Equal(t, 1, w.finals, "seed %d: exactly one final answer", seed)
		require.LessOrEqual(t, w.dispatches, spec.MaxAttempts)
		require.False(t, w.now.After(spec.Deadline.Add(2*time.Second)) && spec.Repeatable && w.whole)
		if !spec.Repeatable {
			require.LessOrEqual(t, w.executed, 1, "seed %d: ran twice", seed)
			require.Equal(t, 1, w.settles, "seed %d", seed)
			settled++
		}
		if w.whole {
			require.EqualValues(t, 12, w.forwarded, "seed %d: a whole answer", seed)
			whole++
		} else if w.final.Run == result.NotRun {
			notRun++
		}
	}
	t.Logf("%d requests: %d whole, %d refused as not run, %d not repeatable", seeds, whole, notRun, settled)
	require.Greater(t, whole, seeds/4)
	require.Greater(t, notRun, seeds/50)
}

// TestAssertionsCanFail breaks the state on purpose.
func TestAssertionsCanFail(t *testing.T) {
	refusal := result.New(result.NoUpstream, "none").WithRun(result.NotRun)
	require.NotPanics(t, func() { (&runState{}).checkRefusal("r", refusal) })
	require.PanicsWithValue(t, "invariant not_run_true: request r refused as not run: open 1, unsure 0, started false",
		func() { (&runState{open: 1}).checkRefusal("r", refusal) })
	m := New(Spec{RequestID: "r", Deadline: t0.Add(time.Minute), MaxAttempts: 2}, NewBudget(0.2, 3))
	m.Start(t0)
	require.PanicsWithValue(t, "invariant whole_answer: request r finished with 1 attempts live, answered false", m.checkWhole)
	m.run.started = true
	require.PanicsWithValue(t, "invariant at_most_once: request r dispatched again",
		func() { m.Step(Dispatched{Attempt: 1, Upstream: "u"}, t0) })
}
