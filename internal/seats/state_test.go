package seats

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cranberrypier/cranberrypier/internal/invariant"
	"github.com/cranberrypier/cranberrypier/internal/platform"
	"github.com/cranberrypier/cranberrypier/internal/soak"
)

func TestMain(m *testing.M) {
	invariant.Strict.Store(true)
	m.Run()
}

func TestSharesSumToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 100).Draw(t, "limit")
		name := rapid.String().Draw(t, "upstream")
		cut := rapid.IntRange(0, PerZone).Draw(t, "cut")
		all := []int{0, 1, 2, 3, 4, 5, 6, 7}
		require.Equal(t, limit, ColdShare(limit, name, all[:cut])+ColdShare(limit, name, all[cut:]))
	})
}

// zone runs the VMs of one zone on one simulated clock.
type zone struct {
	random  *rand.Rand
	now     time.Time
	queue   events
	order   int
	vms     []*vm
	table   Table
	version platform.Version
	down    bool
	lossy   float64
	writes  int
	reads   int
	usable  int
}

type vm struct {
	name   string
	state  *State
	up     bool
	frozen bool
	// cut is true while the VM does not reach the platform, side which part
	// of a split zone it is in.
	cut  bool
	side int
	// heard is when each other VM was last heard, and what it said.
	heard map[string]time.Time
	says  map[string]bool
	// used is when each seat last allowed a new run here.
	used [PerZone]time.Time
	held []func()
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

func newZone(seed uint64, n int) *zone {
	z := &zone{random: rand.New(rand.NewPCG(seed, 5)), now: time.UnixMilli(1_000_000)}
	for i := range n {
		v := &vm{name: fmt.Sprint("vm-", i), heard: map[string]time.Time{}, says: map[string]bool{}}
		z.vms = append(z.vms, v)
	}
	for _, v := range z.vms {
		z.start(v)
		for _, o := range z.vms {
			v.heard[o.name], v.says[o.name] = z.now, true
		}
	}
	for _, v := range z.vms {
		z.tick(v)
	}
	return z
}

func (z *zone) start(v *vm) {
	v.up, v.frozen, v.held = true, false, nil
	v.state = New(Config{VM: v.name, Zone: "z"}, rand.New(rand.NewPCG(z.random.Uint64(), 6)))
}

func (z *zone) at(d time.Duration, do func()) {
	z.order++
	heap.Push(&z.queue, event{z.now.Add(d), z.order, do})
}

func (z *zone) run(d time.Duration) {
	end := z.now.Add(d)
	for len(z.queue) > 0 && !z.queue[0].at.After(end) {
		e := heap.Pop(&z.queue).(event)
		z.now = e.at
		e.do()
	}
	z.now = end
}

// tick lets time pass, exchanges heartbeats, and uses every held seat.
func (z *zone) tick(v *vm) {
	if v.up && !v.frozen {
		for _, o := range z.vms {
			if o.up && !o.frozen && o.side == v.side {
				v.heard[o.name] = z.now
				v.says[o.name] = !z.down && !o.cut
			}
		}
		z.step(v, v.members(z))
		z.step(v, Tick{})
		z.use(v)
	}
	z.at(500*time.Millisecond, func() { z.tick(v) })
}

func (v *vm) members(z *zone) Members {
	var out Members
	for i, o := range z.vms {
		heard := o == v || z.now.Sub(v.heard[o.name]) < 6*time.Second
		gone := z.now.Sub(v.heard[o.name]) > 10*time.Second && o != v
		says := v.says[o.name]
		if o == v {
			says = !z.down && !v.cut
		}
		out.List = append(out.List, ZoneVM{VM: o.name, RouterUp: !gone, Alive: heard, ReachesStore: says, Rank: uint64(i)})
	}
	return out
}

// use starts a run on each held seat and checks that no other VM's run that
// the seat allowed can go on.
func (z *zone) use(v *vm) {
	for _, seat := range v.state.Held(z.now).Seats {
		for _, o := range z.vms {
			if o != v && !o.used[seat].IsZero() && z.now.Sub(o.used[seat]) < MaxRunTime {
				panic(fmt.Sprintf("seat %d: %s at %v, %s %v before", seat, v.name, z.now, o.name, z.now.Sub(o.used[seat])))
			}
		}
		v.used[seat] = z.now
		z.usable++
	}
}

func (z *zone) deliver(v *vm, s *State, m Message) {
	switch {
	case v.state != s || !v.up:
	case v.frozen:
		v.held = append(v.held, func() { z.deliver(v, s, m) })
	default:
		z.step(v, m)
	}
}

func (z *zone) step(v *vm, m Message) {
	s := v.state
	for _, a := range s.Step(z.now, m) {
		switch a := a.(type) {
		case Read:
			z.reads++
			z.at(z.delay(), func() {
				out := ReadDone{Table: z.table, Version: z.version, Failed: z.down || v.cut}
				z.at(z.delay(), func() { z.deliver(v, s, out) })
			})
		case Write:
			z.writes++
			sent := z.now
			z.at(z.delay(), func() {
				out := z.write(v, a)
				out.Sent = sent
				z.at(z.delay(), func() { z.deliver(v, s, out) })
			})
		}
	}
}

// delay is a network delay, now and then a long one.
func (z *zone) delay() time.Duration {
	if z.random.IntN(30) == 0 {
		return time.Duration(z.random.Int64N(int64(4 * time.Second)))
	}
	return time.Duration(z.random.Int64N(int64(5 * time.Millisecond)))
}

func (z *zone) write(v *vm, a Write) WriteDone {
	switch {
	case z.down || v.cut:
		return WriteDone{Failed: true}
	case a.Base != z.version:
		return WriteDone{Conflict: true}
	}
	z.table = a.Table
	z.version++
	return WriteDone{Failed: z.random.Float64() < z.lossy}
}

func (z *zone) disturb() {
	v := z.vms[z.random.IntN(len(z.vms))]
	switch z.random.IntN(9) {
	case 0:
		v.up = false
	case 1:
		if !v.up {
			z.start(v)
		}
	case 2:
		v.frozen = true
	case 3:
		v.frozen = false
		held := v.held
		v.held = nil
		for _, do := range held {
			do()
		}
	case 4:
		v.cut = !v.cut
	case 5:
		z.down = !z.down
	case 6:
		v.side = 1 - v.side
	case 7:
		z.lossy = z.random.Float64() * 0.4
	case 8:
		z.heal()
	}
}

func (z *zone) heal() {
	z.down, z.lossy = false, 0
	for _, v := range z.vms {
		v.cut, v.side, v.frozen, v.held = false, 0, false, nil
		if !v.up || v.state.busy {
			z.start(v)
		}
	}
}

// TestRandomSchedules checks in use that no seat serves two VMs, and that all
// seats are in use some time after everything has healed.
func TestRandomSchedules(t *testing.T) {
	for seed := range soak.Seeds(40, 60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			z := newZone(seed, 1+int(seed%10))
			z.run(10 * time.Second)
			for range 60 {
				z.disturb()
				z.run(time.Duration(z.random.Int64N(int64(25 * time.Second))))
			}
			z.heal()
			// A seat may be taken over by a VM that then gives it to another.
			z.run(TakeoverTimeout + 2*MaxRunTime + 4*lookEvery)
			total := 0
			for _, v := range z.vms {
				total += len(v.state.Held(z.now).Seats)
			}
			require.Equal(t, PerZone, total)
		})
	}
}

