//go:build review

package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/fake/platformside"
)

// Figures of a small deployment (capsule-dkr).
const (
	host             = "ficu95.example"
	engineService    = "scribe-llm"
	plainService     = "registry-api"
	apiKey           = "n2ctnfzs989anu6wsjnb"
	tenant           = "hule930"
	memoryMB         = 134
	stabilityWindow  = 3000 * time.Millisecond
	drainTimeout     = 2000 * time.Millisecond
	configApplyTime  = 2000 * time.Millisecond
	readyTimeout     = 20 * time.Second
	maxHeaderBytes   = 16384
	headerTimeoutMs  = 3000
	idleTimeoutMs    = 15000
	engineSlots      = 64
	plainSlots       = 6
	heartbeat        = 1200 * time.Millisecond
	replicaDownTime  = 4 * time.Second
	settingsTemplate = `nodeName: %q
role: "edge"
machineClass: "edge"
serves: ["edge", "control"]
ip: %q
zone: %q
region: "senegal-west"
zones: {dakar-plateau: "senegal-west", rufisque: "senegal-west", thies: "senegal-west"}
listen: {frontend: %q, ready: %q, controlPlane: %q}
portRange: [7340, 7355]
seedNodes: [%s]
bootstrap: true
countsAsLoss: false
limits: {cpuQuota: 0.4, cpuCores: 1, memoryMb: %d, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
dataDir: null
discovery: "platform"
entryPoint: "vip"
heartbeatMs: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform", "rollout"]
faultTolerance: {machines: 1, zones: 1, regions: 0}
bounds: {seedLagS: 3, reuseDelayS: 2, stabilityWindowMs: 3000, ackTimeoutMs: 4000, catchUpS: 4, drainTimeoutMs: 2000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, maxSkewMs: 5000, strictRevocation: false, revokeMs: 5000, retryBudgetRatio: 0.9, budgetWindowS: 10, retrySlack: 54, exposureShare: 0.15, exposureTolerance: 30, rollbackMs: 5000, coldOverage: 1.5, coldTolerance: 5, evacuationMs: 5000, recoveryS: 12, forwardPassMs: 120, reuseWindowS: 9.6, sessionTtlS: 5}
platform: {address: %q, form: "objects", writesPerS: 400, readsPerS: 2000, historyS: 20, maxValueBytes: 1048576, minTtlMs: 1000}
`
)

var zones = []string{"dakar-plateau", "rufisque", "thies"}

// rig holds the processes, the stand-ins and the record of one run.
type rig struct {
	dir         string
	trouble     bool
	store       *platformside.Store
	storeServer *httptest.Server
	vms         []*entryVM
	replicas    []*replica
	startedAt   time.Time
	config      int

	mu     sync.Mutex
	record bytes.Buffer
	broken []string
}

