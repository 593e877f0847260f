package admission

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/invariant"
	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/peer"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/soak"
	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

func TestMain(m *testing.M) {
	invariant.Strict.Store(true)
	m.Run()
}

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const ms = time.Millisecond

func TestAdmit(t *testing.T) {
	l := Limits{Rate: 10, Burst: 5, Concurrent: 8}
	type step struct {
		at       time.Duration
		team     string
		priority int
		release  bool
		code     result.Code
		retry    time.Duration
	}
	times := func(n int, s step) (out []step) {
		for range n {
			out = append(out, s)
		}
		return out
	}
	join := func(all ...[]step) (out []step) {
		for _, s := range all {
			out = append(out, s...)
		}
		return out
	}
	tests := []struct {
		name       string
		known      int
		capacity   int
		saturation float64
		steps      []step
	}{
		{
			"the burst is let in, then the time to the next token is told", 1, 100, 0,
			join(times(5, step{team: "a"}), []step{{team: "a", code: result.TeamOverLimit, retry: 100 * ms}, {at: 100 * ms, team: "a"}}),
		},
		{
			"an idle hour saves up no more than the burst", 1, 100, 0,
			join([]step{{team: "a"}}, times(5, step{at: time.Hour, team: "a"}), []step{{at: time.Hour, team: "a", code: result.TeamOverLimit, retry: 100 * ms}}),
		},
		{
			"requests in progress are bounded, whatever the rate", 1, 100, 0,
			join(times(5, step{team: "a"}), times(3, step{at: time.Second, team: "a"}), []step{
				{at: time.Second, team: "a", code: result.TeamOverLimit, retry: overloadRetryAfter}, {team: "a", release: true}, {at: time.Second, team: "a"},
			}),
		},
		{
			"without an allocator a VM of four has a quarter", 4, 100, 0,
			[]step{{team: "a"}, {team: "a", code: result.TeamOverLimit, retry: 300 * ms}, {at: 400 * ms, team: "a"}, {at: 800 * ms, team: "a", code: result.TeamOverLimit, retry: overloadRetryAfter}},
		},
		{
			"however many VMs there are each may run one", 100, 100, 0,
			[]step{{team: "a"}, {team: "a", code: result.TeamOverLimit, retry: overloadRetryAfter}},
		},
		{
			"half saturated the least urgent is refused", 1, 100, 0.5,
			[]step{{team: "a", priority: 9}, {team: "a", priority: 0}},
		},
		{
			"a full VM refuses", 1, 4, 0,
			join(times(5, step{team: "a"})[:4], []step{{team: "a", code: result.Overloaded, retry: overloadRetryAfter}}),
		},
		{
			"a large team leaves room for a small one", 1, 8, 0,
			join(times(5, step{team: "a"}), times(3, step{at: time.Second, team: "a"}), []step{
				{at: time.Second, team: "c", priority: 9}, {at: time.Second, team: "c", priority: 9},
			}),
		},
		{
			"saturated, the team above its fair part is refused and the other is not", 1, 4, 0.9,
			[]step{{team: "a", priority: 3}, {team: "b", priority: 3}, {team: "a", priority: 3}, {team: "a", priority: 3, code: result.Overloaded, retry: overloadRetryAfter}, {team: "b", priority: 3}, {team: "a", priority: 0, code: result.Overloaded, retry: overloadRetryAfter}},
		},
		{
			"wholly saturated nothing is let in", 1, 4, 1,
			[]step{{team: "a", priority: 0, code: result.Overloaded, retry: overloadRetryAfter}},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := NewCore("vm", tt.capacity)
			c.SetKnownVMs(tt.known)
			c.SetSaturation(tt.saturation)
			for i, s := range tt.steps {
				if s.release {
					c.Release(s.team)
					continue
				}
				e := c.Admit(s.team, l, s.priority, t0.Add(s.at))
				if s.code == 0 {
					require.Nil(t, e, "step %d: %v", i, e)
					continue
				}
				require.NotNil(t, e, "step %d", i)
				require.Equal(t, s.code, e.Code, "step %d", i)
				require.Equal(t, result.NotRun, e.Run)
				require.InDelta(t, s.retry, e.RetryAfter, float64(ms), "step %d", i)
			}
		})
	}
}

