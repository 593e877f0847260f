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

// fleet simulates many VMs that share one object. Each VM serves requests by
// the shares in force at it.
type fleet struct {
	random    *rand.Rand
	now       time.Time
	queue     events
	seq       int
	vms       []*vm
	document  *document.Document
	object    StoredState
	version   platform.Version
	storeDown bool
	// faultyAt is when the version in roll-out became faulty, or zero for never.
	faultyAt time.Time
	exposed  int
	requests int
	reads    int
	writes   int
	// halted contains the plans that were halted in the object.
	halted map[string]bool
}

type vm struct {
	name, zone string
	state      *State
	up, paused bool
	cutOff     bool
	shares     []Share
	counters   map[string]*control.VersionCounters
	agent      uint64
	delayed    []func()
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
	v.up, v.paused, v.delayed, v.shares = true, false, nil, nil
	v.counters = map[string]*control.VersionCounters{"v1": {Model: "m", Version: "v1"}, "v2": {Model: "m", Version: "v2"}}
	v.state = New(Config{VM: v.name, Zone: v.zone, Incarnation: v.agent}, rand.New(rand.NewPCG(f.random.Uint64(), 8)))
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
	f.seq++
	heap.Push(&f.queue, event{f.now.Add(d), f.seq, do})
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

// tick serves ten requests per second and sends a tick to the state machine.
func (f *fleet) tick(v *vm) {
	if v.up && !v.paused {
		for range 5 {
			f.serve(v)
		}
		list := []control.VersionCounters{*v.counters["v1"], *v.counters["v2"]}
		f.step(v, RouterTotals{RouterIncarnation: v.agent, Totals: list})
		f.step(v, Tick{})
	}
	f.at(500*time.Millisecond, func() { f.tick(v) })
}

func (f *fleet) serve(v *vm) {
	name, rating, errorRate := "v1", 0.9, 0.01
	share := 0.0
	if len(v.shares) > 0 && f.now.Before(v.shares[0].NotAfter) && !v.shares[0].Halted {
		share = v.shares[0].Share
	}
	f.requests++
	if f.random.Float64() < share {
		name = "v2"
		if !f.faultyAt.IsZero() && !f.now.Before(f.faultyAt) {
			f.exposed++
			rating, errorRate = 0.3, 0.3
		}
	}
	c := v.counters[name]
	c.Requests++
	if f.random.Float64() < errorRate {
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
	case v.paused:
		v.delayed = append(v.delayed, func() { f.deliver(v, s, m) })
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
				f.deliver(v, s, ReadDone{Sent: sent, Object: f.object, ObjectVersion: f.version, Failed: f.storeDown || v.cutOff})
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
	if f.storeDown || v.cutOff || a.Base != f.version {
		return WriteDone{Failed: true}
	}
	for _, r := range a.Object.RollOuts {
		if f.halted[r.PlanDigest] && (r.Share > 0 || !r.Halted) {
			panic("a halted plan got a share")
		}
		f.halted[r.PlanDigest] = f.halted[r.PlanDigest] || r.Halted
	}
	f.object = a.Object
	f.version++
	return WriteDone{Object: a.Object, ObjectVersion: f.version, Failed: f.random.IntN(20) == 0}
}

func (f *fleet) ask(v *vm, a SyncCall, sent time.Time) SyncDone {
	out := SyncDone{VM: a.VM, Sent: sent, FetchState: a.FetchState, Failed: true}
	for _, o := range f.vms {
		if o.name == a.Address && o.up && !o.paused {
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
		// is the share in force at each VM.
		halted  bool
		share   float64
		settled bool
		inForce float64
	}{
		{"a good version reaches the last step", func(*fleet) {}, 6 * time.Minute, false, 1, true, 1},
		{"a bad version is halted at the first step", func(f *fleet) { f.faultyAt = f.now }, 2 * time.Minute, true, 0, false, 0},
		{"a version that becomes faulty during the roll-out is halted", func(f *fleet) {
			f.run(150 * time.Second)
			f.faultyAt = f.now
		}, time.Minute, true, 0, false, 0},
		{"another VM takes over when the leader dies", func(f *fleet) {
			f.run(90 * time.Second)
			f.find(f.object.Leader).up = false
			for _, v := range f.vms {
				if v.up {
					f.step(v, ViewSet{f.view()})
				}
			}
		}, 6 * time.Minute, false, 1, true, 1},
		{"another VM takes over while the leader is paused, and the leader changes nothing when it resumes", func(f *fleet) {
			f.run(90 * time.Second)
			leader := f.find(f.object.Leader)
			leader.paused = true
			f.run(time.Minute)
			f.faultyAt = f.now
			f.run(time.Minute)
			leader.paused = false
			for _, do := range leader.delayed {
				do()
			}
		}, 3 * time.Minute, true, 0, false, 0},
		{"the share expires on all VMs in a store outage", func(f *fleet) {
			f.run(30 * time.Second)
			f.storeDown = true
		}, time.Minute, false, 0.05, false, 0},
		{"a settled roll-out keeps its share in a store outage", func(f *fleet) {
			f.run(6 * time.Minute)
			f.storeDown = true
		}, 10 * time.Minute, false, 1, true, 1},
		{"a zone that cannot reach the store gets the state from another zone", func(f *fleet) {
			f.run(30 * time.Second)
			for _, v := range f.vms {
				v.cutOff = v.zone == "az-0"
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
					require.Zero(t, row.inForce, "expired at %s", v.name)
				}
			}
		})
	}
}

// TestExposure compares how many requests are served by a version after it
// became faulty, under a staged roll-out and under a fixed percentage that is
// never halted.
func TestExposure(t *testing.T) {
	measure := func(p document.RollOutPlan) int {
		f := newFleet(5, 3, 3, p)
		f.run(150 * time.Second)
		f.faultyAt = f.now
		f.run(5 * time.Minute)
		return f.exposed
	}
	plain := limits
	plain.Steps, plain.MinQuality, plain.MaxErrorRate = []float64{0.25}, 0, 0
	staged, fixed := measure(limits), measure(plain)
	t.Logf("requests to a version in the five minutes after it became faulty: %d with a staged roll-out, %d with a fixed share of 0.25", staged, fixed)
	require.Less(t, staged*5, fixed)
}

// TestRandomSchedules checks at each write that a halted plan never gets a
// share again, and that the faulty version is halted on all VMs after the
// faults have ended.
func TestRandomSchedules(t *testing.T) {
	for seed := range soak.Seeds(30, 30) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			f := newFleet(seed, 3, 4, limits)
			f.run(20 * time.Second)
			f.faultyAt = f.now.Add(time.Minute)
			for range 30 {
				f.injectFault()
				f.run(time.Duration(f.random.Int64N(int64(15 * time.Second))))
			}
			f.storeDown = false
			for _, v := range f.vms {
				v.cutOff, v.paused, v.delayed = false, false, nil
				if !v.up || v.state.refreshing {
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

func (f *fleet) injectFault() {
	v := f.vms[f.random.IntN(len(f.vms))]
	switch f.random.IntN(6) {
	case 0:
		v.up = false
	case 1:
		if !v.up {
			f.start(v)
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
		f.storeDown = !f.storeDown
	}
	for _, v := range f.vms {
		if v.up && !v.paused {
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
