package edge_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// coldRoom is the number of requests that one VM may send to the replicas of a cold site at
// once; there is room again coldRoomIn later.
const (
	coldRoom   = 3
	coldRoomIn = 1100 * time.Millisecond
)

// newColdSite returns a site with one VM that has used up its limits of three cold replicas,
// and when it has. A request of the path /urgent/ is more urgent than others.
func newColdSite(t *testing.T, contention bool) (*site, time.Time) {
	t.Helper()
	s := newSite(t)
	s.contention, s.coldRate, s.metrics, s.grace = contention, 8.4, freeAddress(t), 300*time.Millisecond
	list := append(routes(), route{"name": "urgent", "host": host, "pathPrefix": "/urgent/", "routeType": "unsafe", "timeoutMs": 4000, "targetLatencyMs": 2000, "service": orders})
	for _, r := range list[:3] {
		r["priority"], r["timeoutMs"], r["targetLatencyMs"] = 2, 4000, 2000
	}
	s.configure(list, key)
	for i := range 3 {
		id := fmt.Sprintf("o%d", i)
		s.listenReplica(id)
		s.putEntry(id, orders, s.addresses[id], map[string]any{"coldRemainingMs": 60000})
	}
	s.startVM("vm-1")
	begin := time.Now()
	for i, g := range s.doConcurrently(coldRoom, func(i int) call { return call{id: fmt.Sprint("first-", i), path: "/once/x", key: key} }) {
		require.Equal(t, http.StatusOK, g.status, i)
	}
	return s, begin
}

// sendLater starts requests at a time and returns a function that waits for their results.
func (s *site) sendLater(at time.Time, n int, c func(i int) call) func() []callResult {
	time.Sleep(time.Until(at))
	var out []callResult
	var done sync.WaitGroup
	done.Go(func() { out = s.doConcurrently(n, c) })
	return func() []callResult { done.Wait(); return out }
}

// assertRefused checks that a request was refused as not run, with a time to return.
func (s *site) assertRefused(id string, g callResult) {
	s.t.Helper()
	assert.Equal(s.t, http.StatusServiceUnavailable, g.status, id)
	assert.Contains(s.t, g.body, `"run":"not_run"`, id)
	assert.NotEmpty(s.t, g.header.Get("Retry-After"), id)
	assert.Empty(s.t, s.runs(id), id)
}

func numbered(prefix, path string) func(i int) call {
	return func(i int) call { return call{id: fmt.Sprint(prefix, "-", i), path: path, key: key} }
}

// waitingRequests returns the gauge of requests that wait for room.
func (s *site) waitingRequests() string {
	resp, err := http.Get("http://" + s.metrics + "/metrics")
	require.NoError(s.t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	require.NoError(s.t, err)
	_, value, _ := strings.Cut(string(body), "\npier_waiting_requests ")
	value, _, _ = strings.Cut(value, "\n")
	return value
}

// Guards against the room of cold upstreams that goes to whoever asks first, while more
// urgent requests wait.
func TestRoomOfColdUpstreamsGoesToTheMostUrgent(t *testing.T) {
	s, begin := newColdSite(t, true)
	less := s.sendLater(begin.Add(coldRoomIn-350*time.Millisecond), coldRoom, numbered("less", "/once/x"))
	urgent := s.sendLater(begin.Add(coldRoomIn-250*time.Millisecond), coldRoom, numbered("urgent", "/urgent/x"))
	time.Sleep(time.Until(begin.Add(coldRoomIn - 60*time.Millisecond)))
	var newcomers []func() []callResult
	for i := range 20 { // some arrive just when there is room
		newcomers = append(newcomers, s.sendLater(time.Now().Add(5*time.Millisecond), 1, numbered(fmt.Sprint("new", i), "/once/x")))
	}
	for i, g := range urgent() {
		assert.Equal(t, http.StatusOK, g.status, "urgent %d: %s", i, g.body)
	}
	for i, g := range less() {
		s.assertRefused(fmt.Sprint("less-", i), g)
		assert.Less(t, g.took, time.Second)
	}
	for i, wait := range newcomers {
		s.assertRefused(fmt.Sprint("new", i, "-0"), wait()[0])
	}
}

// Guards against a wait for room that comes later than the request may wait, and against
// callers that are told to return long before or after.
func TestNoWaitForRoomThatComesTooLate(t *testing.T) {
	s, begin := newColdSite(t, true)
	for i, g := range s.doConcurrently(6, numbered("late", "/once/x")) {
		left := time.Until(begin.Add(coldRoomIn))
		s.assertRefused(fmt.Sprint("late-", i), g)
		assert.Less(t, g.took, 300*time.Millisecond)
		seconds, err := strconv.ParseFloat(g.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		assert.InDelta(t, left.Seconds(), seconds, 0.7)
	}
}

// Guards against waits for cold upstreams where callers do not compete for capacity.
func TestNoWaitForColdUpstreamsWithoutContention(t *testing.T) {
	s, begin := newColdSite(t, false)
	for i, g := range s.sendLater(begin.Add(coldRoomIn-300*time.Millisecond), 3, numbered("cold", "/urgent/x"))() {
		s.assertRefused(fmt.Sprint("cold-", i), g)
		assert.Less(t, g.took, 200*time.Millisecond)
	}
}

// Guards against waiting requests that a stopping VM leaves without an answer.
func TestStoppingVMAnswersWaitingRequests(t *testing.T) {
	s, begin := newColdSite(t, true)
	results := s.sendLater(begin.Add(coldRoomIn-450*time.Millisecond), 5, numbered("stop", "/once/x"))
	require.Eventually(t, func() bool { return s.waitingRequests() == "5" }, 300*time.Millisecond, 5*time.Millisecond)
	s.vms[0].stop()
	for i, g := range results() {
		s.assertTrueLastAnswer(fmt.Sprint("stop-", i), g)
		s.assertRefused(fmt.Sprint("stop-", i), g)
	}
}

// Guards against a caller that has left and keeps its place in the queue.
func TestCallerThatLeavesFreesItsPlace(t *testing.T) {
	s, begin := newColdSite(t, true)
	ctx, leave := context.WithCancel(t.Context())
	results := s.sendLater(begin.Add(coldRoomIn-450*time.Millisecond), 5, func(i int) call {
		return call{id: fmt.Sprint("gone-", i), path: "/once/x", key: key, ctx: ctx}
	})
	require.Eventually(t, func() bool { return s.waitingRequests() == "5" }, 300*time.Millisecond, 5*time.Millisecond)
	leave()
	assert.Eventually(t, func() bool { return s.waitingRequests() == "0" }, 300*time.Millisecond, 5*time.Millisecond)
	for i, g := range results() {
		assert.Error(t, g.err)
		assert.Empty(t, s.runs(fmt.Sprint("gone-", i)))
	}
}

// Guards against a request that waits for upstreams all of which it has tried, and against
// a VM that notices later that it reaches none.
func TestNoWaitForUpstreamsThatWereTried(t *testing.T) {
	s := newSite(t)
	s.contention = true
	s.startDefaults()
	for _, server := range s.servers {
		server.CloseClientConnections()
		require.NoError(t, server.Listener.Close())
	}
	for i := range 4 {
		g := s.do(call{id: fmt.Sprint("down-", i), path: "/look/x", key: key})
		s.assertRefused(fmt.Sprint("down-", i), g)
		assert.Less(t, g.took, 400*time.Millisecond)
	}
}
