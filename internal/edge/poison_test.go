package edge_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cranberrypier/cranberrypier/internal/fake/platformside"
)

// A request that crashes every replica that runs it is sent repeatedly. After
// the third crash no VM may send it to a replica, while other requests are
// still served.
func TestPoisonRequest(t *testing.T) {
	s := newStandardSite(t)
	s.startVM("vm-2")
	for i := range 6 {
		s.startReplica(fmt.Sprintf("o%d", 10+i), orders)
	}
	time.Sleep(700 * time.Millisecond) // the VMs receive the new entries
	send := func(vm int, id, body string) callResult {
		s.vms[0], s.vms[vm] = s.vms[vm], s.vms[0] // do uses the first VM
		defer func() { s.vms[0], s.vms[vm] = s.vms[vm], s.vms[0] }()
		return s.do(call{id: id, path: "/once/x", key: key, body: body})
	}
	s.setFaults("o", platformside.ReplicaFaults{LoseAnswer: true})
	for i := range 3 {
		id := fmt.Sprintf("poison-%d", i)
		assert.Equal(t, 502, send(0, id, "poison").status)
		for _, r := range s.runs(id) {
			s.store.Remove("servers", r.Replica) // the replica crashed
		}
		time.Sleep(1300 * time.Millisecond) // the VMs receive the removal and each other's disconnects
	}
	s.setFaults("o", platformside.ReplicaFaults{})
	for vm := range 2 {
		id := fmt.Sprintf("again-%d", vm)
		assert.Equal(t, 502, send(vm, id, "poison").status)
		assert.Empty(t, s.runs(id), "VM %d sent it to a replica", vm)
		assert.Equal(t, 200, send(vm, id+"-other", "other").status)
	}
}
