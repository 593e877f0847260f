//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
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

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// usualMemoryMB is the memory of a VM in most of the sites.
const usualMemoryMB = 284

// entryVM is one process of the system.
type entryVM struct {
	name, zone, ip string
	settings, log  string
	program        string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

const (
	frontendPort = 8227
	readyPort    = 8220
	controlPort  = 8229
	metricsPort  = 9464
)

func (v *entryVM) frontend() string { return fmt.Sprintf("%s:%d", v.ip, frontendPort) }

// start starts the process with the command of the deploy file.
func (v *entryVM) start() error {
	out, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(v.program, "--metrics", fmt.Sprintf("%s:%d", v.ip, metricsPort))
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "CRANBERRYPIER_SETTINGS=" + v.settings}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	v.mu.Lock()
	v.cmd, v.done = cmd, done
	v.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(done)
	}()
	return nil
}

// signal sends a signal to the process, if it runs.
func (v *entryVM) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil {
		_ = v.cmd.Process.Signal(s)
	}
}

func (v *entryVM) wait() {
	v.mu.Lock()
	done := v.done
	v.mu.Unlock()
	if done != nil {
		<-done
	}
}

func (v *entryVM) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/cranberrypier/readyz", v.ip, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// site is a small deployment: entry VMs, a store and replicas.
type site struct {
	dir      string
	log      *record
	store    *store
	vms      []*entryVM
	replicas []*replica
}

// sites are the sites of this process, for a signal that ends it early.
var sites struct {
	mu   sync.Mutex
	list []*site
}

// newSite returns a site without replicas, whose VMs are spread over three zones and have
// some memory.
func newSite(log *record, vms, memoryMB int) (*site, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	st, err := newStore()
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir, log: log, store: st}
	sites.mu.Lock()
	sites.list = append(sites.list, s)
	sites.mu.Unlock()
	program, err := filepath.Abs("target/pier-edge")
	if err != nil {
		return nil, err
	}
	net24 := freeNetwork(vms)
	seeds := make([]string, 0, 3)
	for i := range min(vms, 3) {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s.%d:%d", net24, 11+i, controlPort)))
	}
	for i := range vms {
		zone := string(rune('a' + i%3))
		v := &entryVM{
			name: fmt.Sprintf("edge-%s-%d", zone, i), zone: zone, ip: fmt.Sprintf("%s.%d", net24, 11+i), program: program,
			settings: filepath.Join(dir, fmt.Sprintf("vm%d.yaml", i)), log: filepath.Join(dir, fmt.Sprintf("vm%d.log", i)),
		}
		text := fmt.Sprintf(settingsText, v.name, v.ip, zone, v.ip, frontendPort, v.ip, readyPort, v.ip, controlPort, strings.Join(seeds, ", "), memoryMB, st.address)
		if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		s.vms = append(s.vms, v)
	}
	return s, nil
}

// freeNetwork returns the first three bytes of loopback addresses at which nothing
// listens on the ports of the entry VMs.
func freeNetwork(vms int) string {
	for range 100 {
		prefix := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for i := range vms {
			for _, port := range []int{frontendPort, readyPort, controlPort, metricsPort} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", prefix, 11+i, port))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return prefix
		}
	}
	panic("no free loopback addresses")
}

// settingsText is the settings file of DEPLOY.md with the figures of the site
// wsbt-prizeday.
const settingsText = `nodeName: %q
role: "edge"
machineClass: "edge"
serves: ["edge", "control"]
ip: %q
zone: %q
region: "lk-west"
zones: {a: "lk-west", b: "lk-west", c: "lk-west"}
listen: {frontend: "%s:%d", ready: "%s:%d", controlPlane: "%s:%d"}
portRange: [7340, 7355]
seedNodes: [%s]
bootstrap: true
limits: {cpuQuota: 0.4, cpuCores: 1, memoryMb: %d, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
heartbeatMs: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform", "rollout"]
bounds:
  seedLagS: 3
  reuseDelayS: 2
  stabilityWindowMs: 3000
  ackTimeoutMs: 4000
  catchUpS: 4
  drainTimeoutMs: 2000
  graceS: 8
  lossSlackMs: 200
  configApplyMs: 2000
  rollbackSlackMs: 250
  maxSkewMs: 5000
  strictRevocation: false
  revokeMs: 5000
  retryBudgetRatio: 0.9
  budgetWindowS: 10
  retrySlack: 52
  exposureShare: 0.15
  exposureTolerance: 30
  rollbackMs: 5000
  coldOverage: 1.5
  coldTolerance: 5
  evacuationMs: 5000
  recoveryS: 12
  forwardPassMs: 120
  reuseWindowS: 10
  sessionTtlS: 5
platform: {address: %q, form: "objects", writesPerS: 400, readsPerS: 2000, historyS: 20, maxValueBytes: 1048576, minTtlMs: 1000}
`

