package distribution

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/platform"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// validDocument returns a small valid document. Documents with different bursts
// have different digests.
func validDocument(base uint64, burst int) []byte {
	return fmt.Appendf(nil, `schema: 1
fleet: demo
base: %d
zones: [{name: az-0, region: r}]
models: [{name: m, versions: [{name: v1, state: stable, cost: 1, quality: 0.5}]}]
upstreams: [{name: u, zone: az-0, kind: engine, address: "127.0.0.1:9", serves: ["m@v1"], limit: 1, cold_limit: 1}]
classes: [{name: c, priority: 1, quality: 0.1, cascade: [m]}]
teams: [{name: t, key_hashes: ["%064d"], models: [m], requests_per_second: 1, burst: %d, concurrent: 1, default_class: c}]
`, base, 0, burst)
}

// storedDocument returns validDocument as the store contains it.
func storedDocument(generation uint64, burst int) []byte {
	d, err := document.Load(validDocument(0, burst))
	if err != nil {
		panic(err)
	}
	d.Generation = generation
	text, err := document.Encode(d)
	if err != nil {
		panic(err)
	}
	return text
}

// simulation runs the states of all VMs on one simulated clock with one stored object.
type simulation struct {
	random    *rand.Rand
	now       time.Time
	queue     events
	nextOrder int
	nodes     []*vm
	object    platform.Object
	// history maps each accepted generation to its digest.
	history      map[uint64]string
	platformDown bool
	// responseLossRate is the share of the platform's responses, 0 to 1, that
	// are lost after the call took effect.
	responseLossRate float64
	// peersCut and platformCut hold the zones that can't reach the other zones
	// and the platform.
	peersCut    map[string]bool
	platformCut map[string]bool
	reads       int
	watchEnds   []func()
	lastWrite   time.Time
}

type vm struct {
	name, zone string
	state      *State
	paused     bool
	applied    uint64
	// revision is the object's version at the end of the last watch.
	revision platform.Version
	// delayed holds the events to deliver when the process resumes.
	delayed []func()
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

func newSimulation(seed uint64, zones, perZone int) *simulation {
	sim := &simulation{
		random: rand.New(rand.NewPCG(seed, 3)), now: time.UnixMilli(1_000_000),
		history: map[uint64]string{}, peersCut: map[string]bool{}, platformCut: map[string]bool{},
	}
	for i := range zones * perZone {
		n := &vm{name: fmt.Sprintf("vm-%03d", i), zone: fmt.Sprintf("az-%d", i%zones)}
		sim.nodes = append(sim.nodes, n)
	}
	for _, n := range sim.nodes {
		sim.restart(n)
	}
	for _, n := range sim.nodes {
		sim.tick(n)
	}
	return sim
}

// restart starts a new process without a document on the VM.
func (sim *simulation) restart(n *vm) {
	n.applied, n.revision = 0, 0
	seeds := []string{sim.nodes[0].name, sim.nodes[len(sim.nodes)-1].name}
	n.state = New(Config{VM: n.name, Zone: n.zone, Address: n.name, Seeds: seeds}, rand.New(rand.NewPCG(sim.random.Uint64(), 4)))
	sim.step(n, ViewSet{View: sim.view()})
}

func (sim *simulation) view() membership.View {
	var v membership.View
	for _, n := range sim.nodes {
		v.Members = append(v.Members, membership.Member{VM: n.name, Zone: n.zone, Agent: n.name, Status: membership.Alive, Schema: 1})
	}
	return v
}

func (sim *simulation) after(d time.Duration, do func()) {
	sim.nextOrder++
	heap.Push(&sim.queue, event{sim.now.Add(d), sim.nextOrder, do})
}

func (sim *simulation) run(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.queue) > 0 && !sim.queue[0].at.After(end) {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.do()
	}
	sim.now = end
}

// tick advances the VM's time and sometimes delivers a random peer's heartbeat.
func (sim *simulation) tick(n *vm) {
	peer := sim.nodes[sim.random.IntN(len(sim.nodes))]
	if !n.paused {
		sim.step(n, Tick{})
		if !peer.paused && sim.canReach(n, peer) && sim.random.IntN(5) == 0 {
			sim.step(n, PeerGeneration{Address: peer.name, Generation: peer.state.Current().Generation})
		}
	}
	sim.after(200*time.Millisecond, func() { sim.tick(n) })
}

func (sim *simulation) canReach(a, b *vm) bool {
	return a.zone == b.zone || !sim.peersCut[a.zone] && !sim.peersCut[b.zone]
}

