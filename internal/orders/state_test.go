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

// site is one zone: VMs, engines and the lease on one simulated clock.
type site struct {
	random   *rand.Rand
	now      time.Time
	queue    events
	order    int
	vms      []*vm
	engines  map[string]*fakeEngine
	document *document.Document
	lease    LeaseObject
	version  platform.Version
	down     bool
	loads    []time.Time
	// late counts unloads under running work by orders that arrived after their
	// time, and raced those by orders that were on their way when a newer
	// document brought the version back.
	late, raced int
}

type vm struct {
	name   string
	state  *State
	up     bool
	frozen bool
	// cut is true while the VM reaches neither the platform nor other VMs, but
	// still the engines.
	cut     bool
	lost    time.Time
	inForce *document.Document
	held    []func()
	agent   uint64
}

type fakeEngine struct {
	fencing bool
	fence   uint64
	loaded  []string
	// busy is until when runs go on.
	busy map[work]time.Time
}

// work are runs of a target that began under one document.
type work struct {
	target     string
	generation uint64
}

type event struct {
	at    time.Time
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
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
		s.engines[fmt.Sprint("e", i)] = &fakeEngine{fencing: i%2 == 0, busy: map[work]time.Time{}}
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

// next is the document after the given generation, with the targets at every
// engine.
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
	v.up, v.frozen, v.held, v.inForce = true, false, nil, s.document
	v.state = New(Config{VM: v.name, Zone: "z", Agent: v.agent}, rand.New(rand.NewPCG(s.random.Uint64(), 10)))
	s.step(v, DocumentSet{s.document})
	s.step(v, ViewSet{membership.View{Members: []membership.Member{{VM: v.name, Zone: "z", Status: membership.Alive}}}})
}

