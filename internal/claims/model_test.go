package claims

import (
	"container/heap"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/invariant"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// arrive sends one request for k to a VM.
func (w *world) arrive(k *simKey, v *simVM, final bool) {
	arr := &simArrival{key: k, vm: v, at: w.now, final: final}
	k.arrivals++
	k.open++
	req := Request{Key: k.key, Fingerprint: "body", Deadline: w.now.Add(v.clockSkew + w.randomDelay(1000, 20000))}
	if w.chance(0.02) {
		arr.otherFingerprint = true
		req.Fingerprint = "another body"
	}
	if w.mutation.localClockJournal && !IsTicket(k.key.Value) {
		req.Key.IssuedAt = w.now.Add(v.clockSkew)
		w.keyByDigest[req.Key.Digest()] = k
	}
	boot := v.boot
	w.after(w.randomDelay(0, 2), func() {
		if v.boot != boot {
			w.arrivalLost(arr)
			return
		}
		v.lastArrival++
		v.pending[v.lastArrival] = arr
		id := v.lastArrival
		w.deliver(v, 0, func() { w.step(v, Arrival{ID: id, Request: req}) })
	})
	if w.chance(0.1) { // the caller's connection breaks and it retries
		w.after(w.randomDelay(1, 500), func() { w.retry(k) })
	}
}

func (w *world) retry(k *simKey) {
	if k.arrivals < 6 {
		w.arrive(k, w.vms[w.rng.IntN(len(w.vms))], false)
	}
}

// arrivalLost ends an arrival whose VM stopped. Its caller gets no answer and may
// retry.
func (w *world) arrivalLost(a *simArrival) {
	if a.done {
		return
	}
	a.done = true
	a.key.open--
	a.key.maybeRan = true
	k := a.key
	w.after(w.randomDelay(10, 2000), func() { w.retry(k) })
}

func (w *world) checkAnswer(a *simArrival, m Answer) {
	k := a.key
	a.done = true
	k.open--
	run := m.Outcome.Run
	code := m.Outcome.Code
	if m.Err != nil {
		run, code = result.From(m.Err).Run, result.From(m.Err).Code
	}
	w.eventCounts["answer."+code.Info().Name]++
	switch run {
	case result.NotRun:
		a.notRun = true
		k.notRun++
		w.check(!a.started, "not_run_true: an arrival that ran was answered not_run (%s)", code.Info().Name)
	case result.Ran:
		k.maybeRan = true
		w.check(k.executions == 1, "whole_answer: an answer to a key with %d executions", k.executions)
		w.check(string(m.Outcome.Body) == k.body && m.Outcome.Status == 200, "whole_answer: %q for %q", m.Outcome.Body, k.body)
		w.check(a.otherFingerprint == k.otherFingerprint, "whole_answer: an answer to another body")
	default:
		k.maybeRan = true
	}
	if a.final {
		w.checkFinalAnswer(a, m, run)
		return
	}
	if run != result.Ran && w.rng.Float64() < 0.7 {
		w.after(w.randomDelay(1, 3000), func() { w.retry(k) })
	}
}

// checkFinalAnswer checks the answer to an arrival that was sent after all faults
// had ended.
func (w *world) checkFinalAnswer(a *simArrival, m Answer, run result.RunState) {
	k := a.key
	if k.runEnded && k.ranOn.boot == k.ranInBoot && k.ranOn.clockSkew > -time.Minute && m.Err != nil && !IsTicket(k.key.Value) {
		w.check(result.Is(m.Err, result.IdempotencyKeyExpired) || k.otherFingerprint && result.Is(m.Err, result.IdempotencyKeyReused), "an outcome was not replayed: %v", m.Err)
	}
	if run == result.NotRun && result.Is(m.Err, result.ClaimUnavailable) {
		w.check(false, "a claim was refused without faults: %v", m.Err)
	}
}

func (w *world) newKey() {
	k := &simKey{answers: map[string]bool{}}
	v := w.vms[w.rng.IntN(len(w.vms))]
	k.key = Key{Team: "a", Value: fmt.Sprintf("key-%d", len(w.keys)), IssuedAt: w.now.Add(-w.randomDelay(0, 300))}
	if w.rng.Float64() < 0.15 {
		s, err := v.core.Ticket(w.now.Add(v.clockSkew), "a")
		if err != nil {
			return
		}
		k.key = Key{Team: "a", Value: s}
	}
	k.digest = k.key.Digest()
	w.keys = append(w.keys, k)
	w.keyByDigest[k.digest] = k
	w.arrive(k, v, false)
	if w.rng.Float64() < 0.2 {
		w.arrive(k, w.vms[w.rng.IntN(len(w.vms))], false)
	}
}

// toggleFault starts or ends one fault.
func (w *world) toggleFault() {
	v := w.vms[w.rng.IntN(len(w.vms))]
	switch w.rng.IntN(12) {
	case 0:
		w.boot(v)
	case 1, 2:
		w.freeze(v)
	case 3:
		w.storeDown = true
		w.after(w.randomDelay(100, 5000), func() { w.storeDown = false })
	case 4, 5:
		w.storeSlow = !w.storeSlow
	case 6, 7:
		p := [2]int{v.index, w.rng.IntN(len(w.vms))}
		w.partitioned[p] = !w.partitioned[p]
	default:
		if !v.frozen {
			w.sendView(v)
		}
	}
}

func (w *world) freeze(v *simVM) {
	if v.frozen {
		return
	}
	v.frozen = true
	boot := v.boot
	w.after(w.randomDelay(200, 30000), func() {
		if v.boot == boot && v.frozen {
			w.unfreeze(v)
		}
	})
}

func (w *world) unfreeze(v *simVM) {
	v.frozen = false
	inbox := v.inbox
	v.inbox = nil
	for _, f := range inbox {
		f()
	}
}

// runUntil runs events until the number of steps is reached, the next event is
// after end, the queue is empty or a check has failed.
func (w *world) runUntil(steps int, end time.Time) {
	for w.steps < steps && len(w.events) > 0 && len(w.violations) == 0 {
		if !end.IsZero() && w.events[0].at.After(end) {
			return
		}
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.f()
	}
}

// run runs the whole schedule: first with faults, then without them, then one last
// arrival per key.
func (w *world) run(steps int) {
	var traffic, injectFaults func()
	traffic = func() {
		if w.faults {
			w.newKey()
			w.after(w.randomDelay(1, 60), traffic)
		}
	}
	injectFaults = func() {
		if w.faults {
			w.toggleFault()
			w.after(w.randomDelay(50, 3000), injectFaults)
		}
	}
	traffic()
	injectFaults()
	w.runUntil(steps, time.Time{})
	w.faults, w.storeDown, w.storeSlow = false, false, false
	for _, v := range w.vms {
		if v.frozen {
			w.unfreeze(v)
		}
		w.sendView(v)
	}
	w.runUntil(1<<60, w.now.Add(3*time.Minute))
	if len(w.violations) > 0 {
		return
	}
	for _, k := range w.keys {
		w.check(k.open == 0, "an arrival of %s was never answered", k.digest)
		w.check(k.maybeRan || k.executions == 0, "not_run_true: every arrival was answered not_run, and yet it ran")
		if w.now.Sub(k.key.IssuedAt) < 14*time.Minute || IsTicket(k.key.Value) {
			w.arrive(k, w.vms[w.rng.IntN(len(w.vms)-1)], true)
		}
	}
	w.runUntil(1<<60, w.now.Add(3*time.Minute))
	if len(w.violations) > 0 {
		return
	}
	for _, k := range w.keys {
		w.check(k.open == 0, "a final arrival of %s was never answered", k.digest)
	}
}

func runWorld(seed uint64, steps int, m mutation) *world {
	w := newWorld(seed, 4, m)
	w.run(steps)
	return w
}

func TestRandomSchedules(t *testing.T) {
	invariant.Strict.Store(true)
	worlds := make([]*world, 20)
	t.Run("seeds", func(t *testing.T) {
		for i := range worlds {
			t.Run(strconv.Itoa(i), func(t *testing.T) {
				t.Parallel()
				worlds[i] = runWorld(uint64(i+1), 10000, mutation{})
				require.Empty(t, worlds[i].violations, "step %d", worlds[i].steps)
			})
		}
	})
	total, seen := 0, map[string]int{}
	for _, w := range worlds {
		total += w.steps
		for k, n := range w.eventCounts {
			seen[k] += n
		}
	}
	require.GreaterOrEqual(t, total, 200_000)
	for _, name := range []string{
		"claims.granted", "claims.joined", "claims.replayed", "claims.unknown", "claims.late", "claims.released",
		"answer.claim_unavailable", "answer.run_unknown", "answer.key_reused", "answer.ticket_foreign", "answer.key_malformed",
	} {
		require.Positive(t, seen[name], "the schedules never reach %s", name)
	}
	t.Logf("%d steps: %v", total, seen)
}

func TestMutationsAreCaught(t *testing.T) {
	invariant.Strict.Store(false)
	defer invariant.Strict.Store(true)
	for _, row := range []struct {
		name string
		m    mutation
		want string
	}{
		{"a write without condition runs a key twice", mutation{blindWrite: true}, "at_most_once"},
		{"a lost answer treated as success runs a key twice", mutation{lostAnswerSucceeds: true}, "at_most_once"},
		{"a claimer without an answer treated as abandoned runs a key twice", mutation{timeoutAbandons: true}, "at_most_once"},
		{"a restart with the old incarnation runs a key twice", mutation{reuseIncarnation: true}, "at_most_once"},
		{"journals selected by the VM's clock run a key twice", mutation{localClockJournal: true}, "at_most_once"},
		{"a claimer that reports its run as abandoned runs a key twice", mutation{alwaysAbandoned: true}, "at_most_once"},
		{"a ticket whose claim is lost runs twice", mutation{dropTicketClaims: true}, "at_most_once"},
		{"a run whose outcome was lost is reported as abandoned and runs twice", mutation{dropUnrecorded: true}, "at_most_once"},
	} {
		t.Run(row.name, func(t *testing.T) {
			for seed := uint64(1); seed <= 40; seed++ {
				w := runWorld(seed, 10000, row.m)
				if strings.Contains(strings.Join(w.violations, "\n"), row.want) {
					t.Logf("caught at seed %d, step %d: %s", seed, w.steps, w.violations[0])
					return
				}
			}
			t.Fatal("no seed caught it")
		})
	}
}

// TestSoak runs longer schedules: SOAK_SEED=1 SOAK_STEPS=1000000.
func TestSoak(t *testing.T) {
	steps, _ := strconv.Atoi(os.Getenv("SOAK_STEPS"))
	if steps == 0 {
		steps = 5000
	}
	seed, _ := strconv.ParseUint(os.Getenv("SOAK_SEED"), 10, 64)
	invariant.Strict.Store(true)
	for done := 0; done < steps; seed++ {
		w := runWorld(seed, min(50000, steps), mutation{})
		require.Empty(t, w.violations, "seed %d, step %d", seed, w.steps)
		done += w.steps
	}
}
