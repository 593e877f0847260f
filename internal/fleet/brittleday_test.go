package fleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cranberrypier/cranberrypier/internal/exchange"
)

const ms = time.Millisecond

// brittleDay is a day on which the upstreams of one service become brittle under
// too much load.
type brittleDay struct {
	vms, upstreams, slots, queue, brittleQueue, limit int
	work                                              time.Duration
	overload                                          float64
	// hidesLoad leaves the load out of the answers; streams have their heads at the begin
	// of the work.
	hidesLoad, streams bool
	// unannounced leaves the upstreams' header out, so that the VMs send as to any
	// other upstreams.
	unannounced bool
	seed        uint64
}

const (
	dayBegins, dayEnds         = 2 * time.Second, 18 * time.Second
	brittleFrom, brittleUntil  = 5 * time.Second, 16 * time.Second
	brittleWindow              = 3 * time.Second
	simulatedDeadline          = 3000 * ms
	simulatedHold              = 200 * ms
	simulatedRetryAfter        = 300 * ms
	maxSimulatedHeld           = 64
	maxSimulatedAttempts       = 5
	maxSimulatedRetries        = 2
	simulatedReportInterval    = 100 * ms
	simulatedReportTargets     = 12
	simulatedMembershipSpacing = time.Second
)

// dayClock is when the day begins on the VMs' clocks.
var dayClock = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type dayEvent struct {
	at  time.Duration
	seq int
	run func()
}

type dayEvents []dayEvent

func (h dayEvents) Len() int { return len(h) }
func (h dayEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h dayEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *dayEvents) Push(x any)   { *h = append(*h, x.(dayEvent)) }
func (h *dayEvents) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

type dayVM struct {
	fleet  *Fleet
	weight float64
	cutOff bool
	held   []*dayRequest
}

type dayRequest struct {
	deadline time.Duration
	vm       *dayVM
	tried    []string
	heldFrom time.Duration
	retries  int
	over     bool
}

// dayWork is a queued request: what runs it, and what ends it if the upstream falls.
type dayWork struct{ run, end func() }

type dayUpstream struct {
	Upstream
	running   int
	waiting   []dayWork
	rejected  []time.Duration
	downUntil time.Duration
	era       int // counts the falls
}

type daySim struct {
	brittleDay
	t                      *testing.T
	rng                    *rand.Rand
	now                    time.Duration
	seq                    int
	events                 dayEvents
	machines               []*dayVM
	replicas               map[string]*dayUpstream
	list                   []Upstream
	offered, served, falls int
	rejections             int
}

func (s *daySim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, dayEvent{s.now + d, s.seq, run})
}

func (s *daySim) clock() time.Time { return dayClock.Add(s.now) }

func runBrittleDay(t *testing.T, d brittleDay) *daySim {
	s := &daySim{brittleDay: d, t: t, rng: rand.New(rand.NewPCG(d.seed, 31)), replicas: map[string]*dayUpstream{}}
	for i := range d.upstreams {
		u := upstream(i)
		u.Slots = d.slots
		s.list = append(s.list, u)
		s.replicas[u.ID] = &dayUpstream{Upstream: u}
	}
	total := 0.0
	for i := range d.vms {
		vm := &dayVM{weight: 0.5 + s.rng.Float64()}
		total += vm.weight
		vm.fleet = New(Config{VM: fmt.Sprintf("vm%d", i), Zone: []string{"a", "b", "c"}[i%3], ColdFactor: 1.5, ColdSlack: 5})
		vm.fleet.Replace(dayClock.Add(-time.Minute), s.list)
		s.machines = append(s.machines, vm)
	}
	s.setVMs()
	capacity := float64(d.upstreams*d.slots) / d.work.Seconds()
	for i, vm := range s.machines {
		s.after(time.Duration(s.rng.Int64N(int64(simulatedReportInterval))), func() { s.gossip(i) })
		s.after(dayBegins, func() { s.arrivals(vm, capacity*vm.weight/total) })
	}
	s.disturb()
	for len(s.events) > 0 && s.now < dayEnds {
		e := heap.Pop(&s.events).(dayEvent)
		s.now = e.at
		e.run()
	}
	return s
}

