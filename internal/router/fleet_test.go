package router

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/dig"

	"github.com/cranberrypier/cranberrypier/internal/billing"
	"github.com/cranberrypier/cranberrypier/internal/control"
	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/fake/engine"
	"github.com/cranberrypier/cranberrypier/internal/fake/faults"
	"github.com/cranberrypier/cranberrypier/internal/fake/plainservice"
	"github.com/cranberrypier/cranberrypier/internal/fake/rating"
	"github.com/cranberrypier/cranberrypier/internal/invariant"
	"github.com/cranberrypier/cranberrypier/internal/load"
	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/peer"
	"github.com/cranberrypier/cranberrypier/internal/pki"
	"github.com/cranberrypier/cranberrypier/internal/platform"
	"github.com/cranberrypier/cranberrypier/internal/platform/memory"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/settings"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
)

const (
	testFleetName = "test"
	teamKey       = "engravers-key"
	otherKey      = "resellers-key"
	// waitTimeout limits waits in tests; no test depends on its length.
	waitTimeout = time.Minute
)

func TestMain(m *testing.M) {
	invariant.Strict.Store(true)
	os.Exit(m.Run())
}

// testFleet is a fleet of routers in one process with fake upstreams and an
// in-memory platform. testFleet itself acts as the routers' agents.
type testFleet struct {
	t            testing.TB
	dir          string
	store        *memory.Store
	engines      map[string]*engine.Engine
	orderServers map[string]*faults.Server
	routers      []*app
	stops        []func()
	// handlers are the peer handlers of the agents.
	handlers map[peer.Type]peer.Handler

	mu       sync.Mutex
	doc      *document.Document
	revision uint64
	changed  chan struct{}
	waiting  int // watches that wait for the next change
}

// newTestFleet starts n routers, two engines, two replicas of a plain service and
// a rating service.
func newTestFleet(t testing.TB, n int) *testFleet {
	f := &testFleet{
		t: t, dir: t.TempDir(), store: memory.New(), changed: make(chan struct{}),
		handlers: map[peer.Type]peer.Handler{},
		engines:  map[string]*engine.Engine{}, orderServers: map[string]*faults.Server{},
	}
	doc, err := document.Parse([]byte(strings.NewReplacer("TEAMKEY", document.HashKey(teamKey), "OTHERKEY", document.HashKey(otherKey)).Replace(testDocument)))
	require.NoError(t, err)
	document.SetDefaults(doc)
	for i := range doc.Upstreams {
		doc.Upstreams[i].Address = f.startUpstream(doc.Upstreams[i])
	}
	require.NoError(t, document.Validate(doc))
	vms := make([]string, n)
	for i := range vms {
		vms[i] = fmt.Sprintf("vm-%d", i+1)
	}
	_, err = pki.Create(f.dir, testFleetName, vms, time.Now())
	require.NoError(t, err)
	f.updateDocument(func(d *document.Document) { *d = *doc })
	f.startUploader()
	for _, vm := range vms {
		f.startRouter(vm)
	}
	for i := range f.routers {
		require.Eventually(t, func() bool { return f.routers[i].Control.Index() != nil }, waitTimeout, time.Millisecond)
	}
	// Each router must know the others, too: a router that has applied the last view
	// waits for the next one.
	require.Eventually(t, func() bool { return f.waitingWatchers() == n }, waitTimeout, time.Millisecond)
	return f
}

func (f *testFleet) startUpstream(u document.Upstream) string {
	var server *faults.Server
	switch u.Kind {
	case document.Engine:
		set := engine.Settings{Limit: u.Limit, TokensPerSecond: 2000, MinTokens: 20, MaxTokens: 20}
		for _, target := range u.Serves {
			quality := 0.7
			if strings.HasPrefix(target, "large") {
				quality = 0.95
			}
			set.Versions = append(set.Versions, engine.VersionSettings{Name: target, Quality: quality})
		}
		e := engine.New(u.Name, set)
		f.engines[u.Name] = e
		server = e.Server
	case document.Plain:
		server = plainservice.New(u.Name, plainservice.Settings{}).Server
		f.orderServers[u.Name] = server
	case document.Rating:
		server = rating.New(u.Name, rating.Settings{}).Server
	}
	require.NoError(f.t, server.Start("127.0.0.1:0"))
	f.t.Cleanup(func() { _ = server.Close() })
	return server.Address()
}

