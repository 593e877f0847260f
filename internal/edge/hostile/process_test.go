package hostile

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/fake/platformside"
	"github.com/cranberrypier/cranberrypier/internal/fake/ports"
)

// The VM of the tests. Its memory is smaller than that of any deployment, so that a small
// number of clients shows whether there is a bound.
const (
	memoryMB     = 64
	maxOpenFiles = 400
	// clients is the number of simultaneous clients of each listener, each with a
	// connection of its own.
	clients = 100
	// silentClients is the number of connections to each listener on which nothing is sent.
	silentClients = 200
	// upstreamDelay is how long the upstream takes for a request.
	upstreamDelay = 1000 * time.Millisecond
	// maxHeaderBytes is the limit in the configuration.
	maxHeaderBytes = 16384
	host           = "hostile.example"
	// startTimeout and answerTimeout are generous: the tests check no times.
	startTimeout  = 20 * time.Second
	answerTimeout = 20 * time.Second
)

const settingsTemplate = `nodeName: "vm-0"
zone: "a"
region: "r"
zones: {a: "r"}
listen: {frontend: %q, ready: %q, controlPlane: %q}
seedNodes: [%q]
limits: {cpuQuota: 0.4, memoryMb: %d, maxFds: %d}
bounds: {stabilityWindowMs: 3000, drainTimeoutMs: 2000, graceS: 4, configApplyMs: 2000, rollbackMs: 5000, retryBudgetRatio: 0.9, budgetWindowS: 10, retrySlack: 640, exposureShare: 0.15, exposureTolerance: 30, coldOverage: 1.5, coldTolerance: 5, sessionTtlS: 5}
platform: {address: %q, historyS: 20, maxValueBytes: 1048576}
`

// requestCount makes each request different from all others.
var requestCount atomic.Int64

// vmProcess is a running pier-edge and the addresses of its listeners.
type vmProcess struct {
	callers, peers, readiness, metrics string

	// storeFault is what the store responds with; nil for its usual responses.
	storeFault atomic.Pointer[platformside.EndlessFault]
	// replica and streams are the upstreams of the routes /bad/ and /bad-stream/.
	replica, streams *platformside.Replica

	// files is the limit of descriptors.
	files int

	cmd      *exec.Cmd
	exited   chan struct{}
	peakOpen atomic.Int64
}

// buildProgram builds pier-edge and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "pier-edge")
	out, err := exec.Command("go", "build", "-o", program, "../../../cmd/pier-edge").CombinedOutput()
	require.NoError(t, err, string(out))
	return program
}

// startVM starts pier-edge and waits until it is ready.
func startVM(t *testing.T, program string) *vmProcess {
	t.Helper()
	return startVMWithFiles(t, program, maxOpenFiles)
}

// startVMWithFiles starts pier-edge with a limit of descriptors.
func startVMWithFiles(t *testing.T, program string, files int) *vmProcess {
	t.Helper()
	v := &vmProcess{files: files, exited: make(chan struct{}), replica: platformside.NewReplica("p1"), streams: platformside.NewReplica("p1-stream")}
	store := platformside.NewStore()
	storeServer := httptest.NewServer(v.faultyStore(store.Handler()))
	replica := platformside.NewReplica("p0")
	replica.ProcessingTime = upstreamDelay
	upstream, faulty, faultyStream := httptest.NewServer(replica), httptest.NewServer(v.replica), httptest.NewServer(v.streams)
	publish(store, strings.TrimPrefix(upstream.URL, "http://"), strings.TrimPrefix(faulty.URL, "http://"), strings.TrimPrefix(faultyStream.URL, "http://"))

	address := func() string {
		a, err := ports.FreeAddress()
		require.NoError(t, err)
		return a
	}
	v.callers, v.peers, v.readiness, v.metrics = address(), address(), address(), address()
	settings := filepath.Join(t.TempDir(), "vm.yaml")
	text := fmt.Sprintf(settingsTemplate, v.callers, v.readiness, v.peers, v.peers, memoryMB, files, strings.TrimPrefix(storeServer.URL, "http://"))
	require.NoError(t, os.WriteFile(settings, []byte(text), 0o600))
	logFile, err := os.Create(filepath.Join(t.TempDir(), "vm.log"))
	require.NoError(t, err)
	v.cmd = exec.Command(program, "--metrics", v.metrics)
	v.cmd.Env = append(os.Environ(), "CRANBERRYPIER_SETTINGS="+settings)
	v.cmd.Stdout, v.cmd.Stderr = logFile, logFile
	require.NoError(t, v.cmd.Start())
	go func() {
		_ = v.cmd.Wait() // only whether it has exited matters
		close(v.exited)
	}()
	stopSampling := make(chan struct{})
	go v.sampleOpenFiles(stopSampling)
	t.Cleanup(func() {
		close(stopSampling)
		_ = v.cmd.Process.Kill() // this test's own process
		<-v.exited
		_ = logFile.Close()
		storeServer.CloseClientConnections()
		upstream.CloseClientConnections()
		faulty.CloseClientConnections()
		faultyStream.CloseClientConnections()
	})
	require.Eventually(t, func() bool { return getStatus("http://"+v.readiness+"/cranberrypier/readyz") == http.StatusOK }, startTimeout, 50*time.Millisecond)
	return v
}