// setVMs tells each VM the others, except those that have just started or are cut off.
func (s *daySim) setVMs() {
	names := make([]string, len(s.machines))
	for i, vm := range s.machines {
		names[i] = vm.fleet.cfg.VM
	}
	for _, vm := range s.machines {
		vm.fleet.SetVMs(names)
	}
}

// disturb replaces a tenth of the VMs by new ones that know of no others, and cuts a
// tenth off from the others, during the brittle time.
func (s *daySim) disturb() {
	tenth := max(len(s.machines)/10, 1)
	s.after(9*time.Second, func() {
		for _, vm := range s.machines[:tenth] {
			old := vm.fleet.cfg
			vm.fleet = New(old)
			vm.fleet.Replace(s.clock(), s.list)
			vm.fleet.SetVMs([]string{old.VM})
			s.after(time.Second, func() { s.setVMs() })
		}
	})
	s.after(10*time.Second, func() { s.setCut(tenth, true) })
	s.after(13*time.Second, func() { s.setCut(tenth, false) })
}

func (s *daySim) setCut(tenth int, cut bool) {
	for _, vm := range s.machines[len(s.machines)-tenth:] {
		vm.cutOff = cut
	}
}

// rate returns the load as a multiple of the capacity: bursts of 400 ms every 3 s.
func (s *daySim) rate() float64 {
	rate := 0.6
	if s.now > 4*time.Second {
		rate = s.overload
	}
	if s.now%(3*time.Second) < 400*ms {
		rate *= 2
	}
	return rate
}

func (s *daySim) arrivals(vm *dayVM, capacity float64) {
	gap := time.Duration(s.rng.ExpFloat64() / (capacity * s.rate()) * float64(time.Second))
	s.after(min(gap, time.Second), func() {
		if gap < time.Second {
			s.offered++
			s.attempt(&dayRequest{deadline: s.now + simulatedDeadline, vm: vm})
		}
		s.arrivals(vm, capacity)
	})
}

func (s *daySim) attempt(r *dayRequest) {
	if s.now >= r.deadline {
		return
	}
	q := query()
	q.TargetLatency, q.Exclude, q.FirstAttempt, q.Waiting = 100*ms, r.tried, len(r.tried) == 0, r.heldFrom > 0
	f := r.vm.fleet
	p, reason := f.Pick(s.clock(), q)
	if p == nil {
		if !s.hold(r, reason) {
			s.refuse(r)
		}
		return
	}
	r.tried = append(r.tried, p.ID)
	s.after(s.network(), func() { s.arrive(r, f, p) })
}

func (s *daySim) network() time.Duration {
	return 300*time.Microsecond + time.Duration(s.rng.IntN(1200))*time.Microsecond
}

// hold keeps a request that found no room in its VM for a short time.
func (s *daySim) hold(r *dayRequest, reason Reason) bool {
	if reason != AllFull {
		return false
	}
	if r.heldFrom == 0 {
		r.heldFrom = s.now
		s.after(simulatedHold, func() {
			for i, other := range r.vm.held {
				if other == r {
					r.vm.held = append(r.vm.held[:i:i], r.vm.held[i+1:]...)
					s.refuse(r)
					return
				}
			}
		})
	}
	if s.now-r.heldFrom >= simulatedHold || len(r.vm.held) >= maxSimulatedHeld {
		return false
	}
	r.vm.held = append(r.vm.held, r)
	return true
}

// wake lets the first held request try again.
func (s *daySim) wake(vm *dayVM) {
	if len(vm.held) > 0 {
		r := vm.held[0]
		vm.held = vm.held[1:]
		s.attempt(r)
	}
}

