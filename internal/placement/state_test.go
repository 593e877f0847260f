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

// bench drives one core by hand.
type rig struct {
	t   *testing.T
	c   *Core
	ups []document.Upstream
	now time.Time
}

// newRig has n warm engines with the given limit in zone "z" of zones "z", "y".
func newRig(t *testing.T, n, limit int) *rig {
	r := &rig{t: t, c: NewCore(Config{VM: "vm", Zone: "z", Seed: 1}), ups: engines(n, []string{"z"}, limit, 2), now: t0}
	r.document()
	r.c.SetSeats(seats.Held{Seats: []int{0, 1, 2, 3, 4, 5, 6, 7}, NotAfter: t0.Add(time.Hour)}, t0)
	r.warm(true)
	return r
}

func (r *rig) document(zones ...document.Zone) {
	if zones == nil {
		zones = []document.Zone{{Name: "z"}, {Name: "y"}}
	}
	r.c.SetIndex(docOf(r.ups, zones...), r.now)
}

// warm reports every engine as warm, and as proved if asked for.
func (r *rig) warm(proved bool) {
	r.now = r.now.Add(ms)
	for _, u := range r.ups {
		r.c.Observe(LoadReport{Upstream: u.Name, Incarnation: "1", State: stateWarm, TakenAt: r.now}, r.now)
		if proved {
			r.c.byName[u.Name].ramp = 1000
		}
	}
	r.c.Tick(r.now)
}

func (r *rig) req(priority int) Request {
	return Request{ID: fmt.Sprint("r", r.c.nextTicket), Target: target, Priority: document.Priority(priority), Deadline: r.now.Add(time.Minute)}
}

// fill acquires until the core lets nothing more in, and returns the slots.
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

func (r *rig) end(s Slot, o Outcome) { r.c.Release(s.Ticket, o, r.now) }

func TestPlacesByState(t *testing.T) {
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
			r.end(s, o)
		}
	}
	ok := end(Outcome{End: EndOK, State: stateWarm, Incarnation: "1", FirstToken: ms, Elapsed: ms})
	tests := []struct {
		name string
		do   []func(*rig)
		want int
	}{
		{"a proved warm engine has its whole limit", nil, 16},
		{"a cold report leaves the cold limit", []func(*rig){report("1", stateCold)}, 2},
		{"a new incarnation that says cold leaves the cold limit", []func(*rig){report("2", stateCold)}, 2},
		{"a new incarnation that says warm begins its ramp", []func(*rig){report("2", stateWarm)}, 2},
		{"a reset leaves the cold limit", []func(*rig){end(Outcome{End: EndReset})}, 2},
		{"a failed connection leaves the cold limit", []func(*rig){end(Outcome{End: EndUnreachable})}, 2},
		{"a cold response leaves the cold limit", []func(*rig){end(Outcome{End: EndOK, State: stateCold, Incarnation: "1", FirstToken: ms, Elapsed: ms})}, 2},
		{"an incarnation changed in a response leaves the cold limit", []func(*rig){end(Outcome{End: EndOK, State: stateCold, Incarnation: "2", FirstToken: ms, Elapsed: ms})}, 2},
		{"a first token much later than usual leaves the cold limit", []func(*rig){ok, ok, end(Outcome{End: EndOK, State: stateWarm, Incarnation: "1", FirstToken: 9 * time.Second, Elapsed: 9 * time.Second})}, 2},
		{"silence of reports leaves the cold limit", []func(*rig){func(r *rig) { r.now = r.now.Add(4 * time.Second) }}, 2},
		{"a warm report after a reset of the same incarnation restores all", []func(*rig){end(Outcome{End: EndReset}), report("1", stateWarm)}, 16},
		{"a warm report from before the reset changes nothing", []func(*rig){end(Outcome{End: EndReset}), func(r *rig) {
			r.c.Observe(LoadReport{Upstream: "e000", Incarnation: "1", State: stateWarm, TakenAt: r.now.Add(-time.Second)}, r.now)
		}}, 2},
		{"an old incarnation's late report changes nothing", []func(*rig){report("2", stateCold), func(r *rig) {
			r.c.Observe(LoadReport{Upstream: "e000", Incarnation: "1", State: stateWarm, TakenAt: r.now.Add(-ms)}, r.now)
		}}, 2},
		{"each whole answer adds a place after a cold start", []func(*rig){report("2", stateWarm), ok2, ok2, ok2}, 5},
		{"a refusal, a cancel and a status change nothing", []func(*rig){end(Outcome{End: EndRefused}), end(Outcome{End: EndCanceled}), end(Outcome{End: EndStatus})}, 16},
		{"lapsed seats leave a cold engine nothing", []func(*rig){report("1", stateCold), func(r *rig) {
			r.c.SetSeats(seats.Held{Seats: []int{0, 1, 2, 3, 4, 5, 6, 7}, NotAfter: r.now.Add(time.Second)}, r.now)
		}}, 0},
		{"a cold engine in another zone gets nothing", []func(*rig){report("1", stateCold), func(r *rig) {
			r.ups[0].Zone = "y"
			r.document()
		}}, 0},
		{"a leaving engine gets nothing", []func(*rig){func(r *rig) { r.ups[0].Leaving = true; r.document() }}, 0},
		{"an engine of a zone taken out gets nothing", []func(*rig){func(r *rig) { r.document(document.Zone{Name: "z", TakenOut: true}) }}, 0},
		{"a zone that returned is unknown again and ramps", []func(*rig){
			func(r *rig) { r.document(document.Zone{Name: "z", TakenOut: true}) },
			func(r *rig) { r.document(document.Zone{Name: "z", Ramp: document.Duration(10 * time.Second)}) },
		}, 2},
		{"half way through the ramp a returned zone's proved engine has half its places", []func(*rig){
			func(r *rig) { r.document(document.Zone{Name: "z", TakenOut: true}) },
			func(r *rig) { r.document(document.Zone{Name: "z", Ramp: document.Duration(10 * time.Second)}) },
			func(r *rig) { r.now = r.now.Add(5 * time.Second); r.warm(true) },
		}, 8},
		{"a removed engine gets nothing", []func(*rig){func(r *rig) { r.ups = nil; r.document() }}, 0},
		{"of two VMs each has half of the limit", []func(*rig){func(r *rig) { r.c.SetRouterCount(2); r.now = r.now.Add(2500 * ms) }}, 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRig(t, 1, 16)
			for _, f := range tt.do {
				f(r)
			}
			r.c.Tick(r.now)
			require.Len(t, r.fill(0), tt.want)
		})
	}
}

