//go:build review

// Command review-rig-2 plays the cases of the second review: it starts pier-edge
// processes as the deploy file does, with stand-ins for the platform's store, the
// replicas and the clients, and checks one rule. It prints a record of what was sent,
// answered and run, and exits with 1 if the rule was broken, 0 if it held and 2 if the
// case could not run.
package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/fake/platformside"
	"github.com/cranberrypier/cranberrypier/internal/fake/ports"
)

// Names of the deployment, as the operator's configuration has them.
const (
	host      = "ficu95.example"
	apiKey    = "n2ctnfzs989anu6wsjnb"
	tenant    = "hule930"
	plain     = "wuno96b"
	engine    = "huvo11a"
	readyWait = 20 * time.Second
	// maxCaseTime is the time after which a case is given up.
	maxCaseTime = 115 * time.Second
)

// zones are the availability zones of the deployment capsule-dkr.
var zones = []string{"dakar-plateau", "rufisque", "thies"}

// errCannotRun is the error of a case that could not run.
type errCannotRun struct{ err error }

func (e errCannotRun) Error() string { return e.err.Error() }

func cannotRun(format string, a ...any) error { return errCannotRun{fmt.Errorf(format, a...)} }

// record is the record of a case: record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func (r *record) add(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, a...))
}

// rig is what a case runs on.
type rig struct {
	*record
	dir     string // temporary
	program string // of the deploy build
	trouble bool
	store   *platformside.Store
	address string // of the store
	vms     []*vmProcess
	closers []func()
}

// vmProcess is a pier-edge process.
type vmProcess struct {
	name, zone, frontend, ready, control, metrics, settings string

	cmd    *exec.Cmd
	exited chan struct{}
}

func newRig(program, recordPath string, trouble bool) (*rig, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, cannotRun("%w", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, cannotRun("%w", err)
	}
	r := &rig{record: &record{file: file, begin: time.Now()}, dir: dir, program: program, trouble: trouble, store: platformside.NewStore()}
	r.closers = append(r.closers, func() { _ = os.RemoveAll(dir) })
	r.address, err = r.serve(r.store.Handler())
	return r, err
}

// serve serves a stand-in on a free loopback address.
func (r *rig) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", cannotRun("%w", err)
	}
	s := &http.Server{Handler: h, MaxHeaderBytes: 1 << 20}
	go func() { _ = s.Serve(l) }()
	r.closers = append(r.closers, func() { _ = s.Close() })
	return l.Addr().String(), nil
}

// close ends all processes and stand-ins.
func (r *rig) close() {
	for _, v := range r.vms {
		v.kill()
	}
	for i := len(r.closers) - 1; i >= 0; i-- {
		r.closers[i]()
	}
	_ = r.file.Close()
}

// settingsText is the platform's settings file, with the fields of DEPLOY.md and the figures of
// the deployment capsule-dkr.
const settingsText = `nodeName: %q
role: "edge"
machineClass: "edge"
serves: ["edge", "control"]
ip: "127.0.0.1"
zone: %q
region: "senegal-west"
zones: {dakar-plateau: "senegal-west", rufisque: "senegal-west", thies: "senegal-west"}
listen: {frontend: %q, ready: %q, controlPlane: %q}
seedNodes: [%q]
bootstrap: true
countsAsLoss: false
limits: {cpuQuota: 0.4, cpuCores: 1, memoryMb: %d, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
discovery: "platform"
entryPoint: "vip"
heartbeatMs: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform", "rollout"]
bounds: {seedLagS: 3, reuseDelayS: 2, stabilityWindowMs: 3000, ackTimeoutMs: 4000, catchUpS: 4, drainTimeoutMs: 2000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, maxSkewMs: 5000, strictRevocation: false, revokeMs: 5000, retryBudgetRatio: 0.9, budgetWindowS: 10, retrySlack: 54, exposureShare: 0.15, exposureTolerance: 30, rollbackMs: 5000, coldOverage: 1.5, coldTolerance: 5, evacuationMs: 5000, recoveryS: 12, forwardPassMs: 120, reuseWindowS: 9.6, sessionTtlS: 5}
platform: {address: %q, form: "objects", writesPerS: 400, readsPerS: 2000, historyS: 20, maxValueBytes: 1048576, minTtlMs: 1000}
`

