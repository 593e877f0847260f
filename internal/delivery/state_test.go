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

// ev is an event of an attempt's stream in a test script.
type ev struct {
	attempt AttemptID
	id      uint64
	digest  uint64
}

// messageAt is a message that arrives at an offset from the start.
type messageAt struct {
	offset time.Duration
	msg    Message
}

// runScript runs a script against a machine and returns its actions as text.
func runScript(m *Machine, script []any) (out []string) {
	now := t0
	out = render(out, m.Start(now))
	for _, s := range script {
		switch v := s.(type) {
		case ev:
			out = append(out, [...]string{"drop", "forward", "broken"}[m.Event(v.attempt, v.id, v.digest, now)])
		case messageAt:
			now = t0.Add(v.offset)
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
		case RecordOutcome:
			out = append(out, fmt.Sprintf("settle %s %v", v.Run, v.Complete))
		}
	}
	return out
}

func TestFaults(t *testing.T) {
	base := Spec{RequestID: "r", Idempotent: true, Deadline: t0.Add(time.Minute), MaxAttempts: 3, ProgressTimeout: 5 * time.Second}
	nonRepeatable := base
	nonRepeatable.Idempotent = false
	hedge := base
	hedge.Hedge, hedge.HedgeDelay = true, 50*time.Millisecond
	sent := func(a AttemptID, u string) Message { return UpstreamSelected{a, u} }
	ok := func(a AttemptID) Message { return Accepted{a, "r"} }
	fail := func(a AttemptID, k Failure, sent bool) Message { return Failed{Attempt: a, Kind: k, Sent: sent} }
	full := result.New(result.Overloaded, "full")
	withdrawn := result.New(result.NoVersion, "withdrawn")
	tests := []struct {
		name   string
		spec   Spec
		script []any
		want   []string
	}{
		{
			"a stream with its terminator is complete", base,
			[]any{sent(1, "a"), ok(1), ev{1, 1, 0}, ev{1, 2, 0}, Done{1}},
			[]string{"dispatch 1", "forward", "forward", "finish 1"},
		},
		{
			"a truncated stream resumes after the last event, on the same upstream first", base,
			[]any{sent(1, "a"), ok(1), ev{1, 1, 7}, fail(1, FailTruncated, true), sent(2, "a"), ok(2), ev{2, 2, 7}, fail(2, FailTruncated, true), sent(3, "b"), ok(3), ev{3, 3, 7}, Done{3}},
			[]string{"dispatch 1", "forward", "dispatch 2 after 1 prefer a not [a]", "forward", "dispatch 3 after 2 not [a]", "forward", "finish 3"},
		},
		{
			"a resume that replays the same events forwards each once", base,
			[]any{sent(1, "a"), ok(1), ev{1, 1, 7}, ev{1, 2, 8}, fail(1, FailTruncated, true), sent(2, "b"), ok(2), ev{2, 1, 7}, ev{2, 2, 8}, ev{2, 3, 9}, Done{2}},
			[]string{"dispatch 1", "forward", "forward", "dispatch 2 after 2 prefer a not [a]", "drop", "drop", "forward", "finish 2"},
		},
		{
			"a resume that replays different content is broken, not joined", base,
			[]any{sent(1, "a"), ok(1), ev{1, 1, 7}, fail(1, FailTruncated, true), sent(2, "b"), ok(2), ev{2, 1, 6}},
			[]string{"dispatch 1", "forward", "dispatch 2 after 1 prefer a not [a]", "broken"},
		},
		{
			"a replay that ends before the caller's last event is incomplete", base,
			[]any{sent(1, "a"), ok(1), ev{1, 1, 7}, ev{1, 2, 8}, fail(1, FailTruncated, true), sent(2, "b"), ok(2), ev{2, 1, 7}, Done{2}},
			[]string{"dispatch 1", "forward", "forward", "dispatch 2 after 2 prefer a not [a]", "drop", "dispatch 3 after 2 not [a b]"},
		},
		{
			"a gap breaks the attempt", base,
			[]any{sent(1, "a"), ok(1), ev{1, 1, 0}, ev{1, 3, 0}},
			[]string{"dispatch 1", "forward", "broken"},
		},
		{
			"a response to another request is never forwarded", base,
			[]any{sent(1, "a"), Accepted{1, "other"}, ev{1, 1, 0}, sent(2, "b"), ok(2), ev{2, 1, 0}, Done{2}},
			[]string{"dispatch 1", "cancel 1", "dispatch 2 not [a]", "drop", "forward", "finish 2"},
		},
		{
			"events that arrive after the end of their attempt are dropped", base,
			[]any{sent(1, "a"), ok(1), fail(1, FailTruncated, true), ev{1, 1, 0}, sent(2, "b"), ok(2), ev{2, 1, 0}, ev{1, 2, 0}, Done{2}},
			[]string{"dispatch 1", "dispatch 2 not [a]", "drop", "forward", "drop", "finish 2"},
		},
		{
			"a stalled attempt is replaced over a new connection", base,
			[]any{sent(1, "a"), messageAt{5 * time.Second, Tick{}}, sent(2, "b"), ok(2), Done{2}},
			[]string{"dispatch 1", "cancel 1", "dispatch 2 not [a] fresh", "finish 2"},
		},
		{
			"rejections by all upstreams mean not run", base,
			[]any{sent(1, "a"), fail(1, FailRejected, true), sent(2, "b"), fail(2, FailUnreachable, false), fail(3, FailUnreachable, false)},
			[]string{"dispatch 1", "dispatch 2 not [a]", "dispatch 3 not [a b]", "give up upstream_failed not_run"},
		},
		{
			"one possibly sent attempt rules out not_run", base,
			[]any{sent(1, "a"), fail(1, FailTruncated, true), Failed{2, FailPlacement, false, full}},
			[]string{"dispatch 1", "dispatch 2 not [a]", "give up overloaded unknown"},
		},
		{
			"no available upstream means not run", base,
			[]any{Failed{1, FailPlacement, false, full}},
			[]string{"dispatch 1", "give up overloaded not_run"},
		},
		{
			"a version withdrawn before the dispatch is selected again, once", base,
			[]any{Failed{1, FailPlacement, false, withdrawn}, Failed{2, FailPlacement, false, withdrawn}},
			[]string{"dispatch 1", "dispatch 2 rechoose", "give up no_version not_run"},
		},
		{
			"a run of a withdrawn version resumes on its own upstream only", base,
			[]any{sent(1, "a"), ok(1), ev{1, 1, 0}, Withdrawn{}, fail(1, FailTruncated, true), Failed{2, FailPlacement, false, full}},
			[]string{"dispatch 1", "forward", "dispatch 2 after 1 only a prefer a", "give up answer_cut ran"},
		},
		{
			"a run of a withdrawn version without events moves to the current version", base,
			[]any{sent(1, "a"), ok(1), Withdrawn{}, fail(1, FailTruncated, true)},
			[]string{"dispatch 1", "dispatch 2 not [a] rechoose"},
		},
		{
			"the deadline ends the request immediately", base,
			[]any{sent(1, "a"), ok(1), ev{1, 1, 0}, messageAt{time.Minute, Tick{}}},
			[]string{"dispatch 1", "forward", "give up deadline_exceeded ran", "cancel 1"},
		},
		{
			"a caller that disconnects cancels the run", base,
			[]any{sent(1, "a"), ok(1), CallerGone{}, ev{1, 1, 0}},
			[]string{"dispatch 1", "give up caller_gone ran", "cancel 1", "drop"},
		},
		{
			"a lookup is hedged, the first complete answer wins", hedge,
			[]any{sent(1, "a"), messageAt{50 * time.Millisecond, Tick{}}, sent(2, "b"), ok(2), Done{2}, ok(1), Done{1}},
			[]string{"dispatch 1", "dispatch 2 not [a] hedge", "cancel 1", "finish 2"},
		},
		{
			"a hedge without an available upstream does not affect the first attempt", hedge,
			[]any{sent(1, "a"), messageAt{50 * time.Millisecond, Tick{}}, Failed{2, FailPlacement, false, full}, ok(1), Done{1}},
			[]string{"dispatch 1", "dispatch 2 not [a] hedge", "finish 1"},
		},
		{
			"the loser of a streamed hedge is canceled and its events are dropped", hedge,
			[]any{sent(1, "a"), messageAt{50 * time.Millisecond, Tick{}}, sent(2, "b"), ok(1), ok(2), ev{2, 1, 0}, ev{1, 1, 0}, Tick{}, ev{2, 2, 0}, Done{2}},
			[]string{"dispatch 1", "dispatch 2 not [a] hedge", "forward", "drop", "cancel 1", "forward", "finish 2"},
		},
		{
			"a non-repeatable request is not sent again once it may have run", nonRepeatable,
			[]any{sent(1, "a"), fail(1, FailTruncated, true)},
			[]string{"dispatch 1", "give up run_unknown unknown", "settle unknown false"},
		},
		{
			"a non-repeatable request is retried after a rejection", nonRepeatable,
			[]any{sent(1, "a"), fail(1, FailRejected, true), sent(2, "b"), ok(2), Done{2}},
			[]string{"dispatch 1", "dispatch 2 not [a]", "settle ran true", "finish 2"},
		},
		{
			"a caller that disconnects does not cancel a non-repeatable request", nonRepeatable,
			[]any{sent(1, "a"), CallerGone{}, ok(1), Done{1}},
			[]string{"dispatch 1", "give up caller_gone unknown", "settle ran true"},
		},
		{
			"at the deadline the caller gets an error while the outcome is still pending", nonRepeatable,
			[]any{sent(1, "a"), messageAt{time.Minute, Tick{}}, fail(1, FailTruncated, true)},
			[]string{"dispatch 1", "give up deadline_exceeded unknown", "settle unknown false"},
		},
		{
			"a stalled non-repeatable request is not canceled", nonRepeatable,
			[]any{sent(1, "a"), messageAt{30 * time.Second, Tick{}}, ok(1), Done{1}},
			[]string{"dispatch 1", "settle ran true", "finish 1"},
		},
		{
			"after a disconnect before the dispatch nothing runs", nonRepeatable,
			[]any{CallerGone{}, sent(1, "a")},
			[]string{"dispatch 1", "give up caller_gone not_run", "cancel 1", "settle not_run false"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, runScript(New(tt.spec, NewBudget(0.2, 10)), tt.script))
		})
	}
}