func (s *site) at(d time.Duration, do func()) {
	s.order++
	heap.Push(&s.queue, event{s.now.Add(d), s.order, do})
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

// tick takes a newer document now and then, starts runs under the document in
// force at the VM, and lets time pass.
func (s *site) tick(v *vm) {
	if v.up && !v.frozen {
		if !v.cut && !s.down && v.inForce != s.document && s.random.IntN(6) == 0 {
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
		w := work{target, v.inForce.Generation}
		if end.After(e.busy[w]) {
			e.busy[w] = end
		}
	}
}

func (s *site) deliver(v *vm, state *State, m Message) {
	switch {
	case v.state != state || !v.up:
	case v.frozen:
		v.held = append(v.held, func() { s.deliver(v, state, m) })
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
			send(func() Message { return LeaseRead{Lease: s.lease, Version: s.version, Failed: s.down || v.cut} })
		case WriteLease:
			send(func() Message { return s.write(v, a, sent) })
		case Observe:
			send(func() Message {
				return ObserveDone{Upstream: a.Upstream, Loaded: slices.Clone(s.engines[a.Upstream].loaded)}
			})
		case ListMembers:
			send(func() Message { return s.members(v) })
		case Order:
			// The holder may stop between its check and the send.
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

func (s *site) write(v *vm, a WriteLease, sent time.Time) LeaseWritten {
	if s.down || v.cut || a.Base != s.version {
		return LeaseWritten{Failed: true}
	}
	s.lease = a.Lease
	s.version++
	return LeaseWritten{Sent: sent, Version: s.version, Failed: s.random.IntN(20) == 0}
}

func (s *site) members(v *vm) MembersListed {
	var out MembersListed
	for _, o := range s.vms {
		m := membership.Member{VM: o.name, Status: membership.Alive, Generation: o.inForce.Generation}
		if !o.up || o.frozen || o.cut != v.cut || o.cut && o != v {
			m.Status = membership.Suspect
			if s.now.Sub(o.lost) > 10*time.Second {
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
	case o.Op == Load && i < 0:
		e.loaded = append(e.loaded, o.Target)
		s.loads = append(s.loads, s.now)
	case o.Op == Unload && i >= 0:
		s.unload(e, o, generation, stale)
		e.loaded = slices.Delete(e.loaded, i, i+1)
	}
	return OrderDone{Order: o, Failed: s.random.IntN(20) == 0}
}

// unload counts running work that an unload cuts, and fails when the holder
// could have known of it.
func (s *site) unload(e *fakeEngine, o Order, generation uint64, stale bool) {
	for w, end := range e.busy {
		switch {
		case w.target != o.Target || !s.now.Before(end):
		case stale:
			s.late++
		case w.generation > generation:
			s.raced++
		default:
			panic(fmt.Sprintf("%s: %s unloaded under running work of generation %d", o.Upstream, o.Target, w.generation))
		}
	}
}

func (s *site) disturb() {
	v := s.vms[s.random.IntN(len(s.vms))]
	switch s.random.IntN(8) {
	case 0:
		if v.up {
			v.up, v.lost = false, s.now
		}
	case 1:
		if !v.up {
			s.start(v)
		}
	case 2:
		if !v.frozen {
			v.frozen, v.lost = true, s.now
		}
	case 3:
		v.frozen = false
		held := v.held
		v.held = nil
		for _, do := range held {
			do()
		}
	case 4:
		if !v.cut {
			v.cut, v.lost = true, s.now
		}
	case 5:
		v.cut = false
	case 6:
		s.down = !s.down
	case 7:
		if !s.down {
			all := [][]string{{"m@v1"}, {"m@v1", "m@v2"}, {"m@v2"}, {"m@v2", "m@v3"}}
			s.document = s.next(s.document.Generation, all[s.random.IntN(len(all))])
		}
	}
}

func (s *site) settled() bool {
	for _, name := range s.names() {
		want := s.document.Upstreams[0].Serves
		have := slices.Sorted(slices.Values(s.engines[name].loaded))
		if !slices.Equal(have, want) {
			return false
		}
	}
	return true
}

// TestRandomSchedules checks in the engines that no version is unloaded under
// running work, and that after healing each has what the document wants.
func TestRandomSchedules(t *testing.T) {
	late, raced, total := 0, 0, 0
	// In 1828 the holder skips a generation that brings a version back.
	seeds := []uint64{1828}
	for seed := range soak.Seeds(30, 60) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newSite(seed)
			s.run(30 * time.Second)
			for range 60 {
				s.disturb()
				s.run(time.Duration(s.random.Int64N(int64(20 * time.Second))))
			}
			s.down = false
			for _, v := range s.vms {
				v.cut, v.frozen, v.held = false, false, nil
				s.start(v)
			}
			s.run(8 * time.Minute)
			require.True(t, s.settled(), "wanted %v, have %v %v", s.document.Upstreams[0].Serves, s.engines["e0"], s.engines["e1"])
			s.checkLoads(t)
			late += s.late
			raced += s.raced
			total += len(s.loads)
		})
	}
	t.Logf("%d loads; unloads under running work: %d by late orders, %d that raced a document", total, late, raced)
}

// checkLoads bounds the loads of every minute: the rate, and one that each
// holder of the lease may have saved up.
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
		// want are the versions at a fenced and at another engine.
		fenced, other []string
	}{
		{"what the document wants is loaded", func(*site) {}, 2 * time.Minute, []string{"m@v1"}, []string{"m@v1"}},
		{"a version that is no longer wanted is unloaded after the last run", func(s *site) {
			s.run(time.Minute)
			s.document = s.next(1, []string{"m@v2"})
		}, 3 * time.Minute, []string{"m@v2"}, []string{"m@v2"}},
		{"nothing is unloaded while a cut-off VM may still use it", func(s *site) {
			s.run(time.Minute)
			s.vms[2].cut, s.vms[2].lost = true, s.now
			s.document = s.next(1, []string{"m@v2"})
		}, 5 * time.Minute, []string{"m@v1", "m@v2"}, []string{"m@v1", "m@v2"}},
		{"but after a long silence it is", func(s *site) {
			s.run(time.Minute)
			s.vms[2].up, s.vms[2].lost = false, s.now
			s.document = s.next(1, []string{"m@v2"})
		}, silentMember + 3*time.Minute, []string{"m@v2"}, []string{"m@v2"}},
		{"another VM goes on when the holder dies", func(s *site) {
			s.run(10 * time.Second)
			for _, v := range s.vms {
				if v.state.HoldsLease(s.now) {
					v.up, v.lost = false, s.now
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
