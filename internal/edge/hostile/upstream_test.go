package hostile

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/canary"
	"github.com/cranberrypier/cranberrypier/internal/fake/platformside"
	"github.com/cranberrypier/cranberrypier/internal/fake/ports"
	"github.com/cranberrypier/cranberrypier/internal/fleet"
	"github.com/cranberrypier/cranberrypier/internal/gossip"
	"github.com/cranberrypier/cranberrypier/internal/poison"
	"github.com/cranberrypier/cranberrypier/internal/relay"
)

const (
	// faultTime is how long bytes without end come in on a path.
	faultTime = 2 * time.Second
	// faultDelay is the time until an upstream's response begins, so that those to all
	// callers come in at the same time.
	faultDelay = time.Second
	// faultyClients is the number of callers whose requests reach the path. With the
	// ordinary ones they are fewer than the connections that the VM takes.
	faultyClients = 350
	// usualOpenFiles is the limit of descriptors of most deployments.
	usualOpenFiles  = 4100
	ordinaryCallers = 10
)

// whileOrdinaryRequestsAreServed runs a function beside ordinary requests, all of which must
// be served.
func (v *vmProcess) whileOrdinaryRequestsAreServed(t *testing.T, run func()) {
	t.Helper()
	var sent, served atomic.Int64
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for range ordinaryCallers {
		wait.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				sent.Add(1)
				if status := v.ordinaryRequest(); status == http.StatusOK {
					served.Add(1)
				} else {
					t.Logf("an ordinary request ended with status %d", status)
				}
			}
		})
	}
	run()
	close(stop)
	wait.Wait()
	assert.Equal(t, sent.Load(), served.Load(), "ordinary requests that were served")
	assert.NotZero(t, sent.Load())
	v.checkBounds(t)
}

// requestRepeatedly sends requests on a route from all clients for faultTime. None of them
// may look served.
func (v *vmProcess) requestRepeatedly(t *testing.T, route string) {
	t.Helper()
	var looksServed atomic.Int64
	var wait sync.WaitGroup
	end := time.Now().Add(faultTime)
	for i := range faultyClients {
		wait.Go(func() {
			time.Sleep(time.Duration(i) * 2 * time.Millisecond)
			for time.Now().Before(end) {
				if status := v.request(route); status != 0 && status < 500 && status != http.StatusTooManyRequests {
					looksServed.Add(1)
				}
				time.Sleep(10 * time.Millisecond) // the connection is closed on the other side, too
			}
		})
	}
	wait.Wait()
	assert.Zero(t, looksServed.Load(), "requests whose response looks complete")
}

// Guards against upstreams that send bytes without end and take the memory of a VM, or
// other callers' requests with it.
func TestEndlessBytesOfUpstreams(t *testing.T) {
	program := buildProgram(t)
	for _, route := range []string{"bad", "bad-stream"} {
		for _, fault := range platformside.EndlessFaults {
			t.Run(route+"/"+strings.ReplaceAll(string(fault), " ", "_"), func(t *testing.T) {
				v := startVMWithFiles(t, program, usualOpenFiles)
				upstream := map[string]*platformside.Replica{"bad": v.replica, "bad-stream": v.streams}[route]
				upstream.SetFaults(platformside.ReplicaFaults{Endless: fault, Delay: faultDelay})
				v.whileOrdinaryRequestsAreServed(t, func() { v.requestRepeatedly(t, route) })
				assert.Greater(t, upstream.RequestCount(), faultyClients/2, "requests that reached the upstream")
				t.Logf("%d requests reached the upstream", upstream.RequestCount())
			})
		}
	}
}

// controlFaults are the bytes from the store and from other VMs: those that take most memory
// of an upstream's.
var controlFaults = []platformside.EndlessFault{
	platformside.EndlessShortLines, platformside.EndlessShortHints, platformside.EndlessBody, platformside.EndlessChunkSize, platformside.EndlessEvent,
}

// Guards against the same bytes from the platform's store, at any of a VM's calls.
func TestEndlessBytesOfTheStore(t *testing.T) {
	program := buildProgram(t)
	for _, fault := range controlFaults {
		t.Run(strings.ReplaceAll(string(fault), " ", "_"), func(t *testing.T) {
			v := startVMWithFiles(t, program, usualOpenFiles)
			v.storeFault.Store(&fault)
			v.whileOrdinaryRequestsAreServed(t, func() { time.Sleep(faultTime) })
		})
	}
}

// Guards against the same bytes from another VM, to which requests are forwarded and whose
// copy of the store is asked for.
func TestEndlessBytesOfAnotherVM(t *testing.T) {
	program := buildProgram(t)
	for _, fault := range controlFaults {
		t.Run(strings.ReplaceAll(string(fault), " ", "_"), func(t *testing.T) {
			v := startVMWithFiles(t, program, usualOpenFiles)
			states, forwards := startFaultyPeer(t, v.peers, fault)
			require.Eventually(t, func() bool { return states.Load() > 0 }, startTimeout, 10*time.Millisecond)
			v.whileOrdinaryRequestsAreServed(t, func() { v.requestRepeatedly(t, "cut") })
			assert.NotZero(t, forwards.Load(), "requests that were forwarded")
		})
	}
}

// startFaultyPeer starts a VM that claims a newer copy of the store and responds to every
// request with bytes without end. It returns the numbers of requests for its copy and of
// forwarded ones.
func startFaultyPeer(t *testing.T, seed string, fault platformside.EndlessFault) (states, forwards *atomic.Int64) {
	t.Helper()
	address, err := ports.FreeAddress()
	require.NoError(t, err)
	listener, err := net.Listen("tcp", address)
	require.NoError(t, err)
	states, forwards = new(atomic.Int64), new(atomic.Int64)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/peer/") {
			states.Add(1)
		} else {
			forwards.Add(1)
		}
		platformside.ServeEndless(w, fault)
	})}
	go func() { _ = server.Serve(listener) }() // until the end of the test
	self := gossip.Member{Name: "faulty", Incarnation: time.Now().UnixMilli(), Address: address, Zone: "a"}
	peers, err := gossip.New(self, []string{seed}, faultyPeerCallbacks())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		peers.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		_ = server.Close()
	})
	return states, forwards
}

func faultyPeerCallbacks() gossip.Callbacks {
	return gossip.Callbacks{
		Loads: func(int) []fleet.VMLoad { return nil }, RollOuts: func(time.Time) []canary.Report { return nil },
		IsUrgent: func(time.Time) bool { return false }, ConfigVersion: func() uint64 { return 1000 },
		Suspects: func(time.Time) []poison.Suspect { return nil }, PeerAppeared: func() {},
		Departures: func(time.Time) []fleet.Departure { return nil }, Unreachable: func() []string { return nil },
		Stopping: func() bool { return false }, Brittle: func(time.Time) []fleet.BrittleReport { return nil },
		Limits: func(time.Time) []fleet.LimitReport { return nil }, PrefillTimes: func() []fleet.PrefillReport { return nil },
		CallTimes:    func(time.Time) []fleet.CallTimeReport { return nil },
		Digest:       func(time.Time) *relay.Digest { return &relay.Digest{Revisions: []uint64{1000, 1000, 1000, 1000}} },
		StoreTrouble: func(time.Time) (time.Duration, bool) { return 0, false },
		OnMessage:    func(time.Time, gossip.Message) {}, OnMembership: func(time.Time, []string, map[string]bool) {},
		IncarnationName: func(m gossip.Member) string { return m.Name },
	}
}
