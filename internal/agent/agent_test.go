package agent

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/control"
	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/invariant"
	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/operator"
	"github.com/cranberrypier/cranberrypier/internal/peer"
	"github.com/cranberrypier/cranberrypier/internal/pki"
	"github.com/cranberrypier/cranberrypier/internal/platform"
	"github.com/cranberrypier/cranberrypier/internal/platform/memory"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/seats"
	"github.com/cranberrypier/cranberrypier/internal/settings"
)

const (
	testFleetName = "demo"
	// testTimeout limits waits; no assertion depends on its value.
	testTimeout = time.Minute
)

func TestMain(m *testing.M) {
	invariant.Strict.Store(true)
	os.Exit(m.Run())
}

// cluster runs the agents of a fleet in one process with a shared store.
type cluster struct {
	t      testing.TB
	dir    string
	store  *memory.Store
	seeds  []string
	stops  map[string]func()
	apps   map[string]*app
	client *operator.Client
}

func newCluster(t testing.TB, vms ...string) *cluster {
	s := &cluster{t: t, dir: t.TempDir(), store: memory.New(), stops: map[string]func(){}, apps: map[string]*app{}}
	_, err := pki.Create(s.dir, testFleetName, vms, time.Now())
	require.NoError(t, err)
	for i, vm := range vms {
		s.start(vm, fmt.Sprintf("az-%c", 'a'+i%2))
	}
	keys, err := pki.Open(s.paths("operator.pem", "operator-key.pem"), testFleetName)
	require.NoError(t, err)
	s.client = operator.NewClient([]string{s.apps[vms[0]].Listeners.Main.Addr().String()}, keys.Client(pki.RoleAgent), testTimeout)
	t.Cleanup(s.client.Close)
	return s
}

func (s *cluster) paths(cert, key string) pki.Paths {
	return pki.Paths{
		Certificate: filepath.Join(s.dir, cert), Key: filepath.Join(s.dir, key),
		Authority: filepath.Join(s.dir, pki.AuthorityFile),
	}
}

func (s *cluster) start(vm, zone string) {
	cfg := &settings.Agent{
		Fleet: testFleetName, VM: vm, Zone: zone, Router: "127.0.0.1:9", RouterCallers: "127.0.0.1:9",
		Listen:   settings.AgentListen{Operators: "127.0.0.1:0", Admin: "127.0.0.1:0", Peer: "127.0.0.1:0"},
		TLS:      s.paths(pki.CertificateFile(vm, pki.RoleAgent), pki.KeyFile(vm, pki.RoleAgent)),
		Seeds:    s.seeds,
		Timeline: settings.Timeline{MaxEvents: 1000},
	}
	store := func(settings.Agent, prometheus.Registerer) platform.Store { return s.store }
	a, err := build(cfg, prometheus.NewRegistry(), store)
	require.NoError(s.t, err)
	s.seeds = append(s.seeds, a.Peers.Address())
	s.apps[vm] = a
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.run(ctx) }()
	var once sync.Once
	s.stops[vm] = func() {
		once.Do(func() {
			cancel()
			require.NoError(s.t, <-done)
		})
	}
	s.t.Cleanup(s.stops[vm])
}

// watch sends a watch request to vm's agent as the router of the VM given by as.
func (s *cluster) watch(vm, as string, in control.WatchRequest) (control.WatchResponse, error) {
	keys, err := pki.Open(s.paths(pki.CertificateFile(as, pki.RoleRouter), pki.KeyFile(as, pki.RoleRouter)), testFleetName)
	require.NoError(s.t, err)
	c, err := peer.NewClient(peer.Config{
		TLS:  keys.Client(pki.RoleAgent),
		Self: peer.Identity{Fleet: testFleetName, VM: as, Role: pki.RoleRouter, Incarnation: 1}, DialTimeout: testTimeout,
	})
	require.NoError(s.t, err)
	defer c.Close()
	var out control.WatchResponse
	ctx, cancel := context.WithTimeout(s.t.Context(), testTimeout)
	defer cancel()
	err = c.Call(ctx, s.apps[vm].Peers.Address(), control.Watch, in, &out)
	return out, err
}

func (s *cluster) eventually(what string, ok func() bool) {
	require.Eventually(s.t, ok, testTimeout, 20*time.Millisecond, what)
}

