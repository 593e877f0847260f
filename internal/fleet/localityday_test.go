package fleet

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/exchange"
)

// zoneDay is a day of a plain service with an upstream or more in each zone, whose calls
// may not be repeated once they were sent.
type zoneDay struct {
	vms, zones, perZone int
	load                float64       // busy slots as a share of all, at the mean speed
	speeds              []float64     // by upstream, in turn
	varied              bool          // calls vary much, with an exponential distribution
	noise               bool          // a seventh of the upstreams, in turn, is 2.5 times slower for 600 ms
	swing               float64       // of waves with opposite phases in the zones
	firstZone           float64       // load of the first zone as a multiple of the others'
	stale               bool          // the VMs' reports are 1 s old, and end after half of the day
	cut                 bool          // the first zone is cut off for 5 s
	byCost              bool          // without the rule, as in a small deployment
	length              time.Duration // 20 s if zero
	seed                uint64
}

const (
	zoneDayLength  = 20 * time.Second
	zoneDayWarmup  = 3 * time.Second
	zoneDayWork    = 30.0 // ms
	zoneDayTarget  = 150 * ms
	zoneDayTimeout = 1500 * ms
	zoneDaySlots   = 6
	zoneDayQueue   = 24
	zonePath       = 700 * time.Microsecond
	cutBegin       = 8 * time.Second
	cutEnd         = 13 * time.Second
)

type zoneVM struct {
	name   string
	zone   int
	fleet  *Fleet
	open   map[string]bool // upstreams with an open connection
	cursor int
	rounds int
}

type zoneUpstream struct {
	Upstream
	zone, index, running int
	queue                []func()
	busyMs               float64
}

type zoneSim struct {
	zoneDay
	rng       *rand.Rand
	arrivals  *rand.Rand // apart, so that the same requests arrive whatever is chosen
	now       time.Duration
	seq       int
	events    dayEvents
	machines  []*zoneVM
	upstreams map[string]*zoneUpstream
	list      []Upstream

	offered, inTime, late, lost, refused, sent, sentOut, used int
	// sentByWindow and outByWindow count the attempts of the first zone's VMs by second.
	sentByWindow, outByWindow [zoneDayLength/time.Second + 2]float64
}

func (s *zoneSim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, dayEvent{s.now + d, s.seq, run})
}

func (s *zoneSim) clock() time.Time { return dayClock.Add(s.now) }

// isCut reports whether nothing passes between two zones.
func (s *zoneSim) isCut(a, b int) bool {
	return s.cut && (a == 0) != (b == 0) && s.now >= cutBegin && s.now < cutEnd
}

func (s *zoneSim) path(a, b int) time.Duration {
	if a == b {
		return zonePath / 7
	}
	return zonePath
}

func runZoneDay(d zoneDay) *zoneSim {
	if d.length == 0 {
		d.length = zoneDayLength
	}
	s := &zoneSim{zoneDay: d, rng: rand.New(rand.NewPCG(d.seed, 47)), arrivals: rand.New(rand.NewPCG(d.seed, 48)), upstreams: map[string]*zoneUpstream{}}
	zones := []string{"a", "b", "c", "d"}[:d.zones]
	for i := range d.zones * d.perZone {
		u := upstream(i)
		u.Zone, u.Slots = zones[i%d.zones], zoneDaySlots
		s.list = append(s.list, u)
		s.upstreams[u.ID] = &zoneUpstream{Upstream: u, zone: i % d.zones, index: i}
	}
	names := make([]string, d.vms)
	for i := range names {
		names[i] = fmt.Sprintf("vm-%d", i)
	}
	weights := 0.0
	weight := func(zone int) float64 {
		if zone == 0 && d.firstZone > 0 {
			return d.firstZone
		}
		return 1
	}
	for i, name := range names {
		vm := &zoneVM{name: name, zone: i % d.zones, open: map[string]bool{}, cursor: i}
		vm.fleet = New(Config{VM: name, Zone: zones[vm.zone]})
		vm.fleet.Replace(dayClock.Add(-time.Minute), s.list)
		if !d.byCost {
			vm.fleet.SetVMs(names)
		}
		s.machines = append(s.machines, vm)
		weights += weight(vm.zone)
	}
	perMs := d.load * float64(len(s.list)*zoneDaySlots) / zoneDayWork
	for _, vm := range s.machines {
		s.arrive(vm, perMs*weight(vm.zone)/weights)
		s.after(time.Duration(s.rng.IntN(100))*ms, func() { s.report(vm) })
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(dayEvent)
		s.now = e.at
		e.run()
	}
	return s
}

