package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/document"
)

// BenchmarkPick measures one choice, with its slot taken and released, at the
// target scale of 940 replicas in seven zones.
func BenchmarkPick(b *testing.B) {
	for _, routers := range []int{1, 330} {
		b.Run(fmt.Sprintf("replicas=940/routers=%d", routers), func(b *testing.B) {
			zones := []string{"a", "b", "c", "d", "e", "f", "g"}
			var dz []document.Zone
			for _, z := range zones {
				dz = append(dz, document.Zone{Name: z})
			}
			ups := engines(940, zones, 64, 4)
			cfg := Config{VM: "vm", Zone: "a", Seed: 1}
			if routers == 1 {
				cfg.MaxSubsetSize = 940
			}
			c := NewCore(cfg)
			c.SetIndex(docOf(ups, dz...), t0)
			c.SetVMCount(routers)
			now := t0.Add(time.Second)
			for i := range ups {
				c.Observe(LoadReport{Upstream: ups[i].Name, Incarnation: "1", State: stateWarm, Running: i % 40, TakenAt: now}, now)
				c.byName[ups[i].Name].ramp = 100
			}
			c.Tick(now)
			p := c.pools[target]
			r := Request{Target: target, Priority: 0, PrefixHash: 42, PromptTokens: 500, MaxTokens: 200, Deadline: now.Add(time.Minute)}
			c.prefixes.add(42, p.local[0])
			b.ReportAllocs()
			for b.Loop() {
				best := c.pick(p, &r, now)
				if best.u == nil {
					b.Fatal("no free slot")
				}
				best.u.inflight++
				best.u.inflight--
			}
		})
	}
}

// BenchmarkAcquireRelease measures a complete reservation through the core.
func BenchmarkAcquireRelease(b *testing.B) {
	c := NewCore(Config{VM: "vm", Zone: "z", Seed: 1})
	ups := engines(48, []string{"z"}, 64, 4)
	c.SetIndex(docOf(ups, document.Zone{Name: "z"}), t0)
	for i := range ups {
		c.Observe(LoadReport{Upstream: ups[i].Name, Incarnation: "1", State: stateWarm, TakenAt: t0}, t0)
	}
	c.Tick(t0)
	r := Request{ID: "r", Target: target, Priority: 3, Deadline: t0.Add(time.Minute)}
	b.ReportAllocs()
	for b.Loop() {
		s, _, err := c.Acquire(r, t0)
		if err != nil {
			b.Fatal(err)
		}
		c.Release(s.ReservationID, Outcome{End: EndOK, State: stateWarm, Incarnation: "1", Elapsed: time.Second}, t0)
	}
}

// BenchmarkTick measures one check of all queues, which runs twenty times per
// second, with 48 upstreams in this VM's subset and a thousand queued
// requests.
func BenchmarkTick(b *testing.B) {
	c := NewCore(Config{VM: "vm", Zone: "z", Seed: 1})
	ups := engines(48, []string{"z"}, 1, 1)
	c.SetIndex(docOf(ups, document.Zone{Name: "z"}), t0)
	for i := range ups {
		c.Observe(LoadReport{Upstream: ups[i].Name, Incarnation: "1", State: stateWarm, TakenAt: t0}, t0)
	}
	for i := range 1000 {
		_, _, _ = c.Acquire(Request{ID: "r", Team: fmt.Sprint(i % 10), Target: target, Deadline: t0.Add(time.Hour)}, t0)
	}
	b.ReportAllocs()
	for b.Loop() {
		c.Tick(t0)
	}
	if len(c.waiting) < 900 {
		b.Fatal("too few requests are queued")
	}
}
