package drain

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/timeline"
)

// tickPeriod is how often the work in progress is looked at.
const tickPeriod = 20 * time.Millisecond

// Runner drives a planned stop of one process.
type Runner struct {
	gate     *Gate
	state    *State
	flush    func(context.Context)
	recorder timeline.Recorder
}

// NewRunner returns a runner. Flush writes what must last; it is called once,
// after the last request has ended, and returns when done.
func NewRunner(cfg Config, gate *Gate, recorder timeline.Recorder, flush func(context.Context)) *Runner {
	return &Runner{gate: gate, state: New(cfg), flush: flush, recorder: recorder}
}

// Stop performs the whole planned stop and returns when phase Stopped is
// reached. It must be called once; ctx only bounds the flush.
func (r *Runner) Stop(ctx context.Context) {
	r.apply(ctx, r.state.Step(time.Now(), Stop{}))
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	for r.state.Phase() != Stopped {
		r.apply(ctx, r.state.Step(time.Now(), Tick{InFlight: r.gate.InFlight()}))
		<-t.C
	}
}

func (r *Runner) apply(ctx context.Context, actions []Action) {
	for _, a := range actions {
		e := a.(EnterPhase)
		klog.Infof("drain: Phase %s begins.", e.Phase)
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
