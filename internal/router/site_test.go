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
	testFleet = "test"
	teamKey   = "engravers-key"
	otherKey  = "resellers-key"
	// waitTimeout limits waits in tests; no test depends on its length.
	waitTimeout = time.Minute
)

func TestMain(m *testing.M) {
	invariant.Strict.Store(true)
	os.Exit(m.Run())
}

// testCluster is a fleet of routers in one process with fake upstreams and an
// in-memory platform. The cluster itself acts as the routers' agents.
type testCluster struct {
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
}

// newTestCluster starts n routers, two engines, two replicas of a plain service and
// a rating service.
func newTestCluster(t testing.TB, n int) *testCluster {
	s := &testCluster{
		t: t, dir: t.TempDir(), store: memory.New(), changed: make(chan struct{}),
		handlers: map[peer.Type]peer.Handler{},
		engines:  map[string]*engine.Engine{}, orderServers: map[string]*faults.Server{},
	}
	doc, err := document.Parse([]byte(strings.NewReplacer("TEAMKEY", document.HashKey(teamKey), "OTHERKEY", document.HashKey(otherKey)).Replace(testDocument)))
	require.NoError(t, err)
	document.SetDefaults(doc)
	for i := range doc.Upstreams {
		doc.Upstreams[i].Address = s.startUpstream(doc.Upstreams[i])
	}
	require.NoError(t, document.Validate(doc))
	vms := make([]string, n)
	for i := range vms {
		vms[i] = fmt.Sprintf("vm-%d", i+1)
	}
	_, err = pki.Create(s.dir, testFleet, vms, time.Now())
	require.NoError(t, err)
	s.updateDocument(func(d *document.Document) { *d = *doc })
	s.startUploader()
	for _, vm := range vms {
		s.startRouter(vm)
	}
	for i := range s.routers {
		require.Eventually(t, func() bool { return s.routers[i].Control.Index() != nil }, waitTimeout, time.Millisecond)
	}
	return s
}

func (s *testCluster) startUpstream(u document.Upstream) string {
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
		s.engines[u.Name] = e
		server = e.Server
	case document.Plain:
		server = plainservice.New(u.Name, plainservice.Settings{}).Server
		s.orderServers[u.Name] = server
	case document.Rating:
		server = rating.New(u.Name, rating.Settings{}).Server
	}
	require.NoError(s.t, server.Start("127.0.0.1:0"))
	s.t.Cleanup(func() { _ = server.Close() })
	return server.Address()
}

func (s *testCluster) startRouter(vm string) {
	path := func(name string) string { return filepath.Join(s.dir, name) }
	var cfg settings.Router
	require.NoError(s.t, settings.Decode("router.yaml", []byte(fmt.Sprintf(`
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
`, testFleet, vm, path(pki.CertificateFile(vm, pki.RoleRouter)), path(pki.KeyFile(vm, pki.RoleRouter)),
		path(pki.AuthorityFile), path(pki.SessionKeyFile))), &cfg))
	a, err := build(&cfg, func(c *dig.Container) error {
		if err := c.Provide(func(p *peer.Client) peer.Caller { return &clusterCaller{Client: p, cluster: s} }); err != nil {
			return err
		}
		return c.Provide(func() platform.Store { return s.store })
	})
	require.NoError(s.t, err)
	s.mu.Lock()
	s.routers = append(s.routers, a)
	s.notifyWatchers()
	s.mu.Unlock()
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
	s.stops = append(s.stops, stop)
	s.t.Cleanup(stop)
}

// clusterCaller answers calls to the agent and forwards calls to other routers.
type clusterCaller struct {
	*peer.Client
	cluster *testCluster
}

func (c *clusterCaller) Call(ctx context.Context, addr string, t peer.Type, in, out any) error {
	if addr != "127.0.0.1:9" {
		return c.Client.Call(ctx, addr, t, in, out)
	}
	if t != control.Watch {
		return c.cluster.agentCall(ctx, t, in, out)
	}
	return c.cluster.watch(ctx, in.(control.WatchRequest), out.(*control.WatchResponse))
}

