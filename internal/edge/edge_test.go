package edge_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/fake/platformside"
)

// For each fault of the upstreams: what the caller of a buffered response
// receives and how often the request runs.
func TestBufferedResponses(t *testing.T) {
	type want struct {
		status int
		signed bool
		runs   int
	}
	for _, tt := range []struct {
		name       string
		faults     platformside.ReplicaFaults
		atMostOnce want // for a request that must not be repeated
		idempotent want // for an idempotent request
	}{
		{"no fault", platformside.ReplicaFaults{}, want{200, true, 1}, want{200, true, 1}},
		{"all replicas reject", platformside.ReplicaFaults{Reject: true}, want{503, false, 0}, want{503, false, 0}},
		{"rejections before the body is read", platformside.ReplicaFaults{Early: true}, want{503, false, 0}, want{503, false, 0}},
		{"error responses of the replicas", platformside.ReplicaFaults{Fail: true}, want{500, true, 1}, want{500, true, 3}},
		{"lost responses", platformside.ReplicaFaults{LoseAnswer: true}, want{502, false, 1}, want{502, false, 3}},
		{"truncated responses", platformside.ReplicaFaults{Torn: true}, want{502, false, 1}, want{502, false, 3}},
		{"responses without a signature", platformside.ReplicaFaults{Unsigned: true}, want{502, false, 1}, want{502, false, 3}},
		{"responses to another request", platformside.ReplicaFaults{Foreign: true}, want{502, false, 1}, want{502, false, 3}},
		{"bytes after the response", platformside.ReplicaFaults{Extra: true}, want{200, true, 1}, want{200, true, 1}},
		{"responses without a length", platformside.ReplicaFaults{Unframed: true}, want{200, true, 1}, want{200, true, 1}},
		{"no response", platformside.ReplicaFaults{Mute: true}, want{504, false, 1}, want{504, false, 3}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newStandardSite(t)
			s.setFaults("o", tt.faults)
			for path, w := range map[string]want{"/once/x": tt.atMostOnce, "/look/x": tt.idempotent} {
				id := strings.ReplaceAll(path, "/", "-")
				g := s.do(call{id: id, path: path, key: key, body: "a body"})
				require.NoError(t, g.err)
				assert.Equal(t, w.status, g.status, path)
				assert.Equal(t, w.signed, g.header.Get("X-Response-Signature") != "", path)
				assert.Len(t, s.runs(id), w.runs, path)
				if w.status == http.StatusServiceUnavailable {
					assert.NotEmpty(t, g.header.Get("Retry-After"), path)
				}
				if w.status == http.StatusOK {
					assert.Contains(t, g.body, "answer to "+id)
					assert.NotContains(t, g.body, "stray") // the body of the response that ReplicaFaults.Extra adds
				}
				assert.Less(t, g.took, 1800*time.Millisecond, "the caller gets the error as soon as the request is abandoned")
			}
		})
	}
}

// An upstream's own error response is forwarded if there is no other upstream
// to try.
func TestFailureOfTheOnlyReplicaIsPassedOn(t *testing.T) {
	s := newSite(t)
	s.configure(routes(), key)
	s.startReplica("o0", orders)
	s.startVM("vm-1")
	s.setFaults("o", platformside.ReplicaFaults{Fail: true})
	g := s.do(call{id: "a", path: "/look/x", key: key})
	assert.Equal(t, 500, g.status)
	assert.Equal(t, platformside.Signature("o0", "a", 500, g.body), g.header.Get("X-Response-Signature"))
}

// A route's maxAttempts limits how often a request may run. It must not make an
// unsafe request run more than once.
func TestAttemptsDoNotAllowRepeats(t *testing.T) {
	s := newStandardSite(t)
	s.configure(append(routes(), route{"name": "more", "host": host, "pathPrefix": "/more/", "routeType": "unsafe", "timeoutMs": 1000, "service": orders, "maxAttempts": 3}), key)
	require.Eventually(t, func() bool { return s.do(call{id: "a", path: "/more/x", key: key}).status == 200 }, 2*time.Second, 10*time.Millisecond)
	s.setFaults("o", platformside.ReplicaFaults{LoseAnswer: true})
	assert.Equal(t, 502, s.do(call{id: "b", path: "/more/x", key: key}).status)
	assert.Len(t, s.runs("b"), 1)
	s.setFaults("o", platformside.ReplicaFaults{Reject: true})
	assert.Equal(t, 503, s.do(call{id: "c", path: "/more/x", key: key}).status)
	assert.Empty(t, s.runs("c"))
}