// refuse ends an attempt of a caller, which may come again at another VM.
func (s *daySim) refuse(r *dayRequest) {
	if r.over {
		return
	}
	r.over = true
	if r.retries >= maxSimulatedRetries || s.now >= r.deadline {
		return
	}
	again := &dayRequest{deadline: r.deadline, vm: s.machines[s.rng.IntN(len(s.machines))], retries: r.retries + 1}
	retryAfter := max(r.vm.fleet.RoomExpectedIn(s.clock(), pool), simulatedRetryAfter)
	if s.now+3*retryAfter <= r.deadline {
		s.after(retryAfter, func() { s.attempt(again) })
	}
}

func (s *daySim) brittle() bool { return s.now >= brittleFrom && s.now < brittleUntil }

func (s *daySim) announced() bool { return s.brittle() && !s.unannounced }

// arrive lets an upstream run, queue or reject a request.
func (s *daySim) arrive(r *dayRequest, f *Fleet, p *Pick) {
	u := s.replicas[p.ID]
	if s.now < u.downUntil {
		s.after(s.network(), func() { s.ended(r, f, p, OutcomeUnreachable) })
		return
	}
	queue := u.queueLimit(s)
	if u.running >= s.slots && len(u.waiting) >= queue {
		s.reject(r, f, p, u)
		return
	}
	run := func() { s.run(r, f, p, u) }
	if u.running >= s.slots {
		u.waiting = append(u.waiting, dayWork{run, func() { s.ended(r, f, p, OutcomeFailed) }})
		return
	}
	run()
}

func (u *dayUpstream) queueLimit(s *daySim) int {
	if s.now >= brittleFrom+brittleWindow && s.brittle() {
		return s.brittleQueue
	}
	return s.queue
}

func (s *daySim) run(r *dayRequest, f *Fleet, p *Pick, u *dayUpstream) {
	u.running++
	era := u.era
	if s.streams {
		load, announced := u.load(), s.announced()
		s.after(s.network(), func() {
			s.heard(f, p, load, announced, false)
			f.FirstByte(s.clock(), p, s.shown(load))
		})
	}
	work := time.Duration((0.5 + s.rng.ExpFloat64()/2) * float64(s.work))
	s.after(work, func() {
		if u.era != era {
			s.ended(r, f, p, OutcomeFailed)
			return
		}
		load := u.load()
		u.running--
		if len(u.waiting) > 0 {
			next := u.waiting[0]
			u.waiting = u.waiting[1:]
			next.run()
		}
		announced := s.announced()
		s.after(s.network(), func() {
			if !s.streams {
				s.heard(f, p, load, announced, false)
				f.FirstByte(s.clock(), p, s.shown(load))
			}
			if s.now < r.deadline {
				s.served++
			}
			s.ended(r, f, p, OutcomeSuccess)
		})
	})
}

func (u *dayUpstream) load() exchange.Load {
	return exchange.Load{Running: u.running, Waiting: len(u.waiting), Slots: u.Slots}
}

func (s *daySim) shown(l exchange.Load) *exchange.Load {
	if s.hidesLoad {
		return nil
	}
	return &l
}

func (s *daySim) reject(r *dayRequest, f *Fleet, p *Pick, u *dayUpstream) {
	s.rejections++
	load := u.load()
	u.rejected = append(u.rejected, s.now)
	for s.now-u.rejected[0] >= time.Second {
		u.rejected = u.rejected[1:]
	}
	if s.now >= brittleFrom+brittleWindow && s.brittle() && len(u.rejected) > s.limit {
		s.fall(u)
	}
	announced := s.announced()
	s.after(s.network(), func() {
		s.heard(f, p, load, announced, true)
		s.ended(r, f, p, OutcomeRejected)
	})
}

// fall ends all work of an upstream, which is back after some seconds.
func (s *daySim) fall(u *dayUpstream) {
	s.falls++
	u.era++
	u.running, u.rejected = 0, nil
	for _, w := range u.waiting {
		s.after(s.network(), w.end)
	}
	u.waiting = nil
	u.downUntil = s.now + 3*time.Second + time.Duration(s.rng.IntN(2000))*ms
}

