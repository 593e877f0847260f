package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/seats"
	"github.com/cranberrypier/cranberrypier/internal/soak"
	"github.com/stretchr/testify/require"
)

// rig drives one core directly.
type rig struct {
	t   *testing.T
	c   *Core
	ups []document.Upstream
	now time.Time
}

// newRig has n warm engines with the given limit in zone "z"; the document has
// the zones "z" and "y".
func newRig(t *testing.T, n, limit int) *rig {
	r := &rig{t: t, c: NewCore(Config{VM: "vm", Zone: "z", Seed: 1}), ups: engines(n, []string{"z"}, limit, 2), now: t0}
	r.applyDocument()
	r.c.SetSeats(seats.Held{Seats: []int{0, 1, 2, 3, 4, 5, 6, 7}, NotAfter: t0.Add(time.Hour)}, t0)
	r.reportWarm(true)
	return r
}

func (r *rig) applyDocument(zones ...document.Zone) {
	if zones == nil {
		zones = []document.Zone{{Name: "z"}, {Name: "y"}}
	}
	r.c.SetIndex(docOf(r.ups, zones...), r.now)
}

// reportWarm reports every engine as warm, with a completed ramp if fullRamp
// is set.
func (r *rig) reportWarm(fullRamp bool) {
	r.now = r.now.Add(ms)
	for _, u := range r.ups {
		r.c.Observe(LoadReport{Upstream: u.Name, Incarnation: "1", State: stateWarm, TakenAt: r.now}, r.now)
		if fullRamp {
			r.c.byName[u.Name].ramp = 1000
		}
	}
	r.c.Tick(r.now)
}

func (r *rig) req(priority int) Request {
	return Request{ID: fmt.Sprint("r", r.c.nextReservation), Target: target, Priority: document.Priority(priority), Deadline: r.now.Add(time.Minute)}
}

// fill acquires slots until the core grants no more, and returns them.
func (r *rig) fill(priority int) (out []Slot) {
	for {
		s, id, err := r.c.Acquire(r.req(priority), r.now)
		if err != nil || id != 0 {
			r.c.Cancel(id)
			return out
		}
		out = append(out, s)
	}
}

func (r *rig) release(s Slot, o Outcome) { r.c.Release(s.ReservationID, o, r.now) }

