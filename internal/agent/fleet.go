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

// zoneQueryTimeout limits a query to another zone's speaker. The speakers of a
// zone are its first VMs in the order of distribution.Ranked; they answer queries
// about their zone.
const zoneQueryTimeout = time.Second

// memberLister lists the members of the fleet. It queries the speakers of all
// zones for the generations in force on their VMs.
type memberLister struct {
	vm     string
	hub    *Hub
	runner *membership.Runner
	caller peer.Caller
}

func newMemberLister(cfg settings.Agent, h *Hub, m *members, c peer.Caller) *memberLister {
	return &memberLister{vm: cfg.VM, hub: h, runner: m.runner, caller: c}
}

// currentMembers returns all members with their current generations.
func (l *memberLister) currentMembers(ctx context.Context) []membership.Member {
	return l.listMembers(ctx, l.hub.View())
}

// listMembers queries a speaker of each zone for the generations of its zone. For
// zones that do not answer it returns the generations last seen in view.
func (l *memberLister) listMembers(ctx context.Context, view membership.View) []membership.Member {
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
			list := l.queryZone(ctx, speakers)
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
func (l *memberLister) queryZone(ctx context.Context, speakers []membership.Member) []membership.Member {
	for _, m := range speakers[:min(len(speakers), 2)] {
		if m.VM == l.vm {
			list, err := l.runner.ZoneMembers(ctx, m.Zone)
			if err == nil {
				return list
			}
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, zoneQueryTimeout)
		var v membership.View
		err := l.caller.Call(callCtx, m.Agent, membership.ListZone, nil, &v)
		cancel()
		if err == nil {
			return v.Members
		}
	}
	return nil
}
