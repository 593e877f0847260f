package agent

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/distribution"
	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/peer"
	"github.com/cranberrypier/cranberrypier/internal/settings"
)

// zoneQueryTimeout limits a query to another zone's speaker.
const zoneQueryTimeout = time.Second

// fleet queries the speakers of all zones for the generations in force on their
// VMs.
type fleet struct {
	vm     string
	hub    *Hub
	runner *membership.Runner
	caller peer.Caller
}

func newFleet(cfg settings.Agent, h *Hub, m *members, c peer.Caller) *fleet {
	return &fleet{vm: cfg.VM, hub: h, runner: m.runner, caller: c}
}

// currentMembers returns all members with their current generations.
func (f *fleet) currentMembers(ctx context.Context) []membership.Member {
	return f.listMembers(ctx, f.hub.View())
}

// listMembers queries a speaker of each zone for the generations of its zone. For
// zones that do not answer it returns the generations last seen in view.
func (f *fleet) listMembers(ctx context.Context, view membership.View) []membership.Member {
	ctx, cancel := context.WithTimeout(ctx, 2*zoneQueryTimeout)
	defer cancel()
	rows := map[string]membership.Member{}
	for _, m := range view.Members {
		rows[m.VM] = m
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, speakers := range distribution.Ranked(view) {
		wg.Go(func() {
			list := f.queryZone(ctx, speakers)
			mu.Lock()
			defer mu.Unlock()
			for _, m := range list {
				if row, ok := rows[m.VM]; ok {
					row.Generation = max(row.Generation, m.Generation)
					rows[m.VM] = row
				}
			}
		})
	}
	wg.Wait()
	out := make([]membership.Member, 0, len(rows))
	for _, m := range rows {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b membership.Member) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// queryZone queries the zone's first speaker, and the second one if that fails.
func (f *fleet) queryZone(ctx context.Context, speakers []membership.Member) []membership.Member {
	for _, m := range speakers[:min(len(speakers), 2)] {
		if m.VM == f.vm {
			list, err := f.runner.ZoneMembers(ctx, m.Zone)
			if err == nil {
				return list
			}
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, zoneQueryTimeout)
		var v membership.View
		err := f.caller.Call(callCtx, m.Agent, membership.ListZone, nil, &v)
		cancel()
		if err == nil {
			return v.Members
		}
	}
	return nil
}
