package agent

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/billing"
	"github.com/cranberrypier/cranberrypier/internal/control"
	"github.com/cranberrypier/cranberrypier/internal/distribution"
	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/peer"
	"github.com/cranberrypier/cranberrypier/internal/platform"
	"github.com/cranberrypier/cranberrypier/internal/rollout"
	"github.com/cranberrypier/cranberrypier/internal/seats"
	"github.com/cranberrypier/cranberrypier/internal/settings"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
)

const (
	// selfEvery is how often the own row is compared with the router's report.
	selfEvery = 200 * time.Millisecond
	// listEvery is the mean time between reads of the platform's list of VMs
	// by any VM of a zone. The VMs of a zone take turns, each about every
	// listEvery times their number: the list is long in a large fleet.
	listEvery = 2 * time.Second
	// leavingTimeout bounds the passing on of a change.
	leavingTimeout = 2 * time.Second
	// listTimeout bounds such a read.
	listTimeout = 3 * time.Second
	// entryVM is the kind of our own VMs in the platform's list.
	entryVM = "entry"
)

// members joins membership to the hub, the distribution and the uploader.
type members struct {
	runner       *membership.Runner
	hub          *Hub
	distribution *distribution.Runner
	uploader     *billing.Uploader
	seats        *seats.Runner
	rollout      *rollout.Runner
	store        platform.Store
	caller       peer.Caller
	vm           string
	zone         string

	mu      sync.Mutex
	leaving bool
}

func newMembers(cfg settings.Agent, id peer.Identity, h *Hub, d *distribution.Runner, u *billing.Uploader, sr *seats.Runner, ro *rollout.Runner,
	store platform.Store, c peer.Caller, r timeline.Recorder, at address,
) *members {
	m := &members{hub: h, distribution: d, uploader: u, seats: sr, rollout: ro, store: store, caller: c, vm: cfg.VM, zone: cfg.Zone}
	config := membership.Config{
		Self: membership.Record{
			VM: cfg.VM, Zone: cfg.Zone, Incarnation: id.Incarnation,
			Agent: string(at), Router: cfg.Router, Schema: document.SchemaVersion,
		},
		Seeds: cfg.Seeds,
	}
	m.runner = membership.NewRunner(config, c, r, m)
	return m
}

// TakeView implements membership.Follower.
func (m *members) HandleView(v membership.View) {
	m.hub.SetView(v)
	m.distribution.SetView(v)
	m.uploader.SetView(v)
	m.seats.SetView(v)
	m.rollout.SetView(v)
}

// TakeAhead implements membership.Follower.
func (m *members) HandleNewerDocument(address string, generation uint64) {
	m.distribution.ObservePeerGeneration(address, generation)
}

// leave announces that this VM leaves.
func (m *members) leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
}

// row is the own row as it should be.
func (m *members) row() membership.SetSelf {
	m.mu.Lock()
	leaving := m.leaving
	m.mu.Unlock()
	have := m.distribution.Current().Generation
	out := membership.SetSelf{Leaving: leaving, Platform: m.hub.PlatformUp(), Generation: have, InForce: have}
	r := m.hub.Router()
	if r.Up(time.Now()) {
		out.RouterUp = r.Ready
		out.InForce = min(have, r.Generation)
	}
	return out
}

// run keeps the own row up to date.
func (m *members) run(ctx context.Context) {
	ticker := time.NewTicker(selfEvery)
	defer ticker.Stop()
	var last membership.SetSelf
	for {
		m.hub.SetPlatformUp(m.distribution.PlatformUp())
		if row := m.row(); row != last {
			last = row
			m.runner.Send(ctx, row)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// list reads the platform's list of VMs, which only hints at addresses of
// agents that may exist, but says which upstreams leave.
func (m *members) list(ctx context.Context) {
	for {
		m.hint(ctx)
		turn := listEvery * time.Duration(len(m.neighbours())+1)
		t := time.NewTimer(turn/2 + rand.N(turn))
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
	}
}

// neighbours are the addresses of the other live agents of the zone.
func (m *members) neighbours() []string {
	var out []string
	for _, row := range m.hub.View().Members {
		if row.Zone == m.zone && row.VM != m.vm && row.Status != membership.Dead {
			out = append(out, row.Agent)
		}
	}
	return out
}

// register adds the handler by which neighbours pass on who leaves.
func (m *members) register(mux peer.Mux) {
	mux.Handle(control.LeavingUpstreams, func(_ context.Context, _ peer.Identity, b peer.Body) (any, error) {
		var in control.LeavingUpstreamsRequest
		if err := b.Decode(&in); err != nil {
			return nil, trace.Wrap(err)
		}
		m.hub.SetLeaving(in.Addresses)
		return nil, nil
	})
}

// pass tells the zone of a change; who misses it reads the list in its turn.
func (m *members) pass(ctx context.Context, leaving []string) {
	ctx, cancel := context.WithTimeout(ctx, leavingTimeout)
	defer cancel()
	var work sync.WaitGroup
	for _, addr := range m.neighbours() {
		work.Go(func() {
			err := m.caller.Call(ctx, addr, control.LeavingUpstreams, control.LeavingUpstreamsRequest{Addresses: leaving}, nil)
			if err != nil {
				klog.V(1).Infof("agent: %s was not told who leaves: %v.", addr, err)
			}
		})
	}
	work.Wait()
}

func (m *members) hint(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	vms, err := m.store.VMs(call)
	if err != nil {
		klog.V(1).Infof("agent: The list of VMs was not read: %v.", err)
		return
	}
	var out, leaving []string
	for _, vm := range vms {
		switch {
		case vm.Kind == entryVM && !vm.Leaving:
			out = append(out, vm.Address)
		case vm.Kind != entryVM && vm.Leaving:
			leaving = append(leaving, vm.Address)
		}
	}
	slices.Sort(leaving)
	if m.hub.SetLeaving(leaving) {
		m.pass(ctx, leaving)
	}
	m.runner.Send(ctx, membership.CandidateAddresses{Addresses: out})
}
