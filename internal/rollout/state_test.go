package rollout

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/control"
	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/platform"
	"github.com/cranberrypier/cranberrypier/internal/soak"
)

// fleet runs many states over one object; each VM serves requests by the
// shares in force at it.
type fleet struct {
	random   *rand.Rand
	now      time.Time
	queue    events
	order    int
	vms      []*vm
	document *document.Document
	object   Object
	version  platform.Version
	down     bool
	// badAt is when the version in roll-out turned bad; zero means never.
	badAt    time.Time
	exposed  int
	requests int
	reads    int
	writes   int
	// halted are the plans that have been halted in the object.
	halted map[string]bool
}

type vm struct {
	name, zone string
	state      *State
	up, frozen bool
	cut        bool
	shares     []Share
	counted    map[string]*control.VersionCounters
	agent      uint64
	held       []func()
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

func newFleet(seed uint64, zones, perZone int, p document.RollOutPlan) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 7)), now: time.UnixMilli(1_000_000), halted: map[string]bool{}}
	f.document = &document.Document{Generation: 1, Models: []document.Model{{Name: "m", Versions: []document.Version{
		{Name: "v1", State: document.Stable}, {Name: "v2", State: document.RollOut, RollOut: &p},
	}}}}
	for i := range zones * perZone {
		f.vms = append(f.vms, &vm{name: fmt.Sprint("vm-", i), zone: fmt.Sprint("az-", i%zones)})
	}
	for _, v := range f.vms {
		f.start(v)
	}
	for _, v := range f.vms {
		f.step(v, ViewSet{f.view()})
		f.tick(v)
	}
	return f
}

func (f *fleet) start(v *vm) {
	v.agent++
	v.up, v.frozen, v.held, v.shares = true, false, nil, nil
	v.counted = map[string]*control.VersionCounters{"v1": {Model: "m", Version: "v1"}, "v2": {Model: "m", Version: "v2"}}
	v.state = New(Config{VM: v.name, Zone: v.zone, Agent: v.agent}, rand.New(rand.NewPCG(f.random.Uint64(), 8)))
	f.step(v, DocumentSet{f.document})
	f.step(v, ViewSet{f.view()})
}

func (f *fleet) view() membership.View {
	var out membership.View
	for _, v := range f.vms {
		if v.up {
			out.Members = append(out.Members, membership.Member{VM: v.name, Zone: v.zone, Agent: v.name, Status: membership.Alive})
		}
	}
	return out
}

func (f *fleet) at(d time.Duration, do func()) {
	f.order++
	heap.Push(&f.queue, event{f.now.Add(d), f.order, do})
}

func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
	f.now = end
}

// tick serves ten requests a second and lets time pass.
func (f *fleet) tick(v *vm) {
	if v.up && !v.frozen {
		for range 5 {
			f.serve(v)
		}
		list := []control.VersionCounters{*v.counted["v1"], *v.counted["v2"]}
		f.step(v, RouterTotals{Router: v.agent, Totals: list})
		f.step(v, Tick{})
	}
	f.at(500*time.Millisecond, func() { f.tick(v) })
}

func (f *fleet) serve(v *vm) {
	name, rating, failed := "v1", 0.9, 0.01
	share := 0.0
	if len(v.shares) > 0 && f.now.Before(v.shares[0].NotAfter) && !v.shares[0].Halted {
		share = v.shares[0].Share
	}
	f.requests++
	if f.random.Float64() < share {
		name = "v2"
		if !f.badAt.IsZero() && !f.now.Before(f.badAt) {
			f.exposed++
			rating, failed = 0.3, 0.3
		}
	}
	c := v.counted[name]
	c.Requests++
	if f.random.Float64() < failed {
		c.Errors++
	}
	if f.random.IntN(3) == 0 {
		c.Ratings++
		if f.random.Float64() < rating {
			c.RatingSum++
		}
	}
}

func (f *fleet) deliver(v *vm, s *State, m Message) {
	switch {
	case v.state != s || !v.up:
	case v.frozen:
		v.held = append(v.held, func() { f.deliver(v, s, m) })
	default:
		f.step(v, m)
	}
}

func (f *fleet) step(v *vm, m Message) {
	s := v.state
	for _, a := range s.Step(f.now, m) {
		sent := f.now
		switch a := a.(type) {
		case Shares:
			v.shares = a.List
		case Read:
			f.reads++
			f.at(3*time.Millisecond, func() {
				f.deliver(v, s, ReadDone{Sent: sent, Object: f.object, Version: f.version, Failed: f.down || v.cut})
			})
		case Write:
			f.writes++
			f.at(3*time.Millisecond, func() { f.deliver(v, s, f.write(v, a)) })
		case SyncCall:
			f.at(2*time.Millisecond, func() { f.deliver(v, s, f.ask(v, a, sent)) })
		}
	}
}

func (f *fleet) write(v *vm, a Write) WriteDone {
	if f.down || v.cut || a.Base != f.version {
		return WriteDone{Failed: true}
	}
	for _, r := range a.Object.RollOuts {
		if f.halted[r.Plan] && (r.Share > 0 || !r.Halted) {
			panic("a halted plan got a share")
		}
		f.halted[r.Plan] = f.halted[r.Plan] || r.Halted
	}
	f.object = a.Object
	f.version++
	return WriteDone{Object: a.Object, Version: f.version, Failed: f.random.IntN(20) == 0}
}

func (f *fleet) ask(v *vm, a SyncCall, sent time.Time) SyncDone {
	out := SyncDone{VM: a.VM, Sent: sent, FetchState: a.FetchState, Failed: true}
	for _, o := range f.vms {
		if o.name == a.Address && o.up && !o.frozen {
			out.Failed = false
			out.Response = o.state.HandleSync(f.now, v.name, a.Request)
		}
	}
	return out
}