// Handle implements peer.Mux for the handlers of the agents.
func (s *testCluster) Handle(t peer.Type, h peer.Handler) { s.handlers[t] = h }

func (s *testCluster) agentCall(ctx context.Context, t peer.Type, in, out any) error {
	b, err := cbor.Marshal(in)
	require.NoError(s.t, err)
	answer, err := s.handlers[t](ctx, peer.Identity{Fleet: testFleet, Role: pki.RoleRouter}, b)
	if err != nil || out == nil {
		return err
	}
	b, err = cbor.Marshal(answer)
	require.NoError(s.t, err)
	return cbor.Unmarshal(b, out)
}

// startUploader starts the billing uploader that runs in agents.
func (s *testCluster) startUploader() {
	u := billing.NewUploader(billing.Config{VM: "agent", Incarnation: 1}, s.store, nil, timeline.Discard{}, prometheus.NewRegistry())
	u.Register(s)
	ctx, cancel := context.WithCancel(context.Background())
	go u.Run(ctx)
	s.t.Cleanup(cancel)
}

// bills returns the number of stored bills by bill ID.
func (s *testCluster) bills() load.BillCount {
	n, err := load.ReadBills(s.t.Context(), s.store)
	require.NoError(s.t, err)
	return n
}

func (s *testCluster) watch(ctx context.Context, in control.WatchRequest, out *control.WatchResponse) error {
	for {
		s.mu.Lock()
		number, changed := s.revision, s.changed
		if number != in.AfterRevision {
			*out = s.watchResponse()
			s.mu.Unlock()
			return nil
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return result.New(result.PeerUnreachable, "watch: %v", ctx.Err())
		}
	}
}

// watchResponse returns the current control state. The caller holds s.mu.
func (s *testCluster) watchResponse() control.WatchResponse {
	text, err := document.Encode(s.doc)
	require.NoError(s.t, err)
	r := control.WatchResponse{
		Revision: s.revision, AgentIncarnation: 1, Generation: s.doc.Generation, Document: text,
		Seats:      control.Seats{Numbers: []int{0, 1, 2, 3, 4, 5, 6, 7}, ValidMS: waitTimeout.Milliseconds()},
		LiveInZone: len(s.routers), LiveInFleet: len(s.routers), PlatformAvailable: true,
	}
	r.View.Number = s.revision
	for _, a := range s.routers {
		r.View.Members = append(r.View.Members, membership.Member{
			VM: a.Settings.VM, Zone: "az-a", Incarnation: 1, Router: a.Peers.Address(),
			Agent: "127.0.0.1:9", Status: membership.Alive, RouterUp: true,
		})
	}
	return r
}

func (s *testCluster) notifyWatchers() {
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

// updateDocument changes the document and waits until it is in force in every
// router.
func (s *testCluster) updateDocument(change func(*document.Document)) {
	s.mu.Lock()
	next := &document.Document{}
	if s.doc != nil {
		next = document.Clone(s.doc)
	}
	generation := next.Generation
	change(next)
	next.Generation = generation + 1
	s.doc = next
	s.notifyWatchers()
	s.mu.Unlock()
	for _, a := range s.routers {
		require.Eventually(s.t, func() bool {
			return a.Control.Index() != nil && a.Control.Index().Generation() == next.Generation
		}, waitTimeout, time.Millisecond)
	}
}

func (s *testCluster) url(router int) string {
	return "http://" + s.routers[router].Listeners.Main.Addr().String()
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
func (s *testCluster) send(router int, method, path, key, body string, header ...string) (reply, error) {
	req, err := http.NewRequest(method, s.url(router)+path, bytes.NewBufferString(body))
	require.NoError(s.t, err)
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

func (s *testCluster) mustSend(router int, method, path, key, body string, header ...string) reply {
	r, err := s.send(router, method, path, key, body, header...)
	require.NoError(s.t, err)
	return r
}

// executionCount returns the number of executed writes on all replicas of the
// plain service.
func (s *testCluster) executionCount() int {
	n := 0
	for _, o := range s.orderServers {
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
