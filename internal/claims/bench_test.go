package claims

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/platform"
	"github.com/cranberrypier/cranberrypier/internal/platform/memory"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// claimRate is the rate of the benchmarks, in claims per second.
const claimRate = 440

func reportDelays(b *testing.B, delays []time.Duration) {
	slices.Sort(delays)
	b.ReportMetric(float64(delays[len(delays)/2].Microseconds())/1000, "ms-p50")
	b.ReportMetric(float64(delays[len(delays)*99/100].Microseconds())/1000, "ms-p99")
}

// BenchmarkModel measures the cores in virtual time: store calls per second and
// the time from arrival to start, at 440 claims/s over 8 VMs and with a store that
// answers in 0 to 7 ms. The rows differ in the error of the callers' clocks.
func BenchmarkModel(b *testing.B) {
	for _, row := range []struct {
		name    string
		callers int
		offset  time.Duration
	}{
		{"clocks=exact", 1, 0},
		{"clocks=50-callers-within-1s", 50, time.Second},
		{"clocks=50-callers-within-30s", 50, 30 * time.Second},
	} {
		b.Run(row.name, func(b *testing.B) {
			for b.Loop() {
				w := newWorld(3, 8, mutation{})
				w.faults, w.noRefusals = false, true
				for _, v := range w.vms {
					v.clockSkew = 0
					w.boot(v)
				}
				offsets := make([]time.Duration, row.callers)
				for i := range offsets {
					offsets[i] = time.Duration((w.rng.Float64()*2 - 1) * float64(row.offset))
				}
				const span = 60 * time.Second
				var traffic func()
				traffic = func() {
					w.arriveWithOffset(offsets[w.rng.IntN(len(offsets))])
					w.after(time.Duration(w.rng.ExpFloat64()*float64(time.Second)/claimRate), traffic)
				}
				traffic()
				w.runUntil(1<<60, w.now.Add(span))
				b.ReportMetric(float64(w.writes)/span.Seconds(), "writes/s")
				b.ReportMetric(float64(w.reads)/span.Seconds(), "reads/s")
				b.ReportMetric(float64(w.writtenBytes)/span.Seconds()/1e6, "MB/s")
				reportDelays(b, w.startDelays)
			}
		})
	}
}

func (w *world) arriveWithOffset(offset time.Duration) {
	k := &simKey{key: Key{Team: "a", Value: fmt.Sprint("key", len(w.keys)), IssuedAt: w.now.Add(offset)}}
	k.digest = k.key.Digest()
	w.keys = append(w.keys, k)
	w.keyByDigest[k.digest] = k
	w.arrive(k, w.vms[w.rng.IntN(len(w.vms))], false)
}

// BenchmarkService measures the services in real time with the memory store, whose
// calls take 3 ms each. The baseline uses one object per key, with a create before
// the run and an update after it. Each benchmark runs for 5 s.
func BenchmarkService(b *testing.B) {
	slow := func(context.Context, memory.Op) memory.Fault { time.Sleep(3 * time.Millisecond); return memory.None }
	run := func(context.Context) Outcome {
		time.Sleep(50 * time.Millisecond)
		return Outcome{Run: result.Ran, Status: 201, Body: []byte("confirmed")}
	}
	b.Run("journals", func(b *testing.B) {
		for b.Loop() {
			f := newFleet(8)
			f.store.SetHook(slow)
			generateLoad(b, f.store, func(i int, began time.Time) time.Duration {
				var started time.Duration
				_, err := f.vms[i%8].Do(context.Background(), request(newKey(b)), func(ctx context.Context) Outcome {
					started = time.Since(began)
					return run(ctx)
				})
				require.NoError(b, err)
				return started
			})
			for _, stop := range f.stop {
				stop()
			}
		}
	})
	b.Run("object-a-key", func(b *testing.B) {
		for b.Loop() {
			st := memory.New()
			st.SetHook(slow)
			generateLoad(b, st, func(i int, began time.Time) time.Duration {
				ctx, name := context.Background(), fmt.Sprint("key", i)
				v, err := st.Create(ctx, platform.KindJournal, name, []byte("claimed"))
				require.NoError(b, err)
				started := time.Since(began)
				out := run(ctx)
				_, err = st.Update(ctx, platform.KindJournal, name, v, out.Body)
				require.NoError(b, err)
				return started
			})
		}
	})
}

// generateLoad calls do at claimRate for 5 s at random times and reports the
// measurements.
func generateLoad(b *testing.B, st *memory.Store, do func(i int, start time.Time) time.Duration) {
	const span = 5 * time.Second
	rng := rand.New(rand.NewPCG(1, 1))
	var mu sync.Mutex
	var wg sync.WaitGroup
	var delays []time.Duration
	start := time.Now()
	at := start
	for i := 0; at.Sub(start) < span; i++ {
		at = at.Add(time.Duration(rng.ExpFloat64() * float64(time.Second) / claimRate))
		time.Sleep(time.Until(at))
		wg.Go(func() {
			d := do(i, time.Now())
			mu.Lock()
			delays = append(delays, d)
			mu.Unlock()
		})
	}
	wg.Wait()
	writes := st.CallsOf(memory.Create, platform.KindJournal) + st.CallsOf(memory.Update, platform.KindJournal)
	b.ReportMetric(float64(writes)/span.Seconds(), "writes/s")
	b.ReportMetric(float64(st.CallsOf(memory.Get, platform.KindJournal))/span.Seconds(), "reads/s")
	reportDelays(b, delays)
}

// BenchmarkCore measures the CPU time of one claim and its outcome in the core of
// the home VM, including the encoding of the journal, at 11 claims per write and
// 440 claims per journal.
func BenchmarkCore(b *testing.B) {
	c := NewCore("vm", 1, simSecret, Limits{TargetWriteRate: 1e9})
	now := time.UnixMilli(1_800_000_000_000)
	stored := map[string]platform.Object{}
	var rev platform.Version
	var id ArrivalID
	var step func(m Message)
	step = func(m Message) {
		for _, a := range c.Step(now, m) {
			switch a := a.(type) {
			case ReadJournal:
				step(StoreRead{Op: a.Op, Journal: a.Journal, Object: stored[a.Journal.Name()]})
			case WriteJournal:
				rev++
				stored[a.Journal.Name()] = platform.Object{Version: rev, Value: a.Value}
				step(StoreWritten{Op: a.Op, Journal: a.Journal, Version: rev})
			case Start:
				step(RunEnded{Digest: a.Digest, ClaimNumber: a.ClaimNumber, Outcome: Outcome{Run: result.Ran, Status: 201, Body: []byte("confirmed")}})
			}
		}
	}
	for b.Loop() {
		id++
		k := Key{Team: "a", Value: fmt.Sprint(id), IssuedAt: now}
		step(Arrival{ID: id, Request: Request{Key: k, Fingerprint: "body"}})
		if id%11 == 0 {
			now = now.Add(25 * time.Millisecond)
			step(Tick{})
		}
		if len(stored) > 100 {
			clear(stored)
		}
	}
}
