package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const coldRate = 8.4

// Guards against all VMs together exceeding the limit of a cold upstream in any
// second, with any number of VMs, also while they have not discovered each other.
func TestColdLimitOverAllVMs(t *testing.T) {
	bound := coldRate*1.5 + 5
	for _, tt := range []struct {
		vms   int
		known bool
	}{{1, false}, {8, false}, {8, true}, {24, true}, {59, true}, {87, true}, {330, true}} {
		t.Run(fmt.Sprintf("%d VMs, known %t", tt.vms, tt.known), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(uint64(tt.vms), 3))
			names := make([]string, tt.vms)
			for i := range names {
				names[i] = fmt.Sprintf("vm-%d", i)
			}
			fleets := make([]*Fleet, tt.vms)
			for i := range fleets {
				fleets[i] = New(Config{VM: names[i], Zone: "a", ColdFactor: 1.5, ColdSlack: 5})
				fleets[i].SetColdRates(map[string]float64{pool: coldRate})
				u := upstream(0)
				u.ColdUntil = at(10 * time.Second)
				fleets[i].Replace(begin, []Upstream{u})
				if tt.known {
					fleets[i].SetVMs(names)
				}
			}
			var sent []time.Duration
			for now := time.Duration(0); now < 8*time.Second; now += 10 * time.Millisecond {
				for range 20 {
					f := fleets[rng.IntN(tt.vms)]
					if p, _ := f.Pick(at(now), query()); p != nil {
						sent = append(sent, now)
						f.Done(at(now), p, OutcomeSuccess)
					}
				}
			}
			assert.NotEmpty(t, sent, "a cold upstream receives some requests")
			for i := range sent {
				n := 0
				for _, s := range sent[i:] {
					if s-sent[i] < time.Second {
						n++
					}
				}
				assert.LessOrEqual(t, float64(n), bound)
			}
		})
	}
}

func TestWarmUpstreamHasNoColdLimit(t *testing.T) {
	f := newFleet("vm", 1)
	f.SetColdRates(map[string]float64{pool: coldRate})
	for range 100 {
		f.Done(begin, mustPick(t, f, begin, query()), OutcomeSuccess)
	}
}

func TestServiceWithoutColdStartHasNoColdLimit(t *testing.T) {
	f := newFleet("vm", 0)
	upsert(f, begin, upstream(0))
	for range 100 {
		f.Done(begin, mustPick(t, f, begin, query()), OutcomeSuccess)
	}
}
