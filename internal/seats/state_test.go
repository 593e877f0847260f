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

// zone simulates the VMs of one zone on one clock.
type zone struct {
	random    *rand.Rand
	now       time.Time
	queue     events
	seq       int
	vms       []*vm
	table     Table
	version   platform.Version
	storeDown bool
	lossRate  float64
	writes    int
	reads     int
	usable    int
}

type vm struct {
	name   string
	state  *State
	up     bool
	paused bool
	// cutOff is true while the VM cannot reach the store. partition is the part
	// of a split zone that the VM is in.
	cutOff    bool
	partition int
	// lastHeartbeat is the time of the last heartbeat of each VM, and
	// reachesStore what that heartbeat reported.
	lastHeartbeat map[string]time.Time
	reachesStore  map[string]bool
	// lastUse is when each seat last allowed a new run on this VM.
	lastUse [PerZone]time.Time
	delayed []func()
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

func newZone(seed uint64, n int) *zone {
	z := &zone{random: rand.New(rand.NewPCG(seed, 5)), now: time.UnixMilli(1_000_000)}
	for i := range n {
		v := &vm{name: fmt.Sprint("vm-", i), lastHeartbeat: map[string]time.Time{}, reachesStore: map[string]bool{}}
		z.vms = append(z.vms, v)
	}
	for _, v := range z.vms {
		z.start(v)
		for _, o := range z.vms {
			v.lastHeartbeat[o.name], v.reachesStore[o.name] = z.now, true
		}
	}
	for _, v := range z.vms {
		z.tick(v)
	}
	return z
}

func (z *zone) start(v *vm) {
	v.up, v.paused, v.delayed = true, false, nil
	v.state = New(Config{VM: v.name, Zone: "z"}, rand.New(rand.NewPCG(z.random.Uint64(), 6)))
}

func (z *zone) at(d time.Duration, do func()) {
	z.seq++
	heap.Push(&z.queue, event{z.now.Add(d), z.seq, do})
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

// tick exchanges heartbeats, sends a tick to the state machine and uses every
// held seat.
func (z *zone) tick(v *vm) {
	if v.up && !v.paused {
		for _, o := range z.vms {
			if o.up && !o.paused && o.partition == v.partition {
				v.lastHeartbeat[o.name] = z.now
				v.reachesStore[o.name] = !z.storeDown && !o.cutOff
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
		alive := o == v || z.now.Sub(v.lastHeartbeat[o.name]) < 6*time.Second
		dead := z.now.Sub(v.lastHeartbeat[o.name]) > 10*time.Second && o != v
		reachesStore := v.reachesStore[o.name]
		if o == v {
			reachesStore = !z.storeDown && !v.cutOff
		}
		out.List = append(out.List, ZoneVM{VM: o.name, RouterUp: !dead, Alive: alive, ReachesStore: reachesStore, Rank: uint64(i)})
	}
	return out
}

// use starts a run on each held seat and checks that every run that the seat
// allowed on another VM must have ended.
func (z *zone) use(v *vm) {
	for _, seat := range v.state.Held(z.now).Seats {
		for _, o := range z.vms {
			if o != v && !o.lastUse[seat].IsZero() && z.now.Sub(o.lastUse[seat]) < MaxRunTime {
				panic(fmt.Sprintf("seat %d: %s at %v, %s %v before", seat, v.name, z.now, o.name, z.now.Sub(o.lastUse[seat])))
			}
		}
		v.lastUse[seat] = z.now
		z.usable++
	}
}

func (z *zone) deliver(v *vm, s *State, m Message) {
	switch {
	case v.state != s || !v.up:
	case v.paused:
		v.delayed = append(v.delayed, func() { z.deliver(v, s, m) })
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
				out := ReadDone{Table: z.table, Version: z.version, Failed: z.storeDown || v.cutOff}
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

// delay returns a network delay, which is long in one case of 30.
func (z *zone) delay() time.Duration {
	if z.random.IntN(30) == 0 {
		return time.Duration(z.random.Int64N(int64(4 * time.Second)))
	}
	return time.Duration(z.random.Int64N(int64(5 * time.Millisecond)))
}

func (z *zone) write(v *vm, a Write) WriteDone {
	switch {
	case z.storeDown || v.cutOff:
		return WriteDone{Failed: true}
	case a.Base != z.version:
		return WriteDone{Conflict: true}
	}
	z.table = a.Table
	z.version++
	return WriteDone{Failed: z.random.Float64() < z.lossRate}
}

func (z *zone) injectFault() {
	v := z.vms[z.random.IntN(len(z.vms))]
	switch z.random.IntN(9) {
	case 0:
		v.up = false
	case 1:
		if !v.up {
			z.start(v)
		}
	case 2:
		v.paused = true
	case 3:
		v.paused = false
		delayed := v.delayed
		v.delayed = nil
		for _, do := range delayed {
			do()
		}
	case 4:
		v.cutOff = !v.cutOff
	case 5:
		z.storeDown = !z.storeDown
	case 6:
		v.partition = 1 - v.partition
	case 7:
		z.lossRate = z.random.Float64() * 0.4
	case 8:
		z.heal()
	}
}

func (z *zone) heal() {
	z.storeDown, z.lossRate = false, 0
	for _, v := range z.vms {
		v.cutOff, v.partition, v.paused, v.delayed = false, 0, false, nil
		if !v.up || v.state.inProgress {
			z.start(v)
		}
	}
}

// TestRandomSchedules checks at each use that no seat serves two VMs, and that
// all seats are in use some time after the faults have ended.
func TestRandomSchedules(t *testing.T) {
	for seed := range soak.Seeds(40, 60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			z := newZone(seed, 1+int(seed%10))
			z.run(10 * time.Second)
			for range 60 {
				z.injectFault()
				z.run(time.Duration(z.random.Int64N(int64(25 * time.Second))))
			}
			z.heal()
			// A seat may be taken over by a VM that then has to give it to another
			// one.
			z.run(TakeoverTimeout + 2*MaxRunTime + 4*pollInterval)
			total := 0
			for _, v := range z.vms {
				total += len(v.state.Held(z.now).Seats)
			}
			require.Equal(t, PerZone, total)
		})
	}
}

func TestHeldSeats(t *testing.T) {
	held := func(z *zone) int {
		n := 0
		for _, v := range z.vms {
			if v.up && !v.paused {
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
		{"a store outage changes nothing", func(z *zone) { z.storeDown = true }, 10 * time.Minute, PerZone},
		{"a holder that alone cannot reach the store loses its seats", func(z *zone) { z.vms[0].cutOff = true }, time.Minute, 5},
		{"other VMs take the seats of a holder that cannot reach the store", func(z *zone) { z.vms[0].cutOff = true }, 4 * time.Minute, PerZone},
		{"other VMs take the seats of a VM that died", func(z *zone) { z.vms[0].up = false }, 2 * TakeoverTimeout, PerZone},
		{"a VM that dies in a store outage ends the extensions of the others, since it may only be cut off from them", func(z *zone) {
			z.storeDown = true
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

// TestCallsToThePlatform measures a zone's calls to the store per second
// without faults.
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
