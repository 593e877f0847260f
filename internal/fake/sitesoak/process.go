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

// entryVM is one pier-edge process with its addresses, files and proxy to the
// store.
type entryVM struct {
	name         string
	frontendAddr string
	readyAddr    string
	settingsPath string
	programPath  string
	logPath      string
	storeProxy   *proxy

	mu            sync.Mutex
	cmd           *exec.Cmd
	starts        int
	exited        chan struct{}
	exitExpected  bool      // set before the process is stopped on purpose
	lastFault     time.Time // time of the latest fault that affected the VM
	stoppingSince time.Time // time of the SIGTERM or SIGKILL; zero while the VM serves
	pauses        []pause
}

// pause is a time in which the process did not run.
type pause struct{ begin, end time.Time }

const settingsTemplate = `nodeName: %q
zone: %q
region: "r"
zones: {a: "r", b: "r"}
listen: {frontend: %q, ready: %q, controlPlane: %q}
seedNodes: [%s]
limits: {cpuQuota: 0.4, memoryMb: 134, maxFds: 4100}
bounds: {stabilityWindowMs: 3000, drainTimeoutMs: 2000, graceS: 4, configApplyMs: 2000, rollbackMs: 5000, retryBudgetRatio: 0.9, budgetWindowS: 10, retrySlack: 640, exposureShare: 0.15, exposureTolerance: 30, coldOverage: 1.5, coldTolerance: 5, sessionTtlS: 5}
platform: {address: %q, historyS: 20, maxValueBytes: 1048576}
`

func newEntryVM(dir, programPath, name, zone, peerAddr, seeds, storeAddr string) (*entryVM, error) {
	p, err := newProxy(storeAddr)
	if err != nil {
		return nil, err
	}
	v := &entryVM{
		name: name, programPath: programPath, storeProxy: p, frontendAddr: freeAddress(), readyAddr: freeAddress(),
		settingsPath: filepath.Join(dir, name+".yaml"), logPath: filepath.Join(dir, name+".log"),
	}
	text := fmt.Sprintf(settingsTemplate, name, zone, v.frontendAddr, v.readyAddr, peerAddr, seeds, p.address())
	return v, os.WriteFile(v.settingsPath, []byte(text), 0o600)
}

// freeAddress returns a loopback address whose port is not in use.
func freeAddress() string {
	a, err := ports.FreeAddress()
	if err != nil {
		panic(err) // the soak can't run without loopback ports
	}
	return a
}

// start starts the process and appends its output to the log file.
func (v *entryVM) start() error {
	out, err := os.OpenFile(v.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(v.programPath)
	cmd.Env = append(os.Environ(), "CRANBERRYPIER_SETTINGS="+v.settingsPath)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	v.mu.Lock()
	v.cmd, v.exited, v.exitExpected, v.stoppingSince = cmd, exited, false, time.Time{}
	v.starts++
	v.mu.Unlock()
	go func() {
		_ = cmd.Wait() // the exit status does not matter, only whether the exit was expected
		_ = out.Close()
		close(exited)
	}()
	return nil
}

// incarnation returns how often the process has been started.
func (v *entryVM) incarnation() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.starts
}

// signal sends a signal to the process and records it as a fault.
func (v *entryVM) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lastFault = time.Now()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		v.exitExpected = true
		v.stoppingSince = time.Now()
	}
	if v.cmd != nil && v.cmd.Process != nil {
		_ = v.cmd.Process.Signal(s) // the process may have exited already; Run checks for unexpected exits
	}
}

// recordFault records a fault that is not a signal.
func (v *entryVM) recordFault() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lastFault = time.Now()
}

// faultFreeFor reports whether the VM is not being stopped and has had no fault
// for the period.
func (v *entryVM) faultFreeFor(period time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Since(v.lastFault) > period && v.stoppingSince.IsZero()
}

// exitedUnexpectedly reports whether the process exited without being stopped.
func (v *entryVM) exitedUnexpectedly() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	select {
	case <-v.exited:
		return !v.exitExpected
	default:
		return false
	}
}

// waitForExit waits until the process exits and reports whether it did within
// the timeout.
func (v *entryVM) waitForExit(timeout time.Duration) bool {
	v.mu.Lock()
	exited := v.exited
	v.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// recordPause records that the process does not run from now on for a duration.
func (v *entryVM) recordPause(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.pauses = append(v.pauses, pause{time.Now(), time.Now().Add(d)})
}

// pausedSince returns for how long the process does not run from a time on, as far as is
// known.
func (v *entryVM) pausedSince(begin time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	sum := time.Duration(0)
	for _, p := range v.pauses {
		if p.begin.Before(begin) {
			p.begin = begin
		}
		sum += max(p.end.Sub(p.begin), 0)
	}
	return sum
}

var readinessClient = &http.Client{Timeout: 500 * time.Millisecond}

func (v *entryVM) isReady() bool {
	resp, err := readinessClient.Get("http://" + v.readyAddr + "/cranberrypier/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
