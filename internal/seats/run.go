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
	// inboxSize is the number of messages that may be queued.
	inboxSize = 64
	// tickInterval is the time between two ticks of the state machine.
	tickInterval = 500 * time.Millisecond
	// callTimeout limits a read or a write.
	callTimeout = 3 * time.Second
	// releaseTimeout limits giving back the seats in a planned stop.
	releaseTimeout = 2 * time.Second
	// suspendThreshold is the difference between the wall clock and the
	// monotonic clock over one step above which the VM is considered to have
	// been suspended.
	suspendThreshold = time.Second
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
	onChange func(Held)
	inbox    chan Message
	calls    sync.WaitGroup
	// releaseDone is closed once the seats have been given back.
	releaseDone chan struct{}
	releaseOnce sync.Once
	lastSeats   []int
}

// NewRunner returns a runner. It calls onChange with each change of the held
// seats, from one goroutine. The function must not block.
func NewRunner(c Config, store platform.Store, r timeline.Recorder, onChange func(Held)) *Runner {
	return &Runner{
		config: c, store: store, recorder: r, onChange: onChange,
		inbox: make(chan Message, inboxSize), releaseDone: make(chan struct{}),
	}
}

// Run runs the state machine until ctx ends and all calls have returned.
func (r *Runner) Run(ctx context.Context) {
	defer r.calls.Wait()
	state := New(r.config, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	ticker := time.NewTicker(tickInterval)
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
			r.releaseOnce.Do(func() { close(r.releaseDone) })
		}
	}
}

// suspended compares the two clocks: the monotonic clock may stop while a VM is
// suspended.
func suspended(before, now time.Time) bool {
	gap := now.Round(0).Sub(before.Round(0)) - now.Sub(before)
	return gap.Abs() > suspendThreshold
}

// SetView passes on the membership view. The view is dropped when the inbox is
// full, since the next one replaces it.
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
			ReachesStore: row.ReachesPlatform,
			Rank:         xxhash.Sum64String(row.VM),
		})
	}
	select {
	case r.inbox <- m:
	default:
	}
}

// Release gives the seats back in a planned stop, when no run that they have
// allowed is in progress. It returns when that is done, or after two seconds.
// Seats that were not given back by then expire.
func (r *Runner) Release() {
	timer := time.NewTimer(releaseTimeout)
	defer timer.Stop()
	select {
	case r.inbox <- Release{}:
	case <-timer.C:
		return
	}
	select {
	case <-r.releaseDone:
	case <-timer.C:
	}
}

func (r *Runner) perform(ctx context.Context, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case HoldSeats:
			r.publish(a.Held)
		case Read:
			r.calls.Go(func() { r.send(ctx, r.read(ctx)) })
		case Write:
			r.calls.Go(func() { r.send(ctx, r.write(ctx, a)) })
		}
	}
}

func (r *Runner) publish(h Held) {
	heldSeats.Set(float64(len(h.Seats)))
	r.onChange(h)
	if fmt.Sprint(r.lastSeats) == fmt.Sprint(h.Seats) {
		return
	}
	r.lastSeats = h.Seats
	klog.Infof("seats: This VM now holds seats %v.", h.Seats)
	r.recorder.Record("", "seats.held", timeline.F("seats", fmt.Sprint(h.Seats)))
}

// send blocks while the inbox is full, since the state machine makes no further
// call before it has the result of this one.
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
		klog.Errorf("seats: Cannot decode the table of zone %s, no seats are taken or renewed: %v.", r.config.Zone, err)
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
