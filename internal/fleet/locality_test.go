package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cranberrypier/cranberrypier/internal/exchange"
)

// Guards against calls that leave a zone with room (the share out of the zone was 0.27 to
// 0.76 with the lowest cost alone), against calls lost in a zone that is cut off (11 to 27),
// and against refusals while slots are free.
func TestCallsLeaveAZoneWithRoom(t *testing.T) {
	uneven := []float64{0.7, 0.7, 1.7}
	light := zoneDay{vms: 70, zones: 4, perZone: 1, load: 0.11, seed: 1}
	with := func(change func(d *zoneDay)) zoneDay {
		d := light
		change(&d)
		return d
	}
	for name, tt := range map[string]struct {
		day                           zoneDay
		inTime, out, swing, busiest   float64
		lost, refusedMore, connsPerVM int // refusedMore is beyond what no choice can serve
	}{
		"light":                 {light, 1, 0.01, 0.01, 1.2, 0, 0, 1},
		"cut off":               {with(func(d *zoneDay) { d.cut = true }), 1, 0.01, 0.01, 1.2, 0, 0, 1},
		"cut off, varied":       {with(func(d *zoneDay) { d.cut, d.varied = true, true }), 0.985, 0.02, 0.03, 1.3, 2, 0, 2},
		"speeds":                {with(func(d *zoneDay) { d.speeds, d.load = uneven, 0.4 }), 0.999, 0.2, 0.05, 1.3, 0, 0, 4},
		"speeds, noise":         {with(func(d *zoneDay) { d.speeds, d.noise, d.load = uneven, true, 0.4 }), 0.995, 0.35, 0.15, 1.4, 0, 0, 4},
		"noise":                 {with(func(d *zoneDay) { d.noise, d.load = true, 0.4 }), 0.997, 0.2, 0.2, 1.2, 0, 0, 4},
		"waves":                 {with(func(d *zoneDay) { d.swing, d.load = 0.55, 0.6 }), 0.999, 0.25, 0.2, 1.2, 0, 0, 4},
		"one zone at 2.5 times": {with(func(d *zoneDay) { d.firstZone, d.load = 2.5, 0.6 }), 0.999, 0.3, 0.12, 1.4, 0, 0, 4},
		"stale, then silent":    {with(func(d *zoneDay) { d.firstZone, d.load, d.stale = 3, 0.6, true }), 0.998, 0.3, 0.15, 1.4, 0, 0, 4},
		"overload":              {with(func(d *zoneDay) { d.load = 1.15 }), 0.5, 0.5, 0.1, 1.1, 0, 200, 4},
		"300 VMs, cut off": {
			with(func(d *zoneDay) { d.vms, d.perZone, d.cut, d.length = 300, 4, true, 14*time.Second }), 1, 0.01, 0.01, 1.6, 0, 0, 4,
		},
		"300 VMs, stale": {
			with(func(d *zoneDay) {
				d.vms, d.perZone, d.firstZone, d.load, d.stale, d.length = 300, 4, 3, 0.6, true, 10*time.Second
			}), 0.995, 0.3, 0.2, 1.5, 0, 0, 8,
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := runZoneDay(tt.day)
			t.Log(s)
			assert.GreaterOrEqual(t, s.shareInTime(), tt.inTime, "served in time")
			assert.LessOrEqual(t, s.shareOut(), tt.out, "out of the zone")
			assert.LessOrEqual(t, s.swingOut(), tt.swing, "oscillation")
			assert.LessOrEqual(t, s.busiestOverMean(), tt.busiest, "busiest over mean")
			assert.LessOrEqual(t, s.lost, tt.lost)
			assert.LessOrEqual(t, float64(s.refused), max(0, 1-1/tt.day.load)*float64(s.offered)+float64(tt.refusedMore))
			assert.LessOrEqual(t, s.used, tt.connsPerVM*tt.day.vms, "connections")
		})
	}
}

