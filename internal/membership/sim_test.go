package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// fleet runs many states on one simulated clock. It delays messages, and drops
// them according to lossRate and isCut.
type fleet struct {
	random *rand.Rand
	now    time.Time
	queue  events
	order  int
	nodes  []*node
	byAddr map[string]*node
	// lossRate is the share of lost messages, 0 to 1.
	lossRate float64
	// isCut reports whether the network between two nodes is partitioned.
	isCut func(a, b *node) bool
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
	newerSeen   int
	// started is when the node last started.
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
		isCut:  func(_, _ *node) bool { return false },
	}
	for i := range zones * perZone {
		n := &node{vm: fmt.Sprintf("vm-%03d", i), zone: fmt.Sprintf("az-%d", i%zones)}
		f.nodes = append(f.nodes, n)
		f.byAddr[n.vm+":1"] = n
	}
	for _, n := range f.nodes {
		f.startProcess(n)
		f.tick(n)
	}
	return f
}

// startProcess starts a new process on the node.
func (f *fleet) startProcess(n *node) {
	n.incarnation = max(n.incarnation+1, uint64(f.now.UnixMilli()))
	n.up, n.frozen, n.started = true, false, f.now
	n.state = New(Config{
		Self:  Record{VM: n.vm, Zone: n.zone, Agent: n.vm + ":1", Router: n.vm + ":2", Incarnation: n.incarnation, Schema: 1},
		Seeds: []string{"vm-000:1", "vm-001:1", "vm-002:1"},
	}, rand.New(rand.NewPCG(f.random.Uint64(), 2)))
}

func (f *fleet) after(d time.Duration, do func()) {
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
	f.after(200*time.Millisecond, func() { f.tick(n) })
}

func (f *fleet) perform(n *node, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SendHeartbeat:
			f.send(n, a)
		case NewerDocument:
			n.newerSeen++
		}
	}
}

// quicOverheadBytes is the overhead of QUIC, UDP and IP for a call in one
// direction: about one packet with data and one with an acknowledgement.
const quicOverheadBytes = 120

func (f *fleet) countMessage(n *node, x Exchange) {
	b, err := cbor.Marshal(x)
	if err != nil {
		panic(err)
	}
	n.sent++
	n.bytes += len(b) + quicOverheadBytes + frameOverheadBytes
}

// frameOverheadBytes is the size of a frame without its body: type, fleet,
// sender and stamp.
const frameOverheadBytes = 90

func (f *fleet) send(n *node, p SendHeartbeat) {
	f.countMessage(n, p.Exchange)
	state := n.state
	alive := func() bool { return n.up && !n.frozen && n.state == state }
	fail := func() {
		if alive() {
			f.perform(n, n.state.Step(f.now, HeartbeatFailed{Heartbeat: p}))
		} else if n.frozen {
			f.after(time.Second, func() { f.deliverFailure(n, state, p) })
		}
	}
	to := f.byAddr[p.Address]
	if to == nil || f.dropped(n, to) {
		f.after(time.Second, fail)
		return
	}
	f.after(f.latency(n, to), func() {
		if !to.up || to.frozen {
			f.after(time.Second, fail)
			return
		}
		reply, actions := to.state.Receive(f.now, p.Exchange)
		f.countMessage(to, reply)
		f.perform(to, actions)
		if f.dropped(to, n) {
			f.after(time.Second, fail)
			return
		}
		f.after(f.latency(to, n), func() {
			if alive() {
				f.perform(n, n.state.Step(f.now, HeartbeatResponse{Heartbeat: p, Exchange: reply}))
			} else {
				fail()
			}
		})
	})
}

// deliverFailure delivers the failure to a frozen process once it runs again.
func (f *fleet) deliverFailure(n *node, state *State, p SendHeartbeat) {
	switch {
	case n.state != state || !n.up:
	case n.frozen:
		f.after(time.Second, func() { f.deliverFailure(n, state, p) })
	default:
		f.perform(n, n.state.Step(f.now, HeartbeatFailed{Heartbeat: p}))
	}
}

func (f *fleet) dropped(a, b *node) bool { return f.isCut(a, b) || f.random.Float64() < f.lossRate }

func (f *fleet) latency(a, b *node) time.Duration {
	base := 200 * time.Microsecond
	if a.zone != b.zone {
		base = 1500 * time.Microsecond
	}
	return base + time.Duration(f.random.Int64N(int64(base)))
}
