package edge_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/fake/platformside"
)

// stopGrace is the grace period of the tests of stops. All requests have their last answer
// by its end.
const stopGrace = 4 * time.Second

// assertTrueLastAnswer checks that a request has got a complete answer that tells the
// truth about its runs.
func (s *site) assertTrueLastAnswer(id string, g callResult) {
	s.t.Helper()
	runs := len(s.runs(id))
	if !assert.NoError(s.t, g.err, "%s, run %d times, got no answer", id, runs) {
		return
	}
	switch g.status {
	case http.StatusOK:
		assert.Equal(s.t, 1, min(runs, 1), id)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		assert.Zero(s.t, runs, "%s was answered %d and has run", id, g.status)
		assert.NotEmpty(s.t, g.header.Get("Retry-After"), id)
		assert.Contains(s.t, g.body, `"run":"not_run"`, id)
	default:
		assert.Contains(s.t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, g.status, id)
		assert.NotContains(s.t, g.body, `"run":"not_run"`, id)
	}
}

// slowCalls are requests of each kind whose upstreams take longer than the VM.
func slowCalls(prefix string) []call {
	streaming := chat(prefix + " stream")
	streaming.deadline = 8 * time.Second
	return []call{
		{id: prefix + " unsafe", path: "/slowonce/x", key: key, body: "a body", deadline: 8 * time.Second},
		{id: prefix + " safe", path: "/slowlook/x", key: key, body: "a body", deadline: 8 * time.Second},
		streaming,
	}
}

// slowRoutes are routes whose requests may last longer than a stop.
func slowRoutes() []route {
	return append(routes(),
		route{"name": "slowonce", "host": host, "pathPrefix": "/slowonce/", "routeType": "unsafe", "timeoutMs": 8000, "targetLatencyMs": 150, "service": orders, "maxAttempts": 1},
		route{"name": "slowlook", "host": host, "pathPrefix": "/slowlook/", "routeType": "safe", "timeoutMs": 8000, "targetLatencyMs": 3000, "service": orders, "maxAttempts": 3},
	)
}

// doAll sends requests at once to a VM and returns what their callers received.
func (s *site) doAll(e *entryVM, calls []call) []callResult {
	out := make([]callResult, len(calls))
	var wait sync.WaitGroup
	for i, c := range calls {
		wait.Go(func() { out[i] = s.doAt(e, c) })
	}
	wait.Wait()
	return out
}

