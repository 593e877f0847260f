package membership

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/invariant"
	"github.com/cranberrypier/cranberrypier/internal/soak"
)

func TestMain(m *testing.M) {
	invariant.Strict.Store(true)
	m.Run()
}

// converged returns an error when the view of a running node differs from the
// actual state of the fleet.
func (f *fleet) converged() error {
	for _, n := range f.nodes {
		if !n.up {
			continue
		}
		seen := map[string]Member{}
		for _, m := range n.state.View().Members {
			seen[m.VM] = m
		}
		for _, o := range f.nodes {
			m, ok := seen[o.vm]
			if o.up && (!ok || m.Status != Alive || m.Incarnation < o.incarnation) {
				return fmt.Errorf("%s sees %s as %+v, which is running with incarnation %d", n.vm, o.vm, m, o.incarnation)
			}
			if !o.up && ok && m.Status != Dead {
				return fmt.Errorf("%s sees %s as %s, which is not running", n.vm, o.vm, m.Status)
			}
		}
	}
	return nil
}

func (f *fleet) awaitConvergence(t *testing.T, limit time.Duration, what string) time.Duration {
	begin := f.now
	for f.now.Sub(begin) < limit {
		f.run(100 * time.Millisecond)
		if f.converged() == nil {
			return f.now.Sub(begin)
		}
	}
	require.NoError(t, f.converged(), "%s, after %v", what, limit)
	return limit
}

func TestViewsConverge(t *testing.T) {
	between := func(zones ...string) func(a, b *node) bool {
		in := map[string]bool{}
		for _, z := range zones {
			in[z] = true
		}
		return func(a, b *node) bool { return in[a.zone] != in[b.zone] }
	}
	rows := []struct {
		name  string
		limit time.Duration
		fault func(f *fleet)
	}{
		{"all VMs see a killed VM as dead", 20 * time.Second, func(f *fleet) { f.nodes[4].up = false }},
		{"all VMs see a zone whose VMs are all killed as dead", 45 * time.Second, func(f *fleet) {
			for i := 1; i < 9; i += 3 {
				f.nodes[i].up = false
			}
		}},
		{"a restarted VM is alive with a higher incarnation", 15 * time.Second, func(f *fleet) {
			f.nodes[4].up = false
			f.run(20 * time.Second)
			f.startProcess(f.nodes[4])
		}},
		{"a restart too fast to be detected replaces the incarnation", 15 * time.Second, func(f *fleet) { f.startProcess(f.nodes[4]) }},
		{"a process whose clock was set back uses a higher incarnation", 20 * time.Second, func(f *fleet) {
			f.nodes[4].state.self.Incarnation = 5
			n := f.nodes[4]
			n.state = New(Config{Self: Record{VM: n.vm, Zone: n.zone, Agent: n.vm + ":1", Incarnation: 5}, Seeds: []string{"vm-001:1"}},
				rand.New(rand.NewPCG(1, 1)))
		}},
		{"a VM paused until it is declared dead recovers", 20 * time.Second, func(f *fleet) {
			f.nodes[4].frozen = true
			f.run(30 * time.Second)
			f.nodes[4].frozen = false
		}},
		{"all VMs paused at the same time recover", 20 * time.Second, func(f *fleet) {
			for _, n := range f.nodes {
				n.frozen = true
			}
			f.run(30 * time.Second)
			for _, n := range f.nodes {
				n.frozen = false
			}
		}},
		{"a zone partitioned for a minute recovers", 20 * time.Second, func(f *fleet) {
			f.isCut = between("az-1")
			f.run(time.Minute)
			f.isCut = func(_, _ *node) bool { return false }
		}},
		{"a partition inside a zone heals", 25 * time.Second, func(f *fleet) {
			f.isCut = func(a, b *node) bool { return (a.vm < "vm-004") != (b.vm < "vm-004") }
			f.run(time.Minute)
			f.isCut = func(_, _ *node) bool { return false }
		}},
		{"two VMs that can't reach each other stay alive", 10 * time.Second, func(f *fleet) {
			f.isCut = func(a, b *node) bool { return a != b && a.zone == b.zone && a.vm < "vm-004" && b.vm < "vm-004" }
			f.run(time.Minute)
		}},
		{"a quarter of the messages are lost", 20 * time.Second, func(f *fleet) {
			f.lossRate = 0.25
			f.run(time.Minute)
			f.lossRate = 0
		}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			f := newFleet(7, 3, 3)
			f.awaitConvergence(t, 20*time.Second, "start")
			row.fault(f)
			took := f.awaitConvergence(t, row.limit, row.name)
			t.Logf("converged after %v", took)
		})
	}
}

