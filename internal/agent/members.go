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
	// ownRecordInterval is how often the VM's own membership record is compared
	// with the router's report.
	ownRecordInterval = 200 * time.Millisecond
	// vmListInterval is the mean time between two reads of the platform's list
	// of VMs by any VM of a zone. The list is long in a large fleet, so each VM
	// reads it only about every vmListInterval times the number of the zone's VMs.
	vmListInterval = 2 * time.Second
	// leavingBroadcastTimeout limits sending the leaving upstreams to the zone.
	leavingBroadcastTimeout = 2 * time.Second
	// vmListTimeout limits one read of the platform's list of VMs.
	vmListTimeout = 3 * time.Second
	// entryVMKind is the kind of entry VMs in the platform's list.
	entryVMKind = "entry"
)

// members connects membership to the components that use its views, and keeps
// this VM's own membership record up to date.
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

// setLeaving marks this VM as leaving in its own membership record.
func (m *members) setLeaving() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
}

// ownRecord returns the current content of this VM's membership record.
func (m *members) ownRecord() membership.SetSelf {
	m.mu.Lock()
	leaving := m.leaving
	m.mu.Unlock()
	generation := m.distribution.Current().Generation
	out := membership.SetSelf{Leaving: leaving, ReachesPlatform: m.hub.PlatformUp(), Generation: generation, InForce: generation}
	r := m.hub.Router()
	if r.Up(time.Now()) {
		out.RouterUp = r.Ready
		out.InForce = min(generation, r.Generation)
	}
	return out
}

// updateOwnRecord keeps this VM's membership record up to date until ctx ends.
func (m *members) updateOwnRecord(ctx context.Context) {
	ticker := time.NewTicker(ownRecordInterval)
	defer ticker.Stop()
	var last membership.SetSelf
	for {
		m.hub.SetPlatformUp(m.distribution.PlatformUp())
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

// pollVMList reads the platform's list of VMs periodically until ctx ends. The
// list is authoritative for the leaving upstreams. Its agents may not exist:
// their addresses only help to find members.
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

// zonePeers returns the addresses of the zone's other live agents.
func (m *members) zonePeers() []string {
	var out []string
	for _, member := range m.hub.View().Members {
		if member.Zone == m.zone && member.VM != m.vm && member.Status != membership.Dead {
			out = append(out, member.Agent)
		}
	}
	return out
}

// register adds the handler that receives the leaving upstreams from other agents
// of the zone.
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

// broadcastLeaving sends the leaving upstreams to the zone's other agents. An
// agent that does not receive them reads the list of VMs itself later.
func (m *members) broadcastLeaving(ctx context.Context, leaving []string) {
	ctx, cancel := context.WithTimeout(ctx, leavingBroadcastTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, addr := range m.zonePeers() {
		wg.Go(func() {
			err := m.caller.Call(ctx, addr, control.LeavingUpstreams, control.LeavingUpstreamsRequest{Addresses: leaving}, nil)
			if err != nil {
				klog.V(1).Infof("agent: Sending the leaving upstreams to %s failed: %v.", addr, err)
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
		klog.V(1).Infof("agent: Reading the platform's list of VMs failed: %v.", err)
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
	m.runner.Send(ctx, membership.CandidateAddresses{Addresses: agents})
}