func TestLifeOfSeats(t *testing.T) {
	held := func(z *zone) int {
		n := 0
		for _, v := range z.vms {
			if v.up && !v.frozen {
				n += len(v.state.Held(z.now).Seats)
			}
		}
		return n
	}
	rows := []struct {
		name  string
		fault func(z *zone)
		after time.Duration
		want  int
	}{
		{"all seats are held soon after the start", func(*zone) {}, 10 * time.Second, PerZone},
		{"an outage of the platform changes nothing", func(z *zone) { z.down = true }, 10 * time.Minute, PerZone},
		{"a holder that alone is cut off from the platform loses its seats", func(z *zone) { z.vms[0].cut = true }, time.Minute, 5},
		{"and others take them", func(z *zone) { z.vms[0].cut = true }, 4 * time.Minute, PerZone},
		{"a VM that dies leaves its seats to the others", func(z *zone) { z.vms[0].up = false }, 2 * TakeoverTimeout, PerZone},
		{"a VM that dies in an outage ends the others' extension, since it may only be cut off", func(z *zone) {
			z.down = true
			z.run(time.Minute)
			z.vms[0].up = false
		}, time.Minute, 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			z := newZone(1, 3)
			z.run(10 * time.Second)
			row.fault(z)
			z.run(row.after)
			require.Equal(t, row.want, held(z))
		})
	}
}

// TestCallsToThePlatform gives a zone's calls a second at rest.
func TestCallsToThePlatform(t *testing.T) {
	for _, n := range []int{3, 8, 47} {
		z := newZone(1, n)
		z.run(time.Minute)
		z.reads, z.writes = 0, 0
		z.run(10 * time.Minute)
		t.Logf("%d VMs: %.2f writes and %.2f reads a second", n, float64(z.writes)/600, float64(z.reads)/600)
		require.Less(t, float64(z.writes)/600, 4.0)
	}
}
