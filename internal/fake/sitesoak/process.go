package sitesoak

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/fake/ports"
)

// entryVM is one pier-edge process and what reaches it.
type entryVM struct {
	name     string
	callers  string
	ready    string
	settings string
	program  string
	log      string
	store    *proxy

	mu       sync.Mutex
	cmd      *exec.Cmd
	ended    chan struct{}
	expected bool      // its end was asked for
	fault    time.Time // the latest fault on it
	stopping time.Time // of a graceful stop; zero when it serves
}

const settingsText = `nodeName: %q
zone: %q
region: "r"
zones: {a: "r", b: "r"}
listen: {frontend: %q, ready: %q, controlPlane: %q}
seedNodes: [%s]
limits: {cpuQuota: 0.4, memoryMb: 134, maxFds: 4100}
bounds: {stabilityWindowMs: 3000, drainTimeoutMs: 2000, graceS: 4, configApplyMs: 2000, retryBudgetRatio: 0.9, budgetWindowS: 10, retrySlack: 640, exposureShare: 0.15, exposureTolerance: 30, coldOverage: 1.5, coldTolerance: 5, sessionTtlS: 5}
platform: {address: %q}
`

func newEntryVM(dir, program, name, zone, peers, seeds, store string) (*entryVM, error) {
	p, err := newProxy(store)
	if err != nil {
		return nil, err
	}
	v := &entryVM{
		name: name, program: program, store: p, callers: freeAddress(), ready: freeAddress(),
		settings: filepath.Join(dir, name+".yaml"), log: filepath.Join(dir, name+".log"),
	}
	text := fmt.Sprintf(settingsText, name, zone, v.callers, v.ready, peers, seeds, p.address())
	return v, os.WriteFile(v.settings, []byte(text), 0o600)
}

// freeAddress finds a loopback port that nobody uses now.
func freeAddress() string {
	a, err := ports.FreeAddress()
	if err != nil {
		panic(err) // a machine without loopback ports can't run a soak
	}
	return a
}

// start starts the process; its output is appended to its log.
func (v *entryVM) start() error {
	out, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(v.program)
	cmd.Env = append(os.Environ(), "CRANBERRYPIER_SETTINGS="+v.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	v.mu.Lock()
	v.cmd, v.ended, v.expected, v.stopping = cmd, ended, false, time.Time{}
	v.mu.Unlock()
	go func() {
		_ = cmd.Wait() // how it ended is judged by whether it was asked to
		_ = out.Close()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process that this driver started.
func (v *entryVM) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fault = time.Now()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		v.expected = true
		v.stopping = time.Now()
	}
	if v.cmd != nil && v.cmd.Process != nil {
		_ = v.cmd.Process.Signal(s) // it may have ended by itself, which is checked elsewhere
	}
}

// disturbed notes a fault that is not a signal.
func (v *entryVM) disturbed() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fault = time.Now()
}

// calm reports whether the process has been without faults for a while.
func (v *entryVM) calm(since time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Since(v.fault) > since && v.stopping.IsZero()
}

// died reports whether the process ended without being asked to.
func (v *entryVM) died() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	select {
	case <-v.ended:
		return !v.expected
	default:
		return false
	}
}

// wait waits for the end of the process.
func (v *entryVM) wait(most time.Duration) bool {
	v.mu.Lock()
	ended := v.ended
	v.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(most):
		return false
	}
}

var checks = &http.Client{Timeout: 500 * time.Millisecond}

func (v *entryVM) isReady() bool {
	resp, err := checks.Get("http://" + v.ready + "/cranberrypier/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
