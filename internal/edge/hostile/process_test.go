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

// vmProcess is a running pier-edge and the addresses of its listeners.
type vmProcess struct {
	callers, peers, readiness, metrics string

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
	store := platformside.NewStore()
	storeServer := httptest.NewServer(store.Handler())
	replica := platformside.NewReplica("p0")
	replica.ProcessingTime = upstreamDelay
	upstream := httptest.NewServer(replica)
	publish(store, strings.TrimPrefix(upstream.URL, "http://"))

	address := func() string {
		a, err := ports.FreeAddress()
		require.NoError(t, err)
		return a
	}
	v := &vmProcess{callers: address(), peers: address(), readiness: address(), metrics: address(), exited: make(chan struct{})}
	settings := filepath.Join(t.TempDir(), "vm.yaml")
	text := fmt.Sprintf(settingsTemplate, v.callers, v.readiness, v.peers, v.peers, memoryMB, maxOpenFiles, strings.TrimPrefix(storeServer.URL, "http://"))
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
	})
	require.Eventually(t, func() bool { return getStatus("http://"+v.readiness+"/cranberrypier/readyz") == http.StatusOK }, startTimeout, 50*time.Millisecond)
	return v
}

func publish(store *platformside.Store, upstream string) {
	store.Put("config", "main", map[string]any{
		"version": 2,
		"routes": []map[string]any{
			{"name": "once", "host": host, "pathPrefix": "/once/", "routeType": "unsafe", "timeoutMs": 8000, "targetLatencyMs": 2000, "service": "orders", "maxAttempts": 1},
		},
		"services": []any{map[string]any{"name": "orders"}},
		"limits":   map[string]any{"maxBodyBytes": 1 << 20, "maxHeaderBytes": maxHeaderBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "team-1", "apiKeys": []string{"key"}}},
	})
	store.Put("servers", "p0", map[string]any{
		"service": "orders", "address": upstream, "zone": "a", "version": "v1", "slots": 1000,
		"state": "ready", "coldRemainingMs": 0, "sequence": 0, "born": 1700000000000,
	})
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
func (v *vmProcess) ordinaryRequest() int {
	req, err := http.NewRequest(http.MethodPost, "http://"+v.callers+"/once/x", strings.NewReader("body"))
	if err != nil {
		panic(err) // the test's own request is always valid
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", "ordinary")
	req.Header.Set("X-Deadline-Ms", "6000")
	req.Header.Set("Api-Key", "key")
	client := http.Client{Timeout: answerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body) // only the status counts
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
	require.LessOrEqual(t, v.peakOpen.Load(), int64(maxOpenFiles), "open descriptors")
}