// One of three replicas is faulty. Callers of an idempotent route must not see
// its failures, and it must soon receive fewer requests.
func TestOneFaultyReplica(t *testing.T) {
	for name, f := range map[string]platformside.ReplicaFaults{
		"fails": {Fail: true}, "loses responses": {LoseAnswer: true}, "truncates responses": {Torn: true}, "does not respond": {Mute: true}, "rejects": {Reject: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStandardSite(t)
			s.replicas["o0"].SetFaults(f)
			for i := range 30 {
				g := s.do(call{id: fmt.Sprintf("r%d", i), path: "/look/x", key: key})
				assert.Equal(t, 200, g.status)
			}
			assert.Less(t, s.replicas["o0"].RequestCount(), 15)
		})
	}
}

// Guards against requests that reach the replica changed, with the caller's key
// or with forged headers.
func TestForwardedRequest(t *testing.T) {
	s := newStandardSite(t)
	g := s.do(call{id: "r1", path: "/once/a%2Fb?q=1&r=%20", key: key, body: "a body", header: map[string]string{"X-Tenant": "forged", "X-Retention": "forged"}})
	require.Equal(t, 200, g.status)
	runs := s.runs("r1")
	require.Len(t, runs, 1)
	assert.Equal(t, "/once/a%2Fb?q=1&r=%20", runs[0].Target)
	assert.Equal(t, "team-1", runs[0].Tenant)
	assert.Empty(t, runs[0].APIKey)
	assert.Equal(t, "a body", runs[0].Body)
	assert.Equal(t, http.MethodPost, runs[0].Method)
	assert.Equal(t, platformside.Signature(runs[0].Replica, "r1", 200, g.body), g.header.Get("X-Response-Signature"))
	assert.Regexp(t, `^(9\d\d|1000)$`, runs[0].Deadline, "no more than the route's timeout is left")
}

func TestAdmission(t *testing.T) {
	s := newStandardSite(t)
	for _, tt := range []struct {
		name string
		call call
		want int
	}{
		{"unknown key", call{id: "a", path: "/look/x", key: "nobody"}, 401},
		{"no key", call{id: "b", path: "/look/x"}, 401},
		{"public route", call{id: "c", path: "/open/x"}, 200},
		{"unknown route", call{id: "d", path: "/nowhere/x", key: key}, 404},
		{"prefix without its slash", call{id: "e", path: "/look", key: key}, 404},
		{"long body", call{id: "f", path: "/look/x", key: key, body: strings.Repeat("x", 1<<20+1)}, 413},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := s.do(tt.call)
			require.NoError(t, g.err)
			assert.Equal(t, tt.want, g.status)
			if tt.want != 200 {
				assert.Empty(t, s.runs(tt.call.id))
				assert.Contains(t, g.body, `"run":"not_run"`)
			}
		})
	}
}

func TestUnavailableWithoutConfiguration(t *testing.T) {
	s := newSite(t)
	e := s.launchVM("vm-1")
	require.Eventually(t, func() bool { return s.do(call{id: "x", path: "/look/x", key: "any"}).status == 503 }, 5*time.Second, 10*time.Millisecond)
	assert.False(t, e.ready())
	s.startReplica("o0", orders)
	s.configure(routes(), key)
	require.Eventually(t, e.ready, 5*time.Second, 10*time.Millisecond)
	assert.Equal(t, 200, s.do(call{id: "y", path: "/look/x", key: key}).status)
}

