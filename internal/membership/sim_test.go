package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// fleet runs many states on one simulated clock; messages take time, get lost
// and are cut off as the test says.
type fleet struct {
	random *rand.Rand
	now    time.Time
	queue  events
	order  int
	nodes  []*node
	byAddr map[string]*node
	// loss is the share of lost messages.
	loss float64
	// cut tells whether traffic between two nodes is cut.
	cut func(a, b *node) bool
}

type node struct {
	state       *State
	vm          string
	zone        string
	up, frozen  bool
	incarnation uint64
	generation  uint64
	sent        int
	bytes       int
	ahead       int
	// bootstrap tells when the node last started.
	started time.Time
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

func newFleet(seed uint64, zones, perZone int) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)),
		now:    time.UnixMilli(1_000_000),
		byAddr: map[string]*node{},
		cut:    func(_, _ *node) bool { return false },
	}
	for i := range zones * perZone {
		n := &node{vm: fmt.Sprintf("vm-%03d", i), zone: fmt.Sprintf("az-%d", i%zones)}
		f.nodes = append(f.nodes, n)
		f.byAddr[n.vm+":1"] = n
	}
	for _, n := range f.nodes {
		f.start(n)
		f.tick(n)
	}
	return f
}

// start gives the node a new process.
func (f *fleet) start(n *node) {
	n.incarnation = max(n.incarnation+1, uint64(f.now.UnixMilli()))
	n.up, n.frozen, n.started = true, false, f.now
	n.state = New(Config{
		Self:  Record{VM: n.vm, Zone: n.zone, Agent: n.vm + ":1", Router: n.vm + ":2", Incarnation: n.incarnation, Schema: 1},
		Seeds: []string{"vm-000:1", "vm-001:1", "vm-002:1"},
	}, rand.New(rand.NewPCG(f.random.Uint64(), 2)))
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

func (f *fleet) tick(n *node) {
	if n.up && !n.frozen {
		f.perform(n, n.state.Step(f.now, Tick{}))
	}
	f.at(200*time.Millisecond, func() { f.tick(n) })
}

func (f *fleet) perform(n *node, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Ping:
			f.send(n, a)
		case NewerDocument:
			n.ahead++
		}
	}
}

// quicBytes is what QUIC, UDP and IP add to a call in one direction: about
// one packet with data and one with an acknowledgement.
const quicBytes = 120

func (f *fleet) count(n *node, x Exchange) {
	b, err := cbor.Marshal(x)
	if err != nil {
		panic(err)
	}
	n.sent++
	n.bytes += len(b) + quicBytes + frameBytes
}

// frameBytes is the rest of a frame: type, fleet, sender and stamp.
const frameBytes = 90

func (f *fleet) send(n *node, p Ping) {
	f.count(n, p.Exchange)
	state := n.state
	alive := func() bool { return n.up && !n.frozen && n.state == state }
	fail := func() {
		if alive() {
			f.perform(n, n.state.Step(f.now, PingFailed{Ping: p}))
		} else if n.frozen {
			f.at(time.Second, func() { f.late(n, state, p) })
		}
	}
	to := f.byAddr[p.Address]
	if to == nil || f.lost(n, to) {
		f.at(time.Second, fail)
		return
	}
	f.at(f.latency(n, to), func() {
		if !to.up || to.frozen {
			f.at(time.Second, fail)
			return
		}
		reply, actions := to.state.Receive(f.now, p.Exchange)
		f.count(to, reply)
		f.perform(to, actions)
		if f.lost(to, n) {
			f.at(time.Second, fail)
			return
		}
		f.at(f.latency(to, n), func() {
			if alive() {
				f.perform(n, n.state.Step(f.now, PingReplied{Ping: p, Exchange: reply}))
			} else {
				fail()
			}
		})
	})
}

// late gives a process that was frozen the failure after it has woken.
func (f *fleet) late(n *node, state *State, p Ping) {
	switch {
	case n.state != state || !n.up:
	case n.frozen:
		f.at(time.Second, func() { f.late(n, state, p) })
	default:
		f.perform(n, n.state.Step(f.now, PingFailed{Ping: p}))
	}
}

func (f *fleet) lost(a, b *node) bool { return f.cut(a, b) || f.random.Float64() < f.loss }

func (f *fleet) latency(a, b *node) time.Duration {
	base := 200 * time.Microsecond
	if a.zone != b.zone {
		base = 1500 * time.Microsecond
	}
	return base + time.Duration(f.random.Int64N(int64(base)))
}
