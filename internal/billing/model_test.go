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

// The model: VMs with a router's and an agent's core each, over a store that
// may be down or lose answers, in virtual time.
type model struct {
	rng    *rand.Rand
	now    time.Time
	events events
	seq    int
	vms    []*simVM
	store  map[string][]Bill
	writes int
	faults bool
	down   bool
	cut    map[[2]int]bool
	bills  []string
	lost   map[string]bool // no live process held it after a crash
	rename bool            // mutation: a retried parcel gets a new name
	noCopy bool            // mutation: nobody holds copies
}

type simVM struct {
	index   int
	router  *SenderCore
	agent   *UploaderCore
	rLife   int
	aLife   int
	calls   uint64
	replies map[uint64]func(PutAnswer)
}

type timed struct {
	at  time.Time
	seq int
	f   func()
}

type events []timed

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(timed)) }
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func (m *model) after(d time.Duration, f func()) {
	m.seq++
	heap.Push(&m.events, timed{at: m.now.Add(d), seq: m.seq, f: f})
}

func (m *model) ms(lo, hi int) time.Duration {
	return time.Duration(lo*1000+m.rng.IntN((hi-lo)*1000+1)) * time.Microsecond
}

func (m *model) chance(p float64) bool { return m.faults && m.rng.Float64() < p }

func newModel(seed uint64) *model {
	m := &model{
		rng: rand.New(rand.NewPCG(seed, 5)), now: time.UnixMilli(1_800_000_000_000), faults: true,
		store: map[string][]Bill{}, cut: map[[2]int]bool{}, lost: map[string]bool{},
	}
	for i := range 4 {
		v := &simVM{index: i}
		m.vms = append(m.vms, v)
		m.bootAgent(v)
		m.bootRouter(v)
	}
	m.after(0, m.tick)
	m.after(0, m.traffic)
	m.after(time.Second, m.trouble)
	return m
}

func (m *model) bootRouter(v *simVM) {
	v.rLife++
	v.router = NewSenderCore(strconv.Itoa(v.index), uint64(v.rLife), strconv.Itoa(v.index))
	v.router.SetView(m.view())
}

func (m *model) bootAgent(v *simVM) {
	v.aLife++
	v.agent = NewUploaderCore()
	v.replies = map[uint64]func(PutAnswer){}
	v.agent.SetView(m.now, m.view())
}

// view may take live VMs for dead while faults are on.
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
		m.act(v, v.router.Tick(m.now))
		m.act(v, v.agent.Tick(m.now))
		if m.chance(0.01) || !m.faults {
			v.router.SetView(m.view())
			v.agent.SetView(m.now, m.view())
		}
	}
	m.after(100*time.Millisecond, m.tick)
}

func (m *model) traffic() {
	if !m.faults {
		return
	}
	id := fmt.Sprint("r", len(m.bills))
	m.bills = append(m.bills, id)
	v := m.vms[m.rng.IntN(4)]
	m.act(v, v.router.Add(m.now, Bill{Request: id}))
	m.after(m.ms(0, 60), m.traffic)
}

func (m *model) trouble() {
	if !m.faults {
		return
	}
	v := m.vms[m.rng.IntN(4)]
	switch m.rng.IntN(6) {
	case 0: // the VM is replaced
		m.bootAgent(v)
		m.bootRouter(v)
		m.account()
	case 1:
		m.bootRouter(v)
		m.account()
	case 2:
		m.bootAgent(v)
		m.account()
	case 3:
		m.down = true
		m.after(m.ms(100, 20000), func() { m.down = false })
	default:
		p := [2]int{v.index, m.rng.IntN(4)}
		m.cut[p] = !m.cut[p]
	}
	m.after(m.ms(500, 8000), m.trouble)
}

// account marks the bills that no live process holds and the store lacks.
func (m *model) account() {
	held := map[string]bool{}
	note := func(bs []Bill) {
		for _, b := range bs {
			held[b.Request] = true
		}
	}
	for _, bs := range m.store {
		note(bs)
	}
	for _, v := range m.vms {
		note(v.router.open)
		for _, s := range v.router.waiting {
			note(s.parcel.Bills)
		}
		for _, h := range v.agent.held {
			note(h.parcel.Bills)
		}
	}
	for _, id := range m.bills {
		if !held[id] {
			m.lost[id] = true
		}
	}
}

