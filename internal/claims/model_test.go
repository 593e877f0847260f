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
	req := Request{Key: k.key, Fingerprint: "body", Deadline: w.now.Add(v.skew + w.ms(1000, 20000))}
	if w.chance(0.02) {
		arr.foreign = true
		req.Fingerprint = "another body"
	}
	if w.breaks.clockJournal && !IsTicket(k.key.Key) {
		req.Key.IssuedAt = w.now.Add(v.skew)
		w.keyOf[req.Key.Digest()] = k
	}
	life := v.life
	w.after(w.ms(0, 2), func() {
		if v.life != life {
			w.lost(arr)
			return
		}
		v.next++
		v.waits[v.next] = arr
		id := v.next
		w.on(v, 0, func() { w.step(v, Arrive{ID: id, Request: req}) })
	})
	if w.chance(0.1) { // the caller's connection is cut and it resends
		w.after(w.ms(1, 500), func() { w.resend(k) })
	}
}

func (w *world) resend(k *simKey) {
	if k.arrivals < 6 {
		w.arrive(k, w.vms[w.rng.IntN(len(w.vms))], false)
	}
}

// lost ends an arrival whose VM died: its caller knows nothing.
func (w *world) lost(a *simArrival) {
	if a.done {
		return
	}
	a.done = true
	a.key.open--
	a.key.doubted = true
	k := a.key
	w.after(w.ms(10, 2000), func() { w.resend(k) })
}

func (w *world) answered(a *simArrival, m Answer) {
	k := a.key
	a.done = true
	k.open--
	run := m.Outcome.Run
	code := m.Outcome.Code
	if m.Err != nil {
		run, code = result.From(m.Err).Run, result.From(m.Err).Code
	}
	w.seen["answer."+code.Info().Name]++
	switch run {
	case result.NotRun:
		a.notRun = true
		k.notRun++
		w.check(!a.started, "not_run_true: an arrival that ran was answered not_run (%s)", code.Info().Name)
	case result.Ran:
		k.doubted = true
		w.check(k.executions == 1, "whole_answer: an answer to a key with %d executions", k.executions)
		w.check(string(m.Outcome.Body) == k.body && m.Outcome.Status == 200, "whole_answer: %q for %q", m.Outcome.Body, k.body)
		w.check(a.foreign == k.foreign, "whole_answer: an answer to another body")
	default:
		k.doubted = true
	}
	if a.final {
		w.finalAnswer(a, m, run)
		return
	}
	if run != result.Ran && w.rng.Float64() < 0.7 {
		w.after(w.ms(1, 3000), func() { w.resend(k) })
	}
}

// finalAnswer checks what a resend after all faults have ended must get.
func (w *world) finalAnswer(a *simArrival, m Answer, run result.RunState) {
	k := a.key
	if k.recorded && k.by.life == k.life && k.by.skew > -time.Minute && m.Err != nil && !IsTicket(k.key.Key) {
		w.check(result.Is(m.Err, result.KeyExpired) || k.foreign && result.Is(m.Err, result.KeyReused), "an outcome was not replayed: %v", m.Err)
	}
	if run == result.NotRun && result.Is(m.Err, result.ClaimUnavailable) {
		w.check(false, "a claim was refused without faults: %v", m.Err)
	}
}

func (w *world) newKey() {
	k := &simKey{answers: map[string]bool{}}
	v := w.vms[w.rng.IntN(len(w.vms))]
	k.key = Key{Team: "a", Key: fmt.Sprintf("key-%d", len(w.keys)), IssuedAt: w.now.Add(-w.ms(0, 300))}
	if w.rng.Float64() < 0.15 {
		s, err := v.core.Ticket(w.now.Add(v.skew), "a")
		if err != nil {
			return
		}
		k.key = Key{Team: "a", Key: s}
	}
	k.digest = k.key.Digest()
	w.keys = append(w.keys, k)
	w.keyOf[k.digest] = k
	w.arrive(k, v, false)
	if w.rng.Float64() < 0.2 {
		w.arrive(k, w.vms[w.rng.IntN(len(w.vms))], false)
	}
}