// Guards against a VM that is ready, and refuses everything, because the
// configuration arrived before the first upstream.
func TestReadyBeforeTheFirstUpstream(t *testing.T) {
	s := newSite(t)
	s.configure(routes(), key)
	e := s.launchVM("vm-1")
	assert.Never(t, e.ready, 500*time.Millisecond, 10*time.Millisecond)
	s.startReplica("o0", orders)
	require.Eventually(t, e.ready, 5*time.Second, 10*time.Millisecond)
	assert.Equal(t, 200, s.do(call{id: "x", path: "/look/x", key: key}).status)
}

// A fleet without upstreams must not keep its VMs from being ready for ever.
func TestReadyWithoutUpstreams(t *testing.T) {
	s := newSite(t)
	s.configure(routes(), key)
	e := s.launchVM("vm-1")
	require.Eventually(t, e.ready, 10*time.Second, 10*time.Millisecond)
	assert.Equal(t, 503, s.do(call{id: "x", path: "/look/x", key: key}).status)
}

func TestStoreAbsentAtStart(t *testing.T) {
	s := newSite(t)
	s.store.SetFaults(platformside.StoreFaults{Reset: true})
	e := s.launchVM("vm-1")
	time.Sleep(300 * time.Millisecond)
	assert.False(t, e.ready())
	assert.Equal(t, 503, s.do(call{id: "x", path: "/look/x", key: key}).status)
	s.configure(routes(), key)
	s.startReplica("o0", orders)
	s.store.SetFaults(platformside.StoreFaults{})
	require.Eventually(t, e.ready, 5*time.Second, 10*time.Millisecond)
}

func TestConfigurationTakesEffect(t *testing.T) {
	s := newStandardSite(t)
	s.configure(append(routes(), route{"name": "new", "host": host, "pathPrefix": "/new/", "routeType": "safe", "timeoutMs": 1000, "service": orders, "maxAttempts": 1}), "key-2")
	require.Eventually(t, func() bool { return s.do(call{id: "a", path: "/new/x", key: "key-2"}).status == 200 }, 2*time.Second, 10*time.Millisecond)
	assert.Equal(t, 401, s.do(call{id: "b", path: "/look/x", key: key}).status, "the key was removed")
	s.version -= 3                     // configure adds 3 again
	s.configure(routes(), key)         // the current version again, with different content
	time.Sleep(800 * time.Millisecond) // longer than the batch delay after a change
	assert.Equal(t, 200, s.do(call{id: "c", path: "/new/x", key: "key-2"}).status, "a version is applied only once")
}

func TestInvalidUpstreamEntriesAreIgnored(t *testing.T) {
	s := newStandardSite(t)
	s.store.PutRaw("servers", "bad1", []byte(`{"service":"orders","state":"ready"}`))
	s.store.PutRaw("servers", "bad2", []byte(`"text"`))
	s.store.PutRaw("servers", "bad3", []byte(`{"service":7,"address":[],"zone":"a","version":"v1","slots":"x","state":"ready"}`))
	for i := range 20 {
		assert.Equal(t, 200, s.do(call{id: fmt.Sprint(i), path: "/look/x", key: key}).status)
	}
}

func TestLeavingReplicaGetsNothing(t *testing.T) {
	s := newStandardSite(t)
	s.putEntry("o0", orders, s.addresses["o0"], map[string]any{"state": "draining"})
	time.Sleep(50 * time.Millisecond) // the second change waits for the batch delay
	s.store.Remove("servers", "o1")
	time.Sleep(s.vms[0].settings.Bounds.DrainPeriod)
	before := s.replicas["o0"].RequestCount() + s.replicas["o1"].RequestCount()
	for i := range 20 {
		assert.Equal(t, 200, s.do(call{id: fmt.Sprint(i), path: "/look/x", key: key}).status)
	}
	assert.Equal(t, before, s.replicas["o0"].RequestCount()+s.replicas["o1"].RequestCount())
}

