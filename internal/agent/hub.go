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
	onDocument func(distribution.Document)
	// followView takes each new view.
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

// RouterReport is what the own router last told.
type RouterReport struct {
	control.WatchRequest
	// Incarnation is the router's.
	Incarnation uint64
	// At is when it was told; zero when never.
	At time.Time
	// Watching counts the router's waiting watches.
	Watching int
}

// Up reports whether the router answers.
func (r RouterReport) Up(now time.Time) bool {
	return r.Watching > 0 || (!r.At.IsZero() && now.Sub(r.At) < routerGrace)
}

// NewHub returns a hub with number 1.
func NewHub(zone string, incarnation uint64) *Hub {
	return &Hub{zone: zone, incarnation: incarnation, revision: 1, changed: make(chan struct{})}
}

// change applies f and wakes the watches.
func (h *Hub) update(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
	h.revision++
	close(h.changed)
	h.changed = make(chan struct{})
}

// FollowDocuments makes f take each new document; it must be called before the
// first one. F is called from one goroutine.
func (h *Hub) FollowDocuments(f func(distribution.Document)) { h.onDocument = f }

// SetDocument sets the document; a lower generation is ignored.
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

// FollowViews makes f take each new view; it must be called before the first
// one. F is called from one goroutine and must not block.
func (h *Hub) FollowViews(f func(membership.View)) { h.onView = f }

// SetView sets the membership view.
func (h *Hub) SetView(v membership.View) {
	h.update(func() { h.view = v })
	if h.onView != nil {
		h.onView(v)
	}
}

// SetSeats sets the held seats.
func (h *Hub) SetSeats(s seats.Held) { h.update(func() { h.seats = s }) }

// SetShares sets the roll-out shares.
func (h *Hub) SetShares(s []rollout.Share) { h.update(func() { h.shares = slices.Clone(s) }) }

// SetLeaving sets the addresses of upstreams that leave, in ascending order,
// and reports whether that changed them.
func (h *Hub) SetLeaving(addresses []string) bool {
	h.mu.Lock()
	same := slices.Equal(h.leaving, addresses)
	h.mu.Unlock()
	if !same {
		h.update(func() { h.leaving = addresses })
	}
	return !same
}

// SetDraining tells the router to drain, for good.
func (h *Hub) SetDraining() { h.update(func() { h.draining = true }) }

// SetPlatform tells whether the platform answers.
func (h *Hub) SetPlatform(up bool) {
	if h.Platform() != up {
		h.update(func() { h.platformUp = up })
	}
}

// Platform reports whether the platform answers.
func (h *Hub) Platform() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.platformUp
}

// Stop lets every watch return at once from now on, so that the router's next
// report arrives before the agent ends.
func (h *Hub) Stop() { h.update(func() { h.stopping = true }) }

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
	h.watchStarted(incarnation, in)
	defer h.watchEnded()
	timer := time.NewTimer(control.WatchWait)
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
	watching := h.router.Watching + 1
	h.router = RouterReport{WatchRequest: in, Incarnation: incarnation, At: time.Now(), Watching: watching}
}

func (h *Hub) watchEnded() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.router.Watching--
	h.router.At = time.Now()
}

// peek builds the response. It is ready when it differs from what the router
// has.
func (h *Hub) response(in control.WatchRequest) (control.WatchResponse, chan struct{}, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	out := control.WatchResponse{
		Number:     h.revision,
		Agent:      h.incarnation,
		Generation: h.document.Generation,
		View:       h.view,
		Draining:   h.draining,
		PlatformUp: h.platformUp,
		Leaving:    h.leaving,
	}
	if in.Generation < h.document.Generation && in.Refused < h.document.Generation {
		out.Document = h.document.Text
	}
	if validFor := h.seats.NotAfter.Sub(now); validFor > 0 {
		out.Seats = control.Seats{Held: h.seats.Seats, ValidMS: validFor.Milliseconds()}
	}
	for _, s := range h.shares {
		out.Shares = append(out.Shares, control.RollOutShare{
			Model: s.Model, Version: s.Version, Share: s.Share, Halted: s.Halted,
			ValidMS: max(0, s.NotAfter.Sub(now).Milliseconds()),
		})
	}
	out.LiveInZone, out.LiveInFleet = h.countLive()
	upToDate := in.Agent == h.incarnation && in.After >= h.revision
	return out, h.changed, h.stopping || !upToDate
}

// live counts the VMs whose router takes work; the own VM always counts.
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