// deliver steps the state that made the call. If the process is paused, it does
// so when the process resumes.
func (sim *simulation) deliver(n *vm, s *State, m Message) {
	switch {
	case n.state != s:
	case n.paused:
		n.delayed = append(n.delayed, func() { sim.deliver(n, s, m) })
	default:
		sim.step(n, m)
	}
}

func (sim *simulation) resume(n *vm) {
	n.paused = false
	delayed := n.delayed
	n.delayed = nil
	for _, do := range delayed {
		do()
	}
}

func (sim *simulation) step(n *vm, m Message) {
	for _, a := range n.state.Step(sim.now, m) {
		s := n.state
		switch a := a.(type) {
		case PutInForce:
			if a.Document.Generation <= n.applied || sim.history[a.Document.Generation] != a.Document.Digest {
				panic(fmt.Sprintf("%s applied %d after %d", n.name, a.Document.Generation, n.applied))
			}
			n.applied = a.Document.Generation
		case Notify:
			for _, addr := range a.Addresses {
				sim.notify(n, addr, a.Generation)
			}
		case FetchFrom:
			sim.after(time.Millisecond, func() { sim.deliver(n, s, sim.fetch(n, a.Address)) })
		case Poll:
			sim.reads++
			sim.after(2*time.Millisecond, func() { sim.deliver(n, s, sim.read(n, false)) })
		case Watch:
			sim.reads++
			sim.watch(n, s)
		}
	}
}

func (sim *simulation) find(name string) *vm {
	for _, n := range sim.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (sim *simulation) notify(n *vm, addr string, generation uint64) {
	sim.after(time.Millisecond, func() {
		if to := sim.find(addr); !to.paused && sim.canReach(n, to) {
			sim.step(to, PeerGeneration{Address: n.name, Generation: generation, FromNotice: true})
		}
	})
}

func (sim *simulation) fetch(n *vm, addr string) ReadResult {
	out := ReadResult{Source: FromPeer, Address: addr, Failed: true}
	to := sim.find(addr)
	if !to.paused && sim.canReach(n, to) {
		out.Failed = false
		if d := to.state.Current(); d.Generation > n.state.Current().Generation {
			out.Text = d.Text
		}
	}
	return out
}

func (sim *simulation) platformResponds(n *vm) bool {
	return !sim.platformDown && !sim.platformCut[n.zone] && sim.random.Float64() >= sim.responseLossRate
}

func (sim *simulation) read(n *vm, watch bool) ReadResult {
	out := ReadResult{Source: FromPlatform, Watch: watch, Failed: !sim.platformResponds(n)}
	if !out.Failed {
		out.Text = sim.object.Value
		if watch {
			n.revision = sim.object.Version
		}
	}
	return out
}

// watch delivers a result at the next write after the VM's revision, or after
// 30 seconds.
func (sim *simulation) watch(n *vm, s *State) {
	if !sim.platformResponds(n) {
		sim.after(2*time.Millisecond, func() { sim.deliver(n, s, ReadResult{Source: FromPlatform, Watch: true, Failed: true}) })
		return
	}
	if sim.object.Version > n.revision {
		sim.after(2*time.Millisecond, func() { sim.deliver(n, s, sim.read(n, true)) })
		return
	}
	ended := false
	end := func() {
		if !ended {
			ended = true
			sim.deliver(n, s, sim.read(n, true))
		}
	}
	sim.watchEnds = append(sim.watchEnds, func() { sim.after(2*time.Millisecond, end) })
	sim.after(30*time.Second, end)
}

// write performs the conditional update. Its response may be lost.
func (sim *simulation) write(base platform.Version, value []byte) error {
	switch {
	case sim.platformDown:
		return result.New(result.PlatformUnavailable, "down")
	case sim.object.Version != base:
		return sim.loseResponse(result.New(result.PlatformConflict, "conflict"))
	}
	d, err := DecodeStored(value)
	if err != nil {
		return err
	}
	if sim.history[d.Generation] != "" {
		panic("a generation was accepted twice")
	}
	sim.history[d.Generation] = d.Digest
	sim.lastWrite = sim.now
	sim.object = platform.Object{Version: base + 1, Value: value}
	watchEnds := sim.watchEnds
	sim.watchEnds = nil
	for _, f := range watchEnds {
		f()
	}
	return sim.loseResponse(nil)
}

func (sim *simulation) loseResponse(err error) error {
	if sim.random.Float64() < sim.responseLossRate {
		return result.New(result.PlatformWriteUnknown, "lost")
	}
	return err
}
