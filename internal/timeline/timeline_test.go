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

// vm is a process whose wall clock differs from now by skew.
type vm struct {
	skew  time.Duration
	now   *time.Time
	log   *Log
	clock *Clock
}

func newVM(name string, now *time.Time, skew time.Duration, capacity int) *vm {
	v := &vm{skew: skew, now: now}
	v.clock = NewClock(func() time.Time { return v.now.Add(v.skew) })
	v.log = NewLog(v.clock, Origin{VM: name, Role: "router", Incarnation: 1}, capacity)
	return v
}

// TestCausesComeBeforeEffects guards against a merged order in which an
// event precedes its cause. Messages are sent between VMs with skewed clocks
// that step backwards. The merged order must not depend on the order of the
// lists.
func TestCausesComeBeforeEffects(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		now := time.UnixMilli(1_000_000)
		var vms []*vm
		for i := range 4 {
			vms = append(vms, newVM(fmt.Sprint("vm-", i), &now, time.Duration(rng.IntN(50_000))*time.Millisecond, 10_000))
		}
		var causes, effects []string
		for i := range 1000 {
			now = now.Add(time.Duration(rng.IntN(3)) * time.Millisecond)
			from, to := vms[rng.IntN(len(vms))], vms[rng.IntN(len(vms))]
			if rng.IntN(50) == 0 {
				from.skew -= time.Duration(rng.IntN(400)) * time.Millisecond
			}
			if from == to {
				continue
			}
			sent, received := fmt.Sprint("sent-", i), fmt.Sprint("got-", i)
			from.log.Record("", sent)
			require.True(t, to.clock.Observe(from.clock.Now()), "the skew is below maxDriftMS")
			to.log.Record("", received)
			causes, effects = append(causes, sent), append(effects, received)
		}
		var lists [][]Event
		for _, v := range vms {
			lists = append(lists, v.log.Read(0, "", math.MaxInt))
		}
		merged := Merge(lists...)
		position := make(map[string]int)
		for i, e := range merged {
			position[e.Name] = i
		}
		for i := range causes {
			require.Less(t, position[causes[i]], position[effects[i]], "seed %d", seed)
		}
		rng.Shuffle(len(lists), func(i, j int) { lists[i], lists[j] = lists[j], lists[i] })
		require.Equal(t, merged, Merge(append(lists, lists[0])...), "a duplicate list adds no events")
		require.Empty(t, Gaps(merged))
	}
}

func TestClockIsMonotonic(t *testing.T) {
	now := time.UnixMilli(1000)
	c := NewClock(func() time.Time { return now })
	assert.Equal(t, Stamp{WallMS: 1000}, c.Now())
	assert.Equal(t, Stamp{WallMS: 1000, Count: 1}, c.Now())
	now = now.Add(-time.Second)
	assert.Equal(t, Stamp{WallMS: 1000, Count: 2}, c.Now(), "the wall clock stepped back")
	assert.False(t, c.Observe(Stamp{WallMS: now.UnixMilli() + maxDriftMS + 1}), "too far ahead")
	assert.Equal(t, Stamp{WallMS: 1000, Count: 3}, c.Now())
	assert.True(t, c.Observe(Stamp{WallMS: 2000, Count: math.MaxUint32}))
	assert.Equal(t, Stamp{WallMS: 2001}, c.Now(), "the counter overflowed")
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
	var events []Event
	req := ReadRequest{Incarnation: 1}
	for {
		resp := v.log.Serve(req)
		events = append(events, resp.Events...)
		req.Since = resp.Next
		if !resp.More {
			break
		}
	}
	assert.Len(t, events, 2500)
	assert.Empty(t, Gaps(events))
	assert.Empty(t, v.log.Serve(req).Events)
	req.Incarnation = 9
	assert.Len(t, v.log.Serve(req).Events, MaxEventsPerRead, "the sequence of another incarnation is ignored")
	assert.Empty(t, v.log.Serve(ReadRequest{Incarnation: 1, SinceMS: 5001}).Events)
	v.log.Serve(ReadRequest{Stamp: Stamp{WallMS: 7000}})
	assert.True(t, Stamp{WallMS: 7000}.Less(v.clock.Now()), "the sender's stamp is observed")
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
