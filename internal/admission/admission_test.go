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
			"the burst is admitted, then Retry-After is the time to the next token", 1, 100, 0,
			join(times(5, step{team: "a"}), []step{{team: "a", code: result.TeamOverLimit, retry: 100 * ms}, {at: 100 * ms, team: "a"}}),
		},
		{
			"an idle hour accumulates no more tokens than the burst", 1, 100, 0,
			join([]step{{team: "a"}}, times(5, step{at: time.Hour, team: "a"}), []step{{at: time.Hour, team: "a", code: result.TeamOverLimit, retry: 100 * ms}}),
		},
		{
			"requests in flight are limited independently of the rate", 1, 100, 0,
			join(times(5, step{team: "a"}), times(3, step{at: time.Second, team: "a"}), []step{
				{at: time.Second, team: "a", code: result.TeamOverLimit, retry: overloadRetryAfter}, {team: "a", release: true}, {at: time.Second, team: "a"},
			}),
		},
		{
			"without an allocator each of four VMs has a quarter", 4, 100, 0,
			[]step{{team: "a"}, {team: "a", code: result.TeamOverLimit, retry: 300 * ms}, {at: 400 * ms, team: "a"}, {at: 800 * ms, team: "a", code: result.TeamOverLimit, retry: overloadRetryAfter}},
		},
		{
			"each VM may run one request, whatever the number of VMs", 100, 100, 0,
			[]step{{team: "a"}, {team: "a", code: result.TeamOverLimit, retry: overloadRetryAfter}},
		},
		{
			"at half saturation teams below their fair share are admitted", 1, 100, 0.5,
			[]step{{team: "a", priority: 9}, {team: "a", priority: 0}},
		},
		{
			"a VM at its capacity rejects requests", 1, 4, 0,
			join(times(5, step{team: "a"})[:4], []step{{team: "a", code: result.Overloaded, retry: overloadRetryAfter}}),
		},
		{
			"a large team leaves capacity for a small one", 1, 8, 0,
			join(times(5, step{team: "a"}), times(3, step{at: time.Second, team: "a"}), []step{
				{at: time.Second, team: "c", priority: 9}, {at: time.Second, team: "c", priority: 9},
			}),
		},
		{
			"under saturation only the team above its fair share is rejected", 1, 4, 0.9,
			[]step{{team: "a", priority: 3}, {team: "b", priority: 3}, {team: "a", priority: 3}, {team: "a", priority: 3, code: result.Overloaded, retry: overloadRetryAfter}, {team: "b", priority: 3}, {team: "a", priority: 0, code: result.Overloaded, retry: overloadRetryAfter}},
		},
		{
			"at full saturation no request is admitted", 1, 4, 1,
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

// fleet simulates the cores of several VMs. Reports are delayed or lost, VMs are
// partitioned, and the allocator changes.
type fleet struct {
	t           *testing.T
	rng         *rand.Rand
	now         time.Time
	limits      Limits
	cores       []*Core
	allocs      map[int]*Allocator
	allocatorOf []int // the allocator in each VM's view
	partition   []int
	inFlight    []int
	delayed     []delayedGrant
	// admitted counts the admitted requests of each second.
	admitted      map[int64]int
	totalAdmitted int
	rejected      int
	peakInFlight  int
}

type delayedGrant struct {
	deliverAt, sent time.Time
	vm              int
	grant           Grant
}

const fleetTTL = 4 * time.Second

func newFleet(t *testing.T, seed uint64, vms int) *fleet {
	f := &fleet{
		t: t, rng: rand.New(rand.NewPCG(seed, 8)), now: t0, limits: Limits{Rate: 400, Burst: 80, Concurrent: 64},
		allocs: map[int]*Allocator{}, allocatorOf: make([]int, vms), partition: make([]int, vms), inFlight: make([]int, vms), admitted: map[int64]int{},
	}
	for i := range vms {
		f.cores = append(f.cores, NewCore(fmt.Sprint("vm", i), 10_000))
		f.cores[i].SetKnownVMs(vms)
	}
	return f
}

func (f *fleet) report(vm int) {
	allocatorVM := f.allocatorOf[vm]
	for _, g := range f.delayed {
		if g.vm == vm {
			return // one exchange at a time
		}
	}
	r := f.cores[vm].Report(fmt.Sprint(allocatorVM), f.now)
	if f.partition[vm] != f.partition[allocatorVM] || f.allocatorOf[allocatorVM] != allocatorVM || f.rng.IntN(20) == 0 {
		return // partitioned, not the allocator by its own view, or report lost
	}
	a := f.allocs[allocatorVM]
	if a == nil {
		a = NewAllocator(fleetTTL)
		f.allocs[allocatorVM] = a
	}
	g := a.Allocate(r, func(string) (Limits, bool) { return f.limits, true }, f.now)
	if f.rng.IntN(20) == 0 {
		return // the answer is lost
	}
	f.delayed = append(f.delayed, delayedGrant{f.now.Add(time.Duration(f.rng.IntN(400)) * ms), f.now, vm, g})
}

func (f *fleet) deliverGrants() {
	pending := f.delayed[:0]
	for _, g := range f.delayed {
		if f.now.Before(g.deliverAt) {
			pending = append(pending, g)
			continue
		}
		f.cores[g.vm].Apply(g.grant, g.sent)
	}
	f.delayed = pending
}

// changeAllocator changes the allocator in the view of most, not all, VMs.
func (f *fleet) changeAllocator(allocator int) {
	for vm := range f.allocatorOf {
		if f.rng.IntN(3) > 0 {
			f.allocatorOf[vm] = allocator
			if vm != allocator {
				delete(f.allocs, vm)
			}
		}
	}
}

// totalShares sums the shares that all VMs may use now.
func (f *fleet) totalShares() (rate float64, concurrent int) {
	for _, c := range f.cores {
		t := c.teams["a"]
		if t == nil {
			t = &team{limits: f.limits}
		}
		r, n := c.currentShare(t, f.now)
		rate += r
		concurrent += n
	}
	return rate, concurrent
}

// TestFleetStaysWithinItsLimits guards against shares that exceed the limit
// together. It moves demand between VMs while reports and answers are lost or
// delayed, VMs are partitioned and the allocator changes.
func TestFleetStaysWithinItsLimits(t *testing.T) {
	const vms = 6
	worstRate, worstConcurrent, admitted, rejected, peakInFlight := 0.0, 0, 0, 0, 0
	for seed := range soak.Seeds(10, 6_000) {
		f := newFleet(t, seed, vms)
		load := make([]int, vms)
		for n := range 6000 {
			f.now = f.now.Add(time.Duration(f.rng.IntN(20)) * ms)
			f.deliverGrants()
			switch k := f.rng.IntN(1000); {
			case k == 0:
				f.changeAllocator(f.rng.IntN(vms))
			case k < 2:
				for vm := range f.partition {
					f.partition[vm] = f.rng.IntN(2)
				}
			case k < 3:
				clear(f.partition)
			case k < 10:
				for vm := range load {
					load[vm] = f.rng.IntN(4)
				}
			}
			if n%15 < vms {
				f.report(n % 15)
			}
			for vm := range f.cores {
				for range load[vm] {
					f.request(vm)
				}
				for f.inFlight[vm] > 0 && f.rng.IntN(8) == 0 {
					f.inFlight[vm]--
					f.cores[vm].Release("a")
				}
			}
			rate, concurrent := f.totalShares()
			worstRate, worstConcurrent = max(worstRate, rate), max(worstConcurrent, concurrent)
			require.LessOrEqual(t, rate, f.limits.Rate*1.0001, "seed %d step %d", seed, n)
			require.LessOrEqual(t, concurrent, f.limits.Concurrent+vms, "seed %d step %d", seed, n)
		}
		for _, n := range f.admitted {
			require.LessOrEqual(t, float64(n), f.limits.Rate+float64(f.limits.Burst+vms)+f.limits.Rate/float64(vms), "a second's requests")
		}
		peakInFlight = max(peakInFlight, f.peakInFlight)
		admitted += f.totalAdmitted
		rejected += f.rejected
	}
	t.Logf("%d admitted, %d rejected; maximum of the shares: %.1f of 400 requests a second, %d of 64 concurrent; at most %d requests in flight", admitted, rejected, worstRate, worstConcurrent, peakInFlight)
	require.Greater(t, rejected, 1000)
}

func (f *fleet) request(vm int) {
	if f.cores[vm].Admit("a", f.limits, 3, f.now) != nil {
		f.rejected++
		return
	}
	f.inFlight[vm]++
	f.totalAdmitted++
	f.admitted[f.now.Unix()]++
	sum, overShare := 0, 0
	for i, n := range f.inFlight {
		sum += n
		if t := f.cores[i].teams["a"]; t != nil {
			_, share := f.cores[i].currentShare(t, f.now)
			overShare += max(0, n-share)
		}
	}
	// Requests that were admitted before a share shrank continue.
	require.LessOrEqual(f.t, sum, f.limits.Concurrent+len(f.cores)+overShare)
	f.peakInFlight = max(f.peakInFlight, sum)
}

// TestSharesFollowDemand checks that a VM with all the demand gets most of the
// limit, and that another VM gets it when the demand moves there.
func TestSharesFollowDemand(t *testing.T) {
	f := newFleet(t, 1, 8)
	a := NewAllocator(fleetTTL)
	for _, busy := range []int{2, 5} {
		admitted := 0
		for n := range 1500 {
			f.now = f.now.Add(10 * ms)
			for range 8 { // 800 requests a second
				if f.cores[busy].Admit("a", f.limits, 3, f.now) == nil {
					f.cores[busy].Release("a")
					if n >= 1000 {
						admitted++
					}
				}
			}
			if n%100 == 0 {
				for _, c := range f.cores {
					c.Admit("a", f.limits, 3, f.now)
					c.Release("a")
					c.Apply(a.Allocate(c.Report("0", f.now), func(string) (Limits, bool) { return f.limits, true }, f.now), f.now)
				}
			}
		}
		t.Logf("VM %d admits %d of %g requests a second", busy, admitted/5, f.limits.Rate)
		require.Greater(t, float64(admitted)/5, 0.75*f.limits.Rate)
	}
}

// TestLargeTeamDoesNotStarveSmallOne guards against a large team displacing the
// requests of a small one. It counts the small team's admitted requests while the
// large team asks for ten times the VM's capacity.
func TestLargeTeamDoesNotStarveSmallOne(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	c := NewCore("vm", 40)
	l := Limits{Rate: 1e6, Burst: 1e6, Concurrent: 1e6}
	var inFlight []string
	requested, admitted := 0, 0
	now := t0
	for range 20_000 {
		now = now.Add(ms)
		for range 4 {
			if c.Admit("large", l, 3, now) == nil {
				inFlight = append(inFlight, "large")
			}
		}
		if rng.IntN(20) == 0 {
			requested++
			if c.Admit("small", l, 3, now) == nil {
				admitted++
				inFlight = append(inFlight, "small")
			}
		}
		for len(inFlight) > 0 && rng.IntN(3) == 0 {
			i := rng.IntN(len(inFlight))
			c.Release(inFlight[i])
			inFlight = append(inFlight[:i], inFlight[i+1:]...)
		}
	}
	require.Greater(t, float64(admitted), 0.99*float64(requested), "%d of %d", admitted, requested)
}

// link calls another controller directly, or fails while partitioned is set.
type link struct {
	to          map[string]*Controller
	partitioned *atomic.Bool
}

func (l link) Call(_ context.Context, addr string, _ peer.Type, in, out any) error {
	c, ok := l.to[addr]
	if l.partitioned.Load() || !ok {
		return errors.New("partitioned")
	}
	body, err := cbor.Marshal(in)
	if err != nil {
		return err
	}
	var r DemandReport
	if err := cbor.Unmarshal(body, &r); err != nil {
		return err
	}
	g, err := c.Allocate(r)
	if err == nil {
		*out.(*Grant) = g
	}
	return err
}

func TestControllers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		team := &document.Team{Name: "a", RequestsPerSecond: 400, Burst: 40, Concurrent: 400}
		all := map[string]*Controller{}
		var partitioned atomic.Bool
		var view membership.View
		for i := range 4 {
			view.Members = append(view.Members, membership.Member{VM: fmt.Sprint("vm", i), Router: fmt.Sprint("vm", i), Status: membership.Alive})
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for _, m := range view.Members {
			all[m.VM] = New(Config{VM: m.VM}, link{all, &partitioned}, func(string) (Limits, bool) { return LimitsOf(team), true }, nil)
		}
		for _, c := range all {
			c.SetView(view, 4)
			go c.Run(ctx)
		}
		// load sends 800 requests a second to one VM for 25 s and returns the
		// admitted requests a second of the last 5 s.
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
		require.Greater(t, load(), 250, "the VM with all the demand gets the other VMs' shares")
		partitioned.Store(true)
		time.Sleep(2 * shareTTL)
		got := load()
		require.InDelta(t, 100, got, 10, "a partitioned VM falls back to its quarter")
		partitioned.Store(false)
		require.Greater(t, load(), 250, "after the partition the VM gets the other VMs' shares again")
	})
}

// TestSilentVMKeepsItsFloor guards against the limit being exceeded by a VM with a
// small share that receives no more grants. The VM may raise its share to the floor
// two TTLs later, and no other VM may have a share of that floor by then.
func TestVMWithoutGrantsRegainsFloor(t *testing.T) {
	f := newFleet(t, 1, 2)
	a := NewAllocator(fleetTTL)
	exchange := func(vm int, receiveGrant bool) {
		f.cores[vm].Admit("a", f.limits, 3, f.now)
		f.cores[vm].Release("a")
		g := a.Allocate(f.cores[vm].Report("0", f.now), func(string) (Limits, bool) { return f.limits, true }, f.now)
		if receiveGrant {
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
			exchange(0, true)
			exchange(1, n < 200) // later its reports arrive, but the answers are lost
		}
		rate, _ := f.totalShares()
		require.LessOrEqual(t, rate, f.limits.Rate*1.0001, "at %s", f.now.Sub(t0))
		if n == 199 {
			r, _ := f.cores[0].currentShare(f.cores[0].teams["a"], f.now)
			require.Greater(t, r, 0.8*f.limits.Rate)
		}
	}
	r, _ := f.cores[1].currentShare(f.cores[1].teams["a"], f.now)
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