func TestSlotsByState(t *testing.T) {
	report := func(inc, state string) func(*rig) {
		return func(r *rig) {
			r.now = r.now.Add(time.Second)
			r.c.Observe(LoadReport{Upstream: "e000", Incarnation: inc, State: state, TakenAt: r.now}, r.now)
		}
	}
	end := func(o Outcome) func(*rig) {
		return func(r *rig) {
			s, id, err := r.c.Acquire(r.req(0), r.now)
			require.Zero(r.t, id)
			require.Nil(r.t, err)
			r.now = r.now.Add(time.Second)
			r.release(s, o)
		}
	}
	ok := end(Outcome{End: EndOK, State: stateWarm, Incarnation: "1", FirstToken: ms, Elapsed: ms})
	tests := []struct {
		name  string
		steps []func(*rig)
		want  int
	}{
		{"a warm engine with a full ramp has its whole limit", nil, 16},
		{"a cold report reduces the engine to its cold limit", []func(*rig){report("1", stateCold)}, 2},
		{"a cold report of a new incarnation reduces the engine to its cold limit", []func(*rig){report("2", stateCold)}, 2},
		{"a warm report of a new incarnation starts the ramp", []func(*rig){report("2", stateWarm)}, 2},
		{"a reset reduces the engine to its cold limit", []func(*rig){end(Outcome{End: EndReset})}, 2},
		{"a failed connection reduces the engine to its cold limit", []func(*rig){end(Outcome{End: EndUnreachable})}, 2},
		{"a cold response reduces the engine to its cold limit", []func(*rig){end(Outcome{End: EndOK, State: stateCold, Incarnation: "1", FirstToken: ms, Elapsed: ms})}, 2},
		{"a new incarnation in a response reduces the engine to its cold limit", []func(*rig){end(Outcome{End: EndOK, State: stateCold, Incarnation: "2", FirstToken: ms, Elapsed: ms})}, 2},
		{"an unusually late first token reduces the engine to its cold limit", []func(*rig){ok, ok, end(Outcome{End: EndOK, State: stateWarm, Incarnation: "1", FirstToken: 9 * time.Second, Elapsed: 9 * time.Second})}, 2},
		{"missing reports reduce the engine to its cold limit", []func(*rig){func(r *rig) { r.now = r.now.Add(4 * time.Second) }}, 2},
		{"a warm report of the same incarnation after a reset restores the whole limit", []func(*rig){end(Outcome{End: EndReset}), report("1", stateWarm)}, 16},
		{"a warm report from before the reset changes nothing", []func(*rig){end(Outcome{End: EndReset}), func(r *rig) {
			r.c.Observe(LoadReport{Upstream: "e000", Incarnation: "1", State: stateWarm, TakenAt: r.now.Add(-time.Second)}, r.now)
		}}, 2},
		{"an old incarnation's late report changes nothing", []func(*rig){report("2", stateCold), func(r *rig) {
			r.c.Observe(LoadReport{Upstream: "e000", Incarnation: "1", State: stateWarm, TakenAt: r.now.Add(-ms)}, r.now)
		}}, 2},
		{"each complete response adds a slot after a cold start", []func(*rig){report("2", stateWarm), completeRunOfIncarnation2, completeRunOfIncarnation2, completeRunOfIncarnation2}, 5},
		{"a rejection, a cancellation and an error status change nothing", []func(*rig){end(Outcome{End: EndRejected}), end(Outcome{End: EndCanceled}), end(Outcome{End: EndStatus})}, 16},
		{"a cold engine gets nothing if the seats are about to expire", []func(*rig){report("1", stateCold), func(r *rig) {
			r.c.SetSeats(seats.Held{Seats: []int{0, 1, 2, 3, 4, 5, 6, 7}, NotAfter: r.now.Add(time.Second)}, r.now)
		}}, 0},
		{"a cold engine in another zone gets nothing", []func(*rig){report("1", stateCold), func(r *rig) {
			r.ups[0].Zone = "y"
			r.applyDocument()
		}}, 0},
		{"a leaving engine gets nothing", []func(*rig){func(r *rig) { r.ups[0].Leaving = true; r.applyDocument() }}, 0},
		{"an engine of a withdrawn zone gets nothing", []func(*rig){func(r *rig) { r.applyDocument(document.Zone{Name: "z", Withdrawn: true}) }}, 0},
		{"engines of a returned zone are unknown and ramp up", []func(*rig){
			func(r *rig) { r.applyDocument(document.Zone{Name: "z", Withdrawn: true}) },
			func(r *rig) { r.applyDocument(document.Zone{Name: "z", Ramp: document.Duration(10 * time.Second)}) },
		}, 2},
		{"half way through a returned zone's ramp an engine with a full ramp has half its slots", []func(*rig){
			func(r *rig) { r.applyDocument(document.Zone{Name: "z", Withdrawn: true}) },
			func(r *rig) { r.applyDocument(document.Zone{Name: "z", Ramp: document.Duration(10 * time.Second)}) },
			func(r *rig) { r.now = r.now.Add(5 * time.Second); r.reportWarm(true) },
		}, 8},
		{"a removed engine gets nothing", []func(*rig){func(r *rig) { r.ups = nil; r.applyDocument() }}, 0},
		{"each of two VMs has half of the limit", []func(*rig){func(r *rig) { r.c.SetVMCount(2); r.now = r.now.Add(2500 * ms) }}, 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRig(t, 1, 16)
			for _, f := range tt.steps {
				f(r)
			}
			r.c.Tick(r.now)
			require.Len(t, r.fill(0), tt.want)
		})
	}
}

