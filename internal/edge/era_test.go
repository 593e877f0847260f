package edge_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/fake/platformside"
)

// eraSettleTime is how long a test watches a VM after the store came back from a
// copy: enough for the VM to read the store in the new era.
const eraSettleTime = 2 * time.Second

// restore brings the store back from a copy after a short outage.
func (s *site) restore(c platformside.StoreCopy) {
	s.store.SetFaults(platformside.StoreFaults{Reset: true})
	time.Sleep(300 * time.Millisecond)
	s.store.Restore(c)
	s.store.SetFaults(platformside.StoreFaults{})
}

// requireNever fails if a condition holds at any time within eraSettleTime.
func (s *site) requireNever(what string, holds func() bool) {
	s.t.Helper()
	require.Never(s.t, holds, eraSettleTime, pollInterval, what)
}

func (s *site) status(key string) int {
	s.t.Helper()
	return s.do(call{id: fmt.Sprint(time.Now().UnixNano()), path: "/look/x", key: key}).status
}

func (s *site) eventuallyAccepts(key string) {
	s.t.Helper()
	require.Eventually(s.t, func() bool { return s.status(key) == 200 }, waitTimeout, pollInterval)
}

// A key that was withdrawn must not be accepted again when the store comes back
// from a copy in which it is still valid, nor by a VM that starts then.
func TestWithdrawnKeyAcrossEras(t *testing.T) {
	s := newStandardSite(t)
	old := s.store.Copy()
	s.configure(routes(), "key-2")
	s.eventuallyAccepts("key-2")
	require.Equal(t, 401, s.status(key))
	s.restore(old)
	s.requireNever("the withdrawn key was accepted", func() bool { return s.status(key) != 401 })
	late := s.launchVM("vm-2")
	require.Eventually(t, late.ready, waitTimeout, pollInterval)
	s.vms = []*entryVM{late}
	require.Eventually(t, func() bool { return s.status(key) == 401 }, time.Second, pollInterval, "the VM gets the newer configuration from the other VM")
	s.configure(routes(), "key-2", "key-3")
	s.eventuallyAccepts("key-3")
}

// The operators' first write after the store came back must be applied although the
// store gives out revisions again that it had given out before.
func TestRevisionsAreGivenOutAgain(t *testing.T) {
	s := newStandardSite(t)
	old := s.store.Copy()
	for i := range 5 { // these revisions are given out again
		s.store.Put("config", "other", map[string]any{"i": i})
	}
	time.Sleep(100 * time.Millisecond)
	s.restore(old)
	for range 5 {
		s.configure(routes(), "key-2")
	}
	s.eventuallyAccepts("key-2")
	assert.Equal(t, 401, s.status(key))
}

// Two restores from the same copy in a row.
func TestTwoErasInARow(t *testing.T) {
	s := newStandardSite(t)
	old := s.store.Copy()
	s.configure(routes(), "key-2")
	s.eventuallyAccepts("key-2")
	s.restore(old)
	s.restore(old)
	s.requireNever("the withdrawn key was accepted", func() bool { return s.status(key) != 401 })
	s.configure(routes(), "key-3")
	s.eventuallyAccepts("key-3")
	assert.Equal(t, 401, s.status("key-2"))
}

// A replica that has left must not be used again when the store comes back from a
// copy that lists it, and a replica that the copy lacks must stay in use.
func TestReplicasAcrossEras(t *testing.T) {
	for name, leave := range map[string]func(s *site){
		"removed": func(s *site) { s.store.Remove("servers", "o0") },
		"draining": func(s *site) {
			s.putEntry("o0", orders, s.addresses["o0"], map[string]any{"state": "draining", "sequence": 2})
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStandardSite(t)
			s.store.Remove("servers", "o1")
			old := s.store.Copy()
			s.startReplica("o1", orders) // another start, which the copy lacks
			s.putEntry("o1", orders, s.addresses["o1"], map[string]any{"born": 2})
			leave(s)
			s.requireNoRequests("o0")
			s.requireRequests("o1")
			s.restore(old)
			before := s.replicas["o0"].RequestCount()
			s.load()
			s.requireNever("a request failed", func() bool { return s.status(key) != 200 })
			s.load()
			assert.Equal(t, before, s.replicas["o0"].RequestCount())
			s.putEntry("o1", orders, s.addresses["o1"], map[string]any{"born": 2, "sequence": 2})
			s.putEntry("o0", orders, s.addresses["o0"], map[string]any{"born": 3})
			s.requireRequests("o1")
			s.requireRequests("o0")
		})
	}
}