// Guards against requests that a stopping VM cuts without an answer at the end of the
// grace period, because their upstreams are slow.
func TestPlannedStopCutsRequestsAtSlowUpstreams(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.grace = stopGrace
	s.startDefaultsWith(slowRoutes())
	s.setFaults("", platformside.ReplicaFaults{Delay: 6 * time.Second})
	begin := time.Now()
	time.AfterFunc(100*time.Millisecond, s.vms[0].stop)
	var wait sync.WaitGroup
	for i := range 10 { // some before the stop, the others after its begin
		wait.Go(func() {
			calls := slowCalls(fmt.Sprint("r", i))
			for j, g := range s.doAll(s.vms[0], calls) {
				s.assertTrueLastAnswer(calls[j].id, g)
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	wait.Wait()
	assert.Less(t, time.Since(begin), 100*time.Millisecond+stopGrace)
}

// newSlowForwardingSite returns a site with slow replicas, whose first VM reaches no upstream
// and forwards its requests to the second.
func newSlowForwardingSite(t *testing.T) *site {
	t.Helper()
	d := &cutDialer{}
	s := newSite(t)
	s.grace = stopGrace
	s.dial["vm-1"] = d.dial
	s.startDefaultsWith(slowRoutes())
	s.startVM("vm-2")
	time.Sleep(time.Second) // the VMs get to know each other
	d.cut.Store(true)
	s.do(call{id: "warm-1", path: "/look/x", key: key})
	s.do(chat("warm-2"))
	s.setFaults("", platformside.ReplicaFaults{Delay: 6 * time.Second})
	return s
}

// Guards against forwarded requests that end without an answer because the VM that has
// the caller's connection stops, or the one that has taken them.
func TestPlannedStopCutsForwardedRequests(t *testing.T) {
	for name, stopping := range map[string]int{"the caller's VM": 0, "the other VM": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSlowForwardingSite(t)
			time.AfterFunc(100*time.Millisecond, s.vms[stopping].stop)
			calls := append(slowCalls("a"), slowCalls("b")...)
			for j, g := range s.doAll(s.vms[0], calls) {
				s.assertTrueLastAnswer(calls[j].id, g)
				assert.Less(t, g.took, stopGrace)
			}
		})
	}
}

// Guards against safe requests that fail because the VM to which they were forwarded
// stops, although a third one could serve them.
func TestForwardedRequestMovesOnWhenTheOtherVMStops(t *testing.T) {
	t.Parallel()
	s := newSlowForwardingSite(t)
	var wait sync.WaitGroup
	results := make([]callResult, 4)
	for i := range results {
		c := call{id: fmt.Sprint("r", i), path: "/slowlook/x", key: key, body: "a body", deadline: 8 * time.Second}
		if i%2 == 1 {
			c.path = "/slowonce/x"
		}
		wait.Go(func() { results[i] = s.do(c) })
	}
	time.Sleep(200 * time.Millisecond)
	s.startVM("vm-3")
	s.vms[1].stop()
	time.Sleep(3 * time.Second)
	s.setFaults("", platformside.ReplicaFaults{})
	wait.Wait()
	for i, g := range results {
		s.assertTrueLastAnswer(fmt.Sprint("r", i), g)
		if i%2 == 1 {
			assert.Equal(t, http.StatusBadGateway, g.status, "it may have run, and must not run again")
			assert.Len(t, s.runs(fmt.Sprint("r", i)), 1)
		} else {
			assert.Equal(t, http.StatusOK, g.status, g.body)
		}
	}
}

// Guards against requests that wait for room, or between two attempts, when the VM ends,
// and get no answer or an untrue one.
func TestPlannedStopCutsRequestsThatWait(t *testing.T) {
	for name, faults := range map[string]platformside.ReplicaFaults{
		"for room":                   {Limit: "2"},
		"for the next attempt":       {LoseAnswer: true},
		"after rejections":           {Reject: true},
		"for a pause in the streams": {Pause: 6 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const grace = 2500 * time.Millisecond // shorter than the VM takes all requests
			s := newSite(t)
			s.grace = grace
			s.startDefaultsWith(slowRoutes())
			for _, p := range s.replicas {
				p.ProcessingTime = 150 * time.Millisecond
			}
			s.setFaults("", faults)
			s.doAll(s.vms[0], slowCalls("warm"))
			s.vms[0].stop()
			begin := time.Now()
			var wait sync.WaitGroup
			for i := 0; time.Since(begin) < grace; i++ {
				for _, c := range slowCalls(fmt.Sprint("r", i)) {
					wait.Go(func() {
						g := s.doAt(s.vms[0], c)
						switch {
						case g.err == nil:
							s.assertTrueLastAnswer(c.id, g)
						case g.status == http.StatusOK: // a stream that had begun
							assert.True(t, strings.HasPrefix(c.path, "/chat/"), c.id)
						default:
							assert.Empty(t, s.runs(c.id), "%s got no answer: %v", c.id, g.err)
							assert.Greater(t, time.Since(begin), 2*time.Second, "%s got no answer: %v", c.id, g.err)
						}
					})
				}
				time.Sleep(50 * time.Millisecond)
			}
			wait.Wait()
		})
	}
}

// Guards against a request whose body arrives slowly and that gets no answer.
func TestPlannedStopCutsRequestsThatArriveSlowly(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.grace = stopGrace
	s.startDefaultsWith(slowRoutes())
	conn, err := net.Dial("tcp", s.vms[0].settings.CallerAddress)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /slowonce/x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: r1\r\nApi-Key: %s\r\nX-Deadline-Ms: 8000\r\nContent-Length: 100\r\n\r\nhalf", host, key)
	require.NoError(t, err)
	time.Sleep(100 * time.Millisecond)
	s.vms[0].stop()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(stopGrace)))
	raw, err := io.ReadAll(conn)
	require.NoError(t, err)
	assert.True(t, strings.HasPrefix(string(raw), "HTTP/1.1 503 "), "%q", raw)
	assert.Contains(t, string(raw), `"run":"not_run"`)
	assert.Empty(t, s.runs("r1"))
}