// fleet is a model of several VMs' cores with reports that are delayed, lost
// or cut, and allocators that change.
type fleet struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	limits  Limits
	cores   []*Core
	allocs  map[int]*Allocator
	home    []int // each VM's belief of the allocator
	side    []int
	running []int
	late    []lateGrant
	// admitted counts requests a team's window of a second.
	admitted map[int64]int
	total    int
	refused  int
	peak     int
}

type lateGrant struct {
	at, sent time.Time
	vm       int
	grant    Grant
}

const fleetTTL = 4 * time.Second

func newFleet(t *testing.T, seed uint64, vms int) *fleet {
	f := &fleet{
		t: t, rng: rand.New(rand.NewPCG(seed, 8)), now: t0, limits: Limits{Rate: 400, Burst: 80, Concurrent: 64},
		allocs: map[int]*Allocator{}, home: make([]int, vms), side: make([]int, vms), running: make([]int, vms), admitted: map[int64]int{},
	}
	for i := range vms {
		f.cores = append(f.cores, NewCore(fmt.Sprint("vm", i), 10_000))
		f.cores[i].SetKnownVMs(vms)
	}
	return f
}

func (f *fleet) report(vm int) {
	h := f.home[vm]
	for _, g := range f.late {
		if g.vm == vm {
			return // one exchange at a time
		}
	}
	r := f.cores[vm].Report(fmt.Sprint(h), f.now)
	if f.side[vm] != f.side[h] || f.home[h] != h || f.rng.IntN(20) == 0 {
		return // cut off, not the allocator by its own view, or lost
	}
	a := f.allocs[h]
	if a == nil {
		a = NewAllocator(fleetTTL)
		f.allocs[h] = a
	}
	g := a.Handle(r, func(string) (Limits, bool) { return f.limits, true }, f.now)
	if f.rng.IntN(20) == 0 {
		return // the answer is lost
	}
	f.late = append(f.late, lateGrant{f.now.Add(time.Duration(f.rng.IntN(400)) * ms), f.now, vm, g})
}

func (f *fleet) deliver() {
	left := f.late[:0]
	for _, g := range f.late {
		if f.now.Before(g.at) {
			left = append(left, g)
			continue
		}
		f.cores[g.vm].Apply(g.grant, g.sent)
	}
	f.late = left
}

// elect gives VMs a new belief of the allocator, not all at the same time.
func (f *fleet) elect(h int) {
	for vm := range f.home {
		if f.rng.IntN(3) > 0 {
			f.home[vm] = h
			if vm != h {
				delete(f.allocs, vm)
			}
		}
	}
}

// outstanding sums up what all VMs may spend now.
func (f *fleet) outstanding() (rate float64, running int) {
	for _, c := range f.cores {
		t := c.teams["a"]
		if t == nil {
			t = &team{limits: f.limits}
		}
		r, n := c.held(t, f.now)
		rate += r
		running += n
	}
	return rate, running
}

// TestFleetStaysWithinItsLimits moves demand between VMs while reports and
// answers are lost and late, VMs are cut off and the allocator changes.
func TestFleetStaysWithinItsLimits(t *testing.T) {
	const vms = 6
	worstRate, worstRunning, admitted, refused, peak := 0.0, 0, 0, 0, 0
	for seed := range soak.Seeds(10, 6_000) {
		f := newFleet(t, seed, vms)
		weight := make([]int, vms)
		for n := range 6000 {
			f.now = f.now.Add(time.Duration(f.rng.IntN(20)) * ms)
			f.deliver()
			switch k := f.rng.IntN(1000); {
			case k == 0:
				f.elect(f.rng.IntN(vms))
			case k < 2:
				for vm := range f.side {
					f.side[vm] = f.rng.IntN(2)
				}
			case k < 3:
				clear(f.side)
			case k < 10:
				for vm := range weight {
					weight[vm] = f.rng.IntN(4)
				}
			}
			if n%15 < vms {
				f.report(n % 15)
			}
			for vm := range f.cores {
				for range weight[vm] {
					f.request(vm)
				}
				for f.running[vm] > 0 && f.rng.IntN(8) == 0 {
					f.running[vm]--
					f.cores[vm].Release("a")
				}
			}
			rate, running := f.outstanding()
			worstRate, worstRunning = max(worstRate, rate), max(worstRunning, running)
			require.LessOrEqual(t, rate, f.limits.Rate*1.0001, "seed %d step %d", seed, n)
			require.LessOrEqual(t, running, f.limits.Concurrent+vms, "seed %d step %d", seed, n)
		}
		for _, n := range f.admitted {
			require.LessOrEqual(t, float64(n), f.limits.Rate+float64(f.limits.Burst+vms)+f.limits.Rate/float64(vms), "a second's requests")
		}
		peak = max(peak, f.peak)
		admitted += f.total
		refused += f.refused
	}
	t.Logf("%d admitted, %d refused; at worst %.1f requests a second and %d concurrent were allotted of 400 and 64, at most %d ran", admitted, refused, worstRate, worstRunning, peak)
	require.Greater(t, refused, 1000)
}

