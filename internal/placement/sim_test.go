package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/seats"
	"github.com/stretchr/testify/require"
)

// The queue simulation compares policies in simulated time: several VMs in front of
// several engines, requests that arrive at a fixed mean rate however slow the
// responses are, and one report per second that arrives half a second late.

type job struct {
	kind    int
	vm      int
	arrived time.Time
	sent    time.Time
	work    time.Duration
	engine  int
	slot    Slot
	// otherAttempt is the other attempt of a hedged job.
	otherAttempt *job
	state        jobState
}

type jobState int

const (
	jobWaiting jobState = iota
	jobRunning
	jobDone
)

// Kinds of jobs: lookups are short and urgent, drafts are medium, and summaries
// are long and of low priority.
const (
	lookup = iota
	draft
	summary
	kinds
)

var priorities = [kinds]document.Priority{0, 3, 8}

type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { o := *e; x := o[len(o)-1]; *e = o[:len(o)-1]; return x }

type simEngine struct {
	running int
	queue   []*job
}

// simPolicy places jobs. A job that has to wait is sent through sim.dispatch
// later.
type simPolicy interface {
	place(s *sim, j *job)
	ended(s *sim, j *job)
	report(s *sim, engine, running, queued int, taken time.Time)
}

type sim struct {
	rng       *rand.Rand
	now       time.Time
	events    events
	lastEvent int
	engines   []simEngine
	policy    simPolicy
	hist      [kinds]*hdrhistogram.Histogram
	rejected  int
	hedges    int64
}

const (
	simVMs     = 8
	simEngines = 10
	simLimit   = 8
	simTime    = 10 * time.Minute
)

func (s *sim) after(d time.Duration, f func()) {
	s.lastEvent++
	heap.Push(&s.events, event{s.now.Add(d), s.lastEvent, f})
}

func (s *sim) dispatch(j *job, engine int) {
	j.engine = engine
	j.sent = s.now
	e := &s.engines[engine]
	if e.running >= simLimit {
		e.queue = append(e.queue, j)
		return
	}
	s.begin(j)
}

// begin starts a job. The fuller an engine's batch, the slower it runs.
func (s *sim) begin(j *job) {
	e := &s.engines[j.engine]
	e.running++
	j.state = jobRunning
	slow := 1 + 0.5*float64(e.running)/simLimit
	s.after(time.Duration(float64(j.work)*slow), func() { s.end(j) })
}

func (s *sim) end(j *job) {
	if j.state == jobDone {
		return // canceled in the meantime
	}
	if o := j.otherAttempt; o != nil && o.state != jobDone {
		s.removeJob(o)
		s.policy.ended(s, o)
	}
	_ = s.hist[j.kind].RecordValue(s.now.Sub(j.arrived).Microseconds())
	s.removeJob(j)
	s.policy.ended(s, j)
}

// removeJob removes a job from its engine, which then starts the next one.
func (s *sim) removeJob(j *job) {
	e := &s.engines[j.engine]
	was := j.state
	j.state = jobDone
	if was == jobWaiting {
		if i := slices.Index(e.queue, j); i >= 0 {
			e.queue = slices.Delete(e.queue, i, i+1)
		}
		return
	}
	e.running--
	if len(e.queue) > 0 {
		first := 0
		if _, ok := s.policy.(*routerPolicy); ok {
			// The router forwards priorities, and engines honour them.
			for i, w := range e.queue {
				if priorities[w.kind] < priorities[e.queue[first].kind] {
					first = i
				}
			}
		}
		next := e.queue[first]
		e.queue = slices.Delete(e.queue, first, first+1)
		s.begin(next)
	}
}

// arrive generates Poisson arrivals of one kind.
func (s *sim) arrive(kind int, perSecond float64, work time.Duration) {
	if perSecond == 0 {
		return
	}
	s.after(time.Duration(s.rng.ExpFloat64()/perSecond*float64(time.Second)), func() {
		w := time.Duration(float64(work) * (0.5 + s.rng.Float64()))
		s.policy.place(s, &job{kind: kind, vm: s.rng.IntN(simVMs), arrived: s.now, work: w})
		s.arrive(kind, perSecond, work)
	})
}

