package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against refused callers of cold upstreams that are told to return before there is
// room, or a second later although there is some sooner.
func TestNextRoomAtColdUpstreams(t *testing.T) {
	f := New(Config{VM: "vm-1", Zone: "a", ColdFactor: 1.5, ColdSlack: 5})
	f.SetColdRates(map[string]float64{pool: coldRate})
	u := upstream(0)
	u.ColdUntil = at(10 * time.Second)
	f.Replace(begin, []Upstream{u})
	wait, found := f.NextRoomIn(begin, query())
	assert.True(t, found)
	assert.Zero(t, wait, "there is room now")
	now := time.Duration(0)
	for range 2 {
		for p, reason := f.Pick(at(now), query()); reason != ColdLimitReached; p, reason = f.Pick(at(now), query()) {
			require.NotNil(t, p)
			now += 30 * time.Millisecond
		}
		wait, _ := f.NextRoomIn(at(now), query())
		assert.Greater(t, wait, 500*time.Millisecond)
		assert.LessOrEqual(t, wait, coldWindow)
		p, _ := f.Pick(at(now+wait-time.Millisecond), query())
		assert.Nil(t, p, "too early")
		p, _ = f.Pick(at(now+wait), query())
		assert.NotNil(t, p)
		now += wait + 2*coldWindow
	}
}

// Guards against a wait for an upstream that is unreachable for longer than the wait, or
// that the request has tried.
func TestNextRoomAfterBackoff(t *testing.T) {
	f := New(Config{VM: "vm-1", Zone: "a"})
	f.Replace(begin, []Upstream{upstream(0)})
	p, _ := f.Pick(begin, query())
	f.Done(begin, p, OutcomeUnreachable)
	wait, found := f.NextRoomIn(at(100*time.Millisecond), query())
	assert.True(t, found)
	assert.Equal(t, minBackoff-100*time.Millisecond, wait)
	q := query()
	q.Exclude = []string{p.ID}
	_, found = f.NextRoomIn(at(100*time.Millisecond), q)
	assert.False(t, found)
}