// faultyStore is a store that responds as storeFault says.
func (v *vmProcess) faultyStore(store http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if fault := v.storeFault.Load(); fault != nil {
			platformside.ServeEndless(w, *fault)
			return
		}
		store.ServeHTTP(w, r)
	})
}

func publish(store *platformside.Store, upstream, faulty, faultyStream string) {
	badRoute := func(name, routeType string) map[string]any {
		return map[string]any{"name": name, "host": host, "pathPrefix": "/" + name + "/", "routeType": routeType, "timeoutMs": 5000, "targetLatencyMs": 3000, "targetGapMs": 3000, "service": name, "maxAttempts": 3}
	}
	services := []any{map[string]any{"name": "orders"}}
	for _, name := range []string{"bad", "bad-stream", "cut"} {
		services = append(services, map[string]any{"name": name})
	}
	store.Put("config", "main", map[string]any{
		"version": 2,
		"routes": []map[string]any{
			{"name": "once", "host": host, "pathPrefix": "/once/", "routeType": "unsafe", "timeoutMs": 8000, "targetLatencyMs": 2000, "service": "orders", "maxAttempts": 1},
			badRoute("bad", "safe"), badRoute("bad-stream", "streaming"), badRoute("cut", "safe"),
		},
		"services": services,
		"limits":   map[string]any{"maxBodyBytes": 1 << 20, "maxHeaderBytes": maxHeaderBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "team-1", "apiKeys": []string{"key"}}},
	})
	put := func(id, service, address string) {
		store.Put("servers", id, map[string]any{
			"service": service, "address": address, "zone": "a", "version": "v1", "slots": 1000,
			"state": "ready", "coldRemainingMs": 0, "sequence": 0, "born": 1700000000000,
		})
	}
	put("p0", "orders", upstream)
	put("p1", "bad", faulty)
	put("p1-stream", "bad-stream", faultyStream)
	put("p3", "cut", "127.0.0.1:1") // refuses connections, so that requests go to another VM
}

func getStatus(url string) int {
	client := http.Client{Timeout: answerTimeout}
	resp, err := client.Get(url)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body) // only the status counts
	return resp.StatusCode
}

// sampleOpenFiles keeps the highest number of the process's open descriptors.
func (v *vmProcess) sampleOpenFiles(stop <-chan struct{}) {
	for {
		if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", v.cmd.Process.Pid)); err == nil {
			v.peakOpen.Store(max(v.peakOpen.Load(), int64(len(entries))))
		}
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// peakMemoryKB returns the peak resident set of the process in KB.
func (v *vmProcess) peakMemoryKB(t *testing.T) int {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.cmd.Process.Pid))
	require.NoError(t, err)
	_, rest, ok := strings.Cut(string(raw), "VmHWM:")
	require.True(t, ok, "the process has exited")
	n, err := strconv.Atoi(strings.Fields(rest)[0])
	require.NoError(t, err)
	return n
}

// ordinaryRequest sends one request as an ordinary caller does and returns the status.
func (v *vmProcess) ordinaryRequest() int { return v.request("once") }

// request sends one request on a route and returns the status; zero if no complete
// response arrives.
func (v *vmProcess) request(route string) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+v.callers+"/"+route+"/x", strings.NewReader(fmt.Sprint("body ", requestCount.Add(1))))
	if err != nil {
		panic(err) // the test's own request is always valid
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", fmt.Sprint("r", requestCount.Add(1)))
	req.Header.Set("X-Deadline-Ms", "6000")
	req.Header.Set("Api-Key", "key")
	if route == "bad-stream" {
		req.Header.Set("X-Token-Usage", "100,10")
		req.Header.Set("X-Prefix-Hash", fmt.Sprintf("%x:100", requestCount.Add(1)))
	}
	client := http.Client{Timeout: answerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// checkBounds checks what must hold after each attack: the process is alive and within
// its VM's memory and descriptors, and it serves an ordinary request.
func (v *vmProcess) checkBounds(t *testing.T) {
	t.Helper()
	select {
	case <-v.exited:
		require.Fail(t, "the process has exited")
	default:
	}
	require.Eventually(t, func() bool { return v.ordinaryRequest() == http.StatusOK }, answerTimeout, 100*time.Millisecond, "no ordinary request is answered")
	peak := v.peakMemoryKB(t)
	t.Logf("peak memory %d KB, open descriptors %d", peak, v.peakOpen.Load())
	require.LessOrEqual(t, peak, memoryMB<<10, "peak resident memory, KB")
	require.LessOrEqual(t, v.peakOpen.Load(), int64(v.files), "open descriptors")
}
