package placement

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/invariant"
	"github.com/cranberrypier/cranberrypier/internal/seats"
	"github.com/cranberrypier/cranberrypier/internal/soak"
	"github.com/stretchr/testify/require"
)

func TestMain(m *testing.M) {
	invariant.Strict.Store(true)
	m.Run()
}

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	ms     = time.Millisecond
	target = "m@v"
)

// engines makes a document's upstreams, dealt over the zones in turn.
func engines(n int, zones []string, limit, coldLimit int) []document.Upstream {
	out := make([]document.Upstream, n)
	for i := range out {
		out[i] = document.Upstream{
			Name: fmt.Sprintf("e%03d", i), Zone: zones[i%len(zones)], Kind: document.Engine, Address: fmt.Sprintf("10.0.0.%d:1", i),
			Serves: []string{target}, Limit: limit, ColdLimit: coldLimit,
		}
	}
	return out
}

func docOf(ups []document.Upstream, zones ...document.Zone) *document.Index {
	return document.NewIndex(&document.Document{Zones: zones, Upstreams: ups})
}

// modelEngine is an engine as it really is.
type modelEngine struct {
	name        string
	incarnation int
	cold        bool
	restarted   time.Time
	warmAt      time.Time
	running     map[uint64]modelRun // by run number
}

type modelRun struct {
	vm    int
	slot  Slot
	until time.Time
	// limit is when the engine ends the run by itself (X-Timeout-Ms).
	limit time.Time
	began time.Time
}

// modelVM is a VM with its core and its seats as the platform leases them.
type modelVM struct {
	core   *Core
	frozen bool
	missed []missed
}

type missed struct {
	ticket  uint64
	outcome Outcome
}

// lateReport is a report on its way.
type lateReport struct {
	at     time.Time
	vm     int
	report LoadReport
}

// coldWorld runs several VMs' cores against model engines of one zone. Seats
// are leases that move between VMs only after they lapsed.
type coldWorld struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	engines []*modelEngine
	vms     []*modelVM
	owner   [seats.PerZone]int
	lapse   [seats.PerZone]time.Time
	nextRun uint64
	reports []lateReport
	limit   int

	granted, coldRuns, unnoticed, worst int
}

const (
	leaseTime = 6 * time.Second
	reportLag = 300 * ms
	// noticeTime bounds how long a VM may take an engine for warm that was
	// restarted: the age at which its signs count as silence. It is reached
	// only by a VM that was frozen meanwhile; else a report comes first.
	noticeTime = 3 * time.Second
)

func newColdWorld(t *testing.T, seed uint64) *coldWorld {
	rng := rand.New(rand.NewPCG(seed, 7))
	w := &coldWorld{t: t, rng: rng, now: t0, limit: 1 + rng.IntN(9)}
	ups := engines(3, []string{"z"}, 24, w.limit)
	idx := docOf(ups, document.Zone{Name: "z"})
	for i := range ups {
		w.engines = append(w.engines, &modelEngine{name: ups[i].Name, cold: true, restarted: t0, warmAt: t0.Add(10 * time.Second), running: map[uint64]modelRun{}})
	}
	for i := range 4 {
		v := &modelVM{core: NewCore(Config{VM: fmt.Sprint("vm", i), Zone: "z", Seed: seed + uint64(i)})}
		v.core.SetIndex(idx, t0)
		v.core.SetRouterCount(4)
		w.vms = append(w.vms, v)
	}
	for s := range w.owner {
		w.owner[s] = -1
	}
	return w
}