// Guards against a stream that has begun and is ended earlier than the VM.
func TestPlannedStopEndsStreamsOnlyWithTheVM(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.grace = stopGrace
	s.startDefaultsWith(slowRoutes())
	for id, p := range s.replicas {
		if id[0] == 'e' {
			p.Events, p.EventInterval = 9, 385*time.Millisecond // 3.5 s, when others have got their last answer
		}
	}
	s.do(call{id: "warm", path: "/look/x", key: key})
	s.vms[0].stop()
	c := chat("r1")
	c.deadline = 8 * time.Second
	g := s.do(c)
	require.NoError(t, g.err)
	assert.Equal(t, http.StatusOK, g.status)
	assert.Equal(t, 9, strings.Count(g.body, "data: "))
}

// Guards against a stopping VM that takes requests which it does not expect to finish.
func TestStoppingVMTakesRequestsForSlowUpstreams(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.grace = 3 * time.Second
	s.startDefaultsWith(slowRoutes())
	for _, p := range s.replicas {
		p.ProcessingTime = 900 * time.Millisecond
	}
	for i := range 3 { // the VM learns how slow they are
		s.doAll(s.vms[0], slowCalls(fmt.Sprint("warm", i))[:1])
	}
	s.vms[0].stop()
	time.Sleep(2200 * time.Millisecond)
	begin := time.Now()
	g := s.do(slowCalls("r")[0])
	s.assertTrueLastAnswer("r unsafe", g)
	assert.Equal(t, http.StatusServiceUnavailable, g.status)
	assert.Less(t, time.Since(begin), 150*time.Millisecond, "refused at once")
}

// Guards against a stopping VM that drops an answer for a larger model's, which it does not
// expect to get before it ends.
func TestStoppingVMDropsAnAnswerForALateOne(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.grace = 2 * time.Second
	s.startDefaultsWith(slowRoutes())
	s.setFaults("e", platformside.ReplicaFaults{Delay: 200 * time.Millisecond})
	for i := range 4 { // the VM learns how slow they are
		s.do(chat(fmt.Sprint("warm", i)))
	}
	setSmallModelConfidence(s, 5)
	s.vms[0].stop()
	time.Sleep(1420 * time.Millisecond)
	g := s.do(chat("r"))
	require.NoError(t, g.err)
	assert.Equal(t, http.StatusOK, g.status, g.body)
}

// Guards against a request whose body does not arrive, and whose caller waits for the
// answer until it does.
func TestBodyThatDoesNotArriveGetsNoAnswer(t *testing.T) {
	s := newStandardSite(t)
	conn, err := net.Dial("tcp", s.vms[0].settings.CallerAddress)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /once/x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: r1\r\nApi-Key: %s\r\nX-Deadline-Ms: 300\r\nContent-Length: 100\r\n\r\nhalf", host, key)
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(2*time.Second)))
	begin := time.Now()
	raw, err := io.ReadAll(conn)
	require.NoError(t, err, "%q", raw)
	assert.True(t, strings.HasPrefix(string(raw), "HTTP/1.1 408 "), "%q", raw)
	assert.Less(t, time.Since(begin), time.Second)
}
