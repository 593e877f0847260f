package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func ids(f *Fleet, now time.Time) map[string]bool {
	out := make(map[string]bool)
	for range 200 {
		if p, _ := f.Pick(now, query()); p != nil {
			out[p.ID] = true
		}
	}
	return out
}

// An incarnation that left must not come back with an older copy of the store's
// list, and its next start must.
func TestDeparturesAcrossEras(t *testing.T) {
	withEra := func(era uint64, change func(*Upstream)) Upstream {
		u := upstream(0)
		u.Era, u.Sequence = era, 5
		change(&u)
		return u
	}
	for name, c := range map[string]struct {
		listed Upstream
		used   bool
	}{
		"the same entry of a later era":   {withEra(2, func(*Upstream) {}), false},
		"an older entry of a later era":   {withEra(2, func(u *Upstream) { u.Sequence = 3 }), false},
		"an older start of a later era":   {withEra(2, func(u *Upstream) { u.Incarnation, u.Sequence = 0, 9 }), false},
		"an entry that was written again": {withEra(2, func(u *Upstream) { u.Sequence = 6 }), true},
		"the next start":                  {withEra(2, func(u *Upstream) { u.Incarnation, u.Sequence = 2, 1 }), true},
		"an entry of the same era":        {withEra(1, func(*Upstream) {}), true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet("vm", 3)
			upsert(f, begin, withEra(1, func(*Upstream) {}))
			f.Apply(begin, []Change{{Upstream: Upstream{ID: "u0"}, Removed: true}})
			upsert(f, at(time.Second), c.listed)
			assert.Equal(t, c.used, ids(f, at(5*time.Second))["u0"])
			f.Expire(at(12 * time.Second))
			assert.True(t, ids(f, at(12*time.Second))["u0"], "the store would have removed the entry of an upstream that is gone")
		})
	}
}

func TestHeldEntryThatIsRemovedStaysAway(t *testing.T) {
	f := newFleet("vm", 3)
	f.Apply(begin, []Change{{Upstream: Upstream{ID: "u0"}, Removed: true}})
	u := upstream(0)
	u.Era = 1
	upsert(f, begin, u)
	f.Apply(at(time.Second), []Change{{Upstream: Upstream{ID: "u0"}, Removed: true}})
	f.Expire(at(time.Minute))
	assert.False(t, ids(f, at(time.Minute))["u0"])
}

// An announcement stands for its incarnation only, survives any list, and reaches
// other VMs.
func TestAnnouncedDeparture(t *testing.T) {
	f, other := newFleet("vm", 3), newFleet("vm-2", 3)
	d := Departure{Upstream: "u0", Incarnation: 1}
	assert.True(t, f.RecordLeaving(begin, d, true))
	assert.False(t, f.RecordLeaving(begin, d, true))
	for _, reported := range f.RecentDepartures(begin) {
		assert.True(t, other.RecordLeaving(begin, reported, false))
	}
	assert.Empty(t, other.RecentDepartures(begin), "only the VM that received the announcement reports it")
	assert.Empty(t, f.RecentDepartures(begin.Add(departureReportPeriod)))
	for _, fleet := range []*Fleet{f, other} {
		fleet.Apply(begin, []Change{{Upstream: Upstream{ID: "u0"}, Removed: true}})
		upsert(fleet, begin, upstream(0))
		assert.False(t, ids(fleet, begin)["u0"])
		next := upstream(0)
		next.Incarnation = 2
		upsert(fleet, begin, next)
		assert.False(t, fleet.RecordLeaving(begin, d, false), "a late report of an earlier start")
		assert.True(t, ids(fleet, begin)["u0"])
	}
}

func TestDeparturesAreBounded(t *testing.T) {
	d := newDepartures()
	for i := range 3 * maxDepartures {
		d.recordLeaving(begin, leavingRecord{Departure: Departure{Upstream: upstream(i).ID}, at: begin})
		d.recordRemoved(begin, upstream(i))
	}
	assert.LessOrEqual(t, len(d.leaving), maxDepartures)
	assert.LessOrEqual(t, len(d.removed), maxDepartures)
	assert.True(t, d.isLeaving(upstream(3*maxDepartures-1).ID, 0))
}

func TestPauseOfOneUpstream(t *testing.T) {
	f := newFleet("vm", 2)
	p := mustPick(t, f, begin, query())
	f.Done(begin, p, OutcomeNeutral)
	f.Pause(begin, p, 2*time.Second)
	f.Pause(begin, p, time.Second)
	assert.False(t, ids(f, at(1900*time.Millisecond))[p.ID], "the longer pause stands")
	assert.Zero(t, f.PauseLeft(begin, pool), "the other upstream accepts requests")
	other := mustPick(t, f, begin, query())
	f.Pause(begin, other, 5*time.Second)
	_, reason := f.Pick(at(time.Second), query())
	assert.Equal(t, AllPaused, reason)
	assert.Equal(t, time.Second, f.PauseLeft(at(time.Second), pool))
	assert.True(t, ids(f, at(2*time.Second))[p.ID])
	next := other.Upstream
	next.Incarnation++
	upsert(f, begin, next)
	assert.True(t, ids(f, at(time.Second))[other.ID], "a pause ends with the incarnation")
}
