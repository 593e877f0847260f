package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// leaveAndReturn removes the entry of an upstream and writes it again, as after a cut
// between the upstream and the store. change may alter the new entry.
func leaveAndReturn(f *Fleet, now time.Time, u Upstream, change func(*Upstream)) {
	f.Apply(now, []Change{{Upstream: Upstream{ID: u.ID}, Removed: true}})
	u.Sequence++
	change(&u)
	for at := now; at.Before(now.Add(10 * time.Second)); at = at.Add(time.Second) {
		upsert(f, at, u)
		f.Expire(at)
	}
}

// Guards against a pause that is forgotten when the upstream's entry is removed and comes
// back, or its address changes.
func TestPauseOutlivesTheEntry(t *testing.T) {
	for name, tt := range map[string]struct {
		change func(*Upstream)
		holds  bool
	}{
		"the same":    {func(*Upstream) {}, true},
		"new address": {func(u *Upstream) { u.Address = "10.9.9.9:80" }, true},
		"new start":   {func(u *Upstream) { u.Incarnation++ }, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet("vm", 1)
			p := mustPick(t, f, begin, query())
			f.Done(begin, p, OutcomeNeutral)
			f.Pause(begin, p, 20*time.Second)
			leaveAndReturn(f, at(time.Second), p.Upstream, tt.change)
			_, reason := f.Pick(at(12*time.Second), query())
			assert.Equal(t, tt.holds, reason == AllPaused, "%v", reason)
			_, reason = f.Pick(at(21*time.Second), query())
			assert.Equal(t, Picked, reason)
		})
	}
}

// Guards against a limit that is forgotten in the same way.
func TestLimitOutlivesTheEntry(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	f := limitedFleet(now)
	f.RecordLimit(now, pickOf(f, "u1"), 1)
	leaveAndReturn(f, now, f.members["u1"].Upstream, func(*Upstream) {})
	assert.Equal(t, 1, f.LimitedUpstreams())
}

// Guards against turns of a higher limit that are used after the limit was lowered.
func TestLoweredLimitEndsTurnsOfTheHigherOne(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	f := limitedFleet(now)
	now = now.Add(time.Minute)
	f.RecordLimit(now, pickOf(f, "u1"), 400)
	f.RecordLimit(now, pickOf(f, "u2"), 400)
	_, _ = f.Pick(now, anyVersion())
	now = now.Add(2 * time.Second) // turns are kept meanwhile
	_, _ = f.Pick(now, anyVersion())
	f.RecordLimit(now, pickOf(f, "u1"), 1)
	f.RecordLimit(now, pickOf(f, "u2"), 1)
	sent := 0
	for i := range 80 {
		at := now.Add(time.Duration(i) * 50 * time.Millisecond)
		for range 20 {
			if p, reason := f.Pick(at, anyVersion()); reason == Picked {
				sent++
				f.Done(at, p, OutcomeSuccess)
			}
		}
	}
	assert.LessOrEqual(t, sent, 2*5, "of two upstreams in 4 s, by one of four VMs")
}
