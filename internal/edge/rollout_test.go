package edge_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/fake/platformside"
)

// rollOutDuration is that of the roll-outs in these tests.
const rollOutDuration = 8 * time.Second

// rollOut rolls out a version whose events come at some interval, under steady load,
// and returns the state that the VMs wrote, and the share of the requests that
// reached the version.
func rollOut(t *testing.T, interval time.Duration) (state string, share float64) {
	const oldInterval = 12 * time.Millisecond
	s := newSite(t)
	s.configure(routes(), key)
	start := func(id, version string, interval time.Duration) {
		p, _ := s.listenReplica(id)
		p.EventInterval = interval
		s.putEntry(id, engine, s.addresses[id], map[string]any{"version": version})
	}
	for i := range 3 {
		start(fmt.Sprint("e-old", i), "v1", oldInterval)
	}
	s.startVM("vm-1")
	var load sync.WaitGroup
	end := time.Now().Add(rollOutDuration + 2*time.Second)
	for caller := range 8 {
		load.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				c := chat(fmt.Sprint(caller, "-", i))
				c.header["Session"] = c.id
				s.do(c)
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	for i := range 3 {
		start(fmt.Sprint("e-new", i), "v2", interval)
	}
	s.store.Put("rollouts", engine, map[string]any{"service": engine, "target": "v2", "durationS": rollOutDuration.Seconds()})
	load.Wait()
	all, onNew := 0, 0
	for id, p := range s.replicas {
		all += p.RequestCount()
		if strings.HasPrefix(id, "e-new") {
			onNew += p.RequestCount()
		}
	}
	return s.rollOutState(engine), float64(onNew) / float64(all)
}

// Guards against a version that is several times slower, only in the events after
// the first, and is completed and kept.
func TestSlowVersionIsCompleted(t *testing.T) {
	state, share := rollOut(t, 60*time.Millisecond)
	assert.Equal(t, "reverted", state)
	assert.Less(t, share, 0.15)
}

func TestGoodVersionIsCompleted(t *testing.T) {
	state, _ := rollOut(t, 12*time.Millisecond)
	assert.Equal(t, "completed", state)
}

// Guards against a good version that is reverted because of one request that fails
// on every upstream: its attempts are one outcome.
func TestFailingRequestRevertsNoVersion(t *testing.T) {
	s := newStandardSite(t)
	for i := range 3 {
		id := fmt.Sprint("new", i)
		s.listenReplica(id)
		s.putEntry(id, orders, s.addresses[id], map[string]any{"version": "v2"})
	}
	s.store.Put("rollouts", orders, map[string]any{"service": orders, "target": "v2", "durationS": 60})
	n := 0
	// send sends requests until one of them ran on the new version.
	send := func() {
		for {
			n++
			id := fmt.Sprint("r", n)
			s.do(call{id: id, path: "/look/x", key: key})
			if slices.ContainsFunc(s.runs(id), func(r platformside.Run) bool { return strings.HasPrefix(r.Replica, "new") }) {
				return
			}
		}
	}
	s.setFaults("new", platformside.ReplicaFaults{Fail: true})
	for range 2 {
		send()
		time.Sleep(500 * time.Millisecond) // the verdict would be written
		require.Equal(t, "in_progress", s.rollOutState(orders))
	}
	send()
	require.Eventually(t, func() bool { return s.rollOutState(orders) == "reverted" }, 5*time.Second, 10*time.Millisecond)
}

// rollOutState returns the state of a service's roll-out in the store.
func (s *site) rollOutState(service string) string {
	o, ok := s.store.Get("rollouts", service)
	require.True(s.t, ok)
	for _, state := range []string{"completed", "reverted"} {
		if strings.Contains(string(o.Status), state) {
			return state
		}
	}
	return "in_progress"
}

// Guards against requests that reach a version after the verdict on it, because they were
// waiting, retried, forwarded or resumed meanwhile.
func TestRequestsGoOnToARevertedVersion(t *testing.T) {
	for name, faults := range map[string]platformside.ReplicaFaults{
		"failures":     {Fail: true, Delay: 300 * time.Millisecond},
		"lost answers": {LoseAnswer: true, Delay: 300 * time.Millisecond},
		"torn streams": {Torn: true, Pause: 300 * time.Millisecond},
		"limits":       {Fail: true, Limit: "20", Delay: 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := &cutDialer{}
			s := newCutSite(t, 3, 1, d)
			for i := range 3 {
				id := fmt.Sprint("new", i)
				s.listenReplica(id)
				s.putEntry(id, engine, s.addresses[id], map[string]any{"version": "v2"})
			}
			s.setFaults("new", faults)
			s.store.Put("rollouts", engine, map[string]any{"service": engine, "target": "v2", "durationS": 60})
			d.cut.Store(true)
			var load sync.WaitGroup
			end := make(chan struct{})
			for caller := range 18 {
				load.Go(func() {
					for i := 0; ; i++ {
						select {
						case <-end:
							return
						default:
						}
						c := chat(fmt.Sprint(caller, "-", i))
						c.header["Session"] = c.id
						s.doAt(s.vms[caller%3], c)
					}
				})
			}
			assert.Eventually(t, func() bool { return s.rollOutState(engine) == "reverted" }, 12*time.Second, 10*time.Millisecond)
			revertedAt := time.Now()
			time.Sleep(2 * time.Second)
			close(end)
			load.Wait()
			late, all := 0, 0
			for id, p := range s.replicas {
				for _, run := range p.Runs() {
					if strings.HasPrefix(id, "new") {
						all++
					}
					if strings.HasPrefix(id, "new") && run.StartedAt.After(revertedAt.Add(300*time.Millisecond)) {
						late++
					}
				}
			}
			assert.NotZero(t, all)
			assert.Zero(t, late, "of %d requests to the version", all)
		})
	}
}
