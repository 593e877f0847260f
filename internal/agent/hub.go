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

// routerUpTimeout is how long a router without a pending watch request still counts
// as up.
const routerUpTimeout = 2 * time.Second

// Hub holds the control state that the VM's own router watches. Each setter
// wakes the pending watch requests. Hub is safe for concurrent use and makes no
// network calls.
//
// Invariant: the revision increases with each update, and the generation in the
// responses never decreases.
type Hub struct {
	incarnation uint64
	zone        string

	// onDocument is called with each new document.
	onDocument func(distribution.Document)
	// onView is called with each new membership view.
	onView func(membership.View)

	mu         sync.Mutex
	revision   uint64
	changed    chan struct{}
	document   distribution.Document
	view       membership.View
	seats      seats.Held
	shares     []rollout.Share
	leaving    []string
	draining   bool
	platformUp bool
	stopping   bool
	router     RouterReport
}

// RouterReport is the latest report of the VM's own router.
type RouterReport struct {
	control.WatchRequest
	// Incarnation is the router's incarnation.
	Incarnation uint64
	// LastSeen is when the latest watch request began or ended; zero if there was none.
	LastSeen time.Time
	// PendingWatches is the number of the router's pending watch requests.
	PendingWatches int
}

// Up reports whether the router is running: it has a pending watch request or
// had one within routerUpTimeout.
func (r RouterReport) Up(now time.Time) bool {
	return r.PendingWatches > 0 || (!r.LastSeen.IsZero() && now.Sub(r.LastSeen) < routerUpTimeout)
}

// NewHub returns a hub with revision 1.
func NewHub(zone string, incarnation uint64) *Hub {
	return &Hub{zone: zone, incarnation: incarnation, revision: 1, changed: make(chan struct{})}
}

// update applies f, increments the revision and wakes the pending watch requests.
func (h *Hub) update(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
	h.revision++
	close(h.changed)
	h.changed = make(chan struct{})
}

// OnDocument registers f to be called with each new document. It must be
// called before the first document is set. All calls of f come from one
// goroutine.
func (h *Hub) OnDocument(f func(distribution.Document)) { h.onDocument = f }

// SetDocument sets the document. The hub keeps the current one unless d has a
// higher generation.
func (h *Hub) SetDocument(d distribution.Document) {
	h.update(func() {
		if d.Generation > h.document.Generation {
			h.document = d
		}
	})
	if h.onDocument != nil {
		h.onDocument(d)
	}
}

// OnView registers f to be called with each new membership view. It must be
// called before the first view is set. All calls of f come from one goroutine,
// and f must not block.
func (h *Hub) OnView(f func(membership.View)) { h.onView = f }

// SetView sets the membership view.
func (h *Hub) SetView(v membership.View) {
	h.update(func() { h.view = v })
	if h.onView != nil {
		h.onView(v)
	}
}

// SetSeats sets the seats that the VM holds. Seats are the VM's shares of the
// limits of its zone's cold upstreams (package seats).
func (h *Hub) SetSeats(s seats.Held) { h.update(func() { h.seats = s }) }

// SetShares sets the roll-out shares.
func (h *Hub) SetShares(s []rollout.Share) { h.update(func() { h.shares = slices.Clone(s) }) }

// SetLeaving sets the addresses of the leaving upstreams, in ascending order, and
// reports whether they differ from the previous ones.
func (h *Hub) SetLeaving(addresses []string) bool {
	h.mu.Lock()
	same := slices.Equal(h.leaving, addresses)
	h.mu.Unlock()
	if !same {
		h.update(func() { h.leaving = addresses })
	}
	return !same
}

// SetDraining makes the router drain. This can't be undone.
func (h *Hub) SetDraining() { h.update(func() { h.draining = true }) }

// SetPlatformUp sets whether the platform is reachable.
func (h *Hub) SetPlatformUp(up bool) {
	if h.PlatformUp() != up {
		h.update(func() { h.platformUp = up })
	}
}

// PlatformUp reports whether the platform is reachable.
func (h *Hub) PlatformUp() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.platformUp
}

// Stop makes pending and later watch requests return immediately, so that the
// router's next report arrives before the agent exits.
func (h *Hub) Stop() { h.update(func() { h.stopping = true }) }

// Draining reports whether a drain of the VM has been requested.
func (h *Hub) Draining() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.draining
}

// Router returns the latest report of the VM's own router.
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

// Watch stores the router's report and returns the control state as soon as it
// is newer than the router's, at the latest after control.WatchTimeout or when ctx
// ends.
func (h *Hub) Watch(ctx context.Context, incarnation uint64, in control.WatchRequest) control.WatchResponse {
	h.watchStarted(incarnation, in)
	defer h.watchEnded()
	timer := time.NewTimer(control.WatchTimeout)
	defer timer.Stop()
	for {
		out, changed, ready := h.response(in)
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

func (h *Hub) watchStarted(incarnation uint64, in control.WatchRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	watching := h.router.PendingWatches + 1
	h.router = RouterReport{WatchRequest: in, Incarnation: incarnation, LastSeen: time.Now(), PendingWatches: watching}
}

func (h *Hub) watchEnded() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.router.PendingWatches--
	h.router.LastSeen = time.Now()
}

// response builds the response to a watch request, and returns a channel that is
// closed at the next update. The last result is true if the response must be
// sent immediately: the router's state is outdated or the hub is stopping.
func (h *Hub) response(in control.WatchRequest) (control.WatchResponse, chan struct{}, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	out := control.WatchResponse{
		Revision:          h.revision,
		AgentIncarnation:  h.incarnation,
		Generation:        h.document.Generation,
		View:              h.view,
		Draining:          h.draining,
		PlatformAvailable: h.platformUp,
		LeavingUpstreams:  h.leaving,
	}
	if in.Generation < h.document.Generation && in.RejectedGeneration < h.document.Generation {
		out.Document = h.document.Text
	}
	if validFor := h.seats.NotAfter.Sub(now); validFor > 0 {
		out.Seats = control.Seats{Numbers: h.seats.Seats, ValidMS: validFor.Milliseconds()}
	}
	for _, s := range h.shares {
		out.Shares = append(out.Shares, control.RollOutShare{
			Model: s.Model, Version: s.Version, Share: s.Share, Halted: s.Halted,
			ValidMS: max(0, s.NotAfter.Sub(now).Milliseconds()),
		})
	}
	out.LiveInZone, out.LiveInFleet = h.countLive()
	upToDate := in.AgentIncarnation == h.incarnation && in.AfterRevision >= h.revision
	return out, h.changed, h.stopping || !upToDate
}

// countLive counts the VMs whose router accepts requests, in this VM's zone and in
// the fleet. Each count is at least 1, for this VM.
func (h *Hub) countLive() (zone, fleet int) {
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
