package agent

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/document"
)

// BenchmarkControlCost runs agents in one process, connected by real sockets, and
// reports the bytes sent between agents and the CPU time per VM. A new document
// is submitted in each measured period of 32 seconds. The cost of platform calls
// is not included, because the platform is an in-memory store.
func BenchmarkControlCost(b *testing.B) {
	for _, n := range []int{8, 32} {
		b.Run(fmt.Sprint("agents=", n), func(b *testing.B) {
			var vms []string
			for i := range n {
				vms = append(vms, fmt.Sprintf("vm-%02d", i))
			}
			s := newCluster(b, vms...)
			s.submit(b, 0)
			time.Sleep(20 * time.Second)
			base := uint64(1)
			for b.Loop() {
				sent, cpu, start := s.bytesOnWire(), cpuTime(b), time.Now()
				s.submit(b, base)
				base++
				time.Sleep(32 * time.Second)
				vmSeconds := time.Since(start).Seconds() * float64(n)
				b.ReportMetric(float64(s.bytesOnWire()-sent)/vmSeconds, "bytes/s/VM")
				b.ReportMetric((cpuTime(b)-cpu).Seconds()/vmSeconds*100, "%core/VM")
			}
		})
	}
}

// bytesOnWire returns the bytes transferred between all agents: those sent by
// their clients and those received by them from the other agents' servers.
func (s *cluster) bytesOnWire() uint64 {
	var total uint64
	for _, a := range s.apps {
		sent, received := a.Client.Traffic()
		total += sent + received
	}
	return total
}

func (s *cluster) submit(b *testing.B, base uint64) {
	text, err := document.Encode(demoDocument(b, int(base)+1))
	require.NoError(b, err)
	out := s.apps["vm-00"].Distribution.Submit(b.Context(), text, base)
	require.NoError(b, out.Err)
	s.eventually("the document is in force everywhere", s.generationInForce(base+1))
}

func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
