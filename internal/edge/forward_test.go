package edge_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/fake/platformside"
)

// newForwardingSite returns a site whose first VM reaches no upstream and knows it.
func newForwardingSite(t *testing.T, vms int) *site {
	t.Helper()
	d := &cutDialer{}
	s := newCutSite(t, vms, 1, d)
	d.cut.Store(true)
	s.do(call{id: "warm-1", path: "/look/x", key: key})
	s.do(chat("warm-2"))
	return s
}

// Guards against forwarded requests that reach the replica changed, with the caller's
// key, with headers of the forwarding, or with more time than is left.
func TestForwardedRequestIsUnchanged(t *testing.T) {
	s := newForwardingSite(t, 2)
	g := s.do(call{id: "r1", path: "/once/a%2Fb?q=1&r=%20", key: key, body: "a body", header: map[string]string{"X-Tenant": "forged", "X-Other": "kept"}})
	require.Equal(t, 200, g.status)
	runs := s.runs("r1")
	require.Len(t, runs, 1)
	assert.Equal(t, "/once/a%2Fb?q=1&r=%20", runs[0].Target)
	assert.Equal(t, "team-1", runs[0].Tenant)
	assert.Empty(t, runs[0].APIKey)
	assert.Equal(t, "a body", runs[0].Body)
	assert.Equal(t, platformside.Signature(runs[0].Replica, "r1", 200, g.body), g.header.Get("X-Response-Signature"))
	assert.Regexp(t, `^\d{1,3}$`, runs[0].Deadline, "less than the route's timeout of 1 s is left")
	for name := range g.header {
		assert.NotContains(t, name, "Pier-Forward")
	}
}

// Guards against callers that pass for another VM.
func TestForwardHeaderOfCallerIsRefused(t *testing.T) {
	s := newStandardSite(t)
	g := s.do(call{id: "r1", path: "/once/x", key: key, header: map[string]string{"Pier-Forward": `{"vm":"vm-9","runs":0}`}})
	assert.Equal(t, http.StatusBadRequest, g.status)
	assert.Contains(t, g.body, `"code":1016`)
	assert.Contains(t, g.body, `"run":"not_run"`)
	assert.Empty(t, s.runs("r1"))
}

// Guards against requests that go from VM to VM, or wait, while no VM reaches an
// upstream.
func TestRequestGoesRoundWithoutUpstreams(t *testing.T) {
	d := &cutDialer{}
	s := newCutSite(t, 4, 4, d)
	d.cut.Store(true)
	for i := range 12 {
		s.doAt(s.vms[i%4], call{id: fmt.Sprint("w", i), path: "/look/x", key: key})
	}
	for i := range 8 {
		g := s.doAt(s.vms[i%4], call{id: fmt.Sprint("r", i), path: "/once/x", key: key})
		require.NoError(t, g.err)
		assert.Equal(t, 503, g.status)
		assert.NotEmpty(t, g.header.Get("Retry-After"))
		assert.Less(t, g.took, 200*time.Millisecond, "refused at once")
	}
}

// For each fault of the upstreams behind the other VM: what the caller receives and how
// often the request runs. Two VMs must not run a request more often than one.
func TestForwardedRequestRunsTooOften(t *testing.T) {
	for _, tt := range []struct {
		name                   string
		faults                 platformside.ReplicaFaults
		path                   string
		status, minRuns, limit int
	}{
		{"lost response of an unsafe request", platformside.ReplicaFaults{LoseAnswer: true}, "/once/x", 502, 1, 1},
		{"lost responses of a safe request", platformside.ReplicaFaults{LoseAnswer: true}, "/look/x", 502, 2, 3},
		{"truncated response of an unsafe request", platformside.ReplicaFaults{Torn: true}, "/once/x", 502, 1, 1},
		{"error response of an unsafe request", platformside.ReplicaFaults{Fail: true}, "/once/x", 500, 1, 1},
		{"error responses of a safe request", platformside.ReplicaFaults{Fail: true}, "/look/x", 500, 2, 3},
		{"rejections", platformside.ReplicaFaults{Reject: true}, "/once/x", 503, 0, 0},
		{"no response", platformside.ReplicaFaults{Mute: true}, "/once/x", 504, 1, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newForwardingSite(t, 3)
			s.setFaults("o", tt.faults)
			g := s.do(call{id: "r1", path: tt.path, key: key, body: "a body"})
			require.NoError(t, g.err)
			assert.Equal(t, tt.status, g.status)
			assert.GreaterOrEqual(t, len(s.runs("r1")), tt.minRuns)
			assert.LessOrEqual(t, len(s.runs("r1")), tt.limit)
			assert.Less(t, g.took, 1800*time.Millisecond)
		})
	}
}