// newRig starts the stand-ins and writes the settings of the VMs.
func newRig(vms, engines, plains int) (*rig, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	r := &rig{dir: dir, trouble: os.Getenv("TROUBLE") != "0", store: platformside.NewStore(), startedAt: time.Now()}
	r.storeServer = quietServer(r.store.Handler())
	r.endOnSignal()
	r.publishConfig(nil)
	for i := range engines + plains {
		service, slots := engineService, engineSlots
		if i >= engines {
			service, slots = plainService, plainSlots
		}
		p, err := newReplica(fmt.Sprintf("i-%04d", i), service, zones[i%len(zones)], slots)
		if err != nil {
			return nil, err
		}
		r.replicas = append(r.replicas, p)
		r.publish(p, "ready")
	}
	for i := range vms {
		zone := zones[i%len(zones)]
		v, err := newEntryVM(dir, fmt.Sprintf("edge-%s-%d", zone, i/len(zones)+1), zone, fmt.Sprintf("127.%d.0.%d", 1+i%len(zones), 10+i/len(zones)))
		if err != nil {
			return nil, err
		}
		r.vms = append(r.vms, v)
	}
	var seeds []string
	for _, v := range r.vms[:min(3, len(r.vms))] {
		seeds = append(seeds, fmt.Sprintf("%q", v.peer))
	}
	for _, v := range r.vms {
		text := fmt.Sprintf(settingsTemplate, v.name, v.ip, v.zone, v.frontend, v.ready, v.peer, strings.Join(seeds, ", "), memoryMB, strings.TrimPrefix(r.storeServer.URL, "http://"))
		if err := os.WriteFile(v.settingsPath, []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// endOnSignal ends all processes when the script is interrupted.
func (r *rig) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		os.Exit(r.finish(errors.New("interrupted")))
	}()
}

// quietServer returns a server on loopback that logs nothing.
func quietServer(h http.Handler) *httptest.Server {
	s := httptest.NewUnstartedServer(h)
	s.Config.ErrorLog = log.New(io.Discard, "", 0)
	s.Start()
	return s
}

// startVMs starts all VMs and waits until they are ready.
func (r *rig) startVMs() error {
	for _, v := range r.vms {
		if err := v.start(); err != nil {
			return err
		}
	}
	return r.awaitReady(r.vms)
}

func (r *rig) awaitReady(vms []*entryVM) error {
	limit := time.Now().Add(readyTimeout)
	for _, v := range vms {
		for !v.isReady() {
			if time.Now().After(limit) {
				return fmt.Errorf("%s is not ready", v.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// publishConfig writes the next version of the configuration.
func (r *rig) publishConfig(extraRoutes []map[string]any) {
	r.config += 3
	routes := []map[string]any{
		{"name": "summary", "host": host, "pathPrefix": "/lohu930/", "routeType": "streaming", "timeoutMs": 10000, "targetLatencyMs": 2000, "targetGapMs": 1200, "priority": 1, "service": engineService, "maxAttempts": 3, "resumable": true, "sticky": true, "public": false, "sizes": []string{"daka510000", "rada7437b5", "ravo486f6a"}},
		{"name": "deposit", "host": host, "pathPrefix": "/puxa403/", "routeType": "unsafe", "timeoutMs": 1500, "targetLatencyMs": 100, "priority": 2, "service": plainService, "maxAttempts": 3, "public": false},
		{"name": "lookup", "host": host, "pathPrefix": "/cufi504/", "routeType": "safe", "timeoutMs": 1500, "targetLatencyMs": 100, "priority": 2, "service": plainService, "maxAttempts": 3, "public": false},
	}
	r.store.Put("config", "main", map[string]any{
		"version": r.config, "routes": append(routes, extraRoutes...),
		"services": []any{
			map[string]any{"name": engineService, "healthPath": "/healthz", "maxConnections": 360, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 8.4, "engine": map[string]any{"slots": engineSlots, "kvCapacity": 382220, "models": []any{
				map[string]any{"name": "daka510000", "cost": 0.0081}, map[string]any{"name": "rada7437b5", "cost": 0.061}, map[string]any{"name": "ravo486f6a", "cost": 0.12},
			}}},
			map[string]any{"name": plainService, "healthPath": "/healthz", "maxConnections": 100, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0},
		},
		"limits":  map[string]any{"maxHeaderBytes": maxHeaderBytes, "maxBodyBytes": 4194304, "headerTimeoutMs": headerTimeoutMs, "idleTimeoutMs": idleTimeoutMs},
		"tenants": []any{map[string]any{"name": tenant, "apiKeys": []string{apiKey}, "priority": 1}},
	})
}

// note writes a line of the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(&r.record, "%8.3f %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that the rule is broken.
func (r *rig) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.note("BROKEN: %s", text)
	r.mu.Lock()
	r.broken = append(r.broken, text)
	r.mu.Unlock()
}

// finish ends all processes, writes the record and returns the exit code.
func (r *rig) finish(runErr error) int {
	for _, v := range r.vms {
		v.signal(syscall.SIGCONT)
		if v.cmd != nil {
			v.kill()
		}
	}
	r.storeServer.CloseClientConnections()
	code := exitHeld
	switch {
	case runErr != nil:
		r.note("not run: %v", runErr)
		code = exitNotRun
	case len(r.broken) > 0:
		code = exitBroken
	}
	r.note("exit %d; trouble %t", code, r.trouble)
	if out := os.Getenv("RECORD"); out != "" {
		_ = os.WriteFile(out, r.record.Bytes(), 0o644)
	}
	if logs := os.Getenv("KEEP_LOGS"); logs != "" {
		_ = os.MkdirAll(logs, 0o755)
		for _, v := range r.vms {
			if raw, err := os.ReadFile(v.logPath); err == nil {
				_ = os.WriteFile(filepath.Join(logs, v.name+".log"), raw, 0o644)
			}
		}
	}
	_ = os.RemoveAll(r.dir)
	r.mu.Lock()
	defer r.mu.Unlock()
	lines := strings.Split(strings.TrimSpace(r.record.String()), "\n")
	fmt.Println(strings.Join(lines[max(len(lines)-25, 0):], "\n"))
	return code
}
