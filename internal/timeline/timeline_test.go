package timeline

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// vm is a process with a wall clock of its own that may run wrong.
type vm struct {
	skew time.Duration
	now  *time.Time
	log  *Log
	clk  *Clock
}

func newVM(name string, now *time.Time, skew time.Duration, capacity int) *vm {
	v := &vm{skew: skew, now: now}
	v.clk = NewClock(func() time.Time { return v.now.Add(v.skew) })
	v.log = NewLog(v.clk, Origin{VM: name, Role: "router", Incarnation: 1}, capacity)
	return v
}

// TestCausesComeBeforeEffects sends messages between VMs with wrong and
// stepping clocks: the merged order has each cause before its effect, and
// does not depend on the order of the lists.
func TestCausesComeBeforeEffects(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		now := time.UnixMilli(1_000_000)
		var vms []*vm
		for i := range 4 {
			vms = append(vms, newVM(fmt.Sprint("vm-", i), &now, time.Duration(rng.IntN(50_000))*time.Millisecond, 10_000))
		}
		var cause, effect []string
		for i := range 1000 {
			now = now.Add(time.Duration(rng.IntN(3)) * time.Millisecond)
			from, to := vms[rng.IntN(len(vms))], vms[rng.IntN(len(vms))]
			if rng.IntN(50) == 0 {
				from.skew -= time.Duration(rng.IntN(400)) * time.Millisecond
			}
			if from == to {
				continue
			}
			sent, got := fmt.Sprint("sent-", i), fmt.Sprint("got-", i)
			from.log.Record("", sent)
			require.True(t, to.clk.Observe(from.clk.Now()), "skews stay below the bound")
			to.log.Record("", got)
			cause, effect = append(cause, sent), append(effect, got)
		}
		var lists [][]Event
		for _, v := range vms {
			lists = append(lists, v.log.Read(0, "", math.MaxInt))
		}
		merged := Merge(lists...)
		at := make(map[string]int)
		for i, e := range merged {
			at[e.Name] = i
		}
		for i := range cause {
			require.Less(t, at[cause[i]], at[effect[i]], "seed %d", seed)
		}
		rng.Shuffle(len(lists), func(i, j int) { lists[i], lists[j] = lists[j], lists[i] })
		require.Equal(t, merged, Merge(append(lists, lists[0])...), "a list given twice adds nothing")
		require.Empty(t, Gaps(merged))
	}
}

func TestClockEdges(t *testing.T) {
	now := time.UnixMilli(1000)
	c := NewClock(func() time.Time { return now })
	assert.Equal(t, Stamp{WallMS: 1000}, c.Now())
	assert.Equal(t, Stamp{WallMS: 1000, Count: 1}, c.Now())
	now = now.Add(-time.Second)
	assert.Equal(t, Stamp{WallMS: 1000, Count: 2}, c.Now(), "the wall clock stepped back")
	assert.False(t, c.Observe(Stamp{WallMS: now.UnixMilli() + maxDrift + 1}), "too far ahead")
	assert.Equal(t, Stamp{WallMS: 1000, Count: 3}, c.Now())
	assert.True(t, c.Observe(Stamp{WallMS: 2000, Count: math.MaxUint32}))
	assert.Equal(t, Stamp{WallMS: 2001}, c.Now(), "the counter is full")
}

func TestRingDropsOldestAndShowsTheGap(t *testing.T) {
	now := time.UnixMilli(1)
	v := newVM("vm-1", &now, 0, 4)
	v.log.Record("r", "first")
	before := v.log.Read(0, "", 100)
	for i := range 6 {
		v.log.Record("", fmt.Sprint("e", i), F("i", "x"))
	}
	after := v.log.Read(before[0].Sequence, "", 100)
	assert.Len(t, after, 4)
	assert.Equal(t, []Gap{{VM: "vm-1", Role: "router", Incarnation: 1, From: 2, To: 3}}, Gaps(Merge(before, after)))
	assert.Empty(t, v.log.Read(0, "r", 100), "the request's event was dropped")
	assert.Len(t, v.log.Read(5, "", 1), 1)
}

func TestReadsContinueAndRestart(t *testing.T) {
	now := time.UnixMilli(5000)
	v := newVM("vm-1", &now, 0, 5000)
	for range 2500 {
		v.log.Record("", "e")
	}
	var got []Event
	q := ReadRequest{Incarnation: 1}
	for {
		r := v.log.Serve(q)
		got = append(got, r.Events...)
		q.Since = r.Next
		if !r.More {
			break
		}
	}
	assert.Len(t, got, 2500)
	assert.Empty(t, Gaps(got))
	assert.Empty(t, v.log.Serve(q).Events)
	q.Incarnation = 9
	assert.Len(t, v.log.Serve(q).Events, MaxEventsPerRead, "another incarnation's sequence counts for nothing")
	assert.Empty(t, v.log.Serve(ReadRequest{Incarnation: 1, SinceMS: 5001}).Events)
	v.log.Serve(ReadRequest{Stamp: Stamp{WallMS: 7000}})
	assert.True(t, Stamp{WallMS: 7000}.Less(v.clk.Now()), "the asker's stamp is observed")
}

func TestRecordingFromManyGoroutines(t *testing.T) {
	now := time.UnixMilli(1)
	v := newVM("vm-1", &now, 0, 100)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 1000 {
				v.log.Record("", "e")
				v.log.Read(0, "", 1)
			}
		})
	}
	wg.Wait()
	events := v.log.Read(0, "", 1000)
	require.Len(t, events, 100)
	for i := 1; i < len(events); i++ {
		require.True(t, events[i-1].Stamp.Less(events[i].Stamp))
	}
	assert.Equal(t, uint64(8000), v.log.LastSequence())
}

func BenchmarkRecord(b *testing.B) {
	l := NewLog(NewClock(time.Now), Origin{VM: "vm-1"}, 8192)
	b.ReportAllocs()
	for b.Loop() {
		l.Record("r", "claims.granted")
	}
}