func completeRunOfIncarnation2(r *rig) {
	s, id, err := r.c.Acquire(r.req(0), r.now)
	require.Zero(r.t, id)
	require.Nil(r.t, err)
	r.release(s, Outcome{End: EndOK, State: stateWarm, Incarnation: "2", FirstToken: ms, Elapsed: ms})
}

func TestLongWorkDoesNotBlockUrgentWork(t *testing.T) {
	for _, limit := range []int{1, 2, 8} {
		r := newRig(t, 4, limit)
		first, _, _ := r.c.Acquire(r.req(0), r.now) // urgent work has arrived recently
		r.release(first, Outcome{End: EndCanceled})
		r.reportWarm(true)
		long := r.fill(9)
		require.Equal(t, 3*max(1, limit-1), len(long), "one whole engine and one slot of each other engine are left free")
		middle := r.fill(3)
		require.LessOrEqual(t, len(middle), 4*limit-len(long)-limit/2, "middle work leaves half of the free engine")
		for _, s := range middle {
			r.release(s, Outcome{End: EndCanceled})
		}
		require.NotEmpty(t, r.fill(0), "limit %d", limit)
		// Of the queued requests the urgent one is served first.
		_, low, err := r.c.Acquire(r.req(9), r.now)
		require.Nil(t, err)
		_, high, err := r.c.Acquire(r.req(0), r.now)
		require.Nil(t, err)
		r.release(long[0], Outcome{End: EndOK, State: stateWarm, Incarnation: "1", Elapsed: ms})
		g := r.c.Grants()
		require.Len(t, g, 1)
		require.Equal(t, high, g[0].Waiter)
		require.True(t, r.c.Cancel(low))
		require.False(t, r.c.Cancel(high))
	}
}

// Requests that can't get a slot in time must be rejected instead of staying
// queued: an unknown target, an expected wait beyond the deadline, the
// withdrawal of the last upstream, and a deadline that passes in the queue. A
// slot that is released repeatedly must be counted once.
func TestRejections(t *testing.T) {
	r := newRig(t, 3, 2)
	_, _, err := r.c.Acquire(Request{Target: "nothing", Deadline: r.now.Add(time.Minute)}, r.now)
	require.Equal(t, result.NoUpstream, err.Code)
	// The expected wait is computed from measured runs.
	first, _, err := r.c.Acquire(r.req(0), r.now)
	require.Nil(t, err)
	r.release(first, Outcome{End: EndOK, State: stateWarm, Incarnation: "1", Elapsed: 2000 * ms})
	slots := r.fill(0)
	require.Len(t, slots, 6)
	soon := r.req(0)
	soon.Deadline = r.now.Add(50 * ms)
	_, _, err = r.c.Acquire(soon, r.now)
	require.Equal(t, result.Overloaded, err.Code, "the expected wait exceeds the deadline, so the request is rejected at once")
	require.Equal(t, result.NotRun, err.Run)
	require.Positive(t, err.RetryAfter)
	// Queued requests are rejected when the document withdraws the last
	// upstream.
	_, id, err := r.c.Acquire(r.req(0), r.now)
	require.Nil(t, err)
	r.applyDocument(document.Zone{Name: "z", Withdrawn: true})
	g := r.c.Grants()
	require.Len(t, g, 1)
	require.Equal(t, id, g[0].Waiter)
	require.Equal(t, result.NoUpstream, g[0].Err.Code)
	// Queued requests are rejected at their deadline.
	r.applyDocument()
	r.reportWarm(true)
	late := r.req(0)
	_, id, err = r.c.Acquire(late, r.now)
	require.Nil(t, err)
	r.now = late.Deadline
	r.reportWarm(false)
	r.c.Tick(r.now)
	g = r.c.Grants()
	require.Len(t, g, 1)
	require.Equal(t, id, g[0].Waiter)
	require.Equal(t, result.NotRun, g[0].Err.Run)
	// Releasing a slot repeatedly counts once.
	for range 3 {
		r.release(slots[0], Outcome{End: EndCanceled})
	}
	require.Equal(t, 5, len(r.c.reservations))
}