func TestBudgetBoundsRetriesButNotResumes(t *testing.T) {
	b := NewBudget(0, 0)
	spec := Spec{RequestID: "r", Idempotent: true, Deadline: t0.Add(time.Minute), MaxAttempts: 3}
	got := runScript(New(spec, b), []any{UpstreamSelected{1, "a"}, Failed{1, FailTruncated, true, nil}})
	require.Equal(t, []string{"dispatch 1", "give up upstream_failed unknown"}, got)
	got = runScript(New(spec, b), []any{UpstreamSelected{1, "a"}, Accepted{1, "r"}, ev{1, 1, 0}, Failed{1, FailTruncated, true, nil}})
	require.Equal(t, []string{"dispatch 1", "forward", "dispatch 2 after 1 prefer a not [a]"}, got)
	b = NewBudget(0.2, 2)
	retries := 0
	for range 100 {
		b.Deposit()
		if b.TryTake() {
			retries++
		}
	}
	require.LessOrEqual(t, retries, 22, "a fifth of the first attempts plus the reserve")
}

// world simulates the upstreams of one request with a random schedule.
type simulation struct {
	t     *testing.T
	rng   *rand.Rand
	m     *Machine
	spec  Spec
	now   time.Time
	live  map[AttemptID]*modelRun
	ended []AttemptID
	// executed counts the attempts that upstreams ran, and sent the attempts
	// that may have been sent.
	executed, sent int
	forwarded      uint64
	finalAnswers   int
	settles        int
	dispatches     int
	finalErr       *result.Error
	complete       bool
}

