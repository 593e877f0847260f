package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/exchange"
)

var fullLoad = &exchange.Load{Running: 6, Waiting: 4, Slots: 6}

// brittleFleet returns the fleet of one VM of several, with one upstream that is
// brittle and full.
func brittleFleet(t *testing.T, vms, limit int) *Fleet {
	t.Helper()
	f := newFleet("vm0", 1)
	names := make([]string, vms)
	for i := range names {
		names[i] = fmt.Sprintf("vm%d", i)
	}
	f.SetVMs(names)
	p := mustPick(t, f, begin, query())
	require.Equal(t, BrittleBegan, f.RecordAnswer(begin, p, Answer{BrittleLimit: limit, Rejected: true, Load: fullLoad}))
	f.Done(begin, p, OutcomeRejected)
	return f
}

// Tries of all VMs that together exceed the rejections that an upstream withstands, also
// where the VMs' clocks differ.
func TestTriesOfAllVMsExceedTheLimit(t *testing.T) {
	const interval, perSecond = 9700 * time.Microsecond, 103
	for _, vms := range []int{1, 7, 60, 300} {
		for _, limit := range []int{1, 5, 20, 1000} {
			var tried []int // in each interval
			fleets := make([]*Fleet, vms)
			for i := range fleets {
				fleets[i] = brittleFleet(t, vms, limit)
				fleets[i].cfg.VM = fmt.Sprintf("vm%d", i)
			}
			for step := range 1200 {
				n := 0
				for i, f := range fleets {
					skew := time.Duration(i%3) * 700 * ms
					if limit == 1 {
						skew = 0
					}
					now := at(3*time.Second + skew + time.Duration(step)*interval)
					f.brittle[pool].fullAt, f.brittle[pool].heardAt = now, now
					if p, _ := f.Pick(now, query()); p != nil {
						n++
						f.Done(now, p, OutcomeRejected)
					}
				}
				tried = append(tried, n)
			}
			inSecond, most, total := 0, 0, 0
			for i, n := range tried {
				if inSecond += n; i >= perSecond {
					inSecond -= tried[i-perSecond]
				}
				most, total = max(most, inSecond), total+n
			}
			assert.LessOrEqual(t, most, max(limit, 1), "%d VMs, limit %d", vms, limit)
			if vms > 1 {
				assert.Positive(t, total, "%d VMs, limit %d", vms, limit)
			}
		}
	}
}

// A request that has ended must leave one place at a full upstream, and not more.
func TestEndedRequestLeavesSeveralPlaces(t *testing.T) {
	f := brittleFleet(t, 60, 1)
	var p *Pick
	now := at(3 * time.Second)
	for ; p == nil; now = now.Add(10 * ms) { // until it is this VM's turn
		f.heardBrittle(now, pool, 1)
		f.brittle[pool].fullAt = now
		p, _ = f.Pick(now, query())
		require.Less(t, now.Sub(begin), 20*time.Minute)
	}
	for range 3 {
		load := &exchange.Load{Running: 6, Slots: 6}
		f.RecordAnswer(now, p, Answer{BrittleLimit: 1, Load: load})
		f.FirstByte(now, p, load)
		f.Done(now, p, OutcomeSuccess)
		f.brittle[pool].fullAt = now
		p = mustPick(t, f, now, query())
		_, reason := f.Pick(now, query())
		assert.Equal(t, AllFull, reason)
	}
	f.RecordAnswer(now, p, Answer{BrittleLimit: 1, Rejected: true, Load: fullLoad})
	f.Done(now, p, OutcomeRejected)
	_, reason := f.Pick(now, query())
	assert.Equal(t, AllFull, reason, "a rejected request leaves no place")
}

// A brittle time that does not end, or that an older report begins again.
func TestBrittleTimeEnds(t *testing.T) {
	f, other := brittleFleet(t, 2, 4), newFleet("vm1", 1)
	report := f.BrittleReports(at(100 * ms))
	require.Len(t, report, 1)
	require.Equal(t, BrittleBegan, other.MergeBrittle(at(100*ms), report[0]))
	_, reason := other.Pick(at(200*ms), Query{Service: pool, AllowVersion: query().AllowVersion})
	assert.Equal(t, Picked, reason, "the upstream may have a free slot")

	p := &Pick{Upstream: upstream(0)}
	assert.Equal(t, BrittleUnchanged, f.RecordAnswer(at(500*ms), p, Answer{}), "answers overtake each other")
	assert.Equal(t, BrittleEnded, f.RecordAnswer(at(2*time.Second), p, Answer{}))
	assert.Equal(t, BrittleEnded, other.MergeBrittle(at(2100*ms), f.BrittleReports(at(2100 * ms))[0]))
	assert.Equal(t, BrittleUnchanged, f.MergeBrittle(at(2200*ms), BrittleReport{Service: pool, Limit: 4, HeardMS: 2200}), "older than the end")
	assert.Zero(t, f.BrittleServices(at(2200*ms)))
	mustPick(t, f, at(2200*ms), query())

	silent := brittleFleet(t, 2, 4)
	assert.Empty(t, silent.ExpireBrittle(at(brittleTTL)))
	assert.Equal(t, []string{pool}, silent.ExpireBrittle(at(brittleTTL+ms)))
	assert.Equal(t, BrittleUnchanged, silent.MergeBrittle(begin, BrittleReport{Service: "x", Limit: 4, HeardMS: 2000, EndedMS: 900}))
}

// Each refused caller must be told a later time than the one before, up to a bound.
func TestRoomForecast(t *testing.T) {
	f := brittleFleet(t, 60, 1)
	for i := range 200 {
		f.brittle[pool].room.recordEnd(at(time.Duration(i) * 20 * ms))
	}
	now := at(4 * time.Second)
	first, second := f.RoomExpectedIn(now, pool), f.RoomExpectedIn(now, pool)
	assert.InDelta(t, 20, first.Milliseconds(), 3)
	assert.InDelta(t, 40, second.Milliseconds(), 6)
	for range 500 {
		assert.LessOrEqual(t, f.RoomExpectedIn(now, pool), maxRoomWait)
	}
	assert.Zero(t, f.RoomExpectedIn(now, "another"))
}