// A request must not run on an upstream that it excludes unless it excludes
// all, and a request pinned to a full upstream must not block others.
func TestExclusionAndPinning(t *testing.T) {
	r := newRig(t, 3, 1)
	one := r.req(0)
	one.Exclude = []string{"e000", "e001"}
	s, _, _ := r.c.Acquire(one, r.now)
	require.Equal(t, "e002", s.Upstream)
	_, id, err := r.c.Acquire(one, r.now)
	require.Nil(t, err)
	require.NotZero(t, id, "the request waits for the only upstream that it may use")
	r.c.Cancel(id)
	all := r.req(0)
	all.Exclude = []string{"e000", "e001", "e002"}
	s, _, _ = r.c.Acquire(all, r.now)
	require.NotEmpty(t, s.Upstream, "the exclusion is lifted if it names all upstreams")
	// A request pinned to a full upstream does not block those behind it.
	pinned := r.req(0)
	pinned.PinnedTo = "e002"
	_, pinnedWaiter, err := r.c.Acquire(pinned, r.now)
	require.Nil(t, err)
	require.NotZero(t, pinnedWaiter)
	s, _, err = r.c.Acquire(r.req(0), r.now)
	require.Nil(t, err)
	require.NotEmpty(t, s.Upstream)
	require.NotEqual(t, "e002", s.Upstream)
}

// TestTeamsAreServedInTurn queues a hundred requests of one team before three
// of another. Every second one of the next slots must go to the other team.
func TestTeamsAreServedInTurn(t *testing.T) {
	r := newRig(t, 1, 4)
	slots := r.fill(0)
	team := map[WaiterID]string{}
	ask := func(name string) {
		q := r.req(0)
		q.Team = name
		q.Deadline = r.now.Add(time.Hour)
		_, id, err := r.c.Acquire(q, r.now)
		require.Nil(t, err)
		team[id] = name
	}
	for range 100 {
		ask("large")
	}
	for range 3 {
		ask("small")
	}
	var order []string
	for len(order) < 8 {
		r.release(slots[0], Outcome{End: EndOK, State: stateWarm, Incarnation: "1", Elapsed: ms})
		slots = slots[1:]
		for _, g := range r.c.Grants() {
			order = append(order, team[g.Waiter])
			slots = append(slots, g.Slot)
		}
	}
	n := 0
	for _, name := range order[:7] {
		if name == "small" {
			n++
		}
	}
	require.Equal(t, 3, n, "%v", order)
	// A full queue rejects further requests of the large team, but not of the
	// small one.
	r.c.cfg.QueueShareThreshold = 90
	q := r.req(0)
	q.Team, q.Deadline = "large", r.now.Add(time.Hour)
	_, _, err := r.c.Acquire(q, r.now)
	require.Equal(t, result.Overloaded, err.Code)
	ask("small")
}