func (f *fleet) request(vm int) {
	if f.cores[vm].Admit("a", f.limits, 3, f.now) != nil {
		f.refused++
		return
	}
	f.running[vm]++
	f.total++
	f.admitted[f.now.Unix()]++
	sum, over := 0, 0
	for i, n := range f.running {
		sum += n
		if t := f.cores[i].teams["a"]; t != nil {
			_, held := f.cores[i].held(t, f.now)
			over += max(0, n-held)
		}
	}
	// What ran before a share shrank runs on.
	require.LessOrEqual(f.t, sum, f.limits.Concurrent+len(f.cores)+over)
	f.peak = max(f.peak, sum)
}

// TestSharesFollowDemand gives nearly the whole limit to the one VM that has
// all the demand, and back when another one has it.
func TestSharesFollowDemand(t *testing.T) {
	f := newFleet(t, 1, 8)
	a := NewAllocator(fleetTTL)
	for _, busy := range []int{2, 5} {
		done := 0
		for n := range 1500 {
			f.now = f.now.Add(10 * ms)
			for range 8 { // 800 requests a second
				if f.cores[busy].Admit("a", f.limits, 3, f.now) == nil {
					f.cores[busy].Release("a")
					if n >= 1000 {
						done++
					}
				}
			}
			if n%100 == 0 {
				for _, c := range f.cores {
					c.Admit("a", f.limits, 3, f.now)
					c.Release("a")
					c.Apply(a.Handle(c.Report("0", f.now), func(string) (Limits, bool) { return f.limits, true }, f.now), f.now)
				}
			}
		}
		t.Logf("VM %d admits %d of %g requests a second", busy, done/5, f.limits.Rate)
		require.Greater(t, float64(done)/5, 0.75*f.limits.Rate)
	}
}

// TestLargeTeamDoesNotStarveSmallOne counts what a small team gets beside one
// that asks for ten times the VM's capacity.
func TestLargeTeamDoesNotStarveSmallOne(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	c := NewCore("vm", 40)
	l := Limits{Rate: 1e6, Burst: 1e6, Concurrent: 1e6}
	var running []string
	asked, got := 0, 0
	now := t0
	for range 20_000 {
		now = now.Add(ms)
		for range 4 {
			if c.Admit("large", l, 3, now) == nil {
				running = append(running, "large")
			}
		}
		if rng.IntN(20) == 0 {
			asked++
			if c.Admit("small", l, 3, now) == nil {
				got++
				running = append(running, "small")
			}
		}
		for len(running) > 0 && rng.IntN(3) == 0 {
			i := rng.IntN(len(running))
			c.Release(running[i])
			running = append(running[:i], running[i+1:]...)
		}
	}
	require.Greater(t, float64(got), 0.99*float64(asked), "%d of %d", got, asked)
}

// link calls another controller directly, unless it is cut.
type link struct {
	to  map[string]*Controller
	cut *atomic.Bool
}

func (l link) Call(_ context.Context, addr string, _ peer.Type, in, out any) error {
	c, ok := l.to[addr]
	if l.cut.Load() || !ok {
		return errors.New("cut")
	}
	body, err := cbor.Marshal(in)
	if err != nil {
		return err
	}
	var r Report
	if err := cbor.Unmarshal(body, &r); err != nil {
		return err
	}
	g, err := c.Handle(r)
	if err == nil {
		*out.(*Grant) = g
	}
	return err
}

