package edge_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/edge"
	"github.com/cranberrypier/cranberrypier/internal/fake/platformside"
	"github.com/cranberrypier/cranberrypier/internal/fake/ports"
	"github.com/cranberrypier/cranberrypier/internal/vm"
	"github.com/cranberrypier/cranberrypier/platform"
)

// site runs a store, some replicas and one or more entry VMs in this process.
type site struct {
	t         testing.TB
	store     *platformside.Store
	address   string // of the store
	replicas  map[string]*platformside.Replica
	addresses map[string]string // of the replicas
	servers   map[string]*httptest.Server
	vms       []*entryVM
	version   int
	grace     time.Duration
	// bounds may change the bounds of the VMs that are started afterwards.
	bounds func(*vm.Bounds)
	limits vm.Limits
	// contention is vm.Settings.Contention, and coldRate the requests per second that a
	// cold replica of the order service tolerates; zero if it has no cold start.
	contention bool
	coldRate   float64
	metrics    string                   // address; empty for none
	dial       map[string]edge.DialFunc // by VM; TCP for the others
}

// entryVM is one entry VM.
type entryVM struct {
	settings *vm.Settings
	stop     context.CancelFunc
	done     chan error
}

// Limits of waits for asynchronous changes.
const (
	waitTimeout  = 3 * time.Second
	pollInterval = 20 * time.Millisecond
)

const (
	host   = "one.example"
	key    = "key-1"
	engine = "engine"
	orders = "orders"
)

// route is a route as operators write it.
type route map[string]any

func routes() []route {
	return []route{
		{"name": "chat", "host": host, "pathPrefix": "/chat/", "routeType": "streaming", "timeoutMs": 5000, "targetLatencyMs": 300, "targetGapMs": 200, "service": engine, "maxAttempts": 3, "resumable": true, "sticky": true, "sizes": []string{"small", "large"}},
		{"name": "once", "host": host, "pathPrefix": "/once/", "routeType": "unsafe", "timeoutMs": 1000, "targetLatencyMs": 150, "service": orders, "maxAttempts": 1},
		{"name": "look", "host": host, "pathPrefix": "/look/", "routeType": "safe", "timeoutMs": 1500, "targetLatencyMs": 150, "service": orders, "maxAttempts": 3},
		{"name": "open", "host": host, "pathPrefix": "/open/", "routeType": "safe", "timeoutMs": 1500, "targetLatencyMs": 150, "service": orders, "maxAttempts": 2, "public": true},
	}
}

func newSite(t testing.TB) *site {
	t.Helper()
	s := &site{t: t, store: platformside.NewStore(), replicas: make(map[string]*platformside.Replica), addresses: make(map[string]string), servers: make(map[string]*httptest.Server), dial: make(map[string]edge.DialFunc), grace: 100 * time.Millisecond}
	server := httptest.NewServer(s.store.Handler())
	s.address = strings.TrimPrefix(server.URL, "http://")
	t.Cleanup(server.CloseClientConnections)
	return s
}

// newStandardSite returns a site with one VM and three replicas of each service.
func newStandardSite(t testing.TB) *site {
	t.Helper()
	s := newSite(t)
	s.startDefaults()
	return s
}

func (s *site) startDefaults() {
	s.t.Helper()
	s.startDefaultsWith(routes())
}

// startDefaultsWith starts one VM and three replicas of each service.
func (s *site) startDefaultsWith(list []route) {
	s.t.Helper()
	s.configure(list, key)
	for i := range 3 {
		s.startReplica(fmt.Sprintf("e%d", i), engine)
		s.startReplica(fmt.Sprintf("o%d", i), orders)
	}
	s.startVM("vm-1")
}

// configure writes a configuration with a newer version. Versions may have gaps.
func (s *site) configure(list []route, keys ...string) {
	s.version += 3
	s.store.Put("config", "main", map[string]any{
		"version": s.version, "routes": list,
		"services": []any{
			map[string]any{"name": engine, "engine": map[string]any{"slots": 8, "kvCapacity": 100000, "models": []any{
				map[string]any{"name": "small", "cost": 0.01}, map[string]any{"name": "large", "cost": 0.12},
			}}},
			map[string]any{"name": orders, "coldStartS": 60, "coldPerS": s.coldRate},
		},
		"limits":  map[string]any{"maxBodyBytes": 1 << 20, "maxHeaderBytes": 16384, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "team-1", "apiKeys": keys}},
	})
}

// startReplica starts a replica and lists it.
func (s *site) startReplica(id, service string) {
	s.t.Helper()
	s.listenReplica(id)
	s.putEntry(id, service, s.addresses[id], nil)
}

// listenReplica starts a replica without listing it.
func (s *site) listenReplica(id string) (*platformside.Replica, *httptest.Server) {
	p := platformside.NewReplica(id)
	server := httptest.NewServer(p)
	s.t.Cleanup(server.CloseClientConnections)
	s.replicas[id] = p
	s.servers[id] = server
	s.addresses[id] = strings.TrimPrefix(server.URL, "http://")
	return p, server
}

// putEntry writes a replica's entry to the store.
func (s *site) putEntry(id, service, address string, change map[string]any) {
	e := map[string]any{"service": service, "address": address, "zone": "a", "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": 1}
	for k, v := range change {
		e[k] = v
	}
	s.store.Put("servers", id, e)
}

// setFaults sets the faults of the replicas whose ID begins with a prefix.
func (s *site) setFaults(prefix string, f platformside.ReplicaFaults) {
	for id, p := range s.replicas {
		if strings.HasPrefix(id, prefix) {
			p.SetFaults(f)
		}
	}
}