// modelRun is the upstream's state of one attempt.
type modelRun struct {
	phase  phase
	next   uint64
	length uint64
}

func (w *simulation) apply(actions []Action) {
	for _, a := range actions {
		switch v := a.(type) {
		case Dispatch:
			w.dispatches++
			require.Zero(w.t, w.finalAnswers, "a dispatch after the final answer")
			require.Equal(w.t, v.Resume, w.forwarded > 0)
			require.Equal(w.t, w.forwarded, v.LastEventID)
			next := v.LastEventID + 1
			if w.rng.IntN(4) == 0 {
				next = 1 // an upstream that ignores Last-Event-ID
			}
			w.live[v.Attempt] = &modelRun{next: next, length: 12}
		case Cancel:
			w.endRun(v.Attempt)
		case Finish:
			w.finalAnswers++
			w.complete = true
		case GiveUp:
			w.finalAnswers++
			w.finalErr = v.Err
			if v.Err.Run == result.NotRun {
				require.Zero(w.t, w.executed, "rejected as not run although it ran")
			}
		case RecordOutcome:
			w.settles++
			if v.Run == result.NotRun {
				require.Zero(w.t, w.executed)
			}
		}
	}
}

func (w *simulation) endRun(id AttemptID) {
	delete(w.live, id)
	w.ended = append(w.ended, id)
}