func (s *sim) reports() {
	for i := range s.engines {
		running, queued, taken := s.engines[i].running, len(s.engines[i].queue), s.now
		s.after(500*ms, func() { s.policy.report(s, i, running, queued, taken) })
	}
	s.after(time.Second, s.reports)
}

// simulate runs the queue simulation. Its histograms hold the time from arrival to end,
// in microseconds.
func simulate(p simPolicy, seed uint64, summariesPerSecond float64) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 9)), now: t0, engines: make([]simEngine, simEngines), policy: p}
	for i := range s.hist {
		s.hist[i] = hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
	}
	s.reports()
	s.arrive(lookup, 20, 150*ms)
	s.arrive(draft, 8, 1500*ms)
	s.arrive(summary, summariesPerSecond, 20*time.Second)
	for len(s.events) > 0 && s.now.Sub(t0) < simTime {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	return s
}

// roundRobin sends each VM's jobs to the engines in turn.
type roundRobin struct{ next [simVMs]int }

func (p *roundRobin) place(s *sim, j *job) {
	p.next[j.vm]++
	s.dispatch(j, (p.next[j.vm]+j.vm)%simEngines)
}
func (*roundRobin) ended(*sim, *job)                      {}
func (*roundRobin) report(*sim, int, int, int, time.Time) {}

// leastReported sends each job to the engine with the lowest last report.
type leastReported struct{ load [simEngines]int }

func (p *leastReported) place(s *sim, j *job) {
	best := 0
	for i := range p.load {
		if p.load[i] < p.load[best] {
			best = i
		}
	}
	s.dispatch(j, best)
}
func (*leastReported) ended(*sim, *job) {}
func (p *leastReported) report(_ *sim, e, running, queued int, _ time.Time) {
	p.load[e] = running + queued
}

// routerPolicy uses one Core per VM.
type routerPolicy struct {
	cores [simVMs]*Core
	waits [simVMs]map[WaiterID]*job
	// noHedge disables the second attempt of lookups.
	noHedge bool
}

func newRouterPolicy(cfg Config) *routerPolicy {
	o := &routerPolicy{}
	for i := range o.cores {
		cfg.VM, cfg.Zone, cfg.Seed = fmt.Sprint("vm", i), "z", uint64(i)
		o.cores[i] = NewCore(cfg)
		o.cores[i].SetIndex(docOf(engines(simEngines, []string{"z"}, simLimit, 2), document.Zone{Name: "z"}), t0)
		o.cores[i].SetVMCount(simVMs)
		o.cores[i].SetSeats(seats.Held{}, t0)
		o.waits[i] = map[WaiterID]*job{}
		for _, u := range o.cores[i].byName {
			u.ramp = 100 // the engines have completed their ramp
			u.incarnation, u.savedIncarnation, u.savedRamp = "1", "1", 100
		}
	}
	return o
}

func (o *routerPolicy) place(s *sim, j *job) {
	c := o.cores[j.vm]
	exclude := []string(nil)
	if j.otherAttempt != nil {
		exclude = []string{j.slot.Upstream}
	}
	r := Request{Exclude: exclude, ID: fmt.Sprint(s.lastEvent), Target: target, Priority: priorities[j.kind], Deadline: s.now.Add(5 * time.Minute)}
	slot, id, err := c.Acquire(r, s.now)
	switch {
	case err != nil:
		s.rejected++
	case id != 0 && j.otherAttempt != nil:
		c.Cancel(id) // a hedge is not queued
	case id != 0:
		o.waits[j.vm][id] = j
		o.startGranted(s, j.vm)
	default:
		o.start(s, j, slot)
	}
}

func (o *routerPolicy) start(s *sim, j *job, slot Slot) {
	j.slot = slot
	var e int
	_, _ = fmt.Sscanf(slot.Upstream, "e%d", &e)
	s.dispatch(j, e)
	if j.kind == lookup && j.otherAttempt == nil && !o.noHedge {
		s.after(o.cores[j.vm].HedgeDelay(target), func() { o.hedge(s, j) })
	}
}

