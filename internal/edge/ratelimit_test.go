package edge_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cranberrypier/cranberrypier/internal/fake/platformside"
)

const (
	// limitWindow is the time in which the requests to a limited upstream are counted,
	// and limitFactor and limitSlack are what it allows beyond its limit.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// allowedInWindow returns the requests that an upstream with a limit may get in a window.
func allowedInWindow(perSecond float64) int {
	return int(limitFactor*perSecond*limitWindow.Seconds()) + limitSlack
}

// mostInWindow returns the most requests that a replica got in some window that begins
// after a time.
func mostInWindow(p *platformside.Replica, after time.Time) int {
	var at []time.Time
	for _, r := range p.Runs() {
		if r.StartedAt.After(after) {
			at = append(at, r.StartedAt)
		}
	}
	slices.SortFunc(at, func(a, b time.Time) int { return a.Compare(b) })
	most, first := 0, 0
	for i := range at {
		for at[i].Sub(at[first]) >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// offerLoad sends lookups to all VMs in turn, at a rate, until the end of a time.
func (s *site) offerLoad(name string, perSecond int, d time.Duration) (sent int, failed []callResult) {
	var wait sync.WaitGroup
	var mu sync.Mutex
	for end := time.Now().Add(d); time.Now().Before(end); sent++ {
		vm, id := s.vms[sent%len(s.vms)], fmt.Sprint(name, "-", sent)
		wait.Go(func() {
			if g := s.doAt(vm, call{id: id, path: "/look/x", key: key, body: id}); g.status != 200 {
				mu.Lock()
				defer mu.Unlock()
				failed = append(failed, g)
			}
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	wait.Wait()
	return sent, failed
}

// Guards against an upstream that names a limit for all VMs together and gets as many
// requests as the others.
func TestUpstreamGetsMoreThanItsLimit(t *testing.T) {
	s := newStandardSite(t)
	for i := range 3 {
		s.startVM(fmt.Sprint("vm-", i+2))
	}
	time.Sleep(time.Second) // the VMs get to know each other
	s.replicas["o0"].SetFaults(platformside.ReplicaFaults{Limit: "1.0"})
	begin := time.Now()
	_, failed := s.offerLoad("look", 60, 11*time.Second)
	assert.Empty(t, failed, "the other upstreams have room")
	most := mostInWindow(s.replicas["o0"], begin.Add(s.vms[0].settings.Bounds.StabilityWindow))
	assert.LessOrEqual(t, most, allowedInWindow(1))
	assert.GreaterOrEqual(t, most, 2, "it gets what it takes")
}

// Guards against upstreams that get more than their limits, and against requests that are
// held or answered falsely, where all upstreams name limits.
func TestAllUpstreamsNameLimits(t *testing.T) {
	s := newStandardSite(t)
	s.startVM("vm-2")
	time.Sleep(time.Second) // the VMs get to know each other
	s.setFaults("o", platformside.ReplicaFaults{Limit: "2.5"})
	begin := time.Now()
	sent, failed := s.offerLoad("look", 20, 10*time.Second)
	for _, id := range []string{"o0", "o1", "o2"} {
		most := mostInWindow(s.replicas[id], begin.Add(s.vms[0].settings.Bounds.StabilityWindow))
		assert.LessOrEqual(t, most, allowedInWindow(2.5), id)
	}
	assert.Less(t, len(failed), sent, "some are served")
	assert.NotEmpty(t, failed)
	for _, g := range failed {
		assert.Equal(t, 503, g.status)
		assert.NotEmpty(t, g.header.Get("Retry-After"))
		assert.Less(t, g.took, time.Second)
	}
}

// Guards against a limit that is given up for a value that means nothing.
func TestInvalidLimitChangesNothing(t *testing.T) {
	s := newStandardSite(t)
	s.replicas["o0"].SetFaults(platformside.ReplicaFaults{Limit: "0.4"})
	s.replicas["o1"].SetFaults(platformside.ReplicaFaults{Leaving: true})
	s.replicas["o2"].SetFaults(platformside.ReplicaFaults{Leaving: true})
	for i := range 3 { // they announce that they leave, and o0 its limit
		s.do(call{id: fmt.Sprint("first-", i), path: "/look/x", key: key, body: "x"})
	}
	s.replicas["o0"].SetFaults(platformside.ReplicaFaults{Limit: "nonsense"})
	_, failed := s.offerLoad("look", 20, 3*time.Second)
	assert.GreaterOrEqual(t, len(failed), 50, "the limit before holds")
	s.replicas["o0"].SetFaults(platformside.ReplicaFaults{})
	assert.Eventually(t, func() bool {
		return s.do(call{id: fmt.Sprint("later-", time.Now().UnixNano()), path: "/look/x", key: key, body: "x"}).status == 200
	}, 25*time.Second, pollInterval)
	time.Sleep(100 * time.Millisecond)
	_, failed = s.offerLoad("end", 20, time.Second)
	assert.Empty(t, failed, "answers name no limit any more")
}
