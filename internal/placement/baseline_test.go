package placement

import (
	"testing"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/stretchr/testify/require"
)

// newBaselineRig has two engines in the local zone and two in another.
func newBaselineRig(t *testing.T, p Policy) *rig {
	r := &rig{
		t: t, c: NewCore(Config{VM: "vm", Zone: "z", Seed: 1, Policy: p}),
		ups: engines(4, []string{"z", "y"}, 4, 2), now: t0,
	}
	r.applyDocument(document.Zone{Name: "z"}, document.Zone{Name: "y"})
	r.reportWarm(true)
	return r
}

func TestBaselines(t *testing.T) {
	const rounds = 400
	for _, row := range []struct {
		name   string
		policy Policy
		change func(*rig)
		// minShare and maxShare bound each upstream's share of the work.
		minShare, maxShare float64
		serving            int
	}{
		{"round robin uses the upstreams of all zones in turn", RoundRobin, func(*rig) {}, 0.25, 0.25, 4},
		{"random spreads work about evenly", Random, func(*rig) {}, 0.15, 0.35, 4},
		{"round robin skips a leaving upstream", RoundRobin, func(r *rig) {
			r.ups[0].Leaving = true
			r.applyDocument(document.Zone{Name: "z"}, document.Zone{Name: "y"})
		}, 0.33, 0.34, 3},
		{"random skips a withdrawn zone", Random, func(r *rig) {
			r.applyDocument(document.Zone{Name: "z"}, document.Zone{Name: "y", Withdrawn: true})
		}, 0.4, 0.6, 2},
	} {
		t.Run(row.name, func(t *testing.T) {
			r := newBaselineRig(t, row.policy)
			row.change(r)
			r.c.Tick(r.now)
			got := map[string]int{}
			for range rounds {
				s, id, err := r.c.Acquire(r.req(0), r.now)
				require.Nil(t, err)
				require.Zero(t, id)
				got[s.Upstream]++
				r.release(s, Outcome{End: EndCanceled})
			}
			require.Len(t, got, row.serving)
			for u, n := range got {
				require.GreaterOrEqual(t, float64(n)/rounds, row.minShare, u)
				require.LessOrEqual(t, float64(n)/rounds, row.maxShare, u)
			}
		})
	}
}

func TestBaselinesKeepTheLimits(t *testing.T) {
	for _, p := range []Policy{RoundRobin, Random} {
		t.Run(string(p), func(t *testing.T) {
			r := newBaselineRig(t, p)
			require.Len(t, r.fill(9), 16, "long work may use every slot")
			r.now = r.now.Add(r.c.cfg.WarmTTL * 2)
			_, id, err := r.c.Acquire(r.req(0), r.now)
			require.True(t, id != 0 || err != nil, "no engine receives work beyond its limit")
		})
	}
}