// Guards against an attempt at another VM that never ends, because that VM's own error
// response was passed on: it stays counted as this VM's request there.
func TestForwardedErrorEndsItsAttempt(t *testing.T) {
	d := &cutDialer{}
	s := newSite(t)
	s.dial["vm-1"], s.metrics = d.dial, freeAddress(t)
	s.startDefaults()
	s.startVM("vm-2")
	time.Sleep(time.Second) // the VMs get to know each other
	d.cut.Store(true)
	s.do(call{id: "warm", path: "/look/x", key: key})
	s.setFaults("o", platformside.ReplicaFaults{Reject: true})
	before := max(s.metric(`pier_forwards_total{result="error"}`), 0)
	assert.Equal(t, 503, s.do(call{id: "r1", path: "/once/x", key: key}).status)
	assert.Equal(t, before+1, s.metric(`pier_forwards_total{result="error"}`))
}

// Guards against replicas that work on after the caller of a forwarded request has left.
func TestForwardedWorkEndsWhenTheCallerLeaves(t *testing.T) {
	newForwardingSite(t, 2).assertWorkEndsWithTheCaller()
}

// Guards against streams that end, or lack or repeat events, because the VM loses its
// path to the upstreams in the middle of them.
func TestStreamEndsWithThePathToUpstreams(t *testing.T) {
	d := &cutDialer{}
	s := newCutSite(t, 3, 1, d)
	for id, p := range s.replicas {
		if strings.HasPrefix(id, "e") {
			p.Events, p.EventInterval = 20, 40*time.Millisecond
		}
	}
	result := make(chan callResult, 1)
	go func() { result <- s.do(chat("r1")) }()
	time.Sleep(300 * time.Millisecond)
	d.cut.Store(true)
	s.closeClientConnections("e")
	g := <-result
	require.NoError(t, g.err)
	assert.Equal(t, http.StatusOK, g.status)
	for i := range 20 {
		assert.Equal(t, 1, strings.Count(g.body, fmt.Sprintf("id: %d\n", i+1)), "event %d", i+1)
	}
}

// Guards against a VM that cuts the requests of other VMs when it stops.
func TestStoppingVMCutsForwardedRequests(t *testing.T) {
	d := &cutDialer{}
	s := newSite(t)
	s.grace = 6 * time.Second
	s.cutFirst(d)
	s.startDefaults()
	s.startVM("vm-2")
	time.Sleep(time.Second)
	d.cut.Store(true)
	s.do(call{id: "warm", path: "/look/x", key: key})
	for id, p := range s.replicas {
		if strings.HasPrefix(id, "e") {
			p.Events, p.EventInterval = 18, 200*time.Millisecond // 3.6 s, longer than a VM accepts connections
		}
	}
	result := make(chan callResult, 1)
	go func() { result <- s.do(chat("r1")) }()
	require.Eventually(t, func() bool { return len(s.runs("r1")) == 1 }, 2*time.Second, 10*time.Millisecond)
	s.vms[1].stop()
	g := <-result
	require.NoError(t, g.err)
	assert.Equal(t, 18, strings.Count(g.body, "id: "))
	assert.Len(t, s.runs("r1"), 1)
	assert.Equal(t, 503, s.do(call{id: "r2", path: "/once/x", key: key}).status, "a stopping VM takes no more")
}

// Guards against runs beyond the route's limit after the other VM, which may have used
// all of them, has died.
func TestForwardedRequestRunsAgainAfterItsVMDied(t *testing.T) {
	s := newForwardingSite(t, 3)
	for id, p := range s.replicas {
		if strings.HasPrefix(id, "o") {
			p.ProcessingTime = 150 * time.Millisecond
		}
	}
	s.setFaults("o", platformside.ReplicaFaults{LoseAnswer: true})
	time.AfterFunc(100*time.Millisecond, s.vms[1].stop) // its grace time is 100 ms
	const requests, maxAttempts = 6, 2
	s.doConcurrently(requests, func(i int) call { return call{id: fmt.Sprint("r", i), path: "/open/x"} })
	for i := range requests {
		assert.LessOrEqual(t, len(s.runs(fmt.Sprint("r", i))), maxAttempts)
	}
}