// disturb brings about one fault or ends one.
func (w *world) disturb() {
	v := w.vms[w.rng.IntN(len(w.vms))]
	switch w.rng.IntN(12) {
	case 0:
		w.boot(v)
	case 1, 2:
		w.freeze(v)
	case 3:
		w.down = true
		w.after(w.ms(100, 5000), func() { w.down = false })
	case 4, 5:
		w.slow = !w.slow
	case 6, 7:
		p := [2]int{v.index, w.rng.IntN(len(w.vms))}
		w.cut[p] = !w.cut[p]
	default:
		if !v.frozen {
			w.view(v)
		}
	}
}

func (w *world) freeze(v *simVM) {
	if v.frozen {
		return
	}
	v.frozen = true
	life := v.life
	w.after(w.ms(200, 30000), func() {
		if v.life == life && v.frozen {
			w.wake(v)
		}
	})
}

func (w *world) wake(v *simVM) {
	v.frozen = false
	inbox := v.inbox
	v.inbox = nil
	for _, f := range inbox {
		f()
	}
}

// until runs events until the number of steps or the end of the queue.
func (w *world) until(steps int, end time.Time) {
	for w.steps < steps && len(w.events) > 0 && len(w.faulty) == 0 {
		if !end.IsZero() && w.events[0].at.After(end) {
			return
		}
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.f()
	}
}

// play runs the whole schedule: faults, then healing, then resends.
func (w *world) play(steps int) {
	var traffic, trouble func()
	traffic = func() {
		if w.faults {
			w.newKey()
			w.after(w.ms(1, 60), traffic)
		}
	}
	trouble = func() {
		if w.faults {
			w.disturb()
			w.after(w.ms(50, 3000), trouble)
		}
	}
	traffic()
	trouble()
	w.until(steps, time.Time{})
	w.faults, w.down, w.slow = false, false, false
	for _, v := range w.vms {
		if v.frozen {
			w.wake(v)
		}
		w.view(v)
	}
	w.until(1<<60, w.now.Add(3*time.Minute))
	if len(w.faulty) > 0 {
		return
	}
	for _, k := range w.keys {
		w.check(k.open == 0, "an arrival of %s was never answered", k.digest)
		w.check(k.doubted || k.executions == 0, "not_run_true: every arrival was answered not_run, and yet it ran")
		if w.now.Sub(k.key.IssuedAt) < 14*time.Minute || IsTicket(k.key.Key) {
			w.arrive(k, w.vms[w.rng.IntN(len(w.vms)-1)], true)
		}
	}
	w.until(1<<60, w.now.Add(3*time.Minute))
	if len(w.faulty) > 0 {
		return
	}
	for _, k := range w.keys {
		w.check(k.open == 0, "a final arrival of %s was never answered", k.digest)
	}
}

func runWorld(seed uint64, steps int, m mutation) *world {
	w := newWorld(seed, 4, m)
	w.play(steps)
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
				require.Empty(t, worlds[i].faulty, "step %d", worlds[i].steps)
			})
		}
	})
	total, seen := 0, map[string]int{}
	for _, w := range worlds {
		total += w.steps
		for k, n := range w.seen {
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
		{"a lost answer taken for success runs a key twice", mutation{trustLost: true}, "at_most_once"},
		{"a silent claimer taken for gone runs a key twice", mutation{trustSilence: true}, "at_most_once"},
		{"a restart under the old incarnation runs a key twice", mutation{sameIncarn: true}, "at_most_once"},
		{"journals named by our clock run a key twice", mutation{clockJournal: true}, "at_most_once"},
		{"a claimer that disowns its run lets it run twice", mutation{releaseAlways: true}, "at_most_once"},
		{"a ticket whose claim is forgotten runs twice", mutation{forgetTickets: true}, "at_most_once"},
		{"a run whose outcome was lost is disowned and runs twice", mutation{forgetStarted: true}, "at_most_once"},
	} {
		t.Run(row.name, func(t *testing.T) {
			for seed := uint64(1); seed <= 40; seed++ {
				w := runWorld(seed, 10000, row.m)
				if strings.Contains(strings.Join(w.faulty, "\n"), row.want) {
					t.Logf("caught at seed %d, step %d: %s", seed, w.steps, w.faulty[0])
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
		require.Empty(t, w.faulty, "seed %d, step %d", seed, w.steps)
		done += w.steps
	}
}
