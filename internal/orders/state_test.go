package orders

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/invariant"
	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/platform"
	"github.com/cranberrypier/cranberrypier/internal/soak"
)

func TestMain(m *testing.M) {
	invariant.Strict.Store(true)
	m.Run()
}

const deadline = 20 * time.Second

// site simulates the VMs, the engines and the lease of one zone on one clock.
type site struct {
	random    *rand.Rand
	now       time.Time
	queue     events
	seq       int
	vms       []*vm
	engines   map[string]*fakeEngine
	document  *document.Document
	lease     LeaseObject
	version   platform.Version
	storeDown bool
	loads     []time.Time
	// lateUnloads counts unloads during a run by orders that arrived too late.
	// racedUnloads counts those by orders that were already sent when a newer
	// document assigned the version again.
	lateUnloads, racedUnloads int
}

type vm struct {
	name   string
	state  *State
	up     bool
	paused bool
	// cutOff is true while the VM reaches neither the store nor other VMs, but
	// still reaches the engines.
	cutOff           bool
	unreachableSince time.Time
	inForce          *document.Document
	delayed          []func()
	agent            uint64
}

type fakeEngine struct {
	fencing bool
	fence   uint64
	loaded  []string
	// runningUntil is the end of the last run of each key.
	runningUntil map[runKey]time.Time
}

// runKey identifies the runs of a target that began under one document.
type runKey struct {
	target     string
	generation uint64
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func newSite(seed uint64) *site {
	s := &site{random: rand.New(rand.NewPCG(seed, 9)), now: time.UnixMilli(1_000_000), engines: map[string]*fakeEngine{}}
	for i := range 4 {
		s.engines[fmt.Sprint("e", i)] = &fakeEngine{fencing: i%2 == 0, runningUntil: map[runKey]time.Time{}}
	}
	s.document = s.next(0, []string{"m@v1"})
	for i := range 3 {
		v := &vm{name: fmt.Sprint("vm-", i)}
		s.vms = append(s.vms, v)
		s.start(v)
	}
	for _, v := range s.vms {
		s.tick(v)
	}
	return s
}

// next returns the document after the given generation, with the targets on
// every engine.
func (s *site) next(generation uint64, targets []string) *document.Document {
	d := &document.Document{
		Generation: generation + 1,
		Zones:      []document.Zone{{Name: "z"}},
		Classes:    []document.Class{{Name: "c", Deadline: document.Duration(deadline)}},
		Models:     []document.Model{{Name: "m", Versions: []document.Version{{Name: "v1"}, {Name: "v2"}, {Name: "v3"}}}},
	}
	for _, name := range s.names() {
		d.Upstreams = append(d.Upstreams, document.Upstream{
			Name: name, Zone: "z", Kind: document.Engine, Address: name, Serves: targets, Fencing: s.engines[name].fencing,
		})
	}
	return d
}

func (s *site) names() []string {
	var out []string
	for name := range s.engines {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

func (s *site) start(v *vm) {
	v.agent++
	v.up, v.paused, v.delayed, v.inForce = true, false, nil, s.document
	v.state = New(Config{VM: v.name, Zone: "z", Incarnation: v.agent}, rand.New(rand.NewPCG(s.random.Uint64(), 10)))
	s.step(v, DocumentSet{s.document})
	s.step(v, ViewSet{membership.View{Members: []membership.Member{{VM: v.name, Zone: "z", Status: membership.Alive}}}})
}

func (s *site) at(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now.Add(d), s.seq, do})
}

func (s *site) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	s.now = end
}

// tick lets the VM apply a newer document in some cases, starts runs under the
// document in force at the VM and sends a tick to the state machine.
func (s *site) tick(v *vm) {
	if v.up && !v.paused {
		if !v.cutOff && !s.storeDown && v.inForce != s.document && s.random.IntN(6) == 0 {
			v.inForce = s.document
			s.step(v, DocumentSet{s.document})
		}
		s.serve(v)
		s.step(v, Tick{})
	}
	s.at(500*time.Millisecond, func() { s.tick(v) })
}

func (s *site) serve(v *vm) {
	u := v.inForce.Upstreams[s.random.IntN(len(v.inForce.Upstreams))]
	if len(u.Serves) == 0 {
		return
	}
	target := u.Serves[s.random.IntN(len(u.Serves))]
	e := s.engines[u.Name]
	if slices.Contains(e.loaded, target) {
		end := s.now.Add(time.Duration(s.random.Int64N(int64(deadline))))
		w := runKey{target, v.inForce.Generation}
		if end.After(e.runningUntil[w]) {
			e.runningUntil[w] = end
		}
	}
}