func (f *testFleet) startRouter(vm string) {
	path := func(name string) string { return filepath.Join(f.dir, name) }
	var cfg settings.Router
	require.NoError(f.t, settings.Decode("router.yaml", []byte(fmt.Sprintf(`
fleet: %s
vm: %s
zone: az-a
listen: {callers: "127.0.0.1:0", admin: "127.0.0.1:0", peer: "127.0.0.1:0"}
agent: 127.0.0.1:9
platform: {address: "127.0.0.1:9"}
tls: {certificate: %q, key: %q, authority: %q}
session_key_file: %q
drain: {announce: 0s, grace: 60s}
upstream: {silence: 500ms}
`, testFleetName, vm, path(pki.CertificateFile(vm, pki.RoleRouter)), path(pki.KeyFile(vm, pki.RoleRouter)),
		path(pki.AuthorityFile), path(pki.SessionKeyFile))), &cfg))
	a, err := build(&cfg, func(c *dig.Container) error {
		if err := c.Provide(func(p *peer.Client) peer.Caller { return &fleetCaller{Client: p, fleet: f} }); err != nil {
			return err
		}
		return c.Provide(func() platform.Store { return f.store })
	})
	require.NoError(f.t, err)
	f.mu.Lock()
	f.routers = append(f.routers, a)
	f.notifyWatchers()
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.run(ctx)
	}()
	stop := sync.OnceFunc(func() {
		cancel()
		<-done
	})
	f.stops = append(f.stops, stop)
	f.t.Cleanup(stop)
}

// fleetCaller answers calls to the agent and forwards calls to other routers.
type fleetCaller struct {
	*peer.Client
	fleet *testFleet
}

func (c *fleetCaller) Call(ctx context.Context, addr string, t peer.Type, in, out any) error {
	if addr != "127.0.0.1:9" {
		return c.Client.Call(ctx, addr, t, in, out)
	}
	if t != control.Watch {
		return c.fleet.agentCall(ctx, t, in, out)
	}
	return c.fleet.watch(ctx, in.(control.WatchRequest), out.(*control.WatchResponse))
}

// Handle implements peer.Mux for the handlers of the agents.
func (f *testFleet) Handle(t peer.Type, h peer.Handler) { f.handlers[t] = h }

func (f *testFleet) agentCall(ctx context.Context, t peer.Type, in, out any) error {
	b, err := cbor.Marshal(in)
	require.NoError(f.t, err)
	answer, err := f.handlers[t](ctx, peer.Identity{Fleet: testFleetName, Role: pki.RoleRouter}, b)
	if err != nil || out == nil {
		return err
	}
	b, err = cbor.Marshal(answer)
	require.NoError(f.t, err)
	return cbor.Unmarshal(b, out)
}

// startUploader starts the billing uploader that runs in agents.
func (f *testFleet) startUploader() {
	u := billing.NewUploader(billing.Config{VM: "agent", Incarnation: 1}, f.store, nil, timeline.Discard{}, prometheus.NewRegistry())
	u.Register(f)
	ctx, cancel := context.WithCancel(context.Background())
	go u.Run(ctx)
	f.t.Cleanup(cancel)
}

// bills returns the number of stored bills by bill ID.
func (f *testFleet) bills() load.BillCount {
	n, err := load.ReadBills(f.t.Context(), f.store)
	require.NoError(f.t, err)
	return n
}

func (f *testFleet) watch(ctx context.Context, in control.WatchRequest, out *control.WatchResponse) error {
	for {
		f.mu.Lock()
		number, changed := f.revision, f.changed
		if number != in.AfterRevision {
			*out = f.watchResponse()
			f.mu.Unlock()
			return nil
		}
		f.waiting++
		f.mu.Unlock()
		err := waitForChange(ctx, changed)
		f.mu.Lock()
		f.waiting--
		f.mu.Unlock()
		if err != nil {
			return err
		}
	}
}

func waitForChange(ctx context.Context, changed <-chan struct{}) error {
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return result.New(result.PeerUnreachable, "watch: %v", ctx.Err())
	}
}

// waitingWatchers returns the number of watches that wait for the next change.
func (f *testFleet) waitingWatchers() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.waiting
}