// arrive schedules the next request at a VM.
func (s *zoneSim) arrive(vm *zoneVM, perMs float64) {
	phase := 2 * math.Pi * (s.now.Seconds()/11 + float64(vm.zone)/float64(s.zones))
	rate := perMs * (1 + s.swing*math.Sin(phase))
	s.after(time.Duration(s.arrivals.ExpFloat64()/rate*float64(ms)), func() {
		if s.now < s.length {
			s.request(vm, s.now, nil)
			s.arrive(vm, perMs)
		}
	})
}

func (s *zoneSim) report(vm *zoneVM) {
	if s.now >= s.length || s.stale && s.now > s.length/2 {
		return
	}
	s.after(simulatedReportInterval, func() { s.report(vm) })
	loads := vm.fleet.VMLoads(24)
	var calls []CallTimeReport
	if vm.rounds++; vm.rounds%10 == 0 {
		calls = vm.fleet.CallTimeReports(s.clock())
	}
	delay := ms
	if s.stale {
		delay = time.Second
	}
	own, others := 9, 3 // targets in the own zone and in others in one round
	for range s.machines {
		vm.cursor++
		to := s.machines[vm.cursor%len(s.machines)]
		left := &others
		if to.zone == vm.zone {
			left = &own
		}
		if to == vm || *left == 0 || s.isCut(vm.zone, to.zone) {
			continue
		}
		*left--
		s.after(delay, func() {
			to.fleet.SetRemoteLoads(s.clock(), vm.name, loads)
			to.fleet.MergeCallTimes(s.clock(), calls)
		})
		if own+others == 0 {
			break
		}
	}
}

func (s *zoneSim) count(n *int, at time.Duration) {
	if at >= zoneDayWarmup {
		*n++
	}
}

// request makes an attempt of a request that arrived at a time.
func (s *zoneSim) request(vm *zoneVM, arrived time.Duration, tried []string) {
	if len(tried) == 0 {
		s.count(&s.offered, arrived)
	}
	q := query()
	q.TargetLatency, q.Exclude, q.FirstAttempt = zoneDayTarget, tried, len(tried) == 0
	p, _ := vm.fleet.Pick(s.clock(), q)
	if p == nil || len(tried) == 3 {
		if p != nil {
			vm.fleet.Done(s.clock(), p, OutcomeNeutral)
		}
		s.count(&s.refused, arrived)
		return
	}
	u := s.upstreams[p.ID]
	s.count(&s.sent, arrived)
	if u.zone != vm.zone {
		s.count(&s.sentOut, arrived)
	}
	if window := int(s.now / time.Second); vm.zone == 0 && window < len(s.sentByWindow) {
		s.sentByWindow[window]++
		if u.zone != vm.zone {
			s.outByWindow[window]++
		}
	}
	again := func(outcome Outcome) {
		vm.fleet.Done(s.clock(), p, outcome)
		s.request(vm, arrived, append(tried[:len(tried):len(tried)], p.ID))
	}
	lose := func() {
		s.after(arrived+zoneDayTimeout-s.now, func() {
			vm.fleet.Done(s.clock(), p, OutcomeFailed)
			s.count(&s.lost, arrived)
		})
	}
	switch cut := s.isCut(vm.zone, u.zone); {
	case cut && !vm.open[u.ID]:
		s.after(200*ms, func() { again(OutcomeUnreachable) })
		return
	case cut:
		vm.open[u.ID] = false
		lose()
		return
	}
	if !vm.open[u.ID] {
		s.used++
	}
	vm.open[u.ID] = true
	path := s.path(vm.zone, u.zone)
	s.after(path, func() {
		run := func() {
			s.after(s.workAt(u), func() {
				load := u.report(s)
				u.leave()
				if s.isCut(vm.zone, u.zone) {
					lose()
					return
				}
				s.after(path, func() {
					vm.fleet.FirstByte(s.clock(), p, &load)
					vm.fleet.Done(s.clock(), p, OutcomeSuccess)
					if s.now-arrived <= zoneDayTarget {
						s.count(&s.inTime, arrived)
					} else {
						s.count(&s.late, arrived)
					}
				})
			})
		}
		switch {
		case u.running < zoneDaySlots:
			u.running++
			run()
		case len(u.queue) < zoneDayQueue:
			u.queue = append(u.queue, run)
		default:
			load := u.report(s)
			s.after(path, func() {
				vm.fleet.RecordRejection(s.clock(), p, load)
				again(OutcomeRejected)
			})
		}
	})
}

