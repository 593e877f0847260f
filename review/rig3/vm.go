//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// programPath is the program that the deploy file builds and runs.
const programPath = "target/pier-edge"

// entryVM is one pier-edge process with its addresses and its settings file.
type entryVM struct {
	name, zone, ip        string
	frontend, ready, peer string
	metrics               string
	settingsPath, logPath string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	ends   int // ends that were not caused by signal
	killed bool
}

// freeAddress returns an address on a loopback IP whose port is free.
func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func newEntryVM(dir, name, zone, ip string) (*entryVM, error) {
	v := &entryVM{name: name, zone: zone, ip: ip, settingsPath: filepath.Join(dir, name+".yaml"), logPath: filepath.Join(dir, name+".log")}
	for _, a := range []*string{&v.frontend, &v.ready, &v.peer, &v.metrics} {
		var err error
		if *a, err = freeAddress(ip); err != nil {
			return nil, err
		}
	}
	return v, nil
}

// start starts the process with the command of the deploy file.
func (v *entryVM) start() error {
	out, err := os.OpenFile(v.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(programPath, "--metrics", v.metrics)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CRANBERRYPIER_SETTINGS=" + v.settingsPath}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	v.mu.Lock()
	v.cmd, v.exited, v.killed = cmd, exited, false
	v.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		v.mu.Lock()
		if !v.killed {
			v.ends++
		}
		v.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (v *entryVM) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		v.killed = true
	}
	if v.cmd != nil {
		_ = v.cmd.Process.Signal(s)
	}
}

// kill kills the process and waits for its end.
func (v *entryVM) kill() {
	v.signal(syscall.SIGKILL)
	v.mu.Lock()
	exited := v.exited
	v.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// ownEnds returns how often the process ended by itself.
func (v *entryVM) ownEnds() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ends
}

// memoryBytes returns the anonymous memory of the process.
func (v *entryVM) memoryBytes() int64 {
	v.mu.Lock()
	pid := v.cmd.Process.Pid
	v.mu.Unlock()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

var readinessClient = &http.Client{Timeout: 500 * time.Millisecond}

func (v *entryVM) isReady() bool {
	resp, err := readinessClient.Get("http://" + v.ready + "/cranberrypier/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
