package edge

import (
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// A request that arrives before the configuration is loaded waits for it. After a
// restart of all VMs no other VM could serve it either, and the configuration is
// usually there within a second.
const (
	// maxStartWait limits the wait. It is above the time in which the last VM of a large
	// zone gets the configuration from its peers.
	maxStartWait = 1500 * time.Millisecond
	// startWaitShare limits the wait to a share of the caller's timeout: callers come
	// back to another VM within a third of the time that they have left.
	startWaitShare = 1.0 / 3
)

// startSignal tells waiting requests that the VM is ready for the first time.
type startSignal struct {
	once  *sync.Once
	ready chan struct{}
}

func newStartSignal() startSignal {
	return startSignal{once: new(sync.Once), ready: make(chan struct{})}
}

func (s startSignal) signal() { s.once.Do(func() { close(s.ready) }) }

// awaitStart waits until the configuration is loaded. The body is read first: callers
// give up a request that is not read within a second. Requests of other VMs do not wait,
// because these can choose another VM.
func (x *requestState) awaitStart(r *http.Request, callerTimeout time.Duration) *result.Error {
	s := x.proxy
	if s.config.Load() != nil {
		return nil
	}
	notReady := result.New(result.NotReady, "no configuration is loaded yet")
	if x.forwarded != nil || s.stop.Load() != nil {
		x.elsewhere = true
		return notReady
	}
	if callerTimeout <= 0 {
		callerTimeout = defaultCallerTimeout
	}
	x.req.Deadline = x.req.ReceivedAt.Add(callerTimeout)
	if e := x.readBody(r, defaultMaxBodyBytes); e != nil {
		return e
	}
	limit := min(maxStartWait, time.Duration(startWaitShare*float64(callerTimeout)))
	timeout := time.NewTimer(time.Until(x.req.ReceivedAt.Add(limit)))
	defer timeout.Stop()
	select {
	case <-s.started.ready:
	case <-timeout.C:
	case <-r.Context().Done():
	case <-s.lastAnswers.Done():
	}
	klog.InfoS("request: waited for the configuration", "request", x.req.ID, "loaded", s.config.Load() != nil, "took", time.Since(x.req.ReceivedAt).Milliseconds())
	if s.config.Load() == nil {
		x.elsewhere = true
		return notReady
	}
	return nil
}
