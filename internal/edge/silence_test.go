package edge_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/fake/platformside"
	"github.com/cranberrypier/cranberrypier/internal/vm"
)

// silence is longer than the stall timeout and the head timeout of the test routes.
const silence = 1200 * time.Millisecond

// newSmallSite returns a site with one VM and n replicas of each service.
func newSmallSite(t *testing.T, n int, bounds func(*vm.Bounds)) *site {
	t.Helper()
	s := newSite(t)
	s.bounds = bounds
	s.configure(routes(), key)
	for i := range n {
		s.startReplica(fmt.Sprintf("e%d", i), engine)
		s.startReplica(fmt.Sprintf("o%d", i), orders)
	}
	s.startVM("vm-1")
	return s
}

func assertWholeStream(t *testing.T, id string, g callResult) {
	t.Helper()
	assert.NoError(t, g.err, id)
	assert.Equal(t, 200, g.status)
	assert.Equal(t, streamOf(id, "small", 1, eventsPerStream), g.body)
}

// Guards against a stream that only pauses and is aborted, because its attempt is
// canceled and there is no other upstream.
func TestSilentStreamIsAbortedWithoutAnotherUpstream(t *testing.T) {
	s := newSmallSite(t, 1, nil)
	s.setFaults("e", platformside.ReplicaFaults{Pause: silence})
	assertWholeStream(t, "a", s.do(chat("a")))
	assert.Len(t, s.runs("a"), 1)
}

// Guards against streams that only pause and are aborted, because their attempts are
// canceled and the retry budget allows only one of them to go on elsewhere.
func TestSilentStreamIsAbortedWithoutRetryBudget(t *testing.T) {
	const retriesOfOneVM = 512 // divided by the number of VMs that is assumed after a start
	s := newSmallSite(t, 3, func(b *vm.Bounds) { b.RetryRatio, b.RetrySlack = 0, retriesOfOneVM })
	s.setFaults("e", platformside.ReplicaFaults{Pause: silence})
	for i, g := range s.doConcurrently(6, func(i int) call { return chat(string(rune('a' + i))) }) {
		assertWholeStream(t, string(rune('a'+i)), g)
	}
}

// Guards against a safe request that fails although its upstream answers before the
// deadline, because its attempt is canceled and there is no other upstream.
func TestSlowSafeRequestFailsWithoutAnotherUpstream(t *testing.T) {
	s := newSmallSite(t, 1, nil)
	s.setFaults("o", platformside.ReplicaFaults{Delay: silence})
	g := s.do(call{id: "a", path: "/look/x", key: key})
	require.NoError(t, g.err)
	assert.Equal(t, 200, g.status)
	assert.Len(t, s.runs("a"), 1)
}

// Guards against a stream that is aborted as soon as no upstream can be picked,
// although one is there again a moment later.
func TestBrokenStreamIsAbortedWhileNoUpstreamIsThere(t *testing.T) {
	s := newSmallSite(t, 1, nil)
	s.setFaults("e", platformside.ReplicaFaults{Torn: true})
	done := make(chan callResult, 1)
	go func() { done <- s.do(chat("a")) }()
	require.Eventually(t, func() bool { return len(s.runs("a")) > 0 }, waitTimeout, time.Millisecond)
	s.setFaults("e", platformside.ReplicaFaults{})
	assertWholeStream(t, "a", <-done)
}

// Guards against requests that are canceled by a change of the configuration which
// removes their route and key.
func TestChangedConfigurationCancelsRunningRequests(t *testing.T) {
	s := newSmallSite(t, 1, nil)
	s.replicas["e0"].EventInterval = 200 * time.Millisecond
	s.setFaults("o", platformside.ReplicaFaults{Delay: 800 * time.Millisecond})
	calls := map[string]call{"a": chat("a"), "b": {id: "b", path: "/once/x", key: key}}
	done := make(chan callResult, len(calls))
	for _, c := range calls {
		go func() { done <- s.do(c) }()
	}
	require.Eventually(t, func() bool { return len(s.runs("a"))+len(s.runs("b")) == 2 }, waitTimeout, time.Millisecond)
	s.configure(routes()[2:], "key-2")
	for range calls {
		g := <-done
		require.NoError(t, g.err)
		assert.Equal(t, 200, g.status)
	}
	assert.Equal(t, 404, s.do(chat("c")).status, "the change is in force")
}

// Guards against an attempt that is given up for upstreams to which no connection can be
// established, while its own connection lives on and its upstream only pauses.
func TestPausedAttemptIsGivenUpForUnreachableUpstreams(t *testing.T) {
	for name, d := range map[string]*cutDialer{"refused": {}, "silent": {silent: true}} {
		for _, n := range []int{1, 3} {
			t.Run(fmt.Sprintf("%s, %d upstreams", name, n), func(t *testing.T) {
				s := newSite(t)
				s.cutFirst(d)
				s.configure(routes(), key)
				for i := range n {
					s.startReplica(fmt.Sprintf("o%d", i), orders)
				}
				s.startVM("vm-1")
				d.cut.Store(false)
				s.setFaults("o", platformside.ReplicaFaults{Delay: silence})
				result := make(chan callResult, 1)
				go func() { result <- s.do(call{id: "a", path: "/look/x", key: key}) }()
				require.Eventually(t, func() bool { return len(s.runs("a")) == 1 }, waitTimeout, time.Millisecond)
				d.cut.Store(true)
				g := <-result
				require.NoError(t, g.err)
				assert.Equal(t, 200, g.status)
			})
		}
	}
}