// addReplica starts a replica; the fields that differ are set by the function.
func (s *site) addReplica(name string, set func(*replica)) error {
	p := &replica{store: s.store, log: s.log, zone: string(rune('a' + len(s.replicas)%3)), slots: 64}
	set(p)
	s.replicas = append(s.replicas, p)
	return p.start(name)
}

// startAll starts the VMs and waits until all are ready.
func (s *site) startAll(timeout time.Duration) error {
	for _, v := range s.vms {
		if err := v.start(); err != nil {
			return err
		}
	}
	return s.waitReady(timeout)
}

func (s *site) waitReady(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, v := range s.vms {
			if v.isReady() {
				ready++
			}
		}
		if ready == len(s.vms) {
			return nil
		}
	}
	return fmt.Errorf("not all VMs were ready after %v", timeout)
}

// residentBytes returns the resident memory of the process; zero if it does not run.
func (v *entryVM) residentBytes() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd == nil {
		return 0
	}
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", v.cmd.Process.Pid))
	fields := strings.Fields(string(raw))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// peakMemory returns the line of the largest resident memory of the process.
func (v *entryVM) peakMemory() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd == nil {
		return ""
	}
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.cmd.Process.Pid))
	if err != nil {
		return ""
	}
	for line := range strings.Lines(string(raw)) {
		if strings.HasPrefix(line, "VmHWM") {
			return strings.Join(strings.Fields(line), " ")
		}
	}
	return ""
}

// close ends all processes and removes the folder.
func (s *site) close() {
	for _, v := range s.vms {
		s.log.printf("%s: %s", v.name, v.peakMemory())
		v.signal(syscall.SIGKILL)
		v.wait()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.MkdirAll(keep, 0o700)
		for _, v := range s.vms {
			if raw, err := os.ReadFile(v.log); err == nil {
				_ = os.WriteFile(filepath.Join(keep, filepath.Base(v.log)), raw, 0o600)
			}
		}
	}
	_ = os.RemoveAll(s.dir)
}

// answer is what a client got.
type answer struct {
	status     int
	signed     bool
	body       string
	retryAfter string
	err        error
}

// call is a client's request.
type call struct {
	id, method, host, path, key, body string
	header                            map[string]string
	timeout                           time.Duration
	ctx                               context.Context // nil for the background
}

// send sends a request on a new connection to a VM, as a client does that the platform's
// address has forwarded there.
func (s *site) send(v *entryVM, c call) answer {
	return s.sendOn(&http.Transport{DisableKeepAlives: true, DisableCompression: true}, v, c)
}

// sendOn sends a request on a connection of a transport.
func (s *site) sendOn(transport *http.Transport, v *entryVM, c call) answer {
	parent := c.ctx
	if parent == nil {
		parent = context.Background()
	}
	ctx, cancel := context.WithTimeout(parent, c.timeout)
	defer cancel()
	var body io.Reader
	if c.body != "" {
		body = strings.NewReader(c.body)
	}
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+v.frontend()+c.path, body)
	if err != nil {
		return answer{err: err}
	}
	req.GetBody = nil
	req.Host = c.host
	req.Header.Set("X-Attempt-Id", c.id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(c.timeout.Milliseconds()))
	if c.key != "" {
		req.Header.Set("Api-Key", c.key)
	}
	for k, value := range c.header {
		req.Header.Set(k, value)
	}
	s.log.printf("client sends %s %s %s to %s", c.id, c.method, c.path, v.name)
	resp, err := transport.RoundTrip(req)
	if err != nil {
		s.log.printf("client gets no answer to %s: %v", c.id, err)
		return answer{err: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, signed: resp.Header.Get("X-Response-Signature") != "", body: string(raw), retryAfter: resp.Header.Get("Retry-After"), err: err}
	s.log.printf("client gets %d for %s, signed=%t, retryAfter=%q, bytes=%d, err=%v", a.status, c.id, a.signed, a.retryAfter, len(raw), err)
	return a
}
