package edge_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const longStreamEvents = 15

// longStreams makes the streams of a site last 0.9 s.
func (s *site) longStreams() {
	for id, p := range s.replicas {
		if strings.HasPrefix(id, "e") {
			p.Events, p.EventInterval = longStreamEvents, 60*time.Millisecond
		}
	}
}

// cutUnderStream starts a stream at the first VM and cuts it, with its connection, from
// the upstreams for some time, in which meanwhile is called again and again. It returns
// what the caller received.
func (s *site) cutUnderStream(t *testing.T, d *cutDialer, cut time.Duration, meanwhile func(i int)) callResult {
	t.Helper()
	s.longStreams()
	result := make(chan callResult, 1)
	go func() { result <- s.do(chat("r1")) }()
	require.Eventually(t, func() bool { return len(s.runs("r1")) > 0 }, waitTimeout, time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	d.cut.Store(true)
	end := time.Now().Add(cut)
	s.closeClientConnections("e")
	for i := 0; time.Now().Before(end); i++ {
		meanwhile(i)
		time.Sleep(50 * time.Millisecond)
	}
	d.cut.Store(false)
	return <-result
}

func assertLongStream(t *testing.T, g callResult) {
	t.Helper()
	assert.NoError(t, g.err)
	for i := range longStreamEvents {
		assert.Equal(t, 1, strings.Count(g.body, fmt.Sprintf("id: %d\n", i+1)), "event %d", i+1)
	}
}

// Guards against a stream that is aborted because another VM, to which it is forwarded,
// reaches no upstream for a moment either.
func TestStreamIsAbortedWhileNoVMReachesAnUpstream(t *testing.T) {
	for _, cut := range []time.Duration{300, 800, 1300, 1700} {
		for vms := 1; vms <= 3; vms++ {
			t.Run(fmt.Sprintf("%d VMs, cut of %d ms", vms, cut), func(t *testing.T) {
				t.Parallel()
				d := &cutDialer{silent: true}
				s := newCutSite(t, vms, vms, d)
				assertLongStream(t, s.cutUnderStream(t, d, cut*time.Millisecond, func(int) {}))
			})
		}
	}
}

// Guards against a stream that is aborted because its VM counts as isolated.
func TestStreamIsAbortedByAnIsolatedVM(t *testing.T) {
	for _, cut := range []time.Duration{1000, 1500} {
		for vms := 1; vms <= 2; vms++ {
			t.Run(fmt.Sprintf("%d VMs, cut of %d ms", vms, cut), func(t *testing.T) {
				t.Parallel()
				d := &cutDialer{silent: true}
				s := newCutSite(t, vms, vms, d)
				assertLongStream(t, s.cutUnderStream(t, d, cut*time.Millisecond, func(i int) {
					s.do(call{id: fmt.Sprint("x", i), path: "/look/x", key: key})
				}))
			})
		}
	}
}

// Guards against a stream that is aborted because its only upstream still counts as
// unreachable after a silence that is allowed.
func TestStreamIsAbortedInTheBackoffAfterASilence(t *testing.T) {
	for _, cut := range []time.Duration{1000, 1400, 1800} {
		t.Run(fmt.Sprintf("cut of %d ms", cut), func(t *testing.T) {
			t.Parallel()
			d := &cutDialer{silent: true}
			s := newSite(t)
			s.cutFirst(d)
			s.configure(routes(), key)
			s.startReplica("e0", engine)
			s.startReplica("o0", orders)
			s.startVM("vm-1")
			d.only = func(a string) bool { return a == s.addresses["e0"] }
			assertLongStream(t, s.cutUnderStream(t, d, cut*time.Millisecond, func(i int) {
				go s.do(chat(fmt.Sprint("x", i)))
				go s.do(call{id: fmt.Sprint("y", i), path: "/look/x", key: key})
			}))
		})
	}
}

// Guards against a stream that ends with a change of the configuration, because another
// VM no longer has its route.
func TestStreamIsAbortedByANewerConfigurationElsewhere(t *testing.T) {
	d := &cutDialer{}
	s := newCutSite(t, 2, 1, d)
	g := s.cutUnderStream(t, d, 1200*time.Millisecond, func(i int) {
		if i == 0 {
			s.configure(routes()[1:], key)
		}
	})
	assertLongStream(t, g)
}