func (f *fleet) find(name string) *vm {
	for _, v := range f.vms {
		if v.name == name {
			return v
		}
	}
	return nil
}

var limits = document.RollOutPlan{
	Steps: []float64{0.05, 0.25, 0.5, 1}, StepTime: document.Duration(time.Minute),
	MinQuality: 0.6, MaxErrorRate: 0.1,
}

func TestRollOut(t *testing.T) {
	rows := []struct {
		name  string
		fault func(f *fleet)
		after time.Duration
		// halted and share are the state of the roll-out in the object, inForce
		// the share at the VM that is looked at.
		halted  bool
		share   float64
		settled bool
		inForce float64
	}{
		{"a good version reaches the last step", func(*fleet) {}, 6 * time.Minute, false, 1, true, 1},
		{"a bad version is halted at the first step", func(f *fleet) { f.badAt = f.now }, 2 * time.Minute, true, 0, false, 0},
		{"a version that turns bad half-way is halted", func(f *fleet) {
			f.run(150 * time.Second)
			f.badAt = f.now
		}, time.Minute, true, 0, false, 0},
		{"another VM goes on when the leader dies", func(f *fleet) {
			f.run(90 * time.Second)
			f.find(f.object.Leader).up = false
			for _, v := range f.vms {
				if v.up {
					f.step(v, ViewSet{f.view()})
				}
			}
		}, 6 * time.Minute, false, 1, true, 1},
		{"another VM goes on while the leader is paused, and the leader changes nothing when it wakes", func(f *fleet) {
			f.run(90 * time.Second)
			leader := f.find(f.object.Leader)
			leader.frozen = true
			f.run(time.Minute)
			f.badAt = f.now
			f.run(time.Minute)
			leader.frozen = false
			for _, do := range leader.held {
				do()
			}
		}, 3 * time.Minute, true, 0, false, 0},
		{"the share lapses everywhere in an outage", func(f *fleet) {
			f.run(30 * time.Second)
			f.down = true
		}, time.Minute, false, 0.05, false, 0},
		{"a settled roll-out outlasts an outage", func(f *fleet) {
			f.run(6 * time.Minute)
			f.down = true
		}, 10 * time.Minute, false, 1, true, 1},
		{"a zone that is cut off from the platform gets the state from another", func(f *fleet) {
			f.run(30 * time.Second)
			for _, v := range f.vms {
				v.cut = v.zone == "az-0"
			}
		}, 6 * time.Minute, false, 1, true, 1},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			f := newFleet(3, 3, 3, limits)
			f.run(10 * time.Second)
			row.fault(f)
			f.run(row.after)
			r := f.object.RollOuts[0]
			require.Equal(t, row.halted, r.Halted, "%+v", r)
			require.Equal(t, row.settled, r.Settled, "%+v", r)
			require.InDelta(t, row.share, r.Share, 1e-9)
			for _, v := range f.vms {
				if v.up && f.now.Before(v.shares[0].NotAfter) {
					require.InDelta(t, row.inForce, v.shares[0].Share, 1e-9, "at %s", v.name)
				} else if v.up {
					require.Zero(t, row.inForce, "lapsed at %s", v.name)
				}
			}
		})
	}
}

// TestExposure compares how many requests a version serves after it has turned
// bad with a plain fixed percentage, which nobody halts.
func TestExposure(t *testing.T) {
	measure := func(p document.RollOutPlan) int {
		f := newFleet(5, 3, 3, p)
		f.run(150 * time.Second)
		f.badAt = f.now
		f.run(5 * time.Minute)
		return f.exposed
	}
	plain := limits
	plain.Steps, plain.MinQuality, plain.MaxErrorRate = []float64{0.25}, 0, 0
	staged, fixed := measure(limits), measure(plain)
	t.Logf("requests to a version in the five minutes after it turned bad: %d staged, %d with a fixed quarter", staged, fixed)
	require.Less(t, staged*5, fixed)
}

// TestRandomSchedules checks in each write that a halted plan never gets a
// share again, and that after healing the bad version is halted everywhere.
func TestRandomSchedules(t *testing.T) {
	for seed := range soak.Seeds(30, 30) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			f := newFleet(seed, 3, 4, limits)
			f.run(20 * time.Second)
			f.badAt = f.now.Add(time.Minute)
			for range 30 {
				f.disturb()
				f.run(time.Duration(f.random.Int64N(int64(15 * time.Second))))
			}
			f.down = false
			for _, v := range f.vms {
				v.cut, v.frozen, v.held = false, false, nil
				if !v.up || v.state.busy {
					f.start(v)
				}
			}
			for _, v := range f.vms {
				f.step(v, ViewSet{f.view()})
			}
			f.run(4 * time.Minute)
			require.True(t, f.object.RollOuts[0].Halted)
			for _, v := range f.vms {
				require.True(t, v.shares[0].Halted, v.name)
			}
		})
	}
}

func (f *fleet) disturb() {
	v := f.vms[f.random.IntN(len(f.vms))]
	switch f.random.IntN(6) {
	case 0:
		v.up = false
	case 1:
		if !v.up {
			f.start(v)
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
		f.down = !f.down
	}
	for _, v := range f.vms {
		if v.up && !v.frozen {
			f.step(v, ViewSet{f.view()})
		}
	}
}

func TestCallsToThePlatform(t *testing.T) {
	f := newFleet(1, 7, 47, limits)
	f.run(time.Minute)
	f.reads, f.writes = 0, 0
	f.run(time.Minute)
	t.Logf("329 VMs: %.1f reads and %.1f writes a second", float64(f.reads)/60, float64(f.writes)/60)
	require.Less(t, f.reads, 60*10)
	require.Less(t, f.writes, 60)
}