// Guards against a small deployment, or a service with one zone, that is served otherwise
// than by the lowest cost, and against calls that leave their zone after a scale-in.
func TestSmallDeploymentPrefersItsZone(t *testing.T) {
	day := zoneDay{vms: 6, zones: 3, perZone: 1, load: 0.6, firstZone: 2.5, seed: 1}
	byCost := day
	byCost.byCost = true
	assert.Equal(t, runZoneDay(byCost).String(), runZoneDay(day).String())

	assert.Equal(t, ZoneIgnored, mustPick(t, localFleet("a"), begin, query()).ZoneChoice)
	assert.Equal(t, ZoneOwn, mustPick(t, localFleet("a", "b"), begin, query()).ZoneChoice)
	engines := localFleet("a", "b", "c", "d")
	q := query()
	q.ModelEngine, q.Model = true, "m"
	assert.Equal(t, ZoneIgnored, mustPick(t, engines, begin, q).ZoneChoice)
	assert.Equal(t, ZoneOwn, mustPick(t, engines, begin, query()).ZoneChoice)
	engines.SetWithdrawn([]string{"a"})
	assert.Equal(t, ZoneEmpty, mustPick(t, engines, begin, query()).ZoneChoice)
}

// localFleet returns the fleet of one of 70 VMs, in zone a, with an upstream in each zone.
func localFleet(zones ...string) *Fleet {
	f := New(Config{VM: "vm-0", Zone: "a"})
	var list []Upstream
	for i, zone := range zones {
		u := upstream(i)
		u.Zone = zone
		list = append(list, u)
	}
	f.Replace(at(-time.Minute), list)
	names := make([]string, 70)
	for i := range names {
		names[i] = fmt.Sprintf("vm-%d", i)
	}
	f.SetVMs(names)
	return f
}

// Guards against a share that jumps or falls as the load rises, against work that leaves
// while there is room, and against work for an upstream without a free slot.
func TestSpilledShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var local Candidate
		var l, busier localityChoice
		for i := range 3 {
			c := Candidate{
				Slots: 6, InFlight: rapid.Float64Range(0, 12).Draw(t, "inflight"), SameZone: i == 0,
				LatencyMs: rapid.Float64Range(10, 60).Draw(t, "latency"), WorkTime: rapid.Float64Range(0.5, 1).Draw(t, "work"),
			}
			l.add(&member{}, &c, c.Cost(150*ms))
			if i == 0 {
				local = c
				c.InFlight += 0.1
			}
			busier.add(&member{}, &c, c.Cost(150*ms))
		}
		share := l.spillShare(150 * ms)
		assert.GreaterOrEqual(t, share, 0.0)
		assert.LessOrEqual(t, share, 1.0)
		assert.GreaterOrEqual(t, busier.spillShare(150*ms), share)
		assert.Less(t, busier.spillShare(150*ms), share+0.25, "a step")
		if local.InFlight <= 6 && local.ExpectedLatencyMs() <= slowMargin*150+crossZonePenaltyMs {
			assert.Zero(t, share)
		}
		chosen, choice := l.choose(rand.New(rand.NewPCG(1, 2)), 150*ms)
		if choice == ZoneSpilled {
			assert.Less(t, chosen.inFlight, 6.0)
			assert.Less(t, chosen.cost, l.local.cost)
		}
	})
}

// Guards against VMs with the same picture that all turn to the same upstream.
func TestSpilledWorkMeetsAtOneUpstream(t *testing.T) {
	chosen := map[string]int{}
	for i := range 70 {
		f := localFleet("a", "b", "c", "d")
		f.rng = rand.New(rand.NewPCG(uint64(i), 3))
		p := mustPick(t, f, begin, query())
		require.Equal(t, ZoneOwn, p.ZoneChoice)
		f.FirstByte(at(30*ms), p, &exchange.Load{Running: 6, Waiting: 4, Slots: 6})
		chosen[mustPick(t, f, at(30*ms), query()).Zone]++
	}
	assert.LessOrEqual(t, chosen["a"], 5, "the own zone has no room")
	for _, zone := range []string{"b", "c", "d"} {
		assert.InDelta(t, 70.0/3, chosen[zone], 12, zone)
	}
}

// BenchmarkPickByZone picks among 940 plain upstreams in four zones.
func BenchmarkPickByZone(b *testing.B) {
	zones := make([]string, 940)
	for i := range zones {
		zones[i] = []string{"a", "b", "c", "d"}[i%4]
	}
	f := localFleet(zones...)
	q := query()
	for b.Loop() {
		p, _ := f.Pick(begin, q)
		f.Done(begin, p, OutcomeNeutral)
	}
}