// watchResponse returns the current control state. The caller holds s.mu.
func (f *testFleet) watchResponse() control.WatchResponse {
	text, err := document.Encode(f.doc)
	require.NoError(f.t, err)
	r := control.WatchResponse{
		Revision: f.revision, AgentIncarnation: 1, Generation: f.doc.Generation, Document: text,
		Seats:      control.Seats{Numbers: []int{0, 1, 2, 3, 4, 5, 6, 7}, ValidMS: waitTimeout.Milliseconds()},
		LiveInZone: len(f.routers), LiveInFleet: len(f.routers), PlatformAvailable: true,
	}
	r.View.Number = f.revision
	for _, a := range f.routers {
		r.View.Members = append(r.View.Members, membership.Member{
			VM: a.Settings.VM, Zone: "az-a", Incarnation: 1, Router: a.Peers.Address(),
			Agent: "127.0.0.1:9", Status: membership.Alive, RouterUp: true,
		})
	}
	return r
}

func (f *testFleet) notifyWatchers() {
	f.revision++
	close(f.changed)
	f.changed = make(chan struct{})
}

// updateDocument changes the document and waits until it is in force in every
// router.
func (f *testFleet) updateDocument(change func(*document.Document)) {
	f.mu.Lock()
	next := &document.Document{}
	if f.doc != nil {
		next = document.Clone(f.doc)
	}
	generation := next.Generation
	change(next)
	next.Generation = generation + 1
	f.doc = next
	f.notifyWatchers()
	f.mu.Unlock()
	for _, a := range f.routers {
		require.Eventually(f.t, func() bool {
			return a.Control.Index() != nil && a.Control.Index().Generation() == next.Generation
		}, waitTimeout, time.Millisecond)
	}
}

func (f *testFleet) url(router int) string {
	return "http://" + f.routers[router].Listeners.Main.Addr().String()
}

// reply is a response as the caller receives it.
type reply struct {
	status int
	header http.Header
	body   string
}

// errorDetail decodes the body of an error response.
func (r reply) errorDetail(t *testing.T) ErrorDetail {
	var out ErrorResponse
	require.NoError(t, json.Unmarshal([]byte(r.body), &out), r.body)
	return out.Error
}

// send sends one request. header holds pairs of names and values.
func (f *testFleet) send(router int, method, path, key, body string, header ...string) (reply, error) {
	req, err := http.NewRequest(method, f.url(router)+path, bytes.NewBufferString(body))
	require.NoError(f.t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(b)}, err
}

func (f *testFleet) mustSend(router int, method, path, key, body string, header ...string) reply {
	r, err := f.send(router, method, path, key, body, header...)
	require.NoError(f.t, err)
	return r
}

// executionCount returns the number of executed writes on all replicas of the
// plain service.
func (f *testFleet) executionCount() int {
	n := 0
	for _, o := range f.orderServers {
		for _, e := range o.Log.Since(0) {
			if e.Ran && e.Write {
				n++
			}
		}
	}
	return n
}

const testDocument = `
schema: 1
fleet: test
zones:
  - {name: az-a, region: r}
  - {name: az-b, region: r}
models:
  - name: small
    versions:
      - {name: v1, state: stable, cost: 1, quality: 0.7}
      - {name: v2, state: withdrawn, cost: 1, quality: 0.7, successor: v1}
  - name: large
    versions:
      - {name: v1, state: stable, cost: 6, quality: 0.95}
upstreams:
  - {name: e1, zone: az-a, kind: engine, address: "127.0.0.1:1", serves: [small@v1, small@v2, large@v1], limit: 32, cold_limit: 8}
  - {name: e2, zone: az-b, kind: engine, address: "127.0.0.1:2", serves: [small@v1, small@v2, large@v1], limit: 32, cold_limit: 8}
  - {name: s1, zone: az-a, kind: plain, address: "127.0.0.1:3", serves: [orders], limit: 32}
  - {name: s2, zone: az-b, kind: plain, address: "127.0.0.1:4", serves: [orders], limit: 32}
  - {name: r1, zone: az-a, kind: rating, address: "127.0.0.1:5", limit: 32}
services:
  - name: orders
    calls:
      - {method: GET, path: /stock/*, repeatable: true, timeout: 20s, class: lookup}
      - {method: POST, path: /confirmations, timeout: 20s, class: lookup}
classes:
  - {name: lookup, priority: 0, deadline: 60s, quality: 0.6, cascade: [small]}
  - {name: draft, priority: 3, deadline: 60s, quality: 0.8, cascade: [small, large]}
teams:
  - name: engravers
    key_hashes: [TEAMKEY]
    models: [small, large]
    services: [orders]
    requests_per_second: 1000
    burst: 1000
    concurrent: 1000
    default_class: draft
  - name: resellers
    key_hashes: [OTHERKEY]
    models: [small@v1]
    requests_per_second: 1000
    burst: 1000
    concurrent: 1000
    default_class: lookup
`
