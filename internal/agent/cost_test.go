package agent

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/document"
)

// BenchmarkControlCost runs agents over real sockets in one process and gives
// a VM's part of the bytes sent between agents and of the processor time, with
// a new document in each measured span of 32 seconds. Loopback carries the
// platform's calls in memory, so their cost is not in it.
func BenchmarkControlCost(b *testing.B) {
	for _, n := range []int{8, 32} {
		b.Run(fmt.Sprint("agents=", n), func(b *testing.B) {
			var vms []string
			for i := range n {
				vms = append(vms, fmt.Sprintf("vm-%02d", i))
			}
			s := newSite(b, vms...)
			s.submit(b, 0)
			time.Sleep(20 * time.Second)
			base := uint64(1)
			for b.Loop() {
				sent, cpu, at := s.wire(), processorTime(b), time.Now()
				s.submit(b, base)
				base++
				time.Sleep(32 * time.Second)
				span := time.Since(at).Seconds() * float64(n)
				b.ReportMetric(float64(s.wire()-sent)/span, "bytes/s/VM")
				b.ReportMetric((processorTime(b)-cpu).Seconds()/span*100, "%core/VM")
			}
		})
	}
}

// wire is the bytes sent by all agents: what the clients sent, and what they
// received from the others' servers.
func (s *site) wire() uint64 {
	var total uint64
	for _, a := range s.apps {
		sent, received := a.Client.Traffic()
		total += sent + received
	}
	return total
}

func (s *site) submit(b *testing.B, base uint64) {
	text, err := document.Encode(demo(b, int(base)+1))
	require.NoError(b, err)
	out := s.apps["vm-00"].Distribution.Submit(b.Context(), text, base)
	require.NoError(b, out.Err)
	s.eventually("the document is in force everywhere", s.inForce(base+1))
}

func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
