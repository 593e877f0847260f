package seats

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/membership"
	"github.com/cranberrypier/cranberrypier/internal/platform"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
)

const (
	// inbox is the number of messages that may wait.
	inbox = 64
	// tick is how often time passes for the state machine.
	tick = 500 * time.Millisecond
	// callTimeout bounds a read and a write.
	callTimeout = 3 * time.Second
	// releaseTime bounds the giving back at a planned stop.
	releaseTime = 2 * time.Second
	// clockGap is the difference between the wall clock and the monotonic
	// clock over one step that tells of a suspended VM.
	clockGap = time.Second
)

var heldSeats = promauto.NewGauge(prometheus.GaugeOpts{
	Name: "pier_seats_held",
	Help: "Seats for cold upstreams that this VM holds.",
})

// Runner owns the state machine and performs its calls.
type Runner struct {
	config   Config
	store    platform.Store
	recorder timeline.Recorder
	hold     func(Held)
	inbox    chan Message
	work     sync.WaitGroup
	// empty is closed once seats have been given back.
	empty    chan struct{}
	released sync.Once
	last     []int
}

// NewRunner returns a runner; hold is called with each change of the held
// seats, from one goroutine, and must not block.
func NewRunner(c Config, store platform.Store, r timeline.Recorder, hold func(Held)) *Runner {
	return &Runner{
		config: c, store: store, recorder: r, hold: hold,
		inbox: make(chan Message, inbox), empty: make(chan struct{}),
	}
}

// Run works until ctx ends and its calls have returned.
func (r *Runner) Run(ctx context.Context) {
	defer r.work.Wait()
	state := New(r.config, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	before := time.Now()
	for {
		var m Message = Tick{}
		select {
		case <-ctx.Done():
			return
		case m = <-r.inbox:
		case <-ticker.C:
		}
		now := time.Now()
		if suspended(before, now) {
			r.perform(ctx, state.Step(now, Suspended{}))
		}
		before = now
		r.perform(ctx, state.Step(now, m))
		if _, ok := m.(WriteDone); ok && state.leaving {
			r.released.Do(func() { close(r.empty) })
		}
	}
}

// suspended compares the two clocks: while a VM is suspended its monotonic
// clock may stand still.
func suspended(before, now time.Time) bool {
	gap := now.Round(0).Sub(before.Round(0)) - now.Sub(before)
	return gap.Abs() > clockGap
}

// SetView gives the membership view; dropped when the inbox is full, since the
// next one replaces it.
func (r *Runner) SetView(v membership.View) {
	var m Members
	for _, row := range v.Members {
		if row.Zone != r.config.Zone {
			continue
		}
		m.List = append(m.List, ZoneVM{
			VM:           row.VM,
			RouterUp:     row.RouterUp,
			Alive:        row.Status == membership.Alive || row.Status == membership.Leaving,
			Left:         row.AnnouncedLeave,
			ReachesStore: row.Platform,
			Rank:         xxhash.Sum64String(row.VM),
		})
	}
	select {
	case r.inbox <- m:
	default:
	}
}

// Release gives the seats back at a planned stop, once no run that they have
// allowed goes on. It returns when that is done, or after two seconds; then
// the seats lapse.
func (r *Runner) Release() {
	timer := time.NewTimer(releaseTime)
	defer timer.Stop()
	select {
	case r.inbox <- Release{}:
	case <-timer.C:
		return
	}
	select {
	case <-r.empty:
	case <-timer.C:
	}
}

func (r *Runner) perform(ctx context.Context, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case HoldSeats:
			r.tell(a.Held)
		case Read:
			r.work.Go(func() { r.send(ctx, r.read(ctx)) })
		case Write:
			r.work.Go(func() { r.send(ctx, r.write(ctx, a)) })
		}
	}
}

func (r *Runner) tell(h Held) {
	heldSeats.Set(float64(len(h.Seats)))
	r.hold(h)
	if fmt.Sprint(r.last) == fmt.Sprint(h.Seats) {
		return
	}
	r.last = h.Seats
	klog.Infof("seats: Seats %v are held.", h.Seats)
	r.recorder.Record("", "seats.held", timeline.F("seats", fmt.Sprint(h.Seats)))
}

// send waits for room, since the state machine makes no further call until it
// has the end of this one.
func (r *Runner) send(ctx context.Context, m Message) {
	select {
	case r.inbox <- m:
	case <-ctx.Done():
	}
}

func (r *Runner) read(ctx context.Context) ReadDone {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var table Table
	version, err := platform.ReadJSON(ctx, r.store, platform.KindSeat, r.config.Zone, &table)
	if result.Is(err, result.Internal) {
		klog.Errorf("seats: The table of %s is unreadable: %v.", r.config.Zone, err)
	}
	if err != nil {
		return ReadDone{Failed: true}
	}
	return ReadDone{Version: version, Table: table}
}

func (r *Runner) write(ctx context.Context, w Write) WriteDone {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out := WriteDone{Sent: time.Now()}
	_, err := platform.WriteJSON(ctx, r.store, platform.KindSeat, r.config.Zone, w.Base, w.Table)
	out.Conflict = result.Is(err, result.PlatformConflict)
	out.Failed = err != nil && !out.Conflict
	return out
}
