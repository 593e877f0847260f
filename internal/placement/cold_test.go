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

// engines returns n engines of a document, assigned to the zones in turn.
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

// modelEngine is the true state of an engine.
type modelEngine struct {
	name        string
	incarnation int
	cold        bool
	restarted   time.Time
	warmAt      time.Time
	running     map[uint64]modelRun // by run number
}

type modelRun struct {
	vm     int
	slot   Slot
	endsAt time.Time
	// timeoutAt is when the engine ends the run by itself (X-Timeout-Ms).
	timeoutAt time.Time
	startedAt time.Time
}

// modelVM is a VM with its core. While it is frozen, its outcomes are kept in
// missedReleases.
type modelVM struct {
	core           *Core
	frozen         bool
	missedReleases []missedRelease
}

type missedRelease struct {
	ticket  uint64
	outcome Outcome
}

// delayedReport is a report in transit.
type delayedReport struct {
	deliverAt time.Time
	vm        int
	report    LoadReport
}

// coldLimitSim runs several VMs' cores against model engines of one zone.
// Seats are leases, which another VM takes over only after they expired.
type coldLimitSim struct {
	t          *testing.T
	rng        *rand.Rand
	now        time.Time
	engines    []*modelEngine
	vms        []*modelVM
	seatOwner  [seats.PerZone]int
	seatExpiry [seats.PerZone]time.Time
	nextRun    uint64
	reports    []delayedReport
	coldLimit  int

	granted, coldRuns, overLimit, maxExcess int
}

const (
	leaseTTL     = 6 * time.Second
	maxReportLag = 300 * ms
	// maxDetectionTime bounds how long a VM may treat a restarted engine as
	// warm: the age at which its warm confirmation expires. Only a VM that was
	// frozen meanwhile reaches it; otherwise a report arrives earlier.
	maxDetectionTime = 3 * time.Second
)

func newColdLimitSim(t *testing.T, seed uint64) *coldLimitSim {
	rng := rand.New(rand.NewPCG(seed, 7))
	w := &coldLimitSim{t: t, rng: rng, now: t0, coldLimit: 1 + rng.IntN(9)}
	ups := engines(3, []string{"z"}, 24, w.coldLimit)
	idx := docOf(ups, document.Zone{Name: "z"})
	for i := range ups {
		w.engines = append(w.engines, &modelEngine{name: ups[i].Name, cold: true, restarted: t0, warmAt: t0.Add(10 * time.Second), running: map[uint64]modelRun{}})
	}
	for i := range 4 {
		v := &modelVM{core: NewCore(Config{VM: fmt.Sprint("vm", i), Zone: "z", Seed: seed + uint64(i)})}
		v.core.SetIndex(idx, t0)
		v.core.SetVMCount(4)
		w.vms = append(w.vms, v)
	}
	for s := range w.seatOwner {
		w.seatOwner[s] = -1
	}
	return w
}

// renewSeats renews leases or assigns expired seats to new owners. A frozen VM
// can't renew.
func (w *coldLimitSim) renewSeats() {
	for s := range w.seatOwner {
		lapsed := !w.now.Before(w.seatExpiry[s])
		switch o := w.seatOwner[s]; {
		case o >= 0 && !lapsed && !w.vms[o].frozen && w.rng.IntN(4) > 0:
			w.seatExpiry[s] = w.now.Add(leaseTTL)
		case lapsed:
			w.seatOwner[s] = w.rng.IntN(len(w.vms))
			w.seatExpiry[s] = w.now.Add(leaseTTL)
		}
	}
	for i, v := range w.vms {
		if v.frozen {
			continue
		}
		h := seats.Held{}
		for s, o := range w.seatOwner {
			if o != i {
				continue
			}
			h.Seats = append(h.Seats, s)
			if h.NotAfter.IsZero() || w.seatExpiry[s].Before(h.NotAfter) {
				h.NotAfter = w.seatExpiry[s]
			}
		}
		v.core.SetSeats(h, w.now)
		w.startGranted(i)
	}
}