func (s *site) deliver(v *vm, state *State, m Message) {
	switch {
	case v.state != state || !v.up:
	case v.paused:
		v.delayed = append(v.delayed, func() { s.deliver(v, state, m) })
	default:
		s.step(v, m)
	}
}

func (s *site) step(v *vm, m Message) {
	state := v.state
	for _, a := range state.Step(s.now, m) {
		send := func(m func() Message) {
			s.at(s.delay(), func() {
				out := m()
				s.at(s.delay(), func() { s.deliver(v, state, out) })
			})
		}
		sent := s.now
		switch a := a.(type) {
		case ReadLease:
			send(func() Message {
				return LeaseReadDone{Lease: s.lease, Version: s.version, Failed: s.storeDown || v.cutOff}
			})
		case WriteLease:
			send(func() Message { return s.write(v, a, sent) })
		case Observe:
			send(func() Message {
				return ObserveDone{Upstream: a.Upstream, Loaded: slices.Clone(s.engines[a.Upstream].loaded)}
			})
		case ListMembers:
			send(func() Message { return s.members(v) })
		case Order:
			// The holder may be paused between its check and the send.
			delay := s.delay()
			if s.random.IntN(10) == 0 {
				delay = time.Duration(s.random.Int64N(int64(time.Minute)))
			}
			generation := state.document.Generation
			s.at(delay, func() {
				out := s.apply(a, generation)
				s.at(s.delay(), func() { s.deliver(v, state, out) })
			})
		}
	}
}

func (s *site) delay() time.Duration {
	return time.Duration(s.random.Int64N(int64(10 * time.Millisecond)))
}

func (s *site) write(v *vm, a WriteLease, sent time.Time) LeaseWriteDone {
	if s.storeDown || v.cutOff || a.Base != s.version {
		return LeaseWriteDone{Failed: true}
	}
	s.lease = a.Lease
	s.version++
	return LeaseWriteDone{Sent: sent, Version: s.version, Failed: s.random.IntN(20) == 0}
}

func (s *site) members(v *vm) ListMembersDone {
	var out ListMembersDone
	for _, o := range s.vms {
		m := membership.Member{VM: o.name, Status: membership.Alive, Generation: o.inForce.Generation}
		if !o.up || o.paused || o.cutOff != v.cutOff || o.cutOff && o != v {
			m.Status = membership.Suspect
			if s.now.Sub(o.unreachableSince) > 10*time.Second {
				m.Status = membership.Dead
			}
		}
		out.Members = append(out.Members, m)
	}
	return out
}

func (s *site) apply(o Order, generation uint64) OrderDone {
	e := s.engines[o.Upstream]
	if e.fencing && o.Fence < e.fence {
		return OrderDone{Order: o, Refused: true}
	}
	stale := o.Fence < e.fence || s.now.After(o.NotAfter.Add(OrderTimeout))
	e.fence = max(e.fence, o.Fence)
	i := slices.Index(e.loaded, o.Target)
	switch {
	case o.Op == OpLoad && i < 0:
		e.loaded = append(e.loaded, o.Target)
		s.loads = append(s.loads, s.now)
	case o.Op == OpUnload && i >= 0:
		s.unload(e, o, generation, stale)
		e.loaded = slices.Delete(e.loaded, i, i+1)
	}
	return OrderDone{Order: o, Failed: s.random.IntN(20) == 0}
}

// unload counts the runs that an unload interrupts. It panics when the holder
// could have known of the run.
func (s *site) unload(e *fakeEngine, o Order, generation uint64, stale bool) {
	for w, end := range e.runningUntil {
		switch {
		case w.target != o.Target || !s.now.Before(end):
		case stale:
			s.lateUnloads++
		case w.generation > generation:
			s.racedUnloads++
		default:
			panic(fmt.Sprintf("%s: %s unloaded during a run of generation %d", o.Upstream, o.Target, w.generation))
		}
	}
}