// ended lets the VM go on after an attempt.
func (s *daySim) ended(r *dayRequest, f *Fleet, p *Pick, outcome Outcome) {
	f.Done(s.clock(), p, outcome)
	s.wake(r.vm)
	switch {
	case outcome == OutcomeSuccess || outcome == OutcomeFailed:
		r.over = true
	case len(r.tried) >= maxSimulatedAttempts:
		s.refuse(r)
	default:
		s.attempt(r)
	}
}

// gossip sends a VM's reports to some others, in turn.
func (s *daySim) gossip(i int) {
	vm := s.machines[i]
	loads := vm.fleet.VMLoads(24)
	for range min(simulatedReportTargets, len(s.machines)-1) {
		other := s.machines[s.rng.IntN(len(s.machines))]
		if other == vm || other.cutOff || vm.cutOff {
			continue
		}
		s.after(s.network(), func() {
			other.fleet.SetRemoteLoads(s.clock(), vm.fleet.cfg.VM, loads)
			s.tell(vm.fleet, other.fleet)
		})
	}
	for range min(4, len(vm.held)) {
		s.wake(vm)
	}
	s.after(simulatedReportInterval, func() { s.gossip(i) })
}

// Falls of brittle upstreams that a rejected request's retries and callers' bursts
// cause one after the other.
func TestBrittleUpstreamsFallUnderOverload(t *testing.T) {
	for _, d := range []brittleDay{
		{vms: 7, upstreams: 3, slots: 6, queue: 24, brittleQueue: 4, limit: 10, work: 30 * ms, overload: 3},
		{vms: 60, upstreams: 12, slots: 4, queue: 12, brittleQueue: 3, limit: 8, work: 80 * ms, overload: 3},
		{vms: 300, upstreams: 30, slots: 3, queue: 9, brittleQueue: 2, limit: 6, work: 200 * ms, overload: 3},
		{vms: 60, upstreams: 12, slots: 4, queue: 12, brittleQueue: 0, limit: 8, work: 80 * ms, overload: 3, hidesLoad: true},
		{vms: 60, upstreams: 12, slots: 4, queue: 12, brittleQueue: 3, limit: 8, work: 80 * ms, overload: 0.7},
		{vms: 7, upstreams: 9, slots: 64, queue: 192, brittleQueue: 16, limit: 8, work: 1500 * ms, overload: 3, streams: true},
	} {
		t.Run(fmt.Sprintf("%d VMs, %d upstreams, load %g, load hidden %t", d.vms, d.upstreams, d.overload, d.hidesLoad), func(t *testing.T) {
			t.Parallel()
			d.seed = 1
			s := runBrittleDay(t, d)
			d.unannounced = true
			before := runBrittleDay(t, d)
			t.Logf("%d falls of at most %d, %d rejections, %.3f served; without the limit %d falls, %d rejections, %.3f served",
				s.falls, 2+d.upstreams/10, s.rejections, s.servedShare(), before.falls, before.rejections, before.servedShare())
			assert.LessOrEqual(t, s.falls, 2+d.upstreams/10)
			assert.GreaterOrEqual(t, s.servedShare(), 0.95*before.servedShare())
		})
	}
}

func (s *daySim) servedShare() float64 { return float64(s.served) / float64(s.offered) }

// tell passes a VM's reports of brittle services on.
func (s *daySim) tell(from, to *Fleet) {
	for _, r := range from.BrittleReports(s.clock()) {
		to.MergeBrittle(s.clock(), r)
	}
}

// heard lets a VM read an answer's announcement.
func (s *daySim) heard(f *Fleet, p *Pick, load exchange.Load, announced, rejected bool) {
	a := Answer{Rejected: rejected, Load: s.shown(load)}
	if announced {
		a.BrittleLimit = s.limit
	}
	f.RecordAnswer(s.clock(), p, a)
}