func (o *routerPolicy) hedge(s *sim, j *job) {
	if j.state == jobDone || s.hedges*10 > s.hist[lookup].TotalCount()*2+100 {
		return // the retry budget: one fifth, plus a reserve
	}
	s.hedges++
	twin := *j
	twin.state, twin.otherAttempt = jobWaiting, j
	j.otherAttempt = &twin
	o.place(s, &twin)
	if twin.slot.ReservationID == j.slot.ReservationID {
		j.otherAttempt = nil // no free slot
	}
}

func (o *routerPolicy) startGranted(s *sim, vm int) {
	for _, g := range append([]Grant(nil), o.cores[vm].Grants()...) {
		j := o.waits[vm][g.Waiter]
		delete(o.waits[vm], g.Waiter)
		if g.Err != nil {
			s.rejected++
			continue
		}
		o.start(s, j, g.Slot)
	}
}

func (o *routerPolicy) ended(s *sim, j *job) {
	d := s.now.Sub(j.sent)
	o.cores[j.vm].Release(j.slot.ReservationID, Outcome{End: EndOK, State: stateWarm, Incarnation: "1", FirstToken: d / 10, Elapsed: d}, s.now)
	o.startGranted(s, j.vm)
}

func (o *routerPolicy) report(s *sim, e, running, queued int, taken time.Time) {
	for vm, c := range o.cores {
		c.Observe(LoadReport{Upstream: fmt.Sprintf("e%03d", e), Incarnation: "1", State: stateWarm, Running: running, Queued: queued, TakenAt: taken}, s.now)
		if e == 0 {
			c.Tick(s.now)
		}
		o.startGranted(s, vm)
	}
}

func p99(s *sim, kind int) time.Duration {
	return time.Duration(s.hist[kind].ValueAtQuantile(99)) * time.Microsecond
}

// TestLookupsUnderLongSummaries guards against long work delaying urgent work:
// with long summaries and two thirds of all slots busy, the p99 of lookups
// must stay within twice its value without summaries. Time is simulated, so
// the result does not vary.
func TestLookupsUnderLongSummaries(t *testing.T) {
	for seed := range uint64(3) {
		quiet := p99(simulate(newRouterPolicy(Config{}), seed, 0), lookup)
		s := simulate(newRouterPolicy(Config{}), seed, 1)
		t.Logf("seed %d: quiet p99 %s, under long summaries %s, drafts %s, summaries %s, rejected %d", seed, quiet, p99(s, lookup), p99(s, draft), p99(s, summary), s.rejected)
		require.LessOrEqual(t, p99(s, lookup), 2*quiet)
		require.Zero(t, s.rejected)
	}
}

// BenchmarkPolicies reports the simulated p99 of each kind for the router's
// policy and the baselines. The time per operation is that of the simulation
// itself.
func BenchmarkPolicies(b *testing.B) {
	for _, load := range []float64{0, 1.5, 2.2, 2.8} {
		for _, p := range []struct {
			name string
			make func() simPolicy
		}{
			{"round_robin", func() simPolicy { return &roundRobin{} }},
			{"least_reported", func() simPolicy { return &leastReported{} }},
			{"router", func() simPolicy { return newRouterPolicy(Config{}) }},
			{"router_no_hedge", func() simPolicy { o := newRouterPolicy(Config{}); o.noHedge = true; return o }},
			{"router_no_reserve", func() simPolicy { return newRouterPolicy(Config{NoSlotReserve: true}) }},
		} {
			b.Run(fmt.Sprintf("summaries=%.1f/%s", load, p.name), func(b *testing.B) {
				var s *sim
				for b.Loop() {
					s = simulate(p.make(), 1, load)
				}
				b.ReportMetric(float64(p99(s, lookup).Milliseconds()), "lookup-p99-ms")
				b.ReportMetric(float64(p99(s, draft).Milliseconds()), "draft-p99-ms")
				b.ReportMetric(float64(p99(s, summary).Milliseconds()), "summary-p99-ms")
				b.ReportMetric(float64(s.rejected), "refused")
				b.ReportMetric(100*float64(s.hedges)/float64(s.hist[lookup].TotalCount()), "hedged-%")
			})
		}
	}
}
