package edge_test

import (
	"fmt"
	"net/http"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/fake/platformside"
)

// A replica that says in any response that it is leaving must receive nothing more,
// whatever the store lists, until its next start.
func TestLeavingIsBelievedAtOnce(t *testing.T) {
	for name, f := range map[string]platformside.ReplicaFaults{
		"a response":         {Leaving: true},
		"an error response":  {Leaving: true, Fail: true},
		"a rejection":        {Leaving: true, Reject: true},
		"an early rejection": {Leaving: true, Early: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStandardSite(t)
			s.replicas["o0"].SetFaults(f)
			s.requireRequests("o0")
			s.replicas["o0"].SetFaults(platformside.ReplicaFaults{})
			before := s.replicas["o0"].RequestCount()
			for i := range 4 {
				s.putEntry("o0", orders, s.addresses["o0"], map[string]any{"sequence": 2 + i})
				s.load()
				time.Sleep(100 * time.Millisecond)
			}
			assert.Equal(t, before, s.replicas["o0"].RequestCount())
			s.putEntry("o0", orders, s.addresses["o0"], map[string]any{"born": 2})
			s.requireRequests("o0")
		})
	}
}

// Other VMs learn of the announcement without asking the replica.
func TestLeavingIsToldToOtherVMs(t *testing.T) {
	s := newStandardSite(t)
	s.startVM("vm-2")
	s.replicas["o0"].SetFaults(platformside.ReplicaFaults{Leaving: true})
	s.requireRequests("o0")
	time.Sleep(time.Second)
	before := s.replicas["o0"].RequestCount()
	s.vms = s.vms[1:]
	s.load()
	assert.Equal(t, before, s.replicas["o0"].RequestCount())
}

// A replica that rejects a request and asks for a pause must receive nothing until
// the end of the pause.
func TestPauseIsKept(t *testing.T) {
	s := newStandardSite(t)
	s.setFaults("o0", platformside.ReplicaFaults{Reject: true, RetryAfter: "1.5"})
	s.requireRequests("o0")
	paused := time.Now()
	s.setFaults("o0", platformside.ReplicaFaults{})
	count := s.replicas["o0"].RequestCount()
	for time.Since(paused) < 1200*time.Millisecond {
		s.load()
	}
	assert.Equal(t, count, s.replicas["o0"].RequestCount())
	s.requireRequests("o0")
}

// If all replicas ask for a pause, callers are told at once when it ends.
func TestAllReplicasPause(t *testing.T) {
	for value, want := range map[string]struct{ min, max float64 }{
		"2.5":                         {2, 2.5},
		"0.01":                        {0.01, 1},
		"1e12":                        {3600, 86400},
		"-3":                          {0.01, 1},
		"NaN":                         {0.01, 1},
		"soon":                        {0.01, 1},
		httpDate(30 * time.Second):    {25, 30},
		httpDate(-30 * time.Second):   {0.01, 1},
		"999999999999999999999999999": {3600, 86400},
	} {
		t.Run(value, func(t *testing.T) {
			s := newStandardSite(t)
			s.setFaults("o", platformside.ReplicaFaults{Reject: true, RetryAfter: value})
			for i := range 6 {
				s.do(call{id: fmt.Sprint("first-", i), path: "/look/x", key: key})
			}
			total := s.totalRequests("o")
			g := s.do(call{id: "a", path: "/look/x", key: key})
			require.Equal(t, 503, g.status)
			retryAfter, err := strconv.ParseFloat(g.header.Get("Retry-After"), 64)
			require.NoError(t, err)
			assert.GreaterOrEqual(t, retryAfter, want.min)
			assert.LessOrEqual(t, retryAfter, want.max)
			assert.Less(t, g.took, 200*time.Millisecond)
			assert.Empty(t, s.runs("a"))
			if want.min > 1 {
				assert.Equal(t, total, s.totalRequests("o"), "nothing is sent to replicas that pause")
			}
		})
	}
}

// Replicas that all ask for a pause are in reach: the VM must stay ready.
func TestPausingReplicasDoNotIsolateTheVM(t *testing.T) {
	s := newStandardSite(t)
	s.setFaults("o", platformside.ReplicaFaults{Reject: true, RetryAfter: "5"})
	for i := range 12 {
		s.do(call{id: fmt.Sprint("paused-", i), path: "/look/x", key: key})
		require.True(t, s.vms[0].ready())
		time.Sleep(100 * time.Millisecond)
	}
}

func httpDate(in time.Duration) string { return time.Now().Add(in).UTC().Format(http.TimeFormat) }

func (s *site) totalRequests(prefix string) int {
	n := 0
	for id, p := range s.replicas {
		if id[:len(prefix)] == prefix {
			n += p.RequestCount()
		}
	}
	return n
}

// Bytes without end must neither fill the memory nor look like a response. Each
// attempt is counted, and the caller gets an error before its deadline.
func TestEndlessResponses(t *testing.T) {
	const maxHeapGrowth = 64 << 20 // bytes; three attempts of each of four callers
	for _, fault := range platformside.EndlessFaults {
		t.Run(string(fault), func(t *testing.T) {
			s := newStandardSite(t)
			s.setFaults("", platformside.ReplicaFaults{Endless: fault})
			runtime.GC()
			var before, during runtime.MemStats
			runtime.ReadMemStats(&before)
			results := make(chan callResult)
			for i, c := range []call{{path: "/once/x"}, {path: "/look/x"}, chat(""), chat("")} {
				c.id, c.key, c.body, c.deadline = fmt.Sprint("r", i), key, "a body", 2*time.Second
				go func() { results <- s.do(c) }()
			}
			peak := uint64(0)
			for done := 0; done < 4; {
				select {
				case g := <-results:
					done++
					assert.True(t, g.err != nil || g.status >= 500, "%d %.40q", g.status, g.body)
					assert.Less(t, g.took, 2500*time.Millisecond)
				case <-time.After(pollInterval):
					runtime.ReadMemStats(&during)
					peak = max(peak, during.HeapInuse)
				}
			}
			assert.Less(t, int64(peak)-int64(before.HeapInuse), int64(maxHeapGrowth))
			assert.Len(t, s.runs("r0"), 1)
		})
	}
}