// lease renews, or takes over lapsed seats; a frozen VM can't renew.
func (w *coldWorld) lease() {
	for s := range w.owner {
		lapsed := !w.now.Before(w.lapse[s])
		switch o := w.owner[s]; {
		case o >= 0 && !lapsed && !w.vms[o].frozen && w.rng.IntN(4) > 0:
			w.lapse[s] = w.now.Add(leaseTime)
		case lapsed:
			w.owner[s] = w.rng.IntN(len(w.vms))
			w.lapse[s] = w.now.Add(leaseTime)
		}
	}
	for i, v := range w.vms {
		if v.frozen {
			continue
		}
		h := seats.Held{}
		for s, o := range w.owner {
			if o != i {
				continue
			}
			h.Seats = append(h.Seats, s)
			if h.NotAfter.IsZero() || w.lapse[s].Before(h.NotAfter) {
				h.NotAfter = w.lapse[s]
			}
		}
		v.core.SetSeats(h, w.now)
		w.take(i)
	}
}

// take starts the runs of the waits that ended.
func (w *coldWorld) take(vm int) {
	for _, g := range w.vms[vm].core.Grants() {
		if g.Err == nil {
			w.start(vm, g.Slot)
		}
	}
}

func (w *coldWorld) ask(vm int) {
	r := Request{ID: fmt.Sprint(w.nextRun), Target: target, Priority: document.Priority(w.rng.IntN(10)), Deadline: w.now.Add(time.Minute)}
	slot, id, err := w.vms[vm].core.Acquire(r, w.now)
	if id == 0 && err == nil {
		w.start(vm, slot)
	}
	w.take(vm)
}

func (w *coldWorld) start(vm int, s Slot) {
	w.granted++
	for _, e := range w.engines {
		if e.name != s.Upstream {
			continue
		}
		w.nextRun++
		run := modelRun{vm: vm, slot: s, began: w.now, until: w.now.Add(time.Duration(w.rng.IntN(8000)) * ms), limit: w.now.Add(time.Hour)}
		if !s.NotAfter.IsZero() {
			run.limit = s.NotAfter
		}
		e.running[w.nextRun] = run
		w.check(e)
	}
}

// check holds the cold limit at the engine itself. Only within the notice time
// after a restart may VMs still take it for warm; those runs are counted apart.
func (w *coldWorld) check(e *modelEngine) {
	if !e.cold {
		return
	}
	w.coldRuns++
	known, unaware := 0, 0
	for _, r := range e.running {
		if r.slot.Cold {
			known++
			continue
		}
		unaware++
		require.LessOrEqual(w.t, r.began.Sub(e.restarted), noticeTime, "warm run on cold engine %s", e.name)
	}
	require.LessOrEqual(w.t, known, w.limit, "cold engine %s at %s", e.name, w.now.Sub(t0))
	if over := known + unaware - w.limit; over > 0 {
		w.unnoticed++
		w.worst = max(w.worst, over)
	}
}

// advance ends runs and reports.
func (w *coldWorld) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, e := range w.engines {
		if e.cold && !w.now.Before(e.warmAt) {
			e.cold = false
		}
		for _, n := range sortedRuns(e.running) {
			r := e.running[n]
			switch {
			case !w.now.Before(r.limit):
				w.end(e, n, EndCanceled)
			case !w.now.Before(r.until):
				w.end(e, n, EndOK)
			}
		}
	}
}

func (w *coldWorld) end(e *modelEngine, n uint64, end End) {
	r := e.running[n]
	delete(e.running, n)
	v := w.vms[r.vm]
	o := Outcome{End: end, Elapsed: w.now.Sub(r.began), FirstToken: 10 * ms}
	if end == EndOK {
		o.Incarnation, o.State = fmt.Sprint(e.incarnation), stateWarm
		if e.cold {
			o.State = stateCold
		}
	}
	if v.frozen {
		// It learns of the end when it wakes.
		v.missed = append(v.missed, missed{r.slot.Ticket, o})
		return
	}
	v.core.Release(r.slot.Ticket, o, w.now)
	w.take(r.vm)
}

func sortedRuns(m map[uint64]modelRun) []uint64 { return slices.Sorted(maps.Keys(m)) }

