package quarantine

import (
	"container/heap"
	"encoding/binary"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// model simulates VMs with a core each, upstreams that crash when they run a
// poison request and sometimes without one, and callers that resend requests.
type model struct {
	rng       *rand.Rand
	now       time.Time
	events    events
	seq       int
	vms       []*vmModel
	upstreams []*upstream
	faults    bool

	nextToken          Token
	nextFP             uint64
	poison             map[Fingerprint]int // crashes by a poison request
	crashes            int
	requests           int
	wronglyQuarantined map[Fingerprint]bool
	skipConfirmation   bool // mutation: every broken connection counts as a crash
	requestsPerCrash   int  // average number of requests between two crashes without a poison request
	partitions         bool // VMs are partitioned from each other
}

type vmModel struct {
	core        *Core
	load        map[*upstream]int
	partitioned bool
}

type upstream struct {
	name     string
	restarts int
	running  bool
	active   map[Token]*job
}

type job struct {
	fp       Fingerprint
	vm       *vmModel
	upstream *upstream
	token    Token
	tries    int
	ended    bool
	duration time.Duration
}

type timedEvent struct {
	at  time.Time
	seq int
	f   func()
}

type events []timedEvent

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(timedEvent)) }
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func (m *model) schedule(d time.Duration, f func()) {
	m.seq++
	heap.Push(&m.events, timedEvent{at: m.now.Add(d), seq: m.seq, f: f})
}

func (m *model) randomDelay(lo, hi int) time.Duration {
	return time.Duration(lo+m.rng.IntN(hi-lo+1)) * time.Millisecond
}

func (u *upstream) incarnation() string { return u.name + "#" + strconv.Itoa(u.restarts) }

func newModel(seed uint64, poisons int) *model {
	m := &model{
		requestsPerCrash: 20000,
		rng:              rand.New(rand.NewPCG(seed, 3)), now: time.UnixMilli(1_800_000_000_000), faults: true,
		poison: map[Fingerprint]int{}, wronglyQuarantined: map[Fingerprint]bool{},
	}
	for range 8 {
		m.vms = append(m.vms, &vmModel{core: NewCore(), load: map[*upstream]int{}})
	}
	for i := range 10 {
		m.upstreams = append(m.upstreams, &upstream{name: strconv.Itoa(i), running: true, active: map[Token]*job{}})
	}
	for range poisons {
		fp := m.fingerprint()
		m.poison[fp] = 0
		m.schedule(m.randomDelay(1000, 20000), func() { m.resendPoison(fp) })
	}
	m.schedule(0, m.sendTraffic)
	m.schedule(0, m.sendLoadReports)
	return m
}

func (m *model) fingerprint() Fingerprint {
	m.nextFP++
	var fp Fingerprint
	binary.BigEndian.PutUint64(fp[:], m.nextFP)
	return fp
}

// sendTraffic sends harmless requests: mostly short ones, some long ones, and some
// whose fingerprint many callers share.
func (m *model) sendTraffic() {
	duration := m.randomDelay(20, 200)
	if m.rng.IntN(10) == 0 {
		duration = m.randomDelay(2000, 60000)
	}
	fp := m.fingerprint()
	if m.rng.IntN(5) == 0 {
		fp = Fingerprint{1, byte(m.rng.IntN(5))}
	}
	m.send(&job{fp: fp, vm: m.vms[m.rng.IntN(len(m.vms))], duration: duration})
	m.schedule(m.randomDelay(0, 40), m.sendTraffic)
}

// resendPoison is the caller of a poison request, which keeps resending it.
func (m *model) resendPoison(fp Fingerprint) {
	m.send(&job{fp: fp, vm: m.vms[m.rng.IntN(len(m.vms))], duration: time.Minute})
	m.schedule(m.randomDelay(100, 4000), func() { m.resendPoison(fp) })
}

func (m *model) send(j *job) {
	if m.rng.IntN(m.requestsPerCrash) == 0 && m.faults {
		m.crash(m.upstreams[m.rng.IntN(len(m.upstreams))])
	}
	m.requests++
	st := j.vm.core.Status(j.fp)
	if st.Quarantined || st.Hold {
		return
	}
	u := m.choose(j.vm, st.Suspect)
	if u == nil {
		return
	}
	j.upstream = u
	m.nextToken++
	j.token = m.nextToken
	u.active[j.token] = j
	j.vm.load[u]++
	j.vm.core.Begin(m.now, j.token, j.fp, u.name, "")
	restarts := u.restarts
	if _, bad := m.poison[j.fp]; bad {
		m.schedule(m.randomDelay(10, 200), func() {
			if u.restarts == restarts && u.running {
				m.poison[j.fp]++
				m.crash(u)
			}
		})
		return
	}
	m.schedule(j.duration, func() {
		if u.restarts == restarts && u.running && !j.ended {
			m.end(j, false)
		}
	})
	if m.faults && m.rng.IntN(200) == 0 { // the connection breaks, but the upstream keeps running
		m.schedule(m.randomDelay(1, 1000), func() {
			if u.restarts == restarts && u.running && !j.ended {
				m.end(j, true)
			}
		})
	}
}

func (m *model) choose(v *vmModel, alone bool) *upstream {
	var free, all []*upstream
	for _, u := range m.upstreams {
		if !u.running {
			continue
		}
		all = append(all, u)
		if v.load[u] == 0 {
			free = append(free, u)
		}
	}
	if alone && len(free) > 0 {
		all = free
	}
	if len(all) == 0 {
		return nil
	}
	return all[m.rng.IntN(len(all))]
}

