// Package sitesoak is a randomized soak of the real program: several pier-edge
// processes behind loopback proxies, stand-ins of the platform's store and
// replicas, callers that keep their connections open, and a seeded schedule of
// faults from outside. What callers and replicas see is checked while it runs.
package sitesoak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/fake/platformside"
)

// Options of one run.
type Options struct {
	Program  string
	Dir      string
	Seed     uint64
	Duration time.Duration
	VMs      int
	Callers  int
	// Started is told once how to end all processes that the run starts; it may
	// be nil.
	OnStart func(stopAll func())
}

// replica is a stand-in behind a proxy; its place outlives its incarnations.
type replica struct {
	place   string
	service string
	zone    string
	version string
	proxy   *proxy
	server  *httptest.Server

	mu      sync.Mutex
	current *platformside.Replica
	past    []*platformside.Replica
	number  int
	listed  bool
}

// ServeHTTP passes requests to the current incarnation.
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

// runs lists what all incarnations executed.
func (r *replica) runs() []platformside.Run {
	r.mu.Lock()
	all := append([]*platformside.Replica{r.current}, r.past...)
	r.mu.Unlock()
	var out []platformside.Run
	for _, p := range all {
		out = append(out, p.Runs()...)
	}
	return out
}

// world is everything of one run.
type world struct {
	o        Options
	rng      *rand.Rand
	store    *platformside.Store
	server   *httptest.Server
	vms      []*entryVM
	replicas []*replica
	begin    time.Time

	mu       sync.Mutex
	version  int
	keys     []string
	revoked  map[string]time.Time // acknowledged at
	storeBad time.Time            // the latest fault of the store
	events   []string
	faults   []string // broken promises
	sent     map[string]*request
}

const (
	engineService = "engine"
	orderService  = "orders"
	host          = "soak.example"
	engines       = 6
	orderPlaces   = 3
)

func newWorld(o Options) (*world, error) {
	w := &world{
		o: o, rng: rand.New(rand.NewPCG(o.Seed, 11)), store: platformside.NewStore(), begin: time.Now(),
		keys: []string{"key-0"}, revoked: make(map[string]time.Time), sent: make(map[string]*request),
	}
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, err
	}
	w.server = httptest.NewServer(w.store.Handler())
	w.configure(nil)
	for i := range engines + orderPlaces {
		service := engineService
		if i >= engines {
			service = orderService
		}
		if err := w.addReplica(fmt.Sprintf("p%d", i), service, string(rune('a'+i%2))); err != nil {
			return nil, err
		}
	}
	peers := make([]string, o.VMs)
	for i := range peers {
		peers[i] = freeAddress()
	}
	seeds := `"` + strings.Join(peers[:min(3, len(peers))], `", "`) + `"`
	for i := range o.VMs {
		v, err := newEntryVM(o.Dir, o.Program, fmt.Sprintf("vm-%d", i), string(rune('a'+i%2)), peers[i], seeds, strings.TrimPrefix(w.server.URL, "http://"))
		if err != nil {
			return nil, err
		}
		w.vms = append(w.vms, v)
	}
	return w, nil
}

func (w *world) addReplica(place, service, zone string) error {
	r := &replica{place: place, service: service, zone: zone, version: "v1"}
	r.current = platformside.NewReplica(place + "-0")
	r.current.Confidence = map[string]int{"small": 30 + 20*w.rng.IntN(4)}
	r.server = httptest.NewServer(r)
	p, err := newProxy(strings.TrimPrefix(r.server.URL, "http://"))
	if err != nil {
		return err
	}
	r.proxy = p
	w.replicas = append(w.replicas, r)
	w.list(r, "ready")
	return nil
}

// list writes a replica's entry.
func (w *world) list(r *replica, state string) {
	r.mu.Lock()
	r.listed = state == "ready"
	id, number, version := r.current.ID, r.number, r.version
	r.mu.Unlock()
	w.store.Put("servers", id, map[string]any{
		"service": r.service, "address": r.proxy.address(), "zone": r.zone, "version": version, "slots": 8,
		"state": state, "coldRemainingMs": 0, "sequence": number, "born": 1700000000000 + number,
	})
}

// crash ends an incarnation; the next one has another id at the same place.
func (w *world) crash(r *replica, away time.Duration) {
	r.proxy.set(link{refuse: true})
	r.proxy.reset()
	w.store.Remove("servers", r.id())
	time.Sleep(away)
	r.mu.Lock()
	r.number++
	next := platformside.NewReplica(fmt.Sprintf("%s-%d", r.place, r.number))
	next.Confidence = r.current.Confidence
	r.past = append(r.past, r.current)
	r.current = next
	r.mu.Unlock()
	r.proxy.set(link{})
	w.list(r, "ready")
}

// configure writes the next configuration, with some routes more.
func (w *world) configure(more []map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 2
	routes := []map[string]any{
		{"name": "chat", "host": host, "pathPrefix": "/chat/", "routeType": "streaming", "timeoutMs": 5000, "targetLatencyMs": 400, "targetGapMs": 300, "service": engineService, "maxAttempts": 3, "resumable": true, "sticky": true, "sizes": []string{"small", "large"}},
		{"name": "once", "host": host, "pathPrefix": "/once/", "routeType": "unsafe", "timeoutMs": 1500, "targetLatencyMs": 150, "service": orderService, "maxAttempts": 3},
		{"name": "look", "host": host, "pathPrefix": "/look/", "routeType": "safe", "timeoutMs": 1500, "targetLatencyMs": 150, "service": orderService, "maxAttempts": 3},
	}
	w.store.Put("config", "main", map[string]any{
		"version": w.version, "routes": append(routes, more...),
		"services": []any{
			map[string]any{"name": engineService, "engine": map[string]any{"slots": 8, "kvCapacity": 100000, "models": []any{
				map[string]any{"name": "small", "cost": 0.01}, map[string]any{"name": "large", "cost": 0.12},
			}}},
			map[string]any{"name": orderService},
		},
		"limits":  map[string]any{"maxBodyBytes": 1 << 20, "maxHeaderBytes": 16384, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "team-1", "apiKeys": append([]string(nil), w.keys...)}},
	})
}

// rotateKey takes the newest key away and gives out another.
func (w *world) rotateKey() {
	w.mu.Lock()
	old := w.keys[len(w.keys)-1]
	w.keys = []string{fmt.Sprintf("key-%d", w.version)}
	w.mu.Unlock()
	w.configure(nil)
	w.mu.Lock()
	w.revoked[old] = time.Now()
	w.mu.Unlock()
}

func (w *world) key() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.keys[len(w.keys)-1]
}

// note records an event of the schedule.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, fmt.Sprintf("%7.3f %s", time.Since(w.begin).Seconds(), fmt.Sprintf(format, args...)))
}

// broken records a broken promise.
func (w *world) broken(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, fmt.Sprintf("%7.3f %s", time.Since(w.begin).Seconds(), fmt.Sprintf(format, args...)))
}

func (w *world) storeDisturbed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeBad = time.Now()
}

// storeCalm reports whether the store has been sound for a while.
func (w *world) storeCalm(since time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.storeBad) > since
}

func (w *world) close() {
	for _, v := range w.vms {
		v.store.close()
	}
	for _, r := range w.replicas {
		r.proxy.close()
		r.server.CloseClientConnections()
	}
	w.server.CloseClientConnections()
}
