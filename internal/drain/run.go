package drain

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/timeline"
)

// tickInterval is the time between two checks of the requests in progress.
const tickInterval = 20 * time.Millisecond

// Runner performs the graceful shutdown of one process.
type Runner struct {
	gate     *Gate
	state    *State
	flush    func(context.Context)
	recorder timeline.Recorder
}

// NewRunner returns a runner. It calls flush once, after the last request has
// ended or the grace period has expired, and waits for it to return. The function
// writes the data that must be kept.
func NewRunner(cfg Config, gate *Gate, recorder timeline.Recorder, flush func(context.Context)) *Runner {
	return &Runner{gate: gate, state: New(cfg), flush: flush, recorder: recorder}
}

// Stop performs the shutdown and returns in phase Stopped. It must be called
// once. The context only limits the flush.
func (r *Runner) Stop(ctx context.Context) {
	r.apply(ctx, r.state.Step(time.Now(), Stop{}))
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for r.state.Phase() != Stopped {
		r.apply(ctx, r.state.Step(time.Now(), Tick{InFlight: r.gate.InFlight()}))
		<-t.C
	}
}

func (r *Runner) apply(ctx context.Context, actions []Action) {
	for _, a := range actions {
		e := a.(EnterPhase)
		klog.Infof("drain: Entering phase %s.", e.Phase)
		r.recorder.Record("", "drain."+e.Phase.String())
		r.enter(ctx, e.Phase)
	}
}

func (r *Runner) enter(ctx context.Context, p Phase) {
	switch p {
	case Announcing:
		r.gate.SetUnready()
	case Finishing:
		r.gate.Close()
	case Flushing:
		r.flush(ctx)
		r.apply(ctx, r.state.Step(time.Now(), Flushed{}))
	}
}