// closeClientConnections breaks the connections of the replicas whose ID begins with a
// prefix.
func (s *site) closeClientConnections(prefix string) {
	for id, server := range s.servers {
		if strings.HasPrefix(id, prefix) {
			server.CloseClientConnections()
		}
	}
}

// runs lists the executions of a request on all replicas.
func (s *site) runs(request string) []platformside.Run {
	var out []platformside.Run
	for _, p := range s.replicas {
		for _, r := range p.Runs() {
			if r.ID == request {
				out = append(out, r)
			}
		}
	}
	return out
}

func freeAddress(t testing.TB) string {
	t.Helper()
	t.Helper()
	a, err := ports.FreeAddress()
	require.NoError(t, err)
	return a
}

// startVM starts an entry VM and waits until it is ready.
func (s *site) startVM(name string) {
	s.t.Helper()
	e := s.launchVM(name)
	require.Eventually(s.t, func() bool { return e.ready() }, 5*time.Second, 5*time.Millisecond, "not ready")
}

// launchVM starts an entry VM without waiting until it is ready.
func (s *site) launchVM(name string) *entryVM {
	s.t.Helper()
	set := &vm.Settings{
		Name: name, Zone: "a", CallerAddress: freeAddress(s.t), ReadinessAddress: freeAddress(s.t), PeerAddress: freeAddress(s.t),
		Bounds: vm.Bounds{
			StabilityWindow: 3 * time.Second, MaxConfigApplyTime: 2 * time.Second, DrainPeriod: 2 * time.Second, GracePeriod: s.grace,
			RetryRatio: 0.9, RetrySlack: 640, RetryWindow: 10 * time.Second, ExposureShare: 0.15, ColdFactor: 1.5, ColdSlack: 5,
			SessionTTL: 5 * time.Second,
		},
		Store: vm.Store{Address: s.address}, Limits: s.limits, Contention: s.contention,
	}
	if s.bounds != nil {
		s.bounds(&set.Bounds)
	}
	for _, other := range s.vms {
		set.SeedAddresses = append(set.SeedAddresses, other.settings.PeerAddress)
	}
	metrics := edge.NewMetrics()
	client := platform.NewStoreClient(s.address, 0, edge.StoreTransport(), metrics.ObserveStoreCall)
	app := edge.New(edge.Options{
		Settings: set, Ingress: platform.Ingress{}, Protocol: platform.ReplicaProtocol{}, Documents: platform.Documents{},
		Source: client, Blocked: client, Metrics: metrics, MetricsAddress: s.metrics,
		DialUpstream: s.dial[name],
	})
	ctx, stop := context.WithCancel(context.Background())
	e := &entryVM{settings: set, stop: stop, done: make(chan error, 1)}
	go func() {
		err := app.Run(ctx)
		if err != nil {
			s.t.Errorf("%s stopped: %v", name, err)
		}
		e.done <- err
	}()
	s.t.Cleanup(func() {
		stop()
		select {
		case <-e.done:
		case <-time.After(10 * time.Second):
			s.t.Error("the VM did not stop within 10 s")
		}
	})
	s.vms = append(s.vms, e)
	return e
}

func (e *entryVM) ready() bool {
	resp, err := http.Get("http://" + e.settings.ReadinessAddress + "/cranberrypier/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// call is a caller's request.
type call struct {
	id, method, path, key, body string
	deadline                    time.Duration
	header                      map[string]string
	ctx                         context.Context
}

// callResult is what the caller received.
type callResult struct {
	status int
	header http.Header
	body   string
	err    error
	took   time.Duration
}

var httpClient = &http.Client{Transport: &http.Transport{DisableCompression: true}}

// do sends the request to the first VM of s.vms.
func (s *site) do(c call) callResult {
	s.t.Helper()
	return s.doAt(s.vms[0], c)
}

// doAt sends the request to a VM.
func (s *site) doAt(e *entryVM, c call) callResult {
	s.t.Helper()
	if c.method == "" {
		c.method = http.MethodPost
	}
	if c.deadline == 0 {
		c.deadline = 4 * time.Second
	}
	if c.ctx == nil {
		c.ctx = context.Background()
	}
	req, err := http.NewRequestWithContext(c.ctx, c.method, "http://"+e.settings.CallerAddress+c.path, strings.NewReader(c.body))
	require.NoError(s.t, err)
	req.Host = host
	req.Header.Set("X-Attempt-Id", c.id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(c.deadline.Milliseconds()))
	if c.key != "" {
		req.Header.Set("Api-Key", c.key)
	}
	for k, v := range c.header {
		req.Header.Set(k, v)
	}
	begin := time.Now()
	resp, err := httpClient.Do(req)
	if err != nil {
		return callResult{err: err, took: time.Since(begin)}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return callResult{status: resp.StatusCode, header: resp.Header, body: string(body), err: err, took: time.Since(begin)}
}

// chat returns a streaming request.
func chat(id string) call {
	return call{id: id, path: "/chat/x", key: key, body: "prompt", header: map[string]string{
		"X-Model": "*", "X-Token-Usage": "1460,80", "X-Prefix-Hash": "aa:800,bb:660",
	}}
}

// doConcurrently sends n requests at once.
func (s *site) doConcurrently(n int, c func(i int) call) []callResult {
	out := make([]callResult, n)
	var wait sync.WaitGroup
	for i := range n {
		wait.Go(func() { out[i] = s.do(c(i)) })
	}
	wait.Wait()
	return out
}
