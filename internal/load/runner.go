package load

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/pause"
)

const (
	// maxOpen bounds the requests in progress; arrivals above it are recorded
	// as faults, never silently skipped.
	maxInFlight = 10_000
	// progressEvery is the time between lines of progress.
	progressInterval = 5 * time.Second
	// maxResends bounds how often a caller repeats a failed write.
	maxResends = 3
	// maxRetryWait bounds a caller's patience before a resend.
	maxRetryWait = 2 * time.Second
)

// Options of a run.
type Options struct {
	Label   string
	Mix     *Mix
	Targets []string
	// Balance sends only to targets that are ready, as a balancer does.
	Balance bool
	// Document names the upstreams, whose stand-ins are read.
	Document *document.Document
	// Progress receives lines while the run goes on.
	Progress io.Writer
}

// Drive runs a mix to its end and collects the stand-ins' logs.
func Drive(ctx context.Context, o Options) (*Run, error) {
	fakes, err := newStandIns(ctx, o.Document)
	if err != nil {
		return nil, err
	}
	arrivals := Plan(o.Mix)
	r := &runner{options: o, start: time.Now(), arrivals: len(arrivals), inFlight: make(chan struct{}, maxInFlight)}
	b := newBalancer(o.Targets)
	r.caller = newCaller(o.Mix, r.start, b)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if o.Balance {
		go b.run(ctx)
	}
	go r.progress(ctx)
	for _, f := range o.Mix.Faults {
		go r.setFaults(ctx, fakes, f)
	}
	for _, a := range arrivals {
		if !pause.For(ctx, time.Until(r.start.Add(a.At))) {
			break
		}
		r.launch(ctx, a)
	}
	r.callers.Wait()
	logs, err := fakes.collect(ctx)
	if err != nil {
		return nil, err
	}
	return &Run{Label: o.Label, StartMS: r.start.UnixMilli(), Mix: o.Mix, Records: r.records, StandIns: logs}, nil
}

// runner is a run in progress.
type runner struct {
	options  Options
	start    time.Time
	arrivals int
	caller   *caller
	inFlight chan struct{}
	callers  sync.WaitGroup

	mu      sync.Mutex
	records []Record
	failed  int
}

// launch starts an arrival without waiting for others.
func (r *runner) launch(ctx context.Context, a Arrival) {
	select {
	case r.inFlight <- struct{}{}:
	default:
		r.addRecord(Record{
			N: a.N, Stream: a.Stream.Name, Kind: a.Stream.Kind, Team: a.Team, DueMS: ms(a.At),
			Phase: r.options.Mix.phaseAt(a.At), Error: "too many open requests", Measured: true,
		})
		return
	}
	r.callers.Go(func() {
		defer func() { <-r.inFlight }()
		r.simulateCaller(ctx, a)
	})
}

// behave is one caller with its habit.
func (r *runner) simulateCaller(ctx context.Context, a Arrival) {
	due := r.start.Add(a.At)
	switch a.Resend {
	case Twice:
		var secondSend sync.WaitGroup
		secondSend.Go(func() {
			pause.For(ctx, time.Until(due.Add(a.Delay)))
			r.addRecord(r.caller.send(ctx, attempt{a, 2, time.Now()}))
		})
		r.sendWithRetries(ctx, a, 1, due)
		secondSend.Wait()
	case Abandon:
		untilAbandoned, cancel := context.WithDeadline(ctx, due.Add(a.Delay))
		r.addRecord(r.caller.send(untilAbandoned, attempt{a, 1, due}))
		cancel()
		r.sendWithRetries(ctx, a, 2, time.Now())
	case Once:
		r.sendWithRetries(ctx, a, 1, due)
	}
}

// persist sends an arrival and, if it is a write that failed, repeats it at
// other routers under the same key.
func (r *runner) sendWithRetries(ctx context.Context, a Arrival, number int, startedAt time.Time) {
	for retries := 0; ; retries++ {
		rec := r.caller.send(ctx, attempt{a, number, startedAt})
		r.addRecord(rec)
		if rec.OK() || a.Stream.Kind != Write || retries >= maxResends {
			return
		}
		if rec.Code != 0 && rec.RetryAfterMS == 0 {
			return
		}
		wait := min(time.Duration(rec.RetryAfterMS)*time.Millisecond, maxRetryWait)
		if !pause.For(ctx, wait) {
			return
		}
		number += 2
		startedAt = time.Now()
	}
}

func (r *runner) addRecord(rec Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, rec)
	if !rec.OK() && !rec.Left {
		r.failed++
	}
}

// progress prints a line now and then.
func (r *runner) progress(ctx context.Context) {
	t := time.NewTicker(progressInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.mu.Lock()
			done, failed := len(r.records), r.failed
			r.mu.Unlock()
			fmt.Fprintf(r.options.Progress, "load: %s: %s of %s, %d of %d answered, %d not whole, %d open\n",
				r.options.Label, time.Since(r.start).Round(time.Second), r.options.Mix.Duration.D(), done, r.arrivals, failed, len(r.inFlight))
		}
	}
}

func (r *runner) setFaults(ctx context.Context, s *standIns, f FaultAt) {
	if !pause.For(ctx, time.Until(r.start.Add(f.At.D()))) {
		return
	}
	if err := s.putFaults(ctx, f); err != nil {
		fmt.Fprintf(r.options.Progress, "load: %v\n", err)
		return
	}
	fmt.Fprintf(r.options.Progress, "load: faults of %s: %s\n", f.StandIn, f.Set)
}
