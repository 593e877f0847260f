package placement

import (
	"fmt"
	"testing"

	"github.com/cranberrypier/cranberrypier/internal/document"
)

// BenchmarkSubsetAssignment reports the largest number of upstreams that a VM
// uses, summed over its pools, at 330 VMs and 940 replicas of several targets.
func BenchmarkSubsetAssignment(b *testing.B) {
	var zones []document.Zone
	for _, name := range zoneNames {
		zones = append(zones, document.Zone{Name: name})
	}
	for _, targets := range []int{1, 8, 32} {
		b.Run(fmt.Sprint("targets=", targets), func(b *testing.B) {
			ups := engines(940, zoneNames, 8, 2)
			for i := range ups {
				ups[i].Serves = []string{fmt.Sprintf("m%d@v1", i/7%targets)}
			}
			idx := docOf(ups, zones...)
			maxUpstreams := 0
			for b.Loop() {
				for vm := range 330 {
					c := NewCore(Config{VM: fmt.Sprint("vm", vm), Zone: zoneNames[vm%7], Seed: uint64(vm)})
					c.SetIndex(idx, t0)
					c.SetVMCount(330)
					n := 0
					for _, p := range c.pools {
						n += len(p.local) + len(p.remote)
					}
					maxUpstreams = max(maxUpstreams, n)
				}
			}
			b.ReportMetric(float64(maxUpstreams), "upstreams/vm")
		})
	}
}

var zoneNames = []string{"a", "b", "c", "d", "e", "f", "g"}