func (u *zoneUpstream) report(s *zoneSim) exchange.Load {
	l := exchange.Load{Running: u.running, Waiting: len(u.queue), Slots: zoneDaySlots}
	if s.noise {
		l.WorkTime = s.noiseAt(u)
	}
	return l
}

func (u *zoneUpstream) leave() {
	if len(u.queue) == 0 {
		u.running--
		return
	}
	next := u.queue[0]
	u.queue = u.queue[1:]
	next()
}

func (s *zoneSim) noiseAt(u *zoneUpstream) float64 {
	if s.noise && int(s.now/(600*ms))%7 == u.index*2%7 {
		return 2.5
	}
	return 1
}

func (s *zoneSim) workAt(u *zoneUpstream) time.Duration {
	work := zoneDayWork * s.noiseAt(u)
	if s.varied {
		work *= s.rng.ExpFloat64()
	} else {
		work *= 0.6 + 0.8*s.rng.Float64()
	}
	if len(s.speeds) > 0 {
		work *= s.speeds[u.index%len(s.speeds)]
	}
	u.busyMs += work
	return time.Duration(work * float64(ms))
}

func (s *zoneSim) shareOut() float64 { return float64(s.sentOut) / float64(max(s.sent, 1)) }

func (s *zoneSim) shareInTime() float64 { return float64(s.inTime) / float64(max(s.offered, 1)) }

// busiestOverMean returns the busy time of the busiest upstream over the average.
func (s *zoneSim) busiestOverMean() float64 {
	most, sum := 0.0, 0.0
	for _, u := range s.list {
		b := s.upstreams[u.ID].busyMs
		most, sum = max(most, b), sum+b
	}
	return most / sum * float64(len(s.list))
}

// swingOut returns the standard deviation, from second to second, of the share of the first
// zone's attempts that leave it.
func (s *zoneSim) swingOut() float64 {
	sum, squares, n := 0.0, 0.0, 0.0
	for i := int(zoneDayWarmup / time.Second); i < int(s.length/time.Second); i++ {
		share := s.outByWindow[i] / max(s.sentByWindow[i], 1)
		sum, squares, n = sum+share, squares+share*share, n+1
	}
	return math.Sqrt(max(squares/n-sum*sum/n/n, 0))
}

func (s *zoneSim) String() string {
	return fmt.Sprintf("offered %d, in time %.4f, late %d, lost %d, refused %d, out of the zone %.3f, its swing in the first zone %.3f, busiest/mean %.2f, connections/VM %.1f",
		s.offered, s.shareInTime(), s.late, s.lost, s.refused, s.shareOut(), s.swingOut(), s.busiestOverMean(), float64(s.used)/float64(s.vms))
}
