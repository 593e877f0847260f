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
