package billing

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// model simulates VMs in virtual time. Each VM has the core of a router and of an
// agent. The shared store may be unavailable or lose responses.
type model struct {
	rng     *rand.Rand
	now     time.Time
	events  eventQueue
	seq     int
	vms     []*simVM
	store   map[string][]Bill
	writes  int
	faults  bool
	down    bool
	blocked map[[2]int]bool
	bills   []string
	lost    map[string]bool // bills that no running process held after a crash
	rename  bool            // mutation: a retried parcel gets a new name
	noCopy  bool            // mutation: no copies are sent
}

type simVM struct {
	index      int
	router     *SenderCore
	agent      *UploaderCore
	routerLife int
	agentLife  int
	calls      uint64
	replies    map[uint64]func(PutResponse)
}

type event struct {
	at  time.Time
	seq int
	f   func()
}

type eventQueue []event

func (h eventQueue) Len() int { return len(h) }
func (h eventQueue) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h eventQueue) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventQueue) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventQueue) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func (m *model) schedule(d time.Duration, f func()) {
	m.seq++
	heap.Push(&m.events, event{at: m.now.Add(d), seq: m.seq, f: f})
}

func (m *model) randomMillis(lo, hi int) time.Duration {
	return time.Duration(lo*1000+m.rng.IntN((hi-lo)*1000+1)) * time.Microsecond
}

func (m *model) chance(p float64) bool { return m.faults && m.rng.Float64() < p }

func newModel(seed uint64) *model {
	m := &model{
		rng: rand.New(rand.NewPCG(seed, 5)), now: time.UnixMilli(1_800_000_000_000), faults: true,
		store: map[string][]Bill{}, blocked: map[[2]int]bool{}, lost: map[string]bool{},
	}
	for i := range 4 {
		v := &simVM{index: i}
		m.vms = append(m.vms, v)
		m.startAgent(v)
		m.startRouter(v)
	}
	m.schedule(0, m.tick)
	m.schedule(0, m.addBills)
	m.schedule(time.Second, m.injectFault)
	return m
}

func (m *model) startRouter(v *simVM) {
	v.routerLife++
	v.router = NewSenderCore(strconv.Itoa(v.index), uint64(v.routerLife), strconv.Itoa(v.index))
	v.router.SetView(m.view())
}

func (m *model) startAgent(v *simVM) {
	v.agentLife++
	v.agent = NewUploaderCore()
	v.replies = map[uint64]func(PutResponse){}
	v.agent.SetView(m.now, m.view())
}

// view returns a membership view. While faults are enabled, it may report live
// VMs as dead.
func (m *model) view() membership.View {
	var v membership.View
	for i := range 4 {
		st := membership.Alive
		if m.chance(0.2) {
			st = membership.Dead
		}
		v.Members = append(v.Members, membership.Member{VM: strconv.Itoa(i), Agent: strconv.Itoa(i), Status: st})
	}
	return v
}

func (m *model) tick() {
	for _, v := range m.vms {
		m.perform(v, v.router.Tick(m.now))
		m.perform(v, v.agent.Tick(m.now))
		if m.chance(0.01) || !m.faults {
			v.router.SetView(m.view())
			v.agent.SetView(m.now, m.view())
		}
	}
	m.schedule(100*time.Millisecond, m.tick)
}

func (m *model) addBills() {
	if !m.faults {
		return
	}
	id := fmt.Sprint("r", len(m.bills))
	m.bills = append(m.bills, id)
	v := m.vms[m.rng.IntN(4)]
	m.perform(v, v.router.Add(m.now, Bill{Request: id}))
	m.schedule(m.randomMillis(0, 60), m.addBills)
}

func (m *model) injectFault() {
	if !m.faults {
		return
	}
	v := m.vms[m.rng.IntN(4)]
	switch m.rng.IntN(6) {
	case 0: // the VM is replaced
		m.startAgent(v)
		m.startRouter(v)
		m.markLost()
	case 1:
		m.startRouter(v)
		m.markLost()
	case 2:
		m.startAgent(v)
		m.markLost()
	case 3:
		m.down = true
		m.schedule(m.randomMillis(100, 20000), func() { m.down = false })
	default:
		p := [2]int{v.index, m.rng.IntN(4)}
		m.blocked[p] = !m.blocked[p]
	}
	m.schedule(m.randomMillis(500, 8000), m.injectFault)
}

// markLost marks the bills that are neither held by a running process nor stored.
func (m *model) markLost() {
	held := map[string]bool{}
	markHeld := func(bs []Bill) {
		for _, b := range bs {
			held[b.Request] = true
		}
	}
	for _, bs := range m.store {
		markHeld(bs)
	}
	for _, v := range m.vms {
		markHeld(v.router.openBills)
		for _, s := range v.router.unstored {
			markHeld(s.parcel.Bills)
		}
		for _, h := range v.agent.held {
			markHeld(h.parcel.Bills)
		}
	}
	for _, id := range m.bills {
		if !held[id] {
			m.lost[id] = true
		}
	}
}