// startVM starts a pier-edge process with the command of the deploy file.
func (r *rig) startVM(name, zone string, memoryMB int) (*vmProcess, error) {
	v := &vmProcess{name: name, zone: zone}
	for _, a := range []*string{&v.frontend, &v.ready, &v.control, &v.metrics} {
		address, err := ports.FreeAddress()
		if err != nil {
			return nil, cannotRun("%w", err)
		}
		*a = address
	}
	seed := v.control
	if len(r.vms) > 0 {
		seed = r.vms[0].control
	}
	v.settings = filepath.Join(r.dir, name+".yaml")
	text := fmt.Sprintf(settingsText, name, zone, v.frontend, v.ready, v.control, seed, memoryMB, r.address)
	if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
		return nil, cannotRun("%w", err)
	}
	r.vms = append(r.vms, v)
	if err := r.launch(v); err != nil {
		return nil, err
	}
	return v, nil
}

func (r *rig) launch(v *vmProcess) error {
	out, err := os.OpenFile(filepath.Join(r.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return cannotRun("%w", err)
	}
	defer out.Close()
	v.cmd = exec.Command(r.program, "--metrics", v.metrics)
	v.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.dir, "LANG=C", "CRANBERRYPIER_SETTINGS=" + v.settings}
	v.cmd.Stdout, v.cmd.Stderr = out, out
	if err := v.cmd.Start(); err != nil {
		return cannotRun("%w", err)
	}
	v.exited = make(chan struct{})
	go func() {
		_ = v.cmd.Wait() // only whether it has exited matters
		close(v.exited)
	}()
	r.add("process %s started", v.name)
	return nil
}

// awaitReady waits until a process says that it is ready.
func (r *rig) awaitReady(v *vmProcess) error {
	c := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyWait); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := c.Get("http://" + v.ready + "/cranberrypier/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			r.add("process %s is ready", v.name)
			return nil
		}
	}
	return cannotRun("%s is not ready after %s", v.name, readyWait)
}

func (v *vmProcess) running() bool {
	select {
	case <-v.exited:
		return false
	default:
		return true
	}
}

func (v *vmProcess) signal(s syscall.Signal) { _ = v.cmd.Process.Signal(s) }

func (v *vmProcess) kill() {
	if v.cmd == nil || v.cmd.Process == nil {
		return
	}
	_ = v.cmd.Process.Kill()
	<-v.exited
}

// publish writes an entry of a replica to the store.
func (r *rig) publish(id, service, address, zone string, slots int) {
	r.store.Put("servers", id, map[string]any{
		"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots, "state": "ready",
		"coldRemainingMs": 0, "sequence": 1, "born": time.Now().Add(-time.Minute).UnixMilli(),
	})
}

// route is a route of the configuration.
func route(name, prefix, kind string, timeoutMS, targetMS int, service string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "pathPrefix": prefix, "routeType": kind, "timeoutMs": timeoutMS, "targetLatencyMs": targetMS,
		"priority": 1, "service": service, "maxAttempts": attempts, "public": false,
	}
}

// configure writes the operator's configuration.
func (r *rig) configure(version int, routes ...map[string]any) {
	r.store.Put("config", "main", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": plain, "healthPath": "/healthz", "maxConnections": 100, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0},
			{"name": engine, "healthPath": "/healthz", "maxConnections": 360, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0,
				"engine": map[string]any{"slots": 64, "kvCapacity": 382220, "models": []map[string]any{{"name": "daka510000", "cost": 0.0081}}}},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": tenant, "apiKeys": []string{apiKey}, "priority": 1}},
	})
	r.add("the operator has written configuration %d", version)
}

// cases are the cases by name. They return whether the rule held.
var cases = map[string]func(*rig) (bool, error){}

func main() {
	if len(os.Args) == 4 && os.Args[1] == "replica" {
		fmt.Fprintln(os.Stderr, serveReplica(os.Args[2], os.Args[3]))
		os.Exit(2)
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-rig-2 CASE PROGRAM RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, program, recordPath string) int {
	r, err := newRig(program, recordPath, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	signal.Notify(make(chan os.Signal, 1), syscall.SIGPIPE) // a closed output must not end the case before its processes
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stop:
		case <-time.After(maxCaseTime):
		}
		r.add("the case was ended early")
		r.close()
		os.Exit(2)
	}()
	r.add("case %s, with trouble: %t", name, r.trouble)
	held, err := cases[name](r)
	var broken errCannotRun
	switch {
	case errors.As(err, &broken):
		r.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case !held:
		r.add("the rule was broken: %v", err)
		fmt.Println("broken:", err)
		return 1
	}
	r.add("the rule held")
	fmt.Println("held")
	return 0
}