func TestAnnouncedLeaveIsSeenByAllVMs(t *testing.T) {
	f := newFleet(3, 3, 3)
	f.awaitConvergence(t, 20*time.Second, "start")
	f.perform(f.nodes[4], f.nodes[4].state.Step(f.now, SetSelf{Leaving: true}))
	f.run(5 * time.Second)
	for _, n := range f.nodes {
		require.Equal(t, Leaving, n.state.View().Members[4].Status)
	}
}

func TestSpeakersHaveEveryGenerationOfTheirZone(t *testing.T) {
	f := newFleet(5, 3, 8)
	f.awaitConvergence(t, 30*time.Second, "start")
	f.lossRate = 0.2
	for g := uint64(1); g <= 5; g++ {
		for _, n := range f.nodes {
			f.perform(n, n.state.Step(f.now, SetSelf{Generation: g, InForce: g}))
		}
		f.run(time.Second)
	}
	f.lossRate = 0
	f.run(5 * time.Second)
	for _, n := range f.nodes {
		for _, e := range n.state.ranked(n.zone)[:speakersPerZone] {
			for _, m := range f.byAddr[e.Agent].state.Members(n.zone) {
				require.Equal(t, uint64(5), m.Generation, "%s at speaker %s", m.VM, e.VM)
			}
		}
	}
}

// TestRandomSchedules kills, restarts, freezes and unfreezes VMs, partitions
// zones and drops messages. After the faults end, all views must converge.
func TestRandomSchedules(t *testing.T) {
	for seed := range soak.Seeds(30, 40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			f := newFleet(seed, 3, 4)
			f.run(5 * time.Second)
			for range 40 {
				f.injectFault()
				f.run(time.Duration(f.random.Int64N(int64(6 * time.Second))))
			}
			f.lossRate = 0
			f.isCut = func(_, _ *node) bool { return false }
			for _, n := range f.nodes {
				n.frozen = false
			}
			f.awaitConvergence(t, 45*time.Second, "after healing")
		})
	}
}

func (f *fleet) injectFault() {
	n := f.nodes[f.random.IntN(len(f.nodes))]
	switch f.random.IntN(7) {
	case 0:
		n.up = false
	case 1, 2:
		if !n.up {
			f.startProcess(n)
		}
	case 3:
		n.frozen = !n.frozen
	case 4:
		zone := fmt.Sprintf("az-%d", f.random.IntN(3))
		f.isCut = func(a, b *node) bool { return (a.zone == zone) != (b.zone == zone) }
	case 5:
		f.isCut = func(_, _ *node) bool { return false }
	case 6:
		f.lossRate = f.random.Float64() * 0.3
	}
}

// BenchmarkControlCost reports a node's messages, bytes sent and processor time
// per second without faults, with a new generation every 32 seconds.
func BenchmarkControlCost(b *testing.B) {
	for _, size := range []struct{ zones, perZone int }{{2, 4}, {4, 8}, {7, 18}, {7, 47}} {
		n := size.zones * size.perZone
		b.Run(fmt.Sprint("nodes=", n), func(b *testing.B) {
			f := newFleet(1, size.zones, size.perZone)
			f.run(90 * time.Second)
			for b.Loop() {
				b.StopTimer()
				for _, n := range f.nodes {
					n.sent, n.bytes = 0, 0
				}
				b.StartTimer()
				f.advanceGenerations(64 * time.Second)
			}
			seconds := 64.0
			most := 0
			total, sent := 0, 0
			for _, n := range f.nodes {
				total += n.bytes
				sent += n.sent
				most = max(most, n.bytes)
			}
			b.ReportMetric(float64(total)/float64(n)/seconds, "bytes/s/node")
			b.ReportMetric(float64(most)/seconds, "bytes/s/busiest")
			b.ReportMetric(float64(sent)/float64(n)/seconds, "messages/s/node")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n)/seconds/1e7, "%core/node")
			var m runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&m)
			b.ReportMetric(float64(m.HeapAlloc)/float64(n), "heap-bytes/node")
			require.NoError(b, f.converged())
		})
	}
}

func (f *fleet) advanceGenerations(d time.Duration) {
	for range int(d / (32 * time.Second)) {
		for _, n := range f.nodes {
			n.generation++
			f.perform(n, n.state.Step(f.now, SetSelf{Generation: n.generation, InForce: n.generation}))
		}
		f.run(32 * time.Second)
	}
}
