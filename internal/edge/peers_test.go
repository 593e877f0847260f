package edge_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/fake/platformside"
)

// A VM that starts while the store is unavailable must get the configuration
// and the upstreams from another VM and then serve requests.
func TestStateFromAnotherVM(t *testing.T) {
	s := newStandardSite(t)
	s.store.SetFaults(platformside.StoreFaults{Status: 503})
	lateVM := s.launchVM("vm-2")
	require.Eventually(t, lateVM.ready, 15*time.Second, 50*time.Millisecond)
	s.vms[0], s.vms[1] = s.vms[1], s.vms[0] // do uses the first VM
	for i := range 5 {
		assert.Equal(t, 200, s.do(call{id: fmt.Sprint(i), path: "/look/x", key: key}).status)
	}
	s.store.SetFaults(platformside.StoreFaults{})
	s.configure(routes(), "key-2")
	assert.Eventually(t, func() bool { return s.do(call{id: "new", path: "/look/x", key: "key-2"}).status == 200 }, 5*time.Second, 50*time.Millisecond)
}

// Guards against a watch that is never answered, at a VM that no other VM can tell what
// it misses.
func TestSilentWatchOfOneKind(t *testing.T) {
	for _, at := range []time.Duration{0, 4 * time.Second} {
		t.Run(at.String(), func(t *testing.T) {
			s := newStandardSite(t)
			time.Sleep(at)
			s.store.SilenceWatches("config")
			s.configure(routes(), "key-2")
			// stabilityWindow and maxConfigApplyTime of the site's bounds
			assert.Eventually(t, func() bool { return s.do(call{id: "new", path: "/look/x", key: "key-2"}).status == 200 }, 5*time.Second, 50*time.Millisecond)
		})
	}
}

// Guards against changes that no VM follows, because the store's answers to the watches of
// one kind were lost for all VMs at the same moment: none can tell the others.
func TestWatchesOfAllVMsFallSilentAtOnce(t *testing.T) {
	for _, kind := range []string{"config", "evacuations"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			s := newStandardSite(t)
			for i := 2; i <= 4; i++ {
				s.startVM(fmt.Sprint("vm-", i))
			}
			time.Sleep(4 * time.Second) // longer than VMs that do not know each other wait
			s.store.SilenceWatches(kind)
			key, want := "key-2", http.StatusOK
			if kind == "config" {
				s.configure(routes(), key)
			} else {
				key, want = "key-1", http.StatusServiceUnavailable
				s.store.Put("evacuations", "a", map[string]any{})
			}
			// stabilityWindow and maxConfigApplyTime of the site's bounds
			assert.Eventually(t, func() bool {
				for i, e := range s.vms {
					if s.doAt(e, call{id: fmt.Sprint("new-", i), path: "/look/x", key: key}).status != want {
						return false
					}
				}
				return true
			}, 5*time.Second, 50*time.Millisecond)
		})
	}
}

// In a zone of six or more VMs, three watch the store and relay changes to the
// others. A configuration must be applied on every VM within its time limit,
// even if most VMs, including watching ones, stop just before it.
func TestVMsShareWhatTheyRead(t *testing.T) {
	const vms, readers = 8, 3
	s := newStandardSite(t)
	for i := 2; i <= vms; i++ {
		s.launchVM(fmt.Sprintf("vm-%d", i))
	}
	require.Eventually(t, func() bool { return s.store.ActiveWatches("config") == readers }, 10*time.Second, 10*time.Millisecond)
	s.configure(routes(), "key-2")
	s.requireAllAccept("key-2", s.vms)
	for _, e := range s.vms[:5] {
		e.stop()
	}
	s.configure(routes(), "key-3")
	s.requireAllAccept("key-3", s.vms[5:])
}

// requireAllAccept waits until all of the VMs accept a key, at most for the time
// limit for configurations.
func (s *site) requireAllAccept(key string, vms []*entryVM) {
	s.t.Helper()
	all := s.vms
	defer func() { s.vms = all }()
	require.Eventually(s.t, func() bool {
		for i, e := range vms {
			s.vms = []*entryVM{e}
			if got := s.do(call{id: fmt.Sprint(key, i), path: "/look/x", key: key}); got.status != 200 {
				return false
			}
		}
		return true
	}, vms[0].settings.Bounds.MaxConfigApplyTime, 10*time.Millisecond)
}
