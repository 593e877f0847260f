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

// zoneTimeout bounds the question to another zone's speaker.
const zoneTimeout = time.Second

// fleet asks the zones' speakers for the generations in force.
type fleet struct {
	vm     string
	hub    *Hub
	runner *membership.Runner
	caller peer.Caller
}

func newFleet(cfg settings.Agent, h *Hub, m *members, c peer.Caller) *fleet {
	return &fleet{vm: cfg.VM, hub: h, runner: m.runner, caller: c}
}

// members lists all members as they are now.
func (f *fleet) members(ctx context.Context) []membership.Member {
	return f.list(ctx, f.hub.View())
}

// list asks a speaker of each zone for the generations of its zone. What
// can't be had is filled in from the own view, with the generation last seen.
func (f *fleet) list(ctx context.Context, view membership.View) []membership.Member {
	ctx, cancel := context.WithTimeout(ctx, 2*zoneTimeout)
	defer cancel()
	rows := map[string]membership.Member{}
	for _, m := range view.Members {
		rows[m.VM] = m
	}
	var mu sync.Mutex
	var work sync.WaitGroup
	for _, ranked := range distribution.Ranked(view) {
		work.Go(func() {
			list := f.askZone(ctx, ranked)
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
	work.Wait()
	out := make([]membership.Member, 0, len(rows))
	for _, m := range rows {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b membership.Member) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// askZone asks the zone's first speaker, or the second if that fails.
func (f *fleet) askZone(ctx context.Context, ranked []membership.Member) []membership.Member {
	for _, m := range ranked[:min(len(ranked), 2)] {
		if m.VM == f.vm {
			list, err := f.runner.ZoneMembers(ctx, m.Zone)
			if err == nil {
				return list
			}
			continue
		}
		call, cancel := context.WithTimeout(ctx, zoneTimeout)
		var v membership.View
		err := f.caller.Call(call, m.Agent, membership.ListZone, nil, &v)
		cancel()
		if err == nil {
			return v.Members
		}
	}
	return nil
}
