package sitesoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The schedule of requests in a planned stop.
const (
	requestsInStop    = 72
	requestInterval   = 50 * time.Millisecond
	maxReadinessDelay = 2200 * time.Millisecond // until the platform counts the VM as not ready
)

// stopUnderKeptConns stops a VM while requests reach it on connections that were
// idle until then. No request that ran may be cut, and none may be refused while
// the platform still counts the VM as ready.
func (h *harness) stopUnderKeptConns(rng *rand.Rand) {
	v := h.randomVM(rng)
	if !v.tryClaim() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), recoveryTimeout)
	defer cancel()
	transports := make([]*http.Transport, requestsInStop)
	for i := range transports {
		transports[i] = &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
		defer transports[i].CloseIdleConnections()
		h.send(ctx, transports[i], rng, v, fmt.Sprintf("%d-w-%d", h.opts.Seed, i)) // opens the connection
	}
	h.recordEvent("planned stop of %s under kept connections", v.name)
	v.signal(syscall.SIGTERM)
	begin := time.Now()
	var wait sync.WaitGroup
	for i, t := range transports {
		time.Sleep(time.Until(begin.Add(time.Duration(i) * requestInterval)))
		seed := rng.Uint64()
		wait.Go(func() {
			h.sendInStop(ctx, t, rand.New(rand.NewPCG(seed, 1)), v, fmt.Sprintf("%d-s-%d", h.opts.Seed, i), begin)
		})
	}
	wait.Wait()
	h.restartVM(v, 100*time.Millisecond)
}

// sendInStop sends a request to a VM whose stop began at a time, and checks that it
// is not refused too early. checkRuns checks that it is not cut.
func (h *harness) sendInStop(ctx context.Context, t *http.Transport, rng *rand.Rand, v *entryVM, id string, begin time.Time) {
	h.send(ctx, t, rng, v, id)
	h.mu.Lock()
	r := h.requests[id]
	r.inStop = true
	status, sentAt := r.status, r.sentAt
	h.mu.Unlock()
	if status == http.StatusServiceUnavailable && sentAt.Sub(begin) < maxReadinessDelay {
		h.recordViolation("%s on %s: refused %v after the begin of a planned stop", id, v.name, sentAt.Sub(begin))
	}
}