func TestEjection(t *testing.T) {
	failTimes := func(r *rig, u string, n int, id func(int) string) {
		for i := range n {
			q := r.req(0)
			q.ID, q.PinnedTo = id(i), u
			s, w, _ := r.c.Acquire(q, r.now)
			if w != 0 {
				r.c.Cancel(w)
				continue
			}
			r.release(s, Outcome{End: EndStatus})
		}
	}
	fresh := func(u string) func(int) string { return func(i int) string { return fmt.Sprint(u, i) } }
	r := newRig(t, 6, 4)
	failTimes(r, "e000", ejectionThreshold, fresh("a"))
	require.True(t, r.c.byName["e000"].ejection.active(r.now))
	for _, s := range r.fill(0) {
		require.NotEqual(t, "e000", s.Upstream)
		r.release(s, Outcome{End: EndCanceled})
	}
	for i, u := range []string{"e001", "e002", "e003", "e004", "e005"} {
		failTimes(r, u, 20, fresh(u))
		require.Equal(t, i == 0, r.c.byName[u].ejection.active(r.now), "at most a third of the pool is ejected: %s", u)
	}
	// After the ejection time one run probes the upstream, and a complete
	// response readmits it.
	r.now = r.now.Add(baseEjectionTime)
	r.reportWarm(true)
	pinned := r.req(0)
	pinned.PinnedTo = "e000"
	s, w, _ := r.c.Acquire(pinned, r.now)
	require.Zero(t, w)
	_, w, _ = r.c.Acquire(pinned, r.now)
	require.NotZero(t, w)
	r.release(s, Outcome{End: EndOK, State: stateWarm, Incarnation: "1", Elapsed: ms})
	require.False(t, r.c.byName["e000"].ejection.probing)

	// Requests that fail on every upstream cause no ejection.
	r = newRig(t, 6, 4)
	for i := range 40 {
		for _, u := range []string{"e000", "e001", "e002"} {
			failTimes(r, u, 1, func(int) string { return fmt.Sprint("bad", i) })
		}
	}
	require.Zero(t, r.c.ejections)
}

func TestPrefixAffinity(t *testing.T) {
	r := newRig(t, 8, 16)
	q := r.req(3)
	q.PrefixHash, q.PromptTokens = 42, 4000
	s, _, _ := r.c.Acquire(q, r.now)
	home := s.Upstream
	r.release(s, Outcome{End: EndOK, State: stateWarm, Incarnation: "1", FirstToken: ms, Elapsed: time.Second})
	var held []Slot
	for range 4 {
		s, _, _ = r.c.Acquire(q, r.now)
		if s.Upstream == home {
			held = append(held, s)
		}
	}
	require.GreaterOrEqual(t, len(held), 2, "requests prefer the upstream with the cached prefix")
	require.Less(t, len(r.fill(3)), 8*16, "some slots are already in use")
	// The entry is removed with the cache, and late or duplicate events are
	// ignored.
	u := r.c.byName[home]
	r.c.CacheEvents(home, []CacheEvent{{Sequence: 5, Hash: 42, Added: false}, {Sequence: 4, Hash: 42, Added: true}})
	require.NotEqual(t, u, r.c.prefixes.holders(42)[0])
	r.c.CacheEvents(home, []CacheEvent{{Sequence: 9, Hash: 42, Added: true}})
	require.Equal(t, u, r.c.prefixes.holders(42)[0])
	r.now = r.now.Add(time.Second)
	r.c.Observe(LoadReport{Upstream: home, Incarnation: "2", State: stateCold, TakenAt: r.now}, r.now)
	require.NotEqual(t, u, r.c.prefixes.holders(42)[0], "a new incarnation has an empty cache")
}

// Work must stay in the local zone while that has free slots, and spill into
// other zones otherwise. The VMs' subsets must together cover every upstream
// evenly, since an upstream in too few subsets stays idle.
func TestZonesAndSubsets(t *testing.T) {
	r := newRig(t, 9, 4)
	r.ups = engines(9, []string{"z", "y", "x"}, 4, 2)
	r.applyDocument(document.Zone{Name: "z"}, document.Zone{Name: "y"}, document.Zone{Name: "x"})
	r.reportWarm(true)
	slots := r.fill(0)
	require.Len(t, slots, 36, "a full zone spills into the others")
	for _, s := range slots[:4] {
		require.Equal(t, "z", s.Zone, "the local zone is used first")
	}
	// At the target scale each upstream is used by enough VMs that it can't
	// stay idle, and none is used by all.
	ups := engines(940, []string{"a", "b", "c", "d", "e", "f", "g"}, 8, 2)
	idx := docOf(ups, document.Zone{Name: "a"}, document.Zone{Name: "b"}, document.Zone{Name: "c"},
		document.Zone{Name: "d"}, document.Zone{Name: "e"}, document.Zone{Name: "f"}, document.Zone{Name: "g"})
	vmsPerUpstream := map[string]int{}
	for vm := range 330 {
		c := NewCore(Config{VM: fmt.Sprint("vm", vm), Zone: string(rune('a' + vm%7)), Seed: uint64(vm)})
		c.SetIndex(idx, t0)
		c.SetVMCount(330)
		p := c.pools[target]
		for _, u := range append(p.local, p.remote...) {
			vmsPerUpstream[u.name]++
		}
	}
	low, high := 330, 0
	for _, u := range ups {
		low, high = min(low, vmsPerUpstream[u.Name]), max(high, vmsPerUpstream[u.Name])
	}
	t.Logf("VMs per upstream: %d to %d", low, high)
	require.GreaterOrEqual(t, low, 8)
	require.Less(t, high, 60)
}