func (m *model) act(v *simVM, out []Action) {
	life, aLife := v.rLife, v.aLife
	for _, a := range out {
		switch a := a.(type) {
		case SendPut:
			done := false
			end := func(d time.Duration, ans PutAnswer) {
				m.after(d, func() {
					if v.rLife == life && !done {
						done = true
						m.act(v, v.router.PutDone(m.now, a.Parcel.Name, ans))
					}
				})
			}
			end(putTime, PutAnswer{})
			p := a.Parcel
			if m.rename {
				p.Name.Number = uint64(m.seq)
			}
			m.reach(v, a.Addr, func(to *simVM) {
				to.calls++
				to.replies[to.calls] = func(ans PutAnswer) {
					if !m.chance(0.1) {
						end(m.ms(0, 3), ans)
					}
				}
				m.act(to, to.agent.Put(m.now, to.calls, p))
			})
		case SendCopy:
			if m.noCopy {
				continue
			}
			arrived := m.reach(v, a.Addr, func(to *simVM) {
				ans := to.agent.Copy(m.now, a.Parcel)
				m.after(m.ms(0, 3), func() {
					if v.rLife == life {
						v.router.CopyDone(a.Parcel.Name, ans)
					}
				})
			})
			if !arrived {
				m.after(copyWait, func() {
					if v.rLife == life {
						v.router.CopyDone(a.Parcel.Name, PutAnswer{})
					}
				})
			}
		case SendDrop:
			m.reach(v, a.Addr, func(to *simVM) { to.agent.DropCopies(m.now, a.Body) })
		case Reply:
			v.replies[a.Call](a.Body)
			delete(v.replies, a.Call)
		case WriteParcel:
			m.write(v, aLife, a.Parcel)
		}
	}
}

// reach carries a message to an agent; some come twice.
func (m *model) reach(v *simVM, addr string, f func(*simVM)) bool {
	i, _ := strconv.Atoi(addr)
	to := m.vms[i]
	if m.faults && i != v.index && (m.cut[[2]int{v.index, i}] || m.cut[[2]int{i, v.index}]) || m.chance(0.05) {
		return false
	}
	copies := 1
	if m.chance(0.05) {
		copies = 2
	}
	for range copies {
		life := to.aLife
		m.after(m.ms(0, 3), func() {
			if to.aLife == life {
				f(to)
			}
		})
	}
	return true
}

func (m *model) write(v *simVM, life int, p Parcel) {
	m.writes++
	answer := func(d time.Duration, err error) {
		m.after(d, func() {
			if v.aLife == life {
				m.act(v, v.agent.Written(m.now, p.Name, err))
			}
		})
	}
	if m.down && m.faults {
		answer(m.ms(1, 10), result.New(result.PlatformUnavailable, "down"))
		return
	}
	lost := m.chance(0.15)
	if lost {
		answer(m.ms(5, 2000), result.New(result.PlatformUnsure, "lost"))
	}
	if lost && m.chance(0.3) {
		return
	}
	m.after(m.ms(0, 4), func() {
		var err error
		if _, ok := m.store[p.Name.Object()]; ok {
			err = result.New(result.PlatformConflict, "exists")
		} else {
			b, _ := p.encode()
			var bills []Bill
			_ = json.Unmarshal(b, &bills)
			m.store[p.Name.Object()] = bills
		}
		if !lost {
			answer(m.ms(0, 3), err)
		}
	})
}

func (m *model) until(d time.Duration) {
	end := m.now.Add(d)
	for len(m.events) > 0 && m.events[0].at.Before(end) {
		e := heap.Pop(&m.events).(timed)
		m.now = e.at
		e.f()
	}
}

// count runs the model and returns the bills missing without an excuse, those
// stored more than once, and those lost to a crash.
func (m *model) count() (missing, twice, lost int) {
	m.until(2 * time.Minute)
	m.faults, m.down = false, false
	m.until(3 * time.Minute)
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

// TestRandomBills checks that every bill is stored once, or was lost to a crash
// as Sender says. SOAK_SEED=1 SOAK_STEPS=1000000 runs it longer.
func TestRandomBills(t *testing.T) {
	first, seeds := uint64(1), uint64(6)
	if n, err := strconv.ParseUint(os.Getenv("SOAK_STEPS"), 10, 64); err == nil {
		seeds = max(1, n/10000)
		first, _ = strconv.ParseUint(os.Getenv("SOAK_SEED"), 10, 64)
	}
	bills, gone, writes := 0, 0, 0
	for seed := first; seed < first+seeds; seed++ {
		m := newModel(seed)
		missing, twice, lost := m.count()
		require.Zero(t, twice, "seed %d: bills stored twice", seed)
		require.Zero(t, missing, "seed %d: bills missing that no crash took", seed)
		for _, v := range m.vms {
			require.True(t, v.router.Idle(), "seed %d: a router still holds bills", seed)
			require.True(t, v.agent.Idle(), "seed %d: an agent still holds parcels", seed)
		}
		bills += len(m.bills)
		gone += lost
		writes += m.writes
	}
	t.Logf("%d bills, %d lost to crashes, %d writes", bills, gone, writes)
}

func TestMutationsAreCaught(t *testing.T) {
	sum := func(set func(*model)) (twice, lost int) {
		for seed := uint64(1); seed <= 2; seed++ {
			m := newModel(seed)
			set(m)
			_, b, c := m.count()
			twice, lost = twice+b, lost+c
		}
		return twice, lost
	}
	twice, _ := sum(func(m *model) { m.rename = true })
	require.Positive(t, twice, "a parcel whose name changes with each try is stored twice")
	_, with := sum(func(*model) {})
	_, without := sum(func(m *model) { m.noCopy = true })
	require.Greater(t, without, with, "without copies crashes take more bills")
	t.Logf("lost with copies %d, without %d", with, without)
}
