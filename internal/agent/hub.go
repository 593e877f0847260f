package agent

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/control"
	"github.com/cranberrypier/cranberrypier/internal/distribution"
	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/rollout"
	"github.com/cranberrypier/cranberrypier/internal/seats"
)

// routerGrace is how long a router counts as up between two watches.
const routerGrace = 2 * time.Second

// Hub holds the control state that the VM's own router watches. Each setter
// wakes the waiting watch. It is safe for concurrent use and never calls out.
//
// Invariant: the number grows with each change, and the generation in a
// response never falls.
type Hub struct {
	incarnation uint64
	zone        string

	// follow takes each new document.
	follow func(distribution.Document)
	// followView takes each new view.
	followView func(membership.View)

	mu       sync.Mutex
	number   uint64
	changed  chan struct{}
	document distribution.Document
	view     membership.View
	seats    seats.Held
	shares   []rollout.Share
	leaving  []string
	draining bool
	platform bool
	stopping bool
	router   RouterReport
}

// RouterReport is what the own router last told.
type RouterReport struct {
	control.WatchRequest
	// Incarnation is the router's.
	Incarnation uint64
	// At is when it was told; zero when never.
	LastSeen time.Time
	// Watching counts the router's waiting watches.
	PendingWatches int
}

// Up reports whether the router answers.
func (r RouterReport) Up(now time.Time) bool {
	return r.PendingWatches > 0 || (!r.LastSeen.IsZero() && now.Sub(r.LastSeen) < routerGrace)
}

// NewHub returns a hub with number 1.
func NewHub(zone string, incarnation uint64) *Hub {
	return &Hub{zone: zone, incarnation: incarnation, number: 1, changed: make(chan struct{})}
}

// change applies f and wakes the watches.
func (h *Hub) change(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
	h.number++
	close(h.changed)
	h.changed = make(chan struct{})
}

// FollowDocuments makes f take each new document; it must be called before the
// first one. F is called from one goroutine.
func (h *Hub) OnDocument(f func(distribution.Document)) { h.follow = f }

// SetDocument sets the document; a lower generation is ignored.
func (h *Hub) SetDocument(d distribution.Document) {
	h.change(func() {
		if d.Generation > h.document.Generation {
			h.document = d
		}
	})
	if h.follow != nil {
		h.follow(d)
	}
}

// FollowViews makes f take each new view; it must be called before the first
// one. F is called from one goroutine and must not block.
func (h *Hub) OnView(f func(membership.View)) { h.followView = f }

// SetView sets the membership view.
func (h *Hub) SetView(v membership.View) {
	h.change(func() { h.view = v })
	if h.followView != nil {
		h.followView(v)
	}
}

// SetSeats sets the held seats.
func (h *Hub) SetSeats(s seats.Held) { h.change(func() { h.seats = s }) }

// SetShares sets the roll-out shares.
func (h *Hub) SetShares(s []rollout.Share) { h.change(func() { h.shares = slices.Clone(s) }) }

// SetLeaving sets the addresses of upstreams that leave, in ascending order,
// and reports whether that changed them.
func (h *Hub) SetLeaving(addresses []string) bool {
	h.mu.Lock()
	same := slices.Equal(h.leaving, addresses)
	h.mu.Unlock()
	if !same {
		h.change(func() { h.leaving = addresses })
	}
	return !same
}

// SetDraining tells the router to drain, for good.
func (h *Hub) SetDraining() { h.change(func() { h.draining = true }) }

// SetPlatform tells whether the platform answers.
func (h *Hub) SetPlatformUp(up bool) {
	if h.PlatformUp() != up {
		h.change(func() { h.platform = up })
	}
}

// Platform reports whether the platform answers.
func (h *Hub) PlatformUp() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.platform
}

// Stop lets every watch return at once from now on, so that the router's next
// report arrives before the agent ends.
func (h *Hub) Stop() { h.change(func() { h.stopping = true }) }

// Draining reports whether the VM has been told to drain.
func (h *Hub) Draining() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.draining
}

// Router returns what the own router last told.
func (h *Hub) Router() RouterReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.router
}

// View returns the membership view.
func (h *Hub) View() membership.View {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view
}

// Shares returns the roll-out shares in force.
func (h *Hub) Shares() []rollout.Share {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.shares
}

// Watch takes the router's report and waits for state newer than it has, or
// for the wait to end, or for ctx to end.
func (h *Hub) Watch(ctx context.Context, incarnation uint64, in control.WatchRequest) control.WatchResponse {
	h.begin(incarnation, in)
	defer h.end()
	timer := time.NewTimer(control.WatchTimeout)
	defer timer.Stop()
	for {
		out, changed, ready := h.peek(in)
		if ready {
			return out
		}
		select {
		case <-changed:
		case <-timer.C:
			return out
		case <-ctx.Done():
			return out
		}
	}
}

func (h *Hub) begin(incarnation uint64, in control.WatchRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	watching := h.router.PendingWatches + 1
	h.router = RouterReport{WatchRequest: in, Incarnation: incarnation, LastSeen: time.Now(), PendingWatches: watching}
}

func (h *Hub) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.router.PendingWatches--
	h.router.LastSeen = time.Now()
}

// peek builds the response. It is ready when it differs from what the router
// has.
func (h *Hub) peek(in control.WatchRequest) (control.WatchResponse, chan struct{}, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	out := control.WatchResponse{
		Revision:          h.number,
		AgentIncarnation:  h.incarnation,
		Generation:        h.document.Generation,
		View:              h.view,
		Draining:          h.draining,
		PlatformAvailable: h.platform,
		LeavingUpstreams:  h.leaving,
	}
	if in.Generation < h.document.Generation && in.RejectedGeneration < h.document.Generation {
		out.Document = h.document.Text
	}
	if left := h.seats.NotAfter.Sub(now); left > 0 {
		out.Seats = control.Seats{Numbers: h.seats.Seats, ValidMS: left.Milliseconds()}
	}
	for _, s := range h.shares {
		out.Shares = append(out.Shares, control.RollOutShare{
			Model: s.Model, Version: s.Version, Share: s.Share, Halted: s.Halted,
			ValidMS: max(0, s.NotAfter.Sub(now).Milliseconds()),
		})
	}
	out.LiveInZone, out.LiveInFleet = h.live()
	known := in.AgentIncarnation == h.incarnation && in.AfterRevision >= h.number
	return out, h.changed, h.stopping || !known
}

// live counts the VMs whose router takes work; the own VM always counts.
func (h *Hub) live() (zone, fleet int) {
	for _, m := range h.view.Members {
		if !m.RouterUp || m.Status == membership.Dead || m.Status == membership.Leaving {
			continue
		}
		fleet++
		if m.Zone == h.zone {
			zone++
		}
	}
	return max(1, zone), max(1, fleet)
}