func TestWithdrawnZoneGetsNothing(t *testing.T) {
	s := newStandardSite(t)
	s.store.Put("evacuations", "a", map[string]any{})
	require.Eventually(t, func() bool { return s.do(call{id: "x", path: "/look/x", key: key}).status == 503 }, 2*time.Second, 10*time.Millisecond)
	s.store.Remove("evacuations", "a")
	require.Eventually(t, func() bool { return s.do(call{id: "y", path: "/look/x", key: key}).status == 200 }, 2*time.Second, 10*time.Millisecond)
}

// The address of a listed replica now belongs to another replica, which rejects
// the request as misdirected. The request must be sent to another upstream, and
// the address must not be used again.
func TestReusedAddress(t *testing.T) {
	s := newStandardSite(t)
	other := platformside.NewReplica("stranger")
	for _, id := range []string{"o0", "o1"} {
		s.replicas[id].ID = other.ID
	}
	for i := range 10 {
		assert.Equal(t, 200, s.do(call{id: fmt.Sprint(i), path: "/once/x", key: key}).status)
	}
	assert.LessOrEqual(t, s.replicas["o0"].RequestCount()+s.replicas["o1"].RequestCount(), 2)
}

func TestTimeoutResponseComesAtTheDeadline(t *testing.T) {
	s := newStandardSite(t)
	s.setFaults("o", platformside.ReplicaFaults{Mute: true})
	g := s.do(call{id: "a", path: "/once/x", key: key, deadline: 300 * time.Millisecond})
	assert.Equal(t, 504, g.status)
	assert.Less(t, g.took, 500*time.Millisecond)
	g = s.do(call{id: "b", path: "/once/x", key: key, deadline: 5 * time.Second})
	assert.Equal(t, 504, g.status)
	assert.Less(t, g.took, 1250*time.Millisecond, "the route's timeout is 1 s")
}

func TestWorkEndsWhenTheCallerLeaves(t *testing.T) {
	newStandardSite(t).assertWorkEndsWithTheCaller()
}

// assertWorkEndsWithTheCaller sends requests whose callers leave after 100 ms, and
// requires that the one run of each ends soon after.
func (s *site) assertWorkEndsWithTheCaller() {
	t := s.t
	s.setFaults("", platformside.ReplicaFaults{Mute: true})
	for _, c := range []call{chat("a"), {id: "b", path: "/look/x", key: key}} {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		c.ctx = ctx
		assert.Error(t, s.do(c).err)
		cancel()
		assert.Eventually(t, func() bool {
			for _, r := range s.runs(c.id) {
				if !r.Done {
					return false
				}
			}
			return len(s.runs(c.id)) == 1
		}, 500*time.Millisecond, 5*time.Millisecond, c.id)
	}
}

func TestDrainCutsNoRequest(t *testing.T) {
	s := newSite(t)
	s.grace = 2 * time.Second
	s.startDefaults()
	s.setFaults("o", platformside.ReplicaFaults{Delay: 600 * time.Millisecond})
	results := make(chan callResult, 1)
	go func() { results <- s.do(call{id: "a", path: "/look/x", key: key}) }()
	time.Sleep(100 * time.Millisecond)
	s.vms[0].stop()
	time.Sleep(100 * time.Millisecond)
	assert.False(t, s.vms[0].ready())
	assert.Equal(t, 200, (<-results).status)
}

// Guards against an empty success for a caller that closes its side of the connection
// after it has sent its request.
func TestHalfClosedCallerGetsAnEmptySuccess(t *testing.T) {
	s := newStandardSite(t)
	s.setFaults("", platformside.ReplicaFaults{Delay: 300 * time.Millisecond})
	for i, path := range []string{"/once/x", "/look/x", "/chat/x"} {
		conn, err := net.Dial("tcp", s.vms[0].settings.CallerAddress)
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: h%d\r\nApi-Key: %s\r\nX-Model: small\r\nX-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n", path, host, i, key)
		require.NoError(t, err)
		time.Sleep(50 * time.Millisecond)
		require.NoError(t, conn.(*net.TCPConn).CloseWrite())
		raw, err := io.ReadAll(conn)
		assert.NoError(t, err)
		assert.NotContains(t, string(raw), "200 OK", path)
	}
}
