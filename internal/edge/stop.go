package edge

import (
	"context"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/logs"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// Parts of a planned stop, from its begin.
const (
	// readyGraceTime is how long the VM takes every request after it reports not
	// ready: the platform needs two readiness checks, one second apart, to notice.
	// Afterwards it takes only requests that end before the VM does. There has to be
	// room up to shutdownDelay, since the signal may reach the process late.
	readyGraceTime = 2500 * time.Millisecond
	// shutdownDelay is how long the VM still accepts new connections.
	shutdownDelay = 3 * time.Second
	// shutdownTimeoutShare is the share of the grace period after which
	// remaining requests are aborted. It includes shutdownDelay.
	shutdownTimeoutShare = 0.9
	// minResponseTime is the time that a response takes to reach the caller.
	minResponseTime = 200 * time.Millisecond
	// stoppingRetryAfter is sent with refused requests. The platform sends new
	// connections to other VMs already.
	stoppingRetryAfter = 100 * time.Millisecond
)

// stopPlan holds the times of a planned stop.
type stopPlan struct {
	// refuseFrom is when the VM begins to refuse requests that may not end by endsAt,
	// when it aborts those that remain.
	refuseFrom time.Time
	endsAt     time.Time
}

func newStopPlan(begin time.Time, grace time.Duration) *stopPlan {
	timeout := time.Duration(shutdownTimeoutShare * float64(grace))
	return &stopPlan{refuseFrom: begin.Add(min(readyGraceTime, timeout)), endsAt: begin.Add(timeout)}
}

// refuses reports whether the VM must not take a request that arrives now, because
// it may last longer than the VM.
func (p *stopPlan) refuses(now, deadline time.Time) bool {
	return p != nil && !now.Before(p.refuseFrom) && deadline.After(p.endsAt.Add(-minResponseTime))
}

// stoppingError returns the response to a request that a stopping VM refuses.
func stoppingError() *result.Error {
	return result.New(result.Draining, "the VM is stopping and may not finish the request").WithRetryAfter(stoppingRetryAfter)
}

// shutDown stops the VM gracefully. The VM reports not ready, accepts
// connections until the platform has noticed, and then lets in-flight requests
// complete.
func (a *App) shutDown(callerServer *http.Server) {
	begin := time.Now()
	plan := newStopPlan(begin, a.options.Settings.Bounds.GracePeriod)
	a.proxy.stop.Store(plan)
	klog.InfoS("process: shutting down gracefully", "grace", plan.endsAt.Sub(begin))
	time.Sleep(min(shutdownDelay, plan.endsAt.Sub(begin)))
	ctx, cancel := context.WithDeadline(context.Background(), plan.endsAt)
	defer cancel()
	var wait sync.WaitGroup
	for _, server := range []*http.Server{callerServer, a.peerServer} {
		if server != nil {
			wait.Go(func() { completeRequests(ctx, server) })
		}
	}
	wait.Wait()
}

// completeRequests lets the in-flight requests of a server complete until ctx ends.
func completeRequests(ctx context.Context, server *http.Server) {
	if err := server.Shutdown(ctx); err != nil {
		klog.InfoS("process: in-flight requests aborted, because the shutdown timeout has passed", "err", logs.Err(err))
		_ = server.Close() // the shutdown timeout has passed
	}
}