func ok2(r *rig) {
	s, id, err := r.c.Acquire(r.req(0), r.now)
	require.Zero(r.t, id)
	require.Nil(r.t, err)
	r.end(s, Outcome{End: EndOK, State: stateWarm, Incarnation: "2", FirstToken: ms, Elapsed: ms})
}

func TestUrgentWorkIsNotHeldByLongWork(t *testing.T) {
	for _, limit := range []int{1, 2, 8} {
		r := newRig(t, 4, limit)
		first, _, _ := r.c.Acquire(r.req(0), r.now) // other work is about
		r.end(first, Outcome{End: EndCanceled})
		r.warm(true)
		long := r.fill(9)
		require.Equal(t, 3*max(1, limit-1), len(long), "a whole engine and one place of each other one are left")
		middle := r.fill(3)
		require.LessOrEqual(t, len(middle), 4*limit-len(long)-limit/2, "half of the free engine is left by middle work")
		for _, s := range middle {
			r.end(s, Outcome{End: EndCanceled})
		}
		require.NotEmpty(t, r.fill(0), "limit %d", limit)
		// Of those that wait the urgent one is served first.
		_, low, err := r.c.Acquire(r.req(9), r.now)
		require.Nil(t, err)
		_, high, err := r.c.Acquire(r.req(0), r.now)
		require.Nil(t, err)
		r.end(long[0], Outcome{End: EndOK, State: stateWarm, Incarnation: "1", Elapsed: ms})
		g := r.c.Grants()
		require.Len(t, g, 1)
		require.Equal(t, high, g[0].Waiter)
		require.True(t, r.c.Cancel(low))
		require.False(t, r.c.Cancel(high))
	}
}

func TestRefusals(t *testing.T) {
	r := newRig(t, 3, 2)
	_, _, err := r.c.Acquire(Request{Target: "nothing", Deadline: r.now.Add(time.Minute)}, r.now)
	require.Equal(t, result.NoUpstream, err.Code)
	// A wait is foretold from runs that were seen.
	first, _, err := r.c.Acquire(r.req(0), r.now)
	require.Nil(t, err)
	r.end(first, Outcome{End: EndOK, State: stateWarm, Incarnation: "1", Elapsed: 2000 * ms})
	slots := r.fill(0)
	require.Len(t, slots, 6)
	soon := r.req(0)
	soon.Deadline = r.now.Add(50 * ms)
	_, _, err = r.c.Acquire(soon, r.now)
	require.Equal(t, result.Overloaded, err.Code, "the queue can't make the deadline: refused at once")
	require.Equal(t, result.NotRun, err.Run)
	require.Positive(t, err.RetryAfter)
	// Whoever waits is refused when the document takes the last upstream.
	_, id, err := r.c.Acquire(r.req(0), r.now)
	require.Nil(t, err)
	r.document(document.Zone{Name: "z", TakenOut: true})
	g := r.c.Grants()
	require.Len(t, g, 1)
	require.Equal(t, id, g[0].Waiter)
	require.Equal(t, result.NoUpstream, g[0].Err.Code)
	// And at its deadline.
	r.document()
	r.warm(true)
	late := r.req(0)
	_, id, err = r.c.Acquire(late, r.now)
	require.Nil(t, err)
	r.now = late.Deadline
	r.warm(false)
	r.c.Tick(r.now)
	g = r.c.Grants()
	require.Len(t, g, 1)
	require.Equal(t, id, g[0].Waiter)
	require.Equal(t, result.NotRun, g[0].Err.Run)
	// A slot counts once however often it is given back.
	for range 3 {
		r.end(slots[0], Outcome{End: EndCanceled})
	}
	require.Equal(t, 5, len(r.c.tickets))
}