func (m *model) end(j *job, broken bool) {
	j.ended = true
	delete(j.upstream.active, j.token)
	j.vm.load[j.upstream]--
	incarnation := ""
	if !broken {
		incarnation = j.upstream.incarnation()
	}
	j.vm.core.End(m.now, j.token, broken, incarnation)
	if m.skipConfirmation && broken {
		j.vm.core.ObserveIncarnation(m.now, j.upstream.name, j.upstream.incarnation()+"'")
	}
	m.shareMarks(j.vm)
	if broken && j.tries < 4 {
		retry := &job{fp: j.fp, vm: m.vms[m.rng.IntN(len(m.vms))], tries: j.tries + 1, duration: j.duration}
		m.schedule(m.randomDelay(1, 500), func() { m.send(retry) })
	}
}

func (m *model) crash(u *upstream) {
	if !u.running {
		return
	}
	m.crashes++
	u.running = false
	for t := Token(0); t <= m.nextToken; t++ {
		if j := u.active[t]; j != nil {
			m.end(j, true)
		}
	}
	m.schedule(m.randomDelay(1000, 10000), func() {
		u.restarts++
		u.running = true
	})
}

// sendLoadReports sends the incarnation of every upstream to every VM once per
// second, with a delay.
func (m *model) sendLoadReports() {
	for _, v := range m.vms {
		if m.faults && m.partitions && m.rng.IntN(100) == 0 {
			v.partitioned = !v.partitioned
		}
		for _, u := range m.upstreams {
			if u.running && m.rng.IntN(10) > 0 {
				inc := u.incarnation()
				m.schedule(m.randomDelay(0, 500), func() {
					v.core.ObserveIncarnation(m.now, u.name, inc)
					m.shareMarks(v)
				})
			}
		}
		v.core.Tick(m.now)
	}
	m.schedule(time.Second, m.sendLoadReports)
}

func (m *model) shareMarks(from *vmModel) {
	s := from.core.TakeUpdates()
	if m.rng.IntN(500) == 0 {
		s = from.core.RecentMarks()
	}
	if s.empty() || from.partitioned && m.faults {
		return
	}
	for _, v := range m.vms {
		if v == from || v.partitioned && m.faults || m.rng.IntN(20) == 0 {
			continue
		}
		m.schedule(m.randomDelay(0, 20), func() {
			v.core.Receive(m.now, s)
			m.shareMarks(v)
			m.recordWrongQuarantines(v)
		})
	}
	m.recordWrongQuarantines(from)
}

func (m *model) recordWrongQuarantines(v *vmModel) {
	for fp := range v.core.quarantinedUntil {
		if _, bad := m.poison[fp]; !bad {
			m.wronglyQuarantined[fp] = true
		}
	}
}

func (m *model) runFor(d time.Duration) {
	end := m.now.Add(d)
	for len(m.events) > 0 && m.events[0].at.Before(end) {
		e := heap.Pop(&m.events).(timedEvent)
		m.now = e.at
		e.f()
	}
}

// summary aggregates several runs of the model.
type summary struct {
	requests, crashes, maxCrashes, wronglyQuarantined int
	missedPoison                                      bool // a VM did not quarantine a poison request
}

func runModels(first, seeds uint64, set func(*model)) summary {
	var r summary
	for seed := first; seed < first+seeds; seed++ {
		m := newModel(seed, int(seed%4))
		set(m)
		m.runFor(3 * time.Minute)
		m.faults = false
		m.runFor(time.Minute)
		for fp, n := range m.poison {
			r.maxCrashes = max(r.maxCrashes, n)
			for _, v := range m.vms {
				r.missedPoison = r.missedPoison || !v.core.Status(fp).Quarantined
			}
		}
		r.requests += m.requests
		r.crashes += m.crashes
		r.wronglyQuarantined += len(m.wronglyQuarantined)
	}
	return r
}

// TestRandomCrashes runs poison requests among harmless ones and checks that all
// VMs quarantine the poison requests and no others.
// SOAK_SEED=100 SOAK_STEPS=1000000 runs it longer.
func TestRandomCrashes(t *testing.T) {
	first, seeds := uint64(100), uint64(8)
	if n, err := strconv.ParseUint(os.Getenv("SOAK_STEPS"), 10, 64); err == nil {
		seeds = max(1, n/10000)
		first, _ = strconv.ParseUint(os.Getenv("SOAK_SEED"), 10, 64)
	}
	for _, row := range []struct {
		name string
		set  func(*model)
	}{
		{"few other crashes: no harmless request is quarantined, a poison request crashes few upstreams", func(*model) {}},
		{"many other crashes, the same", func(m *model) { m.requestsPerCrash = 2000 }},
	} {
		t.Run(row.name, func(t *testing.T) {
			r := runModels(first, seeds, row.set)
			t.Logf("%+v", r)
			require.False(t, r.missedPoison, "a VM did not quarantine a poison request")
			require.Zero(t, r.wronglyQuarantined, "harmless requests were quarantined")
			require.LessOrEqual(t, r.maxCrashes, totalMarksThreshold)
		})
	}
}

// TestBrokenConnectionNeedsConfirmation checks that the model detects a missing
// confirmation: if every broken connection counts as a crash, harmless requests
// are quarantined.
func TestBrokenConnectionNeedsConfirmation(t *testing.T) {
	for seed := uint64(136); seed < 150; seed++ {
		if r := runModels(seed, 1, func(m *model) { m.skipConfirmation = true }); r.wronglyQuarantined > 0 {
			t.Logf("detected at seed %d", seed)
			return
		}
	}
	t.Fatal("no seed detects the mutation")
}

// TestPartition partitions VMs half of the time. Each partition has to detect
// poison requests on its own, and afterwards all VMs must have them quarantined.
func TestPartition(t *testing.T) {
	r := runModels(100, 4, func(m *model) { m.partitions = true })
	t.Logf("%+v", r)
	require.False(t, r.missedPoison)
}
