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
			out = append(out, [...]string{"drop", "forward", "mismatch"}[m.Event(v.attempt, v.id, v.digest, now)])
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
			for name, on := range map[string]bool{"reselect": v.ReselectVersion, "hedge": v.Hedge, "fresh": v.FreshConn} {
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
			out = append(out, fmt.Sprintf("record %s %v", v.Run, v.Complete))
		}
	}
	return out
}

// TestFaults checks how attempts are combined into one answer: after faults, for
// hedges, at the deadline, and when the version is withdrawn or the caller
// disconnects. Each row covers one rule.
func TestFaults(t *testing.T) {
	base := Spec{RequestID: "r", Idempotent: true, Deadline: t0.Add(time.Minute), MaxAttempts: 3, ProgressTimeout: 5 * time.Second}
	nonIdempotent := base
	nonIdempotent.Idempotent = false
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
			[]string{"dispatch 1", "forward", "dispatch 2 after 1 prefer a not [a]", "mismatch"},
		},
		{
			"a replay that ends before the caller's last event is incomplete", base,
			[]any{sent(1, "a"), ok(1), ev{1, 1, 7}, ev{1, 2, 8}, fail(1, FailTruncated, true), sent(2, "b"), ok(2), ev{2, 1, 7}, Done{2}},
			[]string{"dispatch 1", "forward", "forward", "dispatch 2 after 2 prefer a not [a]", "drop", "dispatch 3 after 2 not [a b]"},
		},
		{
			"a gap breaks the attempt", base,
			[]any{sent(1, "a"), ok(1), ev{1, 1, 0}, ev{1, 3, 0}},
			[]string{"dispatch 1", "forward", "mismatch"},
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
			[]string{"dispatch 1", "dispatch 2 reselect", "give up no_version not_run"},
		},
		{
			"a run of a withdrawn version resumes on its own upstream only", base,
			[]any{sent(1, "a"), ok(1), ev{1, 1, 0}, Withdrawn{}, fail(1, FailTruncated, true), Failed{2, FailPlacement, false, full}},
			[]string{"dispatch 1", "forward", "dispatch 2 after 1 only a prefer a", "give up answer_cut ran"},
		},
		{
			"a run of a withdrawn version without events moves to the current version", base,
			[]any{sent(1, "a"), ok(1), Withdrawn{}, fail(1, FailTruncated, true)},
			[]string{"dispatch 1", "dispatch 2 not [a] reselect"},
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
			"the hedge completes first: its answer is used and the first attempt is canceled", hedge,
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
			"a non-idempotent request is not sent again once it may have run", nonIdempotent,
			[]any{sent(1, "a"), fail(1, FailTruncated, true)},
			[]string{"dispatch 1", "give up run_unknown unknown", "record unknown false"},
		},
		{
			"a non-idempotent request is retried after a rejection", nonIdempotent,
			[]any{sent(1, "a"), fail(1, FailRejected, true), sent(2, "b"), ok(2), Done{2}},
			[]string{"dispatch 1", "dispatch 2 not [a]", "record ran true", "finish 2"},
		},
		{
			"a caller that disconnects does not cancel a non-idempotent request", nonIdempotent,
			[]any{sent(1, "a"), CallerGone{}, ok(1), Done{1}},
			[]string{"dispatch 1", "give up caller_gone unknown", "record ran true"},
		},
		{
			"at the deadline the caller gets an error while the outcome is still pending", nonIdempotent,
			[]any{sent(1, "a"), messageAt{time.Minute, Tick{}}, fail(1, FailTruncated, true)},
			[]string{"dispatch 1", "give up deadline_exceeded unknown", "record unknown false"},
		},
		{
			"a stalled non-idempotent request is not canceled", nonIdempotent,
			[]any{sent(1, "a"), messageAt{30 * time.Second, Tick{}}, ok(1), Done{1}},
			[]string{"dispatch 1", "record ran true", "finish 1"},
		},
		{
			"after a disconnect before the dispatch nothing runs", nonIdempotent,
			[]any{CallerGone{}, sent(1, "a")},
			[]string{"dispatch 1", "give up caller_gone not_run", "cancel 1", "record not_run false"},
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

// simulation simulates the upstreams of one request with a random schedule.
type simulation struct {
	t     *testing.T
	rng   *rand.Rand
	m     *Machine
	spec  Spec
	now   time.Time
	live  map[AttemptID]*simulatedRun
	ended []AttemptID
	// executed counts the attempts that upstreams ran, and sent the attempts
	// that may have been sent.
	executed, sent   int
	forwarded        uint64
	finalAnswers     int
	recordedOutcomes int
	dispatches       int
	finalErr         *result.Error
	complete         bool
}

// simulatedRun is the upstream's state of one attempt.
type simulatedRun struct {
	phase  phase
	next   uint64
	length uint64
}

func (s *simulation) apply(actions []Action) {
	for _, a := range actions {
		switch v := a.(type) {
		case Dispatch:
			s.dispatches++
			require.Zero(s.t, s.finalAnswers, "a dispatch after the final answer")
			require.Equal(s.t, v.Resume, s.forwarded > 0)
			require.Equal(s.t, s.forwarded, v.LastEventID)
			next := v.LastEventID + 1
			if s.rng.IntN(4) == 0 {
				next = 1 // an upstream that ignores Last-Event-ID
			}
			s.live[v.Attempt] = &simulatedRun{next: next, length: 12}
		case Cancel:
			s.endRun(v.Attempt)
		case Finish:
			s.finalAnswers++
			s.complete = true
		case GiveUp:
			s.finalAnswers++
			s.finalErr = v.Err
			if v.Err.Run == result.NotRun {
				require.Zero(s.t, s.executed, "rejected as not run although it ran")
			}
		case RecordOutcome:
			s.recordedOutcomes++
			if v.Run == result.NotRun {
				require.Zero(s.t, s.executed)
			}
		}
	}
}

func (s *simulation) endRun(id AttemptID) {
	delete(s.live, id)
	s.ended = append(s.ended, id)
}

// step performs one random action.
func (s *simulation) step() {
	switch n := s.rng.IntN(400); {
	case n < 2:
		s.apply(s.m.Step(CallerGone{}, s.now))
	case n < 4:
		s.apply(s.m.Step(Withdrawn{}, s.now))
	case n < 14:
		s.now = s.now.Add(time.Duration(s.rng.IntN(1500)) * time.Millisecond)
		s.apply(s.m.Step(Tick{}, s.now))
	case n < 20 && len(s.ended) > 0:
		id := s.ended[s.rng.IntN(len(s.ended))]
		require.Equal(s.t, Drop, s.m.Event(id, s.forwarded+1, 0, s.now), "a late event must be dropped")
		s.apply(s.m.Step(Done{id}, s.now))
	default:
		ids := slices.Sorted(maps.Keys(s.live))
		if len(ids) > 0 {
			id := ids[s.rng.IntN(len(ids))]
			s.advance(id, s.live[id])
		}
	}
}

func (s *simulation) advance(id AttemptID, r *simulatedRun) {
	fault := s.rng.IntN(20) == 0
	switch {
	case r.phase == phaseIdle && fault:
		s.endRun(id)
		s.apply(s.m.Step(Failed{id, FailPlacement, false, result.New(result.NoUpstream, "none")}, s.now))
	case r.phase == phaseIdle:
		r.phase = phaseSent
		s.sent++
		s.apply(s.m.Step(UpstreamSelected{id, fmt.Sprintf("u%d", s.rng.IntN(3))}, s.now))
	case r.phase == phaseSent && fault:
		s.endRun(id)
		f := []Failed{{id, FailRejected, true, nil}, {id, FailUnreachable, false, nil}, {id, FailTruncated, true, nil}}[s.rng.IntN(3)]
		if f.Kind == FailTruncated && s.rng.IntN(2) == 0 {
			s.executed++ // the answer was lost after the run
		}
		s.apply(s.m.Step(f, s.now))
	case r.phase == phaseSent:
		r.phase = phaseAccepted
		s.executed++
		echo := "r"
		if s.rng.IntN(20) == 0 {
			echo = "crossed"
		}
		s.apply(s.m.Step(Accepted{id, echo}, s.now))
	case fault:
		s.endRun(id)
		s.apply(s.m.Step(Failed{id, []Failure{FailTruncated, FailStalled, FailStatus}[s.rng.IntN(3)], true, nil}, s.now))
	case r.next > r.length:
		s.endRun(id)
		s.apply(s.m.Step(Done{id}, s.now))
	default:
		s.event(id, r)
	}
}

func (s *simulation) event(id AttemptID, r *simulatedRun) {
	n := r.next
	switch s.rng.IntN(60) {
	case 0:
		n++ // a gap
	case 1:
		n = max(1, n-1) // a repeat
	default:
		r.next++
	}
	switch s.m.Event(id, n, n*31, s.now) {
	case Forward:
		require.Equal(s.t, s.forwarded+1, n, "events must arrive in order, each once")
		s.forwarded = n
	case Mismatch:
		s.endRun(id)
		s.apply(s.m.Step(Failed{id, FailMismatch, true, nil}, s.now))
	case Drop:
	}
	if s.m.HasLosers() {
		s.apply(s.m.Step(Tick{}, s.now))
	}
}

// TestRandomSchedules runs machines with random faults, late answers, answers to
// other requests, withdrawn versions and disconnecting callers. It guards
// against incomplete or duplicated answers and against non-idempotent requests
// that run twice.
func TestRandomSchedules(t *testing.T) {
	seeds := 0
	complete, notRun, nonIdempotent := 0, 0, 0
	for seed := range soak.Seeds(20_000, 100) {
		seeds++
		rng := rand.New(rand.NewPCG(seed, 4))
		spec := Spec{
			RequestID: "r", Idempotent: seed%3 != 0, Hedge: seed%5 == 0, HedgeDelay: 300 * time.Millisecond,
			ProgressTimeout: 4 * time.Second, Deadline: t0.Add(40 * time.Second), MaxAttempts: 1 + rng.IntN(4),
		}
		s := &simulation{t: t, rng: rng, spec: spec, now: t0, live: map[AttemptID]*simulatedRun{}}
		s.m = New(spec, NewBudget(0.2, 3))
		s.apply(s.m.Start(t0))
		for steps := 0; !s.m.Ended() && steps < 2000; steps++ {
			s.step()
		}
		require.True(t, s.m.Ended(), "seed %d", seed)
		require.Equal(t, 1, s.finalAnswers, "seed %d: exactly one final answer", seed)
		require.LessOrEqual(t, s.dispatches, spec.MaxAttempts)
		// An idempotent request does not complete after its deadline. The clock
		// advances by less than 1.5 s at a time, so a tolerance of 2 s is enough.
		require.False(t, s.now.After(spec.Deadline.Add(2*time.Second)) && spec.Idempotent && s.complete)
		if !spec.Idempotent {
			require.LessOrEqual(t, s.executed, 1, "seed %d: ran twice", seed)
			require.Equal(t, 1, s.recordedOutcomes, "seed %d", seed)
			nonIdempotent++
		}
		if s.complete {
			require.EqualValues(t, 12, s.forwarded, "seed %d: incomplete answer", seed)
			complete++
		} else if s.finalErr.Run == result.NotRun {
			notRun++
		}
	}
	t.Logf("%d requests: %d complete, %d rejected as not run, %d non-idempotent", seeds, complete, notRun, nonIdempotent)
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