// step performs one random action.
func (w *simulation) step() {
	switch n := w.rng.IntN(400); {
	case n < 2:
		w.apply(w.m.Step(CallerGone{}, w.now))
	case n < 4:
		w.apply(w.m.Step(Withdrawn{}, w.now))
	case n < 14:
		w.now = w.now.Add(time.Duration(w.rng.IntN(1500)) * time.Millisecond)
		w.apply(w.m.Step(Tick{}, w.now))
	case n < 20 && len(w.ended) > 0:
		id := w.ended[w.rng.IntN(len(w.ended))]
		require.Equal(w.t, Drop, w.m.Event(id, w.forwarded+1, 0, w.now), "a late event must be dropped")
		w.apply(w.m.Step(Done{id}, w.now))
	default:
		ids := slices.Sorted(maps.Keys(w.live))
		if len(ids) > 0 {
			id := ids[w.rng.IntN(len(ids))]
			w.advance(id, w.live[id])
		}
	}
}

func (w *simulation) advance(id AttemptID, r *modelRun) {
	fault := w.rng.IntN(20) == 0
	switch {
	case r.phase == phaseIdle && fault:
		w.endRun(id)
		w.apply(w.m.Step(Failed{id, FailPlacement, false, result.New(result.NoUpstream, "none")}, w.now))
	case r.phase == phaseIdle:
		r.phase = phaseSent
		w.sent++
		w.apply(w.m.Step(UpstreamSelected{id, fmt.Sprintf("u%d", w.rng.IntN(3))}, w.now))
	case r.phase == phaseSent && fault:
		w.endRun(id)
		f := []Failed{{id, FailRejected, true, nil}, {id, FailUnreachable, false, nil}, {id, FailTruncated, true, nil}}[w.rng.IntN(3)]
		if f.Kind == FailTruncated && w.rng.IntN(2) == 0 {
			w.executed++ // the answer was lost after the run
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
		w.endRun(id)
		w.apply(w.m.Step(Failed{id, []Failure{FailTruncated, FailStalled, FailStatus}[w.rng.IntN(3)], true, nil}, w.now))
	case r.next > r.length:
		w.endRun(id)
		w.apply(w.m.Step(Done{id}, w.now))
	default:
		w.event(id, r)
	}
}

func (w *simulation) event(id AttemptID, r *modelRun) {
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
		require.Equal(w.t, w.forwarded+1, n, "events must arrive in order, each once")
		w.forwarded = n
	case Mismatch:
		w.endRun(id)
		w.apply(w.m.Step(Failed{id, FailMismatch, true, nil}, w.now))
	case Drop:
	}
	if w.m.HasLosers() {
		w.apply(w.m.Step(Tick{}, w.now))
	}
}