// startGranted starts the runs of the waits that ended with a slot.
func (w *coldLimitSim) startGranted(vm int) {
	for _, g := range w.vms[vm].core.Grants() {
		if g.Err == nil {
			w.start(vm, g.Slot)
		}
	}
}

func (w *coldLimitSim) acquire(vm int) {
	r := Request{ID: fmt.Sprint(w.nextRun), Target: target, Priority: document.Priority(w.rng.IntN(10)), Deadline: w.now.Add(time.Minute)}
	slot, id, err := w.vms[vm].core.Acquire(r, w.now)
	if id == 0 && err == nil {
		w.start(vm, slot)
	}
	w.startGranted(vm)
}

func (w *coldLimitSim) start(vm int, s Slot) {
	w.granted++
	for _, e := range w.engines {
		if e.name != s.Upstream {
			continue
		}
		w.nextRun++
		run := modelRun{vm: vm, slot: s, startedAt: w.now, endsAt: w.now.Add(time.Duration(w.rng.IntN(8000)) * ms), timeoutAt: w.now.Add(time.Hour)}
		if !s.NotAfter.IsZero() {
			run.timeoutAt = s.NotAfter
		}
		e.running[w.nextRun] = run
		w.checkColdLimit(e)
	}
}

// checkColdLimit checks the cold limit at the engine itself. VMs may treat the
// engine as warm only within maxDetectionTime after a restart; those runs are
// counted separately.
func (w *coldLimitSim) checkColdLimit(e *modelEngine) {
	if !e.cold {
		return
	}
	w.coldRuns++
	coldSlots, warmSlots := 0, 0
	for _, r := range e.running {
		if r.slot.Cold {
			coldSlots++
			continue
		}
		warmSlots++
		require.LessOrEqual(w.t, r.startedAt.Sub(e.restarted), maxDetectionTime, "warm run on cold engine %s", e.name)
	}
	require.LessOrEqual(w.t, coldSlots, w.coldLimit, "cold engine %s at %s", e.name, w.now.Sub(t0))
	if over := coldSlots + warmSlots - w.coldLimit; over > 0 {
		w.overLimit++
		w.maxExcess = max(w.maxExcess, over)
	}
}

// advance advances the clock, warms up engines and ends the runs that are due.
func (w *coldLimitSim) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, e := range w.engines {
		if e.cold && !w.now.Before(e.warmAt) {
			e.cold = false
		}
		for _, n := range sortedRuns(e.running) {
			r := e.running[n]
			switch {
			case !w.now.Before(r.timeoutAt):
				w.end(e, n, EndCanceled)
			case !w.now.Before(r.endsAt):
				w.end(e, n, EndOK)
			}
		}
	}
}

func (w *coldLimitSim) end(e *modelEngine, n uint64, end End) {
	r := e.running[n]
	delete(e.running, n)
	v := w.vms[r.vm]
	o := Outcome{End: end, Elapsed: w.now.Sub(r.startedAt), FirstToken: 10 * ms}
	if end == EndOK {
		o.Incarnation, o.State = fmt.Sprint(e.incarnation), stateWarm
		if e.cold {
			o.State = stateCold
		}
	}
	if v.frozen {
		// The VM receives the outcome when it resumes.
		v.missedReleases = append(v.missedReleases, missedRelease{r.slot.ReservationID, o})
		return
	}
	v.core.Release(r.slot.ReservationID, o, w.now)
	w.startGranted(r.vm)
}

func sortedRuns(m map[uint64]modelRun) []uint64 { return slices.Sorted(maps.Keys(m)) }

// restart kills the engine's runs and starts it cold, without notice.
func (w *coldLimitSim) restart(e *modelEngine) {
	for _, n := range sortedRuns(e.running) {
		w.end(e, n, EndReset)
	}
	e.incarnation++
	e.cold = true
	e.restarted = w.now
	e.warmAt = w.now.Add(time.Duration(3+w.rng.IntN(10)) * time.Second)
	clear(e.running)
}