func (m *model) perform(v *simVM, out []Action) {
	routerLife, agentLife := v.routerLife, v.agentLife
	for _, a := range out {
		switch a := a.(type) {
		case SendPut:
			done := false
			complete := func(d time.Duration, ans PutResponse) {
				m.schedule(d, func() {
					if v.routerLife == routerLife && !done {
						done = true
						m.perform(v, v.router.PutDone(m.now, a.Parcel.Name, ans))
					}
				})
			}
			complete(putTimeout, PutResponse{})
			p := a.Parcel
			if m.rename {
				p.Name.Number = uint64(m.seq)
			}
			m.deliver(v, a.Addr, func(to *simVM) {
				to.calls++
				to.replies[to.calls] = func(ans PutResponse) {
					if !m.chance(0.1) {
						complete(m.randomMillis(0, 3), ans)
					}
				}
				m.perform(to, to.agent.Put(m.now, to.calls, p))
			})
		case SendCopy:
			if m.noCopy {
				continue
			}
			arrived := m.deliver(v, a.Addr, func(to *simVM) {
				ans := to.agent.Copy(m.now, a.Parcel)
				m.schedule(m.randomMillis(0, 3), func() {
					if v.routerLife == routerLife {
						v.router.CopyDone(a.Parcel.Name, ans)
					}
				})
			})
			if !arrived {
				m.schedule(copyTimeout, func() {
					if v.routerLife == routerLife {
						v.router.CopyDone(a.Parcel.Name, PutResponse{})
					}
				})
			}
		case SendDrop:
			m.deliver(v, a.Addr, func(to *simVM) { to.agent.DropCopies(m.now, a.Body) })
		case Reply:
			v.replies[a.Call](a.Body)
			delete(v.replies, a.Call)
		case WriteParcel:
			m.write(v, agentLife, a.Parcel)
		}
	}
}

// deliver delivers a message to an agent. It may drop or duplicate messages while
// faults are enabled, and reports whether the message was sent.
func (m *model) deliver(v *simVM, addr string, f func(*simVM)) bool {
	i, _ := strconv.Atoi(addr)
	to := m.vms[i]
	if m.faults && i != v.index && (m.blocked[[2]int{v.index, i}] || m.blocked[[2]int{i, v.index}]) || m.chance(0.05) {
		return false
	}
	copies := 1
	if m.chance(0.05) {
		copies = 2
	}
	for range copies {
		life := to.agentLife
		m.schedule(m.randomMillis(0, 3), func() {
			if to.agentLife == life {
				f(to)
			}
		})
	}
	return true
}

func (m *model) write(v *simVM, life int, p Parcel) {
	m.writes++
	answer := func(d time.Duration, err error) {
		m.schedule(d, func() {
			if v.agentLife == life {
				m.perform(v, v.agent.Written(m.now, p.Name, err))
			}
		})
	}
	if m.down && m.faults {
		answer(m.randomMillis(1, 10), result.New(result.PlatformUnavailable, "down"))
		return
	}
	answerLost := m.chance(0.15)
	if answerLost {
		answer(m.randomMillis(5, 2000), result.New(result.PlatformWriteUnknown, "lost"))
	}
	if answerLost && m.chance(0.3) {
		return
	}
	m.schedule(m.randomMillis(0, 4), func() {
		var err error
		if _, ok := m.store[p.Name.Object()]; ok {
			err = result.New(result.PlatformConflict, "exists")
		} else {
			b, _ := p.encode()
			var bills []Bill
			_ = json.Unmarshal(b, &bills)
			m.store[p.Name.Object()] = bills
		}
		if !answerLost {
			answer(m.randomMillis(0, 3), err)
		}
	})
}

func (m *model) runFor(d time.Duration) {
	end := m.now.Add(d)
	for len(m.events) > 0 && m.events[0].at.Before(end) {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.f()
	}
}

// runAndCount runs the model and returns the numbers of bills that are missing
// without a crash that explains it, stored more than once, and lost in a crash.
func (m *model) runAndCount() (missing, twice, lost int) {
	m.runFor(2 * time.Minute)
	m.faults, m.down = false, false
	m.runFor(3 * time.Minute)
	n := map[string]int{}
	for _, bs := range m.store {
		for _, b := range bs {
			n[b.Request]++
		}
	}
	for _, id := range m.bills {
		switch {
		case n[id] > 1:
			twice++
		case n[id] == 0 && m.lost[id]:
			lost++
		case n[id] == 0:
			missing++
		}
	}
	return missing, twice, lost
}

// TestRandomBills checks that every bill is stored once, or was lost in a crash as
// documented at Sender. SOAK_SEED=1 SOAK_STEPS=1000000 runs it longer.
func TestRandomBills(t *testing.T) {
	first, seeds := uint64(1), uint64(6)
	if n, err := strconv.ParseUint(os.Getenv("SOAK_STEPS"), 10, 64); err == nil {
		seeds = max(1, n/10000)
		first, _ = strconv.ParseUint(os.Getenv("SOAK_SEED"), 10, 64)
	}
	bills, lostBills, writes := 0, 0, 0
	for seed := first; seed < first+seeds; seed++ {
		m := newModel(seed)
		missing, twice, lost := m.runAndCount()
		require.Zero(t, twice, "seed %d: bills stored twice", seed)
		require.Zero(t, missing, "seed %d: bills missing although no crash lost them", seed)
		for _, v := range m.vms {
			require.True(t, v.router.Idle(), "seed %d: a router still holds bills", seed)
			require.True(t, v.agent.Idle(), "seed %d: an agent still holds parcels", seed)
		}
		bills += len(m.bills)
		lostBills += lost
		writes += m.writes
	}
	t.Logf("%d bills, %d lost to crashes, %d writes", bills, lostBills, writes)
}

func TestMutationsAreCaught(t *testing.T) {
	countWith := func(set func(*model)) (twice, lost int) {
		for seed := uint64(1); seed <= 2; seed++ {
			m := newModel(seed)
			set(m)
			_, b, c := m.runAndCount()
			twice, lost = twice+b, lost+c
		}
		return twice, lost
	}
	twice, _ := countWith(func(m *model) { m.rename = true })
	require.Positive(t, twice, "a parcel whose name changes with each try is stored twice")
	_, with := countWith(func(*model) {})
	_, without := countWith(func(m *model) { m.noCopy = true })
	require.Greater(t, without, with, "without copies, more bills are lost in crashes")
	t.Logf("lost with copies %d, without %d", with, without)
}
