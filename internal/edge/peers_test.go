package edge_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/fake/platformside"
)

// A VM that starts while the store turns it away gets the configuration and the
// upstreams from another one, and serves.
func TestStateFromAnotherVM(t *testing.T) {
	s := standard(t)
	s.store.SetFaults(platformside.StoreFaults{Status: 503})
	late := s.launchVM("vm-2")
	require.Eventually(t, late.ready, 15*time.Second, 50*time.Millisecond)
	s.vms[0], s.vms[1] = s.vms[1], s.vms[0]
	for i := range 5 {
		assert.Equal(t, 200, s.do(call{id: fmt.Sprint(i), path: "/look/x", key: key}).status)
	}
	s.store.SetFaults(platformside.StoreFaults{})
	s.configure(routes(), "key-2")
	assert.Eventually(t, func() bool { return s.do(call{id: "new", path: "/look/x", key: "key-2"}).status == 200 }, 5*time.Second, 50*time.Millisecond)
}