// load sends more requests at once than two replicas run at the same time.
func (s *site) load() {
	s.doConcurrently(40, func(i int) call {
		return call{id: fmt.Sprint("load-", time.Now().UnixNano(), i), path: "/look/x", key: key}
	})
}

// requireRequests waits until a replica receives a request.
func (s *site) requireRequests(id string) {
	s.t.Helper()
	before := s.replicas[id].RequestCount()
	require.Eventually(s.t, func() bool {
		s.load()
		return s.replicas[id].RequestCount() > before
	}, waitTimeout, pollInterval)
}

// requireNoRequests waits until a replica receives no more requests.
func (s *site) requireNoRequests(id string) {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		before := s.replicas[id].RequestCount()
		s.load()
		return s.replicas[id].RequestCount() == before
	}, waitTimeout, pollInterval)
}

// A zone must stay withdrawn when the store comes back from a copy without the
// withdrawal, and be restored when operators end the withdrawal.
func TestWithdrawnZoneAcrossEras(t *testing.T) {
	s := newStandardSite(t)
	s.listenReplica("o9")
	s.putEntry("o9", orders, s.addresses["o9"], map[string]any{"zone": "b"})
	old := s.store.Copy()
	s.requireRequests("o9")
	s.store.Put("evacuations", "b", map[string]any{})
	s.requireNoRequests("o9")
	s.restore(old)
	before := s.replicas["o9"].RequestCount()
	s.load()
	s.requireNever("a request failed", func() bool { return s.status(key) != 200 })
	s.load()
	assert.Equal(t, before, s.replicas["o9"].RequestCount())
	s.store.Put("evacuations", "b", map[string]any{})
	time.Sleep(eraSettleTime)
	s.store.Remove("evacuations", "b")
	s.requireRequests("o9")
}

// The verdict on a roll-out must be written again after the store lost it.
func TestVerdictIsWrittenAgain(t *testing.T) {
	s := newStandardSite(t)
	s.store.Put("rollouts", engine, map[string]any{"service": engine, "target": "v2", "durationS": 0.5})
	old := s.store.Copy()
	completed := func() bool {
		o, _ := s.store.Get("rollouts", engine)
		return string(o.Status) == `{"state":"completed","target":"v2"}`
	}
	require.Eventually(t, completed, 10*time.Second, pollInterval)
	s.restore(old)
	require.False(t, completed())
	require.Eventually(t, completed, 2*waitTimeout, pollInterval)
}

// VMs that share what they read must follow the store into a new era.
func TestSharingVMsFollowTheEra(t *testing.T) {
	const vms, readers, standbys = 8, 3, 3
	s := newStandardSite(t)
	for i := 2; i <= vms; i++ {
		s.launchVM(fmt.Sprintf("vm-%d", i))
	}
	require.Eventually(t, func() bool { return s.store.ActiveWatches("config") == readers }, 10*time.Second, 10*time.Millisecond)
	old := s.store.Copy()
	s.configure(routes(), "key-2")
	s.requireAllAccept("key-2", s.vms)
	lists := s.store.CallCount("list")
	s.restore(old)
	time.Sleep(eraSettleTime)
	s.configure(routes(), "key-3")
	s.requireAllAccept("key-3", s.vms)
	assert.LessOrEqual(t, s.store.CallCount("list")-lists, 4*(readers+standbys), "only readers and the first standbys list the store")
}