func (s *cluster) generationInForce(g uint64) func() bool {
	return func() bool {
		for _, a := range s.apps {
			if a.Distribution.Current().Generation != g {
				return false
			}
		}
		return true
	}
}

// demoDocument returns the demo document with the given burst of its first team,
// so that documents with different bursts differ.
func demoDocument(t testing.TB, burst int) *document.Document {
	text, err := os.ReadFile(filepath.Join("..", "..", "examples", "demo.yaml"))
	require.NoError(t, err)
	d, err := document.Load(text)
	require.NoError(t, err)
	d.Fleet = testFleetName
	d.Teams[0].Burst = burst
	return d
}

func TestAgentsActAsOneFleet(t *testing.T) {
	s := newCluster(t, "vm-1", "vm-2", "vm-3", "vm-4")
	accepted, err := s.client.Submit(t.Context(), operator.Submission{Document: demoDocument(t, 1)})
	require.NoError(t, err)
	require.Equal(t, uint64(1), accepted.Generation)
	s.eventually("generation 1 is in force everywhere", s.generationInForce(1))

	_, err = s.client.Submit(t.Context(), operator.Submission{Document: demoDocument(t, 2)})
	require.True(t, result.Is(err, result.DocumentConflict), "%v", err)

	s.eventually("all agents see four live VMs", func() bool {
		for _, a := range s.apps {
			v := a.Hub.View()
			for _, m := range v.Members {
				if m.Status != membership.Alive {
					return false
				}
			}
			if len(v.Members) != 4 {
				return false
			}
		}
		return true
	})
	s.eventually("the status lists every VM's generation", func() bool {
		status, err := s.client.Status(t.Context())
		require.NoError(t, err)
		n := 0
		for _, m := range status.Members {
			if m.Generation == 1 {
				n++
			}
		}
		return n == 4
	})

	out, err := s.watch("vm-2", "vm-2", control.WatchRequest{Ready: true})
	require.NoError(t, err)
	require.NotEmpty(t, out.Document)
	require.Len(t, out.View.Members, 4)
	s.eventually("the zone's only router holds all seats", func() bool {
		in := control.WatchRequest{Ready: true, AfterRevision: out.Revision, AgentIncarnation: out.AgentIncarnation}
		out, err = s.watch("vm-2", "vm-2", in)
		require.NoError(t, err)
		return len(out.Seats.Numbers) == seats.PerZone && out.Seats.ValidMS > 0
	})
	_, err = s.watch("vm-2", "vm-3", control.WatchRequest{})
	require.True(t, result.Is(err, result.PeerRefused), "%v", err)

	s.store.SetVMs([]platform.VM{{Name: "u", Zone: "az-a", Address: "127.0.0.1:8", Kind: "upstream", Leaving: true}})
	s.eventually("every agent has the leaving upstream", func() bool {
		for _, a := range s.apps {
			in := control.WatchRequest{}
			if r, _, _ := a.Hub.response(in); len(r.LeavingUpstreams) != 1 {
				return false
			}
		}
		return true
	})

	events, err := s.client.Timeline(t.Context(), 0, "")
	require.NoError(t, err)
	applied := map[string]bool{}
	for _, e := range events.Events {
		if e.Name == "document.applied" {
			applied[e.VM] = true
		}
	}
	require.Len(t, applied, 4)

	// A VM that starts while the platform is unavailable gets the document from
	// its peers.
	s.store.SetDown(true)
	s.stops["vm-4"]()
	s.start("vm-4", "az-b")
	s.eventually("the restarted VM has the document", s.generationInForce(1))
	text, err := document.Encode(demoDocument(t, 3))
	require.NoError(t, err)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	submitted := s.apps["vm-1"].Distribution.Submit(ended, text, 1)
	require.True(t, result.Is(submitted.Err, result.DocumentNotAccepted), "%v", submitted.Err)
	s.store.SetDown(false)
	_, err = s.client.Submit(t.Context(), operator.Submission{Document: demoDocument(t, 3), Base: 1})
	require.NoError(t, err)
	s.eventually("generation 2 is in force everywhere", s.generationInForce(2))

	_, err = s.client.Drain(t.Context(), "vm-3")
	require.NoError(t, err)
	out, err = s.watch("vm-3", "vm-3", control.WatchRequest{Ready: true})
	require.NoError(t, err)
	require.True(t, out.Draining)
}