func TestControllers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		team := &document.Team{Name: "a", RequestsPerSecond: 400, Burst: 40, Concurrent: 400}
		all := map[string]*Controller{}
		var cut atomic.Bool
		var view membership.View
		for i := range 4 {
			view.Members = append(view.Members, membership.Member{VM: fmt.Sprint("vm", i), Router: fmt.Sprint("vm", i), Status: membership.Alive})
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for _, m := range view.Members {
			all[m.VM] = New(Config{VM: m.VM}, link{all, &cut}, func(string) (Limits, bool) { return LimitsOf(team), true }, nil)
		}
		for _, c := range all {
			c.SetView(view, 4)
			go c.Run(ctx)
		}
		// load asks 25 s long for 800 requests a second at one VM and counts
		// the last five.
		load := func() (n int) {
			for i := range 2500 {
				for range 8 {
					if release, err := all["vm1"].Admit(team, 3, time.Now()); err == nil {
						release()
						release()
						if i >= 2000 {
							n++
						}
					}
				}
				time.Sleep(10 * ms)
			}
			return n / 5
		}
		require.Greater(t, load(), 250, "one VM's demand draws the other VMs' shares")
		cut.Store(true)
		time.Sleep(2 * shareTTL)
		got := load()
		require.InDelta(t, 100, got, 10, "cut off, a VM keeps to its quarter")
		cut.Store(false)
		require.Greater(t, load(), 250, "healed, it draws them again")
	})
}

// TestSilentVMKeepsItsFloor lets a VM with a small share go silent: it may
// raise the share to its floor two TTLs later, and by then nobody else holds it.
func TestSilentVMKeepsItsFloor(t *testing.T) {
	f := newFleet(t, 1, 2)
	a := NewAllocator(fleetTTL)
	ask := func(vm int, hear bool) {
		f.cores[vm].Admit("a", f.limits, 3, f.now)
		f.cores[vm].Release("a")
		g := a.Handle(f.cores[vm].Report("0", f.now), func(string) (Limits, bool) { return f.limits, true }, f.now)
		if hear {
			f.cores[vm].Apply(g, f.now)
		}
	}
	for n := range 400 {
		f.now = f.now.Add(100 * ms)
		for range 60 {
			if f.cores[0].Admit("a", f.limits, 3, f.now) == nil {
				f.cores[0].Release("a")
			}
		}
		if n%10 == 0 {
			ask(0, true)
			ask(1, n < 200) // its reports arrive, the answers are lost
		}
		rate, _ := f.outstanding()
		require.LessOrEqual(t, rate, f.limits.Rate*1.0001, "at %s", f.now.Sub(t0))
		if n == 199 {
			r, _ := f.cores[0].held(f.cores[0].teams["a"], f.now)
			require.Greater(t, r, 0.8*f.limits.Rate)
		}
	}
	r, _ := f.cores[1].held(f.cores[1].teams["a"], f.now)
	require.InDelta(t, f.limits.Rate/2, r, 1)
}

func TestReleaseCountsOnce(t *testing.T) {
	c := New(Config{VM: "vm"}, nil, nil, nil)
	team := &document.Team{Name: "a", RequestsPerSecond: 10, Burst: 10, Concurrent: 2}
	first, err := c.Admit(team, 3, t0)
	require.NoError(t, err)
	_, err = c.Admit(team, 3, t0)
	require.NoError(t, err)
	first()
	first()
	_, err = c.Admit(team, 3, t0)
	require.NoError(t, err)
	_, err = c.Admit(team, 3, t0)
	require.True(t, result.Is(err, result.TeamOverLimit))
}

func BenchmarkAdmit(b *testing.B) {
	c := New(Config{VM: "vm"}, nil, nil, nil)
	team := &document.Team{Name: "a", RequestsPerSecond: 1e9, Burst: 1e9, Concurrent: 1e9}
	b.ReportAllocs()
	for b.Loop() {
		release, err := c.Admit(team, 3, time.Now())
		if err != nil {
			b.Fatal(err)
		}
		release()
	}
}
