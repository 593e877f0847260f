// Package sitesoak is a randomized soak test of pier-edge. It runs several
// pier-edge processes with loopback proxies, fakes of the platform's store and
// replicas, callers with keep-alive connections, and a seeded schedule of external
// faults. It checks the responses that callers receive and the requests that
// replicas execute.
package sitesoak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/fake/platformside"
)

// Options are the options of one run.
type Options struct {
	Program  string
	Dir      string
	Seed     uint64
	Duration time.Duration
	VMs      int
	Callers  int
	// Steps are the names of the steps that the schedule draws; empty for all.
	Steps []string
	// OnStart is called once, with a function that ends all processes of the run;
	// it may be nil.
	OnStart func(stopAll func())
}

// replica is a fake replica behind a proxy. It keeps its name and address when a
// crash replaces its incarnation.
type replica struct {
	name    string
	service string
	zone    string
	version string
	proxy   *proxy
	server  *httptest.Server

	mu          sync.Mutex
	current     *platformside.Replica
	previous    []*platformside.Replica
	incarnation int
	ready       bool
	faults      platformside.ReplicaFaults // of the replica's version
}

// setFaults sets the faults of the replica's version, also for later incarnations.
func (r *replica) setFaults(f platformside.ReplicaFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
	r.current.SetFaults(f)
}

// versionFaults returns the faults of the replica's version.
func (r *replica) versionFaults() platformside.ReplicaFaults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults
}

// ServeHTTP forwards requests to the current incarnation.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	p := r.current
	r.mu.Unlock()
	p.ServeHTTP(w, req)
}

func (r *replica) id() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current.ID
}

// runs returns the requests that all incarnations executed.
func (r *replica) runs() []platformside.Run {
	r.mu.Lock()
	all := append([]*platformside.Replica{r.current}, r.previous...)
	r.mu.Unlock()
	var out []platformside.Run
	for _, p := range all {
		out = append(out, p.Runs()...)
	}
	return out
}

// harness holds the processes, the fakes and the results of one run.
type harness struct {
	opts        Options
	rng         *rand.Rand
	store       *platformside.Store
	storeServer *httptest.Server
	vms         []*entryVM
	startedAt   time.Time

	// rollOutMu is held during a roll-out, and guards versions, the number of versions
	// that were rolled out.
	rollOutMu sync.Mutex
	versions  int

	mu             sync.Mutex
	replicas       []*replica // that have not left for good
	retired        []*replica
	configVersion  int
	keys           []string
	revokedAt      map[string]time.Time // by key: when the store had the configuration without it
	confirmed      []confirmedConfig
	applyTimes     []time.Duration // from the confirmation of a configuration to its first effect, by VM
	lastStoreFault time.Time
	events         []string
	violations     []string
	requests       map[string]*request
}

const (
	engineService  = "engine"
	orderService   = "orders"
	host           = "soak.example"
	engineReplicas = 6
	orderReplicas  = 3
)

func newHarness(opts Options) (*harness, error) {
	w := &harness{
		opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 11)), store: platformside.NewStore(), startedAt: time.Now(),
		keys: []string{"key-0"}, revokedAt: make(map[string]time.Time), requests: make(map[string]*request),
	}
	if err := os.MkdirAll(opts.Dir, 0o700); err != nil {
		return nil, err
	}
	w.storeServer = httptest.NewServer(w.store.Handler())
	w.publishConfig(nil)
	for i := range engineReplicas + orderReplicas {
		service := engineService
		if i >= engineReplicas {
			service = orderService
		}
		if _, err := w.addReplica(fmt.Sprintf("p%d", i), service, string(rune('a'+i%2)), "v1"); err != nil {
			return nil, err
		}
	}
	peerAddrs := make([]string, opts.VMs)
	for i := range peerAddrs {
		peerAddrs[i] = freeAddress()
	}
	seeds := `"` + strings.Join(peerAddrs[:min(3, len(peerAddrs))], `", "`) + `"`
	for i := range opts.VMs {
		v, err := newEntryVM(opts.Dir, opts.Program, fmt.Sprintf("vm-%d", i), string(rune('a'+i%2)), peerAddrs[i], seeds, strings.TrimPrefix(w.storeServer.URL, "http://"))
		if err != nil {
			return nil, err
		}
		w.vms = append(w.vms, v)
	}
	return w, nil
}

func (h *harness) addReplica(name, service, zone, version string) (*replica, error) {
	r := &replica{name: name, service: service, zone: zone, version: version}
	r.current = platformside.NewReplica(name + "-0")
	r.current.Confidence = map[string]int{"small": 30 + 20*(len(h.allReplicas())%4)}
	r.server = httptest.NewServer(r)
	p, err := newProxy(strings.TrimPrefix(r.server.URL, "http://"))
	if err != nil {
		return nil, err
	}
	r.proxy = p
	h.mu.Lock()
	h.replicas = append(h.replicas, r)
	h.mu.Unlock()
	h.publish(r, "ready")
	return r, nil
}

// liveReplicas returns the replicas that have not left for good, and allReplicas all.
func (h *harness) liveReplicas() []*replica {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.replicas)
}

func (h *harness) allReplicas() []*replica {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Concat(h.replicas, h.retired)
}

func (h *harness) replicasOf(service string) []*replica {
	return slices.DeleteFunc(h.liveReplicas(), func(r *replica) bool { return r.service != service })
}

