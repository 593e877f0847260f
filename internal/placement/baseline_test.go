package placement

import (
	"testing"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/stretchr/testify/require"
)

// baselineRig has two engines in the own zone and two in another.
func baselineRig(t *testing.T, p Policy) *rig {
	r := &rig{
		t: t, c: NewCore(Config{VM: "vm", Zone: "z", Seed: 1, Policy: p}),
		ups: engines(4, []string{"z", "y"}, 4, 2), now: t0,
	}
	r.document(document.Zone{Name: "z"}, document.Zone{Name: "y"})
	r.warm(true)
	return r
}

func TestBaselines(t *testing.T) {
	const rounds = 400
	for _, row := range []struct {
		name   string
		policy Policy
		change func(*rig)
		// share is the least and the most part of an upstream's work.
		least, most float64
		serving     int
	}{
		{"round robin gives each upstream of all zones its turn", RoundRobin, func(*rig) {}, 0.25, 0.25, 4},
		{"random gives each about the same", Random, func(*rig) {}, 0.15, 0.35, 4},
		{"round robin passes over an upstream that leaves", RoundRobin, func(r *rig) {
			r.ups[0].Leaving = true
			r.document(document.Zone{Name: "z"}, document.Zone{Name: "y"})
		}, 0.33, 0.34, 3},
		{"random passes over a zone that is taken out", Random, func(r *rig) {
			r.document(document.Zone{Name: "z"}, document.Zone{Name: "y", TakenOut: true})
		}, 0.4, 0.6, 2},
	} {
		t.Run(row.name, func(t *testing.T) {
			r := baselineRig(t, row.policy)
			row.change(r)
			r.c.Tick(r.now)
			got := map[string]int{}
			for range rounds {
				s, id, err := r.c.Acquire(r.req(0), r.now)
				require.Nil(t, err)
				require.Zero(t, id)
				got[s.Upstream]++
				r.end(s, Outcome{End: EndCanceled})
			}
			require.Len(t, got, row.serving)
			for u, n := range got {
				require.GreaterOrEqual(t, float64(n)/rounds, row.least, u)
				require.LessOrEqual(t, float64(n)/rounds, row.most, u)
			}
		})
	}
}

func TestBaselinesKeepTheLimits(t *testing.T) {
	for _, p := range []Policy{RoundRobin, Random} {
		t.Run(string(p), func(t *testing.T) {
			r := baselineRig(t, p)
			require.Len(t, r.fill(9), 16, "long work may take every place")
			r.now = r.now.Add(r.c.cfg.WarmTTL * 2)
			_, id, err := r.c.Acquire(r.req(0), r.now)
			require.True(t, id != 0 || err != nil, "no engine takes work beyond its limit")
		})
	}
}