func TestConstraints(t *testing.T) {
	r := newRig(t, 3, 1)
	one := r.req(0)
	one.Exclude = []string{"e000", "e001"}
	s, _, _ := r.c.Acquire(one, r.now)
	require.Equal(t, "e002", s.Upstream)
	_, id, err := r.c.Acquire(one, r.now)
	require.Nil(t, err)
	require.NotZero(t, id, "it waits for the one it may use")
	r.c.Cancel(id)
	all := r.req(0)
	all.Exclude = []string{"e000", "e001", "e002"}
	s, _, _ = r.c.Acquire(all, r.now)
	require.NotEmpty(t, s.Upstream, "exclusion of all is lifted")
	// A request bound to a full upstream does not hold those behind it.
	only := r.req(0)
	only.Only = "e002"
	_, bound, err := r.c.Acquire(only, r.now)
	require.Nil(t, err)
	require.NotZero(t, bound)
	s, _, err = r.c.Acquire(r.req(0), r.now)
	require.Nil(t, err)
	require.NotEmpty(t, s.Upstream)
	require.NotEqual(t, "e002", s.Upstream)
}

// TestTeamsAreServedInTurn queues a hundred requests of one team before three
// of another: of the next places every second one is the other team's.
func TestTeamsAreServedInTurn(t *testing.T) {
	r := newRig(t, 1, 4)
	held := r.fill(0)
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
		r.end(held[0], Outcome{End: EndOK, State: stateWarm, Incarnation: "1", Elapsed: ms})
		held = held[1:]
		for _, g := range r.c.Grants() {
			order = append(order, team[g.Waiter])
			held = append(held, g.Slot)
		}
	}
	n := 0
	for _, name := range order[:7] {
		if name == "small" {
			n++
		}
	}
	require.Equal(t, 3, n, "%v", order)
	// A full queue takes nothing more of the large team, but of the small one.
	r.c.cfg.MaxQueue = 90
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
			q.ID, q.Only = id(i), u
			s, w, _ := r.c.Acquire(q, r.now)
			if w != 0 {
				r.c.Cancel(w)
				continue
			}
			r.end(s, Outcome{End: EndStatus})
		}
	}
	fresh := func(u string) func(int) string { return func(i int) string { return fmt.Sprint(u, i) } }
	r := newRig(t, 6, 4)
	failTimes(r, "e000", ejectAfter, fresh("a"))
	require.True(t, r.c.byName["e000"].eject.out(r.now))
	for _, s := range r.fill(0) {
		require.NotEqual(t, "e000", s.Upstream)
		r.end(s, Outcome{End: EndCanceled})
	}
	for i, u := range []string{"e001", "e002", "e003", "e004", "e005"} {
		failTimes(r, u, 20, fresh(u))
		require.Equal(t, i == 0, r.c.byName[u].eject.out(r.now), "at most a third of the pool is out: %s", u)
	}
	// After its time one run probes it, and a whole answer readmits it.
	r.now = r.now.Add(ejectBase)
	r.warm(true)
	only := r.req(0)
	only.Only = "e000"
	s, w, _ := r.c.Acquire(only, r.now)
	require.Zero(t, w)
	_, w, _ = r.c.Acquire(only, r.now)
	require.NotZero(t, w)
	r.end(s, Outcome{End: EndOK, State: stateWarm, Incarnation: "1", Elapsed: ms})
	require.False(t, r.c.byName["e000"].eject.probing)

	// Requests that fail wherever they run eject nobody.
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
	r.end(s, Outcome{End: EndOK, State: stateWarm, Incarnation: "1", FirstToken: ms, Elapsed: time.Second})
	var held []Slot
	for range 4 {
		s, _, _ = r.c.Acquire(q, r.now)
		if s.Upstream == home {
			held = append(held, s)
		}
	}
	require.GreaterOrEqual(t, len(held), 2, "the cached prefix draws its requests")
	require.Less(t, len(r.fill(3)), 8*16, "sanity")
	// The hint goes with the cache, and late or repeated events do no harm.
	u := r.c.byName[home]
	r.c.CacheEvents(home, []CacheEvent{{Sequence: 5, Hash: 42, Added: false}, {Sequence: 4, Hash: 42, Added: true}})
	require.NotEqual(t, u, r.c.known.holders(42)[0])
	r.c.CacheEvents(home, []CacheEvent{{Sequence: 9, Hash: 42, Added: true}})
	require.Equal(t, u, r.c.known.holders(42)[0])
	r.now = r.now.Add(time.Second)
	r.c.Observe(LoadReport{Upstream: home, Incarnation: "2", State: stateCold, TakenAt: r.now}, r.now)
	require.NotEqual(t, u, r.c.known.holders(42)[0], "a new incarnation has an empty cache")
}

