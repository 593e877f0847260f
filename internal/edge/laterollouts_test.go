package edge_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/fake/platformside"
)

// Guards against a VM that starts in a roll-out, hears of it last, and takes the new version
// for one of the usual ones from then on.
func TestVMThatHearsOfARollOutLastUsesItsTarget(t *testing.T) {
	s := newSite(t)
	s.configure(routes(), key)
	for i := range 2 {
		s.startReplica(fmt.Sprint("o", i), orders)
	}
	for i := range 2 {
		id := fmt.Sprint("n", i)
		s.listenReplica(id)
		s.putEntry(id, orders, s.addresses[id], map[string]any{"version": "v2"})
	}
	s.store.Put("rollouts", orders, map[string]any{"service": orders, "target": "v2", "durationS": 60})
	s.store.SetFaults(platformside.StoreFaults{RefusedKind: "rollouts"})
	e := s.launchVM("vm-1")
	time.Sleep(time.Second)
	assert.False(t, e.ready(), "the roll-outs are not known yet")
	s.store.SetFaults(platformside.StoreFaults{})
	require.Eventually(t, e.ready, 3*time.Second, pollInterval)
	s.store.Remove("rollouts", orders)
	time.Sleep(700 * time.Millisecond) // the change is in force, and all other versions are usual
	onTarget := 0
	for i := range 60 {
		id := fmt.Sprint("r", i)
		assert.Equal(t, 200, s.do(call{id: id, path: "/look/x", key: key}).status)
		for _, run := range s.runs(id) {
			if run.Replica[0] == 'n' {
				onTarget++
			}
		}
	}
	assert.Zero(t, onTarget, "requests ran on the target of a roll-out that was taken back")
}
