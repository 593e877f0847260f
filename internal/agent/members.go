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
	ownRecordInterval = 200 * time.Millisecond
	// listEvery is the mean time between reads of the platform's list of VMs
	// by any VM of a zone. The VMs of a zone take turns, each about every
	// listEvery times their number: the list is long in a large fleet.
	vmListInterval = 2 * time.Second
	// leavingTimeout bounds the passing on of a change.
	leavingBroadcastTimeout = 2 * time.Second
	// listTimeout bounds such a read.
	vmListTimeout = 3 * time.Second
	// entryVM is the kind of our own VMs in the platform's list.
	entryVMKind = "entry"
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
	store platform.Store, c peer.Caller, r timeline.Recorder, self peerAddress,
) *members {
	m := &members{hub: h, distribution: d, uploader: u, seats: sr, rollout: ro, store: store, caller: c, vm: cfg.VM, zone: cfg.Zone}
	config := membership.Config{
		Self: membership.Record{
			VM: cfg.VM, Zone: cfg.Zone, Incarnation: id.Incarnation,
			Agent: string(self), Router: cfg.Router, Schema: document.SchemaVersion,
		},
		Seeds: cfg.Seeds,
	}
	m.runner = membership.NewRunner(config, c, r, m)
	return m
}

// TakeView implements membership.Follower.
func (m *members) TakeView(v membership.View) {
	m.hub.SetView(v)
	m.distribution.SetView(v)
	m.uploader.SetView(v)
	m.seats.SetView(v)
	m.rollout.SetView(v)
}

// TakeAhead implements membership.Follower.
func (m *members) TakeAhead(address string, generation uint64) {
	m.distribution.Noticed(address, generation)
}

// leave announces that this VM leaves.
func (m *members) setLeaving() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
}

// row is the own row as it should be.
func (m *members) ownRecord() membership.SetSelf {
	m.mu.Lock()
	leaving := m.leaving
	m.mu.Unlock()
	generation := m.distribution.Current().Generation
	out := membership.SetSelf{Leaving: leaving, Platform: m.hub.Platform(), Generation: generation, InForce: generation}
	r := m.hub.Router()
	if r.Up(time.Now()) {
		out.RouterUp = r.Ready
		out.InForce = min(generation, r.Generation)
	}
	return out
}

// run keeps the own row up to date.
func (m *members) updateOwnRecord(ctx context.Context) {
	ticker := time.NewTicker(ownRecordInterval)
	defer ticker.Stop()
	var last membership.SetSelf
	for {
		m.hub.SetPlatform(m.distribution.PlatformUp())
		if record := m.ownRecord(); record != last {
			last = record
			m.runner.Send(ctx, record)
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
func (m *members) pollVMList(ctx context.Context) {
	for {
		m.refreshVMList(ctx)
		interval := vmListInterval * time.Duration(len(m.zonePeers())+1)
		timer := time.NewTimer(interval/2 + rand.N(interval))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// neighbours are the addresses of the other live agents of the zone.
func (m *members) zonePeers() []string {
	var out []string
	for _, member := range m.hub.View().Members {
		if member.Zone == m.zone && member.VM != m.vm && member.Status != membership.Dead {
			out = append(out, member.Agent)
		}
	}
	return out
}

// register adds the handler by which neighbours pass on who leaves.
func (m *members) register(mux peer.Mux) {
	mux.Handle(control.Leaving, func(_ context.Context, _ peer.Identity, b peer.Body) (any, error) {
		var in control.LeavingRequest
		if err := b.Decode(&in); err != nil {
			return nil, trace.Wrap(err)
		}
		m.hub.SetLeaving(in.Addresses)
		return nil, nil
	})
}

// pass tells the zone of a change; who misses it reads the list in its turn.
func (m *members) broadcastLeaving(ctx context.Context, leaving []string) {
	ctx, cancel := context.WithTimeout(ctx, leavingBroadcastTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, addr := range m.zonePeers() {
		wg.Go(func() {
			err := m.caller.Call(ctx, addr, control.Leaving, control.LeavingRequest{Addresses: leaving}, nil)
			if err != nil {
				klog.V(1).Infof("agent: %s was not told who leaves: %v.", addr, err)
			}
		})
	}
	wg.Wait()
}

func (m *members) refreshVMList(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, vmListTimeout)
	defer cancel()
	vms, err := m.store.VMs(callCtx)
	if err != nil {
		klog.V(1).Infof("agent: The list of VMs was not read: %v.", err)
		return
	}
	var agents, leaving []string
	for _, vm := range vms {
		switch {
		case vm.Kind == entryVMKind && !vm.Leaving:
			agents = append(agents, vm.Address)
		case vm.Kind != entryVMKind && vm.Leaving:
			leaving = append(leaving, vm.Address)
		}
	}
	slices.Sort(leaving)
	if m.hub.SetLeaving(leaving) {
		m.broadcastLeaving(ctx, leaving)
	}
	m.runner.Send(ctx, membership.Hints{Addresses: agents})
}
