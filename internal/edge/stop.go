package edge

import (
	"context"
	"errors"
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
	// minResponseTime is the time that a response takes to reach the caller. Requests
	// without a response get their last one that long before the timeout, at the latest
	// lastAnswerShare of the grace period before it.
	minResponseTime = 200 * time.Millisecond
	lastAnswerShare = 0.05
	// stoppingRetryAfter is sent with refused requests. The platform sends new
	// connections to other VMs already.
	stoppingRetryAfter = 100 * time.Millisecond
)

// stopPlan holds the times of a planned stop.
type stopPlan struct {
	// refuseFrom is when the VM begins to refuse requests that may not end by answerBy,
	// when it answers those that wait for a response, or by endsAt, when it aborts those
	// that remain.
	refuseFrom time.Time
	answerBy   time.Time
	endsAt     time.Time
}

func newStopPlan(begin time.Time, grace time.Duration) *stopPlan {
	timeout := time.Duration(shutdownTimeoutShare * float64(grace))
	answerAfter := timeout - min(minResponseTime, time.Duration(lastAnswerShare*float64(grace)))
	return &stopPlan{refuseFrom: begin.Add(min(readyGraceTime, answerAfter)), answerBy: begin.Add(answerAfter), endsAt: begin.Add(timeout)}
}

// refuses reports whether the VM must not take a request that arrives now, because
// it may last longer than the VM.
func (p *stopPlan) refuses(now, deadline time.Time) bool {
	return p != nil && !now.Before(p.refuseFrom) && deadline.After(p.answerBy)
}

// outlasts reports whether a response that is expected after a time comes too late.
func (p *stopPlan) outlasts(now time.Time, expected time.Duration) bool {
	return p != nil && now.Add(expected).After(p.answerBy)
}

// errVMStopping is the cause of the end of requests that outlast a planned stop.
var errVMStopping = errors.New("the VM stops before the response is complete")

// endWithVM ends the request's context at the end of a planned stop, while there is time
// for a last answer. The returned function prevents that.
func (x *requestState) endWithVM(cancel context.CancelCauseFunc) (prevent func() bool) {
	return context.AfterFunc(x.proxy.lastAnswers, func() { cancel(errVMStopping) })
}

// vmStopping reports whether the request has ended because this VM stops.
func (x *requestState) vmStopping() bool { return errors.Is(context.Cause(x.ctx), errVMStopping) }

// respondStopping sends the last answer to a request that ends because this VM stops, or
// that would outlast it.
func (x *requestState) respondStopping(reason string) {
	switch {
	case x.sendFallback():
	case x.runs > x.runsBefore():
		x.stopped = true
		x.respondError(result.New(result.StoppedBeforeAnswer, "the VM stops before the response is complete"), reason)
	default:
		x.elsewhere = true
		x.respondError(stoppingError(), reason)
	}
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
	lastAnswers := time.AfterFunc(time.Until(plan.answerBy), a.proxy.beginLastAnswers)
	defer lastAnswers.Stop()
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