// TestRandomSchedules runs machines with random faults, late answers, answers to
// other requests, withdrawn versions and disconnecting callers. It guards
// against incomplete or duplicated answers and against non-repeatable requests
// that run twice.
func TestRandomSchedules(t *testing.T) {
	seeds := 0
	complete, notRun, settled := 0, 0, 0
	for seed := range soak.Seeds(20_000, 100) {
		seeds++
		rng := rand.New(rand.NewPCG(seed, 4))
		spec := Spec{
			RequestID: "r", Idempotent: seed%3 != 0, Hedge: seed%5 == 0, HedgeDelay: 300 * time.Millisecond,
			ProgressTimeout: 4 * time.Second, Deadline: t0.Add(40 * time.Second), MaxAttempts: 1 + rng.IntN(4),
		}
		w := &simulation{t: t, rng: rng, spec: spec, now: t0, live: map[AttemptID]*modelRun{}}
		w.m = New(spec, NewBudget(0.2, 3))
		w.apply(w.m.Start(t0))
		for steps := 0; !w.m.Ended() && steps < 2000; steps++ {
			w.step()
		}
		require.True(t, w.m.Ended(), "seed %d", seed)
		require.Equal(t, 1, w.finalAnswers, "seed %d: exactly one final answer", seed)
		require.LessOrEqual(t, w.dispatches, spec.MaxAttempts)
		require.False(t, w.now.After(spec.Deadline.Add(2*time.Second)) && spec.Idempotent && w.complete)
		if !spec.Idempotent {
			require.LessOrEqual(t, w.executed, 1, "seed %d: ran twice", seed)
			require.Equal(t, 1, w.settles, "seed %d", seed)
			settled++
		}
		if w.complete {
			require.EqualValues(t, 12, w.forwarded, "seed %d: incomplete answer", seed)
			complete++
		} else if w.finalErr.Run == result.NotRun {
			notRun++
		}
	}
	t.Logf("%d requests: %d complete, %d rejected as not run, %d not repeatable", seeds, complete, notRun, settled)
	require.Greater(t, complete, seeds/4)
	require.Greater(t, notRun, seeds/50)
}

// TestAssertionsCanFail checks that an inconsistent state violates the invariants.
func TestAssertionsCanFail(t *testing.T) {
	rejection := result.New(result.NoUpstream, "none").WithRun(result.NotRun)
	require.NotPanics(t, func() { (&runState{}).checkNotRun("r", rejection) })
	require.PanicsWithValue(t, "invariant not_run_true: request r rejected as not run: in flight 1, possibly run 0, ran false",
		func() { (&runState{inFlight: 1}).checkNotRun("r", rejection) })
	m := New(Spec{RequestID: "r", Deadline: t0.Add(time.Minute), MaxAttempts: 2}, NewBudget(0.2, 3))
	m.Start(t0)
	require.PanicsWithValue(t, "invariant whole_answer: request r finished with 1 attempts running, answered false", m.checkComplete)
	m.run.ran = true
	require.PanicsWithValue(t, "invariant at_most_once: request r dispatched again although it may have run",
		func() { m.Step(UpstreamSelected{Attempt: 1, Upstream: "u"}, t0) })
}