// restart kills the engine's runs and starts it cold, without warning.
func (w *coldWorld) restart(e *modelEngine) {
	for _, n := range sortedRuns(e.running) {
		w.end(e, n, EndReset)
	}
	e.incarnation++
	e.cold = true
	e.restarted = w.now
	e.warmAt = w.now.Add(time.Duration(3+w.rng.IntN(10)) * time.Second)
	clear(e.running)
}

// report sends one engine's load to all VMs but the frozen and the unlucky.
func (w *coldWorld) report(e *modelEngine) {
	r := LoadReport{Upstream: e.name, Incarnation: fmt.Sprint(e.incarnation), State: stateWarm, Running: len(e.running), TakenAt: w.now}
	if e.cold {
		r.State = stateCold
	}
	for i := range w.vms {
		at := w.now.Add(time.Duration(w.rng.Int64N(int64(reportLag))))
		w.reports = append(w.reports, lateReport{at, i, r})
	}
}

// deliver hands over the reports that have arrived, out of order; those to a
// frozen VM are lost.
func (w *coldWorld) deliver() {
	left := w.reports[:0]
	for _, r := range w.reports {
		if w.now.Before(r.at) {
			left = append(left, r)
		} else if v := w.vms[r.vm]; !v.frozen {
			v.core.Observe(r.report, w.now)
			w.take(r.vm)
		}
	}
	w.reports = left
}

// freeze stops a VM, or wakes it.
func (w *coldWorld) freeze(i int) {
	v := w.vms[i]
	v.frozen = !v.frozen
	if v.frozen {
		return
	}
	for _, m := range v.missed {
		v.core.Release(m.ticket, m.outcome, w.now)
	}
	v.missed = nil
	w.take(i)
}

func (w *coldWorld) step(n int) {
	w.advance(time.Duration(w.rng.IntN(60)) * ms)
	w.deliver()
	if n%12 == 0 {
		for _, e := range w.engines {
			w.report(e)
		}
	}
	switch k := w.rng.IntN(1000); {
	case k == 0:
		w.restart(w.engines[w.rng.IntN(len(w.engines))])
	case k < 6:
		w.freeze(w.rng.IntN(len(w.vms)))
	case k < 100:
		w.lease()
	case k < 200:
		for i, v := range w.vms {
			if !v.frozen {
				v.core.Tick(w.now)
				w.take(i)
			}
		}
	default:
		if i := w.rng.IntN(len(w.vms)); !w.vms[i].frozen {
			w.ask(i)
		}
	}
}

// TestColdLimitHoldsOverTheFleet counts concurrent work at cold engines while
// VMs freeze past their leases and wake, seats move, and engines restart.
func TestColdLimitHoldsOverTheFleet(t *testing.T) {
	granted, cold, unnoticed, worst := 0, 0, 0, 0
	for seed := range soak.Seeds(16, 8_000) {
		w := newColdWorld(t, seed)
		w.lease()
		for n := range 8_000 {
			w.step(n)
		}
		granted += w.granted
		cold += w.coldRuns
		unnoticed += w.unnoticed
		worst = max(worst, w.worst)
	}
	t.Logf("%d runs, %d of them began on a cold engine; within the notice time after a restart %d began above the limit, at worst by %d", granted, cold, unnoticed, worst)
	if soak.Usual() {
		require.Greater(t, cold, 1000)
	}
	require.Greater(t, granted, 3*cold)
}

// TestCheckNoticesAColdGrant shows that the assertion can fail.
func TestCheckNoticesAColdGrant(t *testing.T) {
	r := newRig(t, 1, 4)
	r.document(document.Zone{Name: "z"})
	u := r.c.byName["e000"]
	u.doubt(suspect, r.now)
	u.inflight = r.c.coldShare(u, r.now)
	require.PanicsWithValue(t, fmt.Sprintf("invariant cold_limit: cold upstream e000 has %d runs of this VM, share %[1]d", u.inflight),
		func() { r.c.check(candidate{u: u}, r.now) })
}
