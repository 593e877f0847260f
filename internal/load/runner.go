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
	maxOpen = 10_000
	// progressEvery is the time between lines of progress.
	progressEvery = 5 * time.Second
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
	stand, err := openStandIns(ctx, o.Document)
	if err != nil {
		return nil, err
	}
	arrivals := Plan(o.Mix)
	r := &runner{o: o, start: time.Now(), arrivals: len(arrivals), open: make(chan struct{}, maxOpen)}
	balance := newBalancer(o.Targets)
	r.caller = newCaller(o.Mix, r.start, balance)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if o.Balance {
		go balance.run(ctx)
	}
	go r.progress(ctx)
	for _, f := range o.Mix.Faults {
		go r.setFaults(ctx, stand, f)
	}
	for _, a := range arrivals {
		if !pause.For(ctx, time.Until(r.start.Add(a.At))) {
			break
		}
		r.launch(ctx, a)
	}
	r.callers.Wait()
	logs, err := stand.collect(ctx)
	if err != nil {
		return nil, err
	}
	return &Run{Label: o.Label, StartMS: r.start.UnixMilli(), Mix: o.Mix, Records: r.records, StandIns: logs}, nil
}

// runner is a run in progress.
type runner struct {
	o        Options
	start    time.Time
	arrivals int
	caller   *caller
	open     chan struct{}
	callers  sync.WaitGroup

	mu      sync.Mutex
	records []Record
	failed  int
}

// launch starts an arrival without waiting for others.
func (r *runner) launch(ctx context.Context, a Arrival) {
	select {
	case r.open <- struct{}{}:
	default:
		r.add(Record{
			N: a.N, Stream: a.Stream.Name, Kind: a.Stream.Kind, Team: a.Team, DueMS: ms(a.At),
			Phase: r.o.Mix.phase(a.At), Error: "too many open requests", Measured: true,
		})
		return
	}
	r.callers.Go(func() {
		defer func() { <-r.open }()
		r.behave(ctx, a)
	})
}

// behave is one caller with its habit.
func (r *runner) behave(ctx context.Context, a Arrival) {
	due := r.start.Add(a.At)
	switch a.Resend {
	case Twice:
		var second sync.WaitGroup
		second.Go(func() {
			pause.For(ctx, time.Until(due.Add(a.Delay)))
			r.add(r.caller.send(ctx, attempt{a, 2, time.Now()}))
		})
		r.persist(ctx, a, 1, due)
		second.Wait()
	case Abandon:
		short, cancel := context.WithDeadline(ctx, due.Add(a.Delay))
		r.add(r.caller.send(short, attempt{a, 1, due}))
		cancel()
		r.persist(ctx, a, 2, time.Now())
	case Once:
		r.persist(ctx, a, 1, due)
	}
}

// persist sends an arrival and, if it is a write that failed, repeats it at
// other routers under the same key.
func (r *runner) persist(ctx context.Context, a Arrival, number int, from time.Time) {
	for try := 0; ; try++ {
		rec := r.caller.send(ctx, attempt{a, number, from})
		r.add(rec)
		if rec.OK() || a.Stream.Kind != Write || try >= maxResends {
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
		from = time.Now()
	}
}

func (r *runner) add(rec Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, rec)
	if !rec.OK() && !rec.Left {
		r.failed++
	}
}

// progress prints a line now and then.
func (r *runner) progress(ctx context.Context) {
	t := time.NewTicker(progressEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.mu.Lock()
			done, failed := len(r.records), r.failed
			r.mu.Unlock()
			fmt.Fprintf(r.o.Progress, "load: %s: %s of %s, %d of %d answered, %d not whole, %d open\n",
				r.o.Label, time.Since(r.start).Round(time.Second), r.o.Mix.Duration.D(), done, r.arrivals, failed, len(r.open))
		}
	}
}

func (r *runner) setFaults(ctx context.Context, s *standIns, f FaultAt) {
	if !pause.For(ctx, time.Until(r.start.Add(f.At.D()))) {
		return
	}
	if err := s.putFaults(ctx, f); err != nil {
		fmt.Fprintf(r.o.Progress, "load: %v\n", err)
		return
	}
	fmt.Fprintf(r.o.Progress, "load: faults of %s: %s\n", f.StandIn, f.Set)
}
