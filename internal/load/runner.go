package load

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/ctxwait"
	"github.com/cranberrypier/cranberrypier/internal/document"
)

const (
	// maxInFlight limits concurrent arrivals. Arrivals above it are recorded as
	// errors, never silently skipped.
	maxInFlight = 10_000
	// progressInterval is the time between two progress lines.
	progressInterval = 5 * time.Second
	// maxResends limits how often a caller resends a failed write.
	maxResends = 3
	// maxRetryWait limits how long a caller waits before a resend, whatever the
	// router's retry_after_ms is.
	maxRetryWait = 2 * time.Second
)

// Options configures a run.
type Options struct {
	Label   string
	Mix     *Mix
	Targets []string
	// Balance sends requests only to targets that pass health checks, as a load
	// balancer does.
	Balance bool
	// Document lists the upstreams whose stand-ins' logs are collected.
	Document *document.Document
	// Progress receives progress lines during the run.
	Progress io.Writer
}

// Drive sends a mix's load, waits for all requests to finish and collects the
// stand-ins' logs.
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
		if !ctxwait.For(ctx, time.Until(r.start.Add(a.At))) {
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

// launch starts an arrival without waiting for earlier ones.
func (r *runner) launch(ctx context.Context, a Arrival) {
	select {
	case r.inFlight <- struct{}{}:
	default:
		r.addRecord(Record{
			N: a.N, Stream: a.Stream.Name, Kind: a.Stream.Kind, Team: a.Team, DueMS: ms(a.At),
			Phase: r.options.Mix.phaseAt(a.At), Error: "too many requests in flight", Measured: true,
		})
		return
	}
	r.callers.Go(func() {
		defer func() { <-r.inFlight }()
		r.simulateCaller(ctx, a)
	})
}

// simulateCaller sends one arrival with the resends of its mode.
func (r *runner) simulateCaller(ctx context.Context, a Arrival) {
	due := r.start.Add(a.At)
	switch a.Resend {
	case Twice:
		var secondSend sync.WaitGroup
		secondSend.Go(func() {
			ctxwait.For(ctx, time.Until(due.Add(a.ResendDelay)))
			r.addRecord(r.caller.send(ctx, attempt{a, 2, time.Now()}))
		})
		r.sendWithRetries(ctx, a, 1, due)
		secondSend.Wait()
	case Abandon:
		untilAbandoned, cancel := context.WithDeadline(ctx, due.Add(a.ResendDelay))
		r.addRecord(r.caller.send(untilAbandoned, attempt{a, 1, due}))
		cancel()
		r.sendWithRetries(ctx, a, 2, time.Now())
	case Once:
		r.sendWithRetries(ctx, a, 1, due)
	}
}

// sendWithRetries sends an arrival and resends a failed write under the same
// idempotency key. Each resend asks the balancer for the router two places
// after the previous one; with one or two routers that is the same router.
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
		if !ctxwait.For(ctx, wait) {
			return
		}
		number += 2 // mode Twice uses the number between for its second attempt
		startedAt = time.Now()
	}
}

func (r *runner) addRecord(rec Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, rec)
	if !rec.OK() && !rec.Canceled {
		r.failed++
	}
}

// progress prints a line every progressInterval.
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
			fmt.Fprintf(r.options.Progress, "load: %s: %s of %s, %d of %d requests finished, %d failed, %d in flight\n",
				r.options.Label, time.Since(r.start).Round(time.Second), r.options.Mix.Duration.D(), done, r.arrivals, failed, len(r.inFlight))
		}
	}
}

func (r *runner) setFaults(ctx context.Context, s *standIns, f FaultAt) {
	if !ctxwait.For(ctx, time.Until(r.start.Add(f.At.D()))) {
		return
	}
	if err := s.putFaults(ctx, f); err != nil {
		fmt.Fprintf(r.options.Progress, "load: %v\n", err)
		return
	}
	fmt.Fprintf(r.options.Progress, "load: set faults of %s: %s\n", f.StandIn, f.Set)
}
