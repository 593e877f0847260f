package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// An upstream that reports that it is leaving gets no new work, even before a
// document says so, until it reports another state.
func TestSelfReportedLeaving(t *testing.T) {
	rows := []struct {
		name  string
		state string
		after time.Duration
		want  int
	}{
		{"a report says that the upstream is leaving", stateLeaving, ms, 0},
		{"an older warm report changes nothing", stateWarm, -2 * ms, 0},
		{"a newer warm report revokes it", stateWarm, 2 * ms, 1},
		{"a newer cold report revokes it too", stateCold, 2 * ms, 1},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			r := newRig(t, 1, 4)
			r.now = r.now.Add(10 * ms)
			r.c.Observe(LoadReport{Upstream: r.ups[0].Name, Incarnation: "1", State: stateLeaving, TakenAt: r.now}, r.now)
			r.c.Observe(LoadReport{Upstream: r.ups[0].Name, Incarnation: "1", State: row.state, TakenAt: r.now.Add(row.after)}, r.now.Add(5*ms))
			r.now = r.now.Add(5 * ms)
			_, _, err := r.c.Acquire(r.req(3), r.now)
			require.Equal(t, row.want == 0, err != nil && err.Code == result.NoUpstream, "%v", err)
		})
	}
}

// An upstream that the platform lists as leaving gets no new work, even if the
// document that names it arrives later.
func TestListedAsLeaving(t *testing.T) {
	r := newRig(t, 1, 4)
	r.c.SetLeaving([]string{r.ups[0].Address}, r.now)
	r.applyDocument()
	_, _, err := r.c.Acquire(r.req(3), r.now)
	require.NotNil(t, err)
	require.Equal(t, result.NoUpstream, err.Code)
	r.c.SetLeaving(nil, r.now)
	_, _, err = r.c.Acquire(r.req(3), r.now)
	require.Nil(t, err)
}

// A request suspected of crashing upstreams must run only on an upstream on
// which this VM runs nothing else.
func TestIsolatedRequests(t *testing.T) {
	r := newRig(t, 2, 4)
	first, _, err := r.c.Acquire(r.req(3), r.now)
	require.Nil(t, err)
	isolated := r.req(3)
	isolated.Isolated = true
	second, _, err := r.c.Acquire(isolated, r.now)
	require.Nil(t, err)
	require.NotEqual(t, first.Upstream, second.Upstream)
	_, id, err := r.c.Acquire(isolated, r.now)
	require.Nil(t, err)
	require.NotZero(t, id, "the request waits for an idle upstream")
}