func TestZonesAndSubsets(t *testing.T) {
	r := newRig(t, 9, 4)
	r.ups = engines(9, []string{"z", "y", "x"}, 4, 2)
	r.document(document.Zone{Name: "z"}, document.Zone{Name: "y"}, document.Zone{Name: "x"})
	r.warm(true)
	slots := r.fill(0)
	require.Len(t, slots, 36, "a full zone spills into the others")
	for _, s := range slots[:4] {
		require.Equal(t, "z", s.Zone, "its own zone first")
	}
	// At the aim's size every replica is dealt with by a number of VMs that
	// can't leave it idle, and none by all.
	ups := engines(940, []string{"a", "b", "c", "d", "e", "f", "g"}, 8, 2)
	idx := docOf(ups, document.Zone{Name: "a"}, document.Zone{Name: "b"}, document.Zone{Name: "c"},
		document.Zone{Name: "d"}, document.Zone{Name: "e"}, document.Zone{Name: "f"}, document.Zone{Name: "g"})
	dealt := map[string]int{}
	for vm := range 330 {
		c := NewCore(Config{VM: fmt.Sprint("vm", vm), Zone: string(rune('a' + vm%7)), Seed: uint64(vm)})
		c.SetIndex(idx, t0)
		c.SetRouterCount(330)
		p := c.pools[target]
		for _, u := range append(p.local, p.remote...) {
			dealt[u.name]++
		}
	}
	low, high := 330, 0
	for _, u := range ups {
		low, high = min(low, dealt[u.Name]), max(high, dealt[u.Name])
	}
	t.Logf("VMs a replica: %d to %d", low, high)
	require.GreaterOrEqual(t, low, 8)
	require.Less(t, high, 60)
}

// TestRandomDocuments grants, releases and changes documents at random; the
// invariants in the program judge each grant, the test the accounts.
func TestRandomDocuments(t *testing.T) {
	for seed := range soak.Seeds(20, 6_000) {
		rng := rand.New(rand.NewPCG(seed, 5))
		r := newRig(t, 9, 3)
		r.ups = engines(9, []string{"z", "y", "x"}, 3, 2)
		taken := [3]bool{}
		var held []Slot
		waits := map[WaiterID]bool{}
		for range 6000 {
			r.now = r.now.Add(time.Duration(rng.IntN(40)) * ms)
			switch k := rng.IntN(100); {
			case k < 2:
				taken[rng.IntN(3)] = rng.IntN(2) == 0
				r.ups[rng.IntN(9)].Leaving = rng.IntN(3) == 0
				r.document(document.Zone{Name: "z", TakenOut: taken[0]}, document.Zone{Name: "y", TakenOut: taken[1], Ramp: document.Duration(time.Second)}, document.Zone{Name: "x", TakenOut: taken[2]})
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
					held = append(held, s)
				}
			case k < 64:
				for id := range waits { // any one
					if r.c.Cancel(id) {
						delete(waits, id)
					}
					break
				}
			case len(held) > 0:
				i := rng.IntN(len(held))
				r.end(held[i], Outcome{End: []End{EndOK, EndOK, EndOK, EndReset, EndStatus, EndRefused, EndCanceled}[rng.IntN(7)], Elapsed: time.Second, FirstToken: ms})
				held = append(held[:i], held[i+1:]...)
			}
			for _, g := range r.c.Grants() {
				require.True(t, waits[g.Waiter], "a wait ends once")
				delete(waits, g.Waiter)
				if g.Err == nil {
					held = append(held, g.Slot)
				}
			}
			require.Equal(t, len(held), len(r.c.tickets))
			require.Equal(t, len(waits), len(r.c.waiting))
		}
		sum := 0
		for _, u := range r.c.byName {
			require.GreaterOrEqual(t, u.inflight, u.low)
			sum += u.inflight
		}
		require.Equal(t, len(held), sum)
	}
}
