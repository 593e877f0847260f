package agent

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/cranberrypier/cranberrypier/internal/control"
	"github.com/cranberrypier/cranberrypier/internal/peer"
	"github.com/cranberrypier/cranberrypier/internal/pki"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
)

// register adds all handlers. Only the own VM's router may watch.
func (h handlers) register(m peer.Mux, vm string) {
	h.Distribution.Register(m)
	h.Uploader.Register(m)
	h.Members.runner.Register(m)
	h.Members.register(m)
	h.Rollout.Register(m)
	m.Handle(control.Watch, func(ctx context.Context, from peer.Identity, b peer.Body) (any, error) {
		if from.VM != vm || from.Role != pki.RoleRouter {
			return nil, trace.Wrap(result.New(result.PeerRefused, "only the router of VM %s may watch here", vm))
		}
		var in control.WatchRequest
		if err := b.Decode(&in); err != nil {
			return nil, trace.Wrap(err)
		}
		h.Rollout.SetRouterTotals(from.Incarnation, in.Counters)
		return h.Hub.Watch(ctx, from.Incarnation, in), nil
	})
	m.Handle(control.Drain, func(_ context.Context, from peer.Identity, _ peer.Body) (any, error) {
		if from.Role != pki.RoleAgent {
			return nil, trace.Wrap(result.New(result.PeerRefused, "only agents may ask for a drain"))
		}
		h.drain()
		return nil, nil
	})
	m.Handle(timeline.ReadType, func(_ context.Context, _ peer.Identity, b peer.Body) (any, error) {
		var in timeline.ReadRequest
		if err := b.Decode(&in); err != nil {
			return nil, trace.Wrap(err)
		}
		return h.Log.Serve(in), nil
	})
}

func (h handlers) drain() {
	h.Log.Record("", "drain.asked")
	h.Hub.SetDraining()
	h.Members.leave()
}