// retire ends a replica for good.
func (h *harness) retire(r *replica) {
	h.mu.Lock()
	h.replicas = slices.DeleteFunc(h.replicas, func(o *replica) bool { return o == r })
	h.retired = append(h.retired, r)
	h.mu.Unlock()
	r.proxy.setFaults(linkFaults{refuseConns: true})
	r.proxy.resetConns()
	h.store.Remove("servers", r.id())
}

// publish writes a replica's entry to the store.
func (h *harness) publish(r *replica, state string) {
	r.mu.Lock()
	r.ready = state == "ready"
	id, incarnation, version := r.current.ID, r.incarnation, r.version
	r.mu.Unlock()
	h.store.Put("servers", id, map[string]any{
		"service": r.service, "address": r.proxy.address(), "zone": r.zone, "version": version, "slots": 8,
		"state": state, "coldRemainingMs": 0, "sequence": incarnation, "born": 1700000000000 + incarnation,
	})
}

// crashReplica ends the current incarnation of a replica. After the downtime the
// next one starts at the same address with a new ID.
func (h *harness) crashReplica(r *replica, downtime time.Duration) {
	r.proxy.setFaults(linkFaults{refuseConns: true})
	r.proxy.resetConns()
	h.store.Remove("servers", r.id())
	time.Sleep(downtime)
	r.mu.Lock()
	r.incarnation++
	next := platformside.NewReplica(fmt.Sprintf("%s-%d", r.name, r.incarnation))
	next.Confidence = r.current.Confidence
	next.SetFaults(r.faults)
	r.previous = append(r.previous, r.current)
	r.current = next
	r.mu.Unlock()
	r.proxy.setFaults(linkFaults{})
	h.publish(r, "ready")
}

// publishConfig writes the next version of the configuration, with extra routes.
func (h *harness) publishConfig(extraRoutes []map[string]any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.configVersion += 2
	routes := []map[string]any{
		{"name": "chat", "host": host, "pathPrefix": "/chat/", "routeType": "streaming", "timeoutMs": 5000, "targetLatencyMs": 400, "targetGapMs": 300, "service": engineService, "maxAttempts": 3, "resumable": true, "sticky": true, "sizes": []string{"small", "large"}},
		{"name": "draft", "host": host, "pathPrefix": "/draft/", "routeType": "streaming", "timeoutMs": 5000, "targetLatencyMs": 400, "targetGapMs": 300, "service": engineService, "maxAttempts": 3, "resumable": false, "sticky": true, "sizes": []string{"small", "large"}},
		{"name": "once", "host": host, "pathPrefix": "/once/", "routeType": "unsafe", "timeoutMs": 1500, "targetLatencyMs": 150, "service": orderService, "maxAttempts": 3},
		{"name": "look", "host": host, "pathPrefix": "/look/", "routeType": "safe", "timeoutMs": 1500, "targetLatencyMs": 150, "service": orderService, "maxAttempts": 3},
	}
	h.store.Put("config", "main", map[string]any{
		"version": h.configVersion, "routes": slices.Concat(routes, []map[string]any{markerRoute(h.configVersion)}, sinceRoutes(h.configVersion), extraRoutes),
		"services": []any{
			map[string]any{"name": engineService, "engine": map[string]any{"slots": 8, "kvCapacity": 100000, "models": []any{
				map[string]any{"name": "small", "cost": 0.01}, map[string]any{"name": "large", "cost": 0.12},
			}}},
			map[string]any{"name": orderService},
		},
		"limits":  map[string]any{"maxBodyBytes": 1 << 20, "maxHeaderBytes": 16384, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "team-1", "apiKeys": append([]string(nil), h.keys...)}},
	})
	h.confirmed = append(h.confirmed, confirmedConfig{version: h.configVersion, confirmedAt: time.Now()})
}

// rotateKey revokes the current key and issues a new one.
func (h *harness) rotateKey() {
	h.mu.Lock()
	old := h.keys[len(h.keys)-1]
	h.keys = []string{fmt.Sprintf("key-%d", h.configVersion)}
	h.mu.Unlock()
	h.publishConfig(nil)
	h.mu.Lock()
	h.revokedAt[old] = time.Now()
	h.mu.Unlock()
}

func (h *harness) currentKey() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.keys[len(h.keys)-1]
}

// recordEvent records an event of the schedule.
func (h *harness) recordEvent(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, fmt.Sprintf("%7.3f %s", time.Since(h.startedAt).Seconds(), fmt.Sprintf(format, args...)))
}

// recordViolation records the violation of a guarantee.
func (h *harness) recordViolation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violate(format, args...)
}

// violate is recordViolation for callers that hold h.mu.
func (h *harness) violate(format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf("%7.3f %s", time.Since(h.startedAt).Seconds(), fmt.Sprintf(format, args...)))
}

func (h *harness) recordStoreFault() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastStoreFault = time.Now()
}

// storeFaultFreeFor reports whether the store has had no fault for the period.
func (h *harness) storeFaultFreeFor(period time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.lastStoreFault) > period
}

func (h *harness) close() {
	for _, v := range h.vms {
		v.storeProxy.close()
	}
	for _, r := range h.allReplicas() {
		r.proxy.close()
		r.server.CloseClientConnections()
	}
	h.storeServer.CloseClientConnections()
}
