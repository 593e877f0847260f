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

// world runs the states of all VMs on one simulated clock with one stored object.
type world struct {
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
	frozen     bool
	applied    uint64
	// revision is the object's version at the end of the last watch.
	revision platform.Version
	// deferred holds the events to deliver when the process is unfrozen.
	deferred []func()
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

func newWorld(seed uint64, zones, perZone int) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 3)), now: time.UnixMilli(1_000_000),
		history: map[uint64]string{}, peersCut: map[string]bool{}, platformCut: map[string]bool{},
	}
	for i := range zones * perZone {
		n := &vm{name: fmt.Sprintf("vm-%03d", i), zone: fmt.Sprintf("az-%d", i%zones)}
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		w.restart(n)
	}
	for _, n := range w.nodes {
		w.tick(n)
	}
	return w
}

// restart starts a new process without a document on the VM.
func (w *world) restart(n *vm) {
	n.applied, n.revision = 0, 0
	seeds := []string{w.nodes[0].name, w.nodes[len(w.nodes)-1].name}
	n.state = New(Config{VM: n.name, Zone: n.zone, Address: n.name, Seeds: seeds}, rand.New(rand.NewPCG(w.random.Uint64(), 4)))
	w.step(n, ViewSet{View: w.view()})
}

func (w *world) view() membership.View {
	var v membership.View
	for _, n := range w.nodes {
		v.Members = append(v.Members, membership.Member{VM: n.name, Zone: n.zone, Agent: n.name, Status: membership.Alive, Schema: 1})
	}
	return v
}

func (w *world) after(d time.Duration, do func()) {
	w.nextOrder++
	heap.Push(&w.queue, event{w.now.Add(d), w.nextOrder, do})
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

// tick advances the VM's time and sometimes delivers a random peer's heartbeat.
func (w *world) tick(n *vm) {
	peer := w.nodes[w.random.IntN(len(w.nodes))]
	if !n.frozen {
		w.step(n, Tick{})
		if !peer.frozen && w.canReach(n, peer) && w.random.IntN(5) == 0 {
			w.step(n, PeerGeneration{Address: peer.name, Generation: peer.state.Current().Generation})
		}
	}
	w.after(200*time.Millisecond, func() { w.tick(n) })
}

func (w *world) canReach(a, b *vm) bool {
	return a.zone == b.zone || !w.peersCut[a.zone] && !w.peersCut[b.zone]
}

// deliver steps the state that made the call. If the process is frozen, it does
// so when the process is unfrozen.
func (w *world) deliver(n *vm, s *State, m Message) {
	switch {
	case n.state != s:
	case n.frozen:
		n.deferred = append(n.deferred, func() { w.deliver(n, s, m) })
	default:
		w.step(n, m)
	}
}

func (w *world) unfreeze(n *vm) {
	n.frozen = false
	deferred := n.deferred
	n.deferred = nil
	for _, do := range deferred {
		do()
	}
}

func (w *world) step(n *vm, m Message) {
	for _, a := range n.state.Step(w.now, m) {
		s := n.state
		switch a := a.(type) {
		case PutInForce:
			if a.Document.Generation <= n.applied || w.history[a.Document.Generation] != a.Document.Digest {
				panic(fmt.Sprintf("%s applied %d after %d", n.name, a.Document.Generation, n.applied))
			}
			n.applied = a.Document.Generation
		case Notify:
			for _, addr := range a.Addresses {
				w.notify(n, addr, a.Generation)
			}
		case FetchFrom:
			w.after(time.Millisecond, func() { w.deliver(n, s, w.fetch(n, a.Address)) })
		case Poll:
			w.reads++
			w.after(2*time.Millisecond, func() { w.deliver(n, s, w.read(n, false)) })
		case Watch:
			w.reads++
			w.watch(n, s)
		}
	}
}

func (w *world) find(name string) *vm {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (w *world) notify(n *vm, addr string, generation uint64) {
	w.after(time.Millisecond, func() {
		if to := w.find(addr); !to.frozen && w.canReach(n, to) {
			w.step(to, PeerGeneration{Address: n.name, Generation: generation, FromNotice: true})
		}
	})
}

func (w *world) fetch(n *vm, addr string) ReadResult {
	out := ReadResult{Source: FromPeer, Address: addr, Failed: true}
	to := w.find(addr)
	if !to.frozen && w.canReach(n, to) {
		out.Failed = false
		if d := to.state.Current(); d.Generation > n.state.Current().Generation {
			out.Text = d.Text
		}
	}
	return out
}

func (w *world) platformResponds(n *vm) bool {
	return !w.platformDown && !w.platformCut[n.zone] && w.random.Float64() >= w.responseLossRate
}

func (w *world) read(n *vm, watch bool) ReadResult {
	out := ReadResult{Source: FromPlatform, Watch: watch, Failed: !w.platformResponds(n)}
	if !out.Failed {
		out.Text = w.object.Value
		if watch {
			n.revision = w.object.Version
		}
	}
	return out
}

// watch delivers a result at the next write after the VM's revision, or after
// 30 seconds.
func (w *world) watch(n *vm, s *State) {
	if !w.platformResponds(n) {
		w.after(2*time.Millisecond, func() { w.deliver(n, s, ReadResult{Source: FromPlatform, Watch: true, Failed: true}) })
		return
	}
	if w.object.Version > n.revision {
		w.after(2*time.Millisecond, func() { w.deliver(n, s, w.read(n, true)) })
		return
	}
	ended := false
	end := func() {
		if !ended {
			ended = true
			w.deliver(n, s, w.read(n, true))
		}
	}
	w.watchEnds = append(w.watchEnds, func() { w.after(2*time.Millisecond, end) })
	w.after(30*time.Second, end)
}

// write performs the conditional update. Its response may be lost.
func (w *world) write(base platform.Version, value []byte) error {
	switch {
	case w.platformDown:
		return result.New(result.PlatformUnavailable, "down")
	case w.object.Version != base:
		return w.loseResponse(result.New(result.PlatformConflict, "conflict"))
	}
	d, err := DecodeStored(value)
	if err != nil {
		return err
	}
	if w.history[d.Generation] != "" {
		panic("a generation was accepted twice")
	}
	w.history[d.Generation] = d.Digest
	w.lastWrite = w.now
	w.object = platform.Object{Version: base + 1, Value: value}
	watchEnds := w.watchEnds
	w.watchEnds = nil
	for _, f := range watchEnds {
		f()
	}
	return w.loseResponse(nil)
}

func (w *world) loseResponse(err error) error {
	if w.random.Float64() < w.responseLossRate {
		return result.New(result.PlatformWriteUnknown, "lost")
	}
	return err
}