// report sends one engine's load to all VMs, each with its own delay.
func (w *coldLimitSim) report(e *modelEngine) {
	r := LoadReport{Upstream: e.name, Incarnation: fmt.Sprint(e.incarnation), State: stateWarm, Running: len(e.running), TakenAt: w.now}
	if e.cold {
		r.State = stateCold
	}
	for i := range w.vms {
		at := w.now.Add(time.Duration(w.rng.Int64N(int64(maxReportLag))))
		w.reports = append(w.reports, delayedReport{at, i, r})
	}
}

// deliverReports delivers the reports that are due, out of order. Reports to a
// frozen VM are lost.
func (w *coldLimitSim) deliverReports() {
	pending := w.reports[:0]
	for _, r := range w.reports {
		if w.now.Before(r.deliverAt) {
			pending = append(pending, r)
		} else if v := w.vms[r.vm]; !v.frozen {
			v.core.Observe(r.report, w.now)
			w.startGranted(r.vm)
		}
	}
	w.reports = pending
}

// toggleFrozen freezes a VM, or resumes it.
func (w *coldLimitSim) toggleFrozen(i int) {
	v := w.vms[i]
	v.frozen = !v.frozen
	if v.frozen {
		return
	}
	for _, m := range v.missedReleases {
		v.core.Release(m.ticket, m.outcome, w.now)
	}
	v.missedReleases = nil
	w.startGranted(i)
}

func (w *coldLimitSim) step(n int) {
	w.advance(time.Duration(w.rng.IntN(60)) * ms)
	w.deliverReports()
	if n%12 == 0 {
		for _, e := range w.engines {
			w.report(e)
		}
	}
	switch k := w.rng.IntN(1000); {
	case k == 0:
		w.restart(w.engines[w.rng.IntN(len(w.engines))])
	case k < 6:
		w.toggleFrozen(w.rng.IntN(len(w.vms)))
	case k < 100:
		w.renewSeats()
	case k < 200:
		for i, v := range w.vms {
			if !v.frozen {
				v.core.Tick(w.now)
				w.startGranted(i)
			}
		}
	default:
		if i := w.rng.IntN(len(w.vms)); !w.vms[i].frozen {
			w.acquire(i)
		}
	}
}

// TestColdLimitHoldsOverTheFleet counts concurrent runs at cold engines, while
// VMs freeze past the expiry of their leases and resume, seats change owners,
// and engines restart.
func TestColdLimitHoldsOverTheFleet(t *testing.T) {
	granted, cold, overLimit, maxExcess := 0, 0, 0, 0
	for seed := range soak.Seeds(16, 8_000) {
		w := newColdLimitSim(t, seed)
		w.renewSeats()
		for n := range 8_000 {
			w.step(n)
		}
		granted += w.granted
		cold += w.coldRuns
		overLimit += w.overLimit
		maxExcess = max(maxExcess, w.maxExcess)
	}
	t.Logf("%d runs, %d of them started on a cold engine; within the detection time after a restart %d started above the limit, by at most %d", granted, cold, overLimit, maxExcess)
	if soak.UsesDefaultSeeds() {
		require.Greater(t, cold, 1000)
	}
	require.Greater(t, granted, 3*cold)
}

// TestCheckDetectsColdLimitViolation shows that the assertion can fail.
func TestCheckDetectsColdLimitViolation(t *testing.T) {
	r := newRig(t, 1, 4)
	r.applyDocument(document.Zone{Name: "z"})
	u := r.c.byName["e000"]
	u.markNotWarm(suspect, r.now)
	u.inflight = r.c.coldShare(u, r.now)
	require.PanicsWithValue(t, fmt.Sprintf("invariant cold_limit: cold upstream e000 has %d runs of this VM, share %[1]d", u.inflight),
		func() { r.c.checkGrant(candidate{u: u}, r.now) })
}