func (s *site) injectFault() {
	v := s.vms[s.random.IntN(len(s.vms))]
	switch s.random.IntN(8) {
	case 0:
		if v.up {
			v.up, v.unreachableSince = false, s.now
		}
	case 1:
		if !v.up {
			s.start(v)
		}
	case 2:
		if !v.paused {
			v.paused, v.unreachableSince = true, s.now
		}
	case 3:
		v.paused = false
		delayed := v.delayed
		v.delayed = nil
		for _, do := range delayed {
			do()
		}
	case 4:
		if !v.cutOff {
			v.cutOff, v.unreachableSince = true, s.now
		}
	case 5:
		v.cutOff = false
	case 6:
		s.storeDown = !s.storeDown
	case 7:
		if !s.storeDown {
			all := [][]string{{"m@v1"}, {"m@v1", "m@v2"}, {"m@v2"}, {"m@v2", "m@v3"}}
			s.document = s.next(s.document.Generation, all[s.random.IntN(len(all))])
		}
	}
}

func (s *site) allLoaded() bool {
	for _, name := range s.names() {
		want := s.document.Upstreams[0].Serves
		have := slices.Sorted(slices.Values(s.engines[name].loaded))
		if !slices.Equal(have, want) {
			return false
		}
	}
	return true
}

// TestRandomSchedules checks in the engines that no version is unloaded during
// a run, and that each engine has the versions that the document assigns after
// the faults have ended.
func TestRandomSchedules(t *testing.T) {
	late, raced, total := 0, 0, 0
	// In seed 1828 the holder skips a generation that assigns a version again.
	seeds := []uint64{1828}
	for seed := range soak.Seeds(30, 60) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newSite(seed)
			s.run(30 * time.Second)
			for range 60 {
				s.injectFault()
				s.run(time.Duration(s.random.Int64N(int64(20 * time.Second))))
			}
			s.storeDown = false
			for _, v := range s.vms {
				v.cutOff, v.paused, v.delayed = false, false, nil
				s.start(v)
			}
			s.run(8 * time.Minute)
			require.True(t, s.allLoaded(), "wanted %v, have %v %v", s.document.Upstreams[0].Serves, s.engines["e0"], s.engines["e1"])
			s.checkLoads(t)
			late += s.lateUnloads
			raced += s.racedUnloads
			total += len(s.loads)
		})
	}
	t.Logf("%d loads; unloads during a run: %d by late orders, %d in a race with a newer document", total, late, raced)
}

// checkLoads limits the loads of every minute to the rate plus one load that
// each holder of the lease may have in its budget.
func (s *site) checkLoads(t *testing.T) {
	for i, at := range s.loads {
		n := 0
		for _, o := range s.loads[i:] {
			if o.Sub(at) < time.Minute {
				n++
			}
		}
		require.LessOrEqual(t, float64(n), MaxLoadsPerMinute+3, "loads in the minute from %v", at)
	}
}

func TestOrders(t *testing.T) {
	rows := []struct {
		name  string
		fault func(s *site)
		after time.Duration
		// fenced and other are the versions on an engine that checks fencing
		// numbers and on one that does not.
		fenced, other []string
	}{
		{"the versions that the document assigns are loaded", func(*site) {}, 2 * time.Minute, []string{"m@v1"}, []string{"m@v1"}},
		{"a version that is no longer assigned is unloaded after the last run", func(s *site) {
			s.run(time.Minute)
			s.document = s.next(1, []string{"m@v2"})
		}, 3 * time.Minute, []string{"m@v2"}, []string{"m@v2"}},
		{"no version is unloaded while a VM that is cut off may still use it", func(s *site) {
			s.run(time.Minute)
			s.vms[2].cutOff, s.vms[2].unreachableSince = true, s.now
			s.document = s.next(1, []string{"m@v2"})
		}, 5 * time.Minute, []string{"m@v1", "m@v2"}, []string{"m@v1", "m@v2"}},
		{"a version is unloaded when its last user has been dead for a long time", func(s *site) {
			s.run(time.Minute)
			s.vms[2].up, s.vms[2].unreachableSince = false, s.now
			s.document = s.next(1, []string{"m@v2"})
		}, deadVMTimeout + 3*time.Minute, []string{"m@v2"}, []string{"m@v2"}},
		{"another VM takes over when the holder dies", func(s *site) {
			s.run(10 * time.Second)
			for _, v := range s.vms {
				if v.state.HoldsLease(s.now) {
					v.up, v.unreachableSince = false, s.now
				}
			}
		}, 3 * time.Minute, []string{"m@v1"}, []string{"m@v1"}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newSite(1)
			row.fault(s)
			s.run(row.after)
			require.Equal(t, row.fenced, slices.Sorted(slices.Values(s.engines["e0"].loaded)))
			require.Equal(t, row.other, slices.Sorted(slices.Values(s.engines["e1"].loaded)))
		})
	}
}