// TestRandomDocuments grants, releases and changes documents at random. The
// invariants in the program check each grant; the test checks the number of
// slots and waits.
func TestRandomDocuments(t *testing.T) {
	for seed := range soak.Seeds(20, 6_000) {
		rng := rand.New(rand.NewPCG(seed, 5))
		r := newRig(t, 9, 3)
		r.ups = engines(9, []string{"z", "y", "x"}, 3, 2)
		takenOut := [3]bool{}
		var slots []Slot
		waits := map[WaiterID]bool{}
		for range 6000 {
			r.now = r.now.Add(time.Duration(rng.IntN(40)) * ms)
			switch k := rng.IntN(100); {
			case k < 2:
				takenOut[rng.IntN(3)] = rng.IntN(2) == 0
				r.ups[rng.IntN(9)].Leaving = rng.IntN(3) == 0
				r.applyDocument(document.Zone{Name: "z", Withdrawn: takenOut[0]}, document.Zone{Name: "y", Withdrawn: takenOut[1], Ramp: document.Duration(time.Second)}, document.Zone{Name: "x", Withdrawn: takenOut[2]})
			case k < 12:
				u := r.ups[rng.IntN(9)].Name
				r.c.Observe(LoadReport{Upstream: u, Incarnation: fmt.Sprint(rng.IntN(20) / 19), State: []string{stateWarm, stateWarm, stateCold}[rng.IntN(3)], Running: rng.IntN(4), TakenAt: r.now}, r.now)
			case k < 16:
				r.c.Tick(r.now)
			case k < 60:
				q := r.req(rng.IntN(10))
				q.Deadline = r.now.Add(time.Duration(rng.IntN(5000)) * ms)
				s, id, err := r.c.Acquire(q, r.now)
				if id != 0 {
					waits[id] = true
				} else if err == nil {
					slots = append(slots, s)
				}
			case k < 64:
				for id := range waits { // any one
					if r.c.Cancel(id) {
						delete(waits, id)
					}
					break
				}
			case len(slots) > 0:
				i := rng.IntN(len(slots))
				r.release(slots[i], Outcome{End: []End{EndOK, EndOK, EndOK, EndReset, EndStatus, EndRejected, EndCanceled}[rng.IntN(7)], Elapsed: time.Second, FirstToken: ms})
				slots = append(slots[:i], slots[i+1:]...)
			}
			for _, g := range r.c.Grants() {
				require.True(t, waits[g.Waiter], "a wait ends once")
				delete(waits, g.Waiter)
				if g.Err == nil {
					slots = append(slots, g.Slot)
				}
			}
			require.Equal(t, len(slots), len(r.c.reservations))
			require.Equal(t, len(waits), len(r.c.waiting))
		}
		sum := 0
		for _, u := range r.c.byName {
			require.GreaterOrEqual(t, u.inflight, u.longInflight)
			sum += u.inflight
		}
		require.Equal(t, len(slots), sum)
	}
}
