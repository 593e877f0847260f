package load

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// checkInterval is the time between two health checks of a target.
	healthCheckInterval = 200 * time.Millisecond
	// checkTimeout limits one health check.
	healthCheckTimeout = time.Second
)

// balancer simulates the platform's load balancer: it selects only targets
// whose last health check succeeded, unless all targets fail.
type balancer struct {
	targets []string
	down    []atomic.Bool
	http    http.Client
}

func newBalancer(targets []string) *balancer {
	return &balancer{targets: targets, down: make([]atomic.Bool, len(targets)), http: http.Client{Timeout: healthCheckTimeout}}
}

// pick returns the n-th target, or the next one that is up. If all are down, it
// returns the n-th.
func (b *balancer) pick(n int) string {
	for i := range b.targets {
		at := (n + i) % len(b.targets)
		if !b.down[at].Load() {
			return b.targets[at]
		}
	}
	return b.targets[n%len(b.targets)]
}

// run checks all targets until ctx is canceled.
func (b *balancer) run(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range b.targets {
		wg.Go(func() { b.pollHealth(ctx, i) })
	}
	wg.Wait()
}

func (b *balancer) pollHealth(ctx context.Context, i int) {
	t := time.NewTicker(healthCheckInterval)
	defer t.Stop()
	for {
		b.down[i].Store(!b.ready(ctx, b.targets[i]))
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (b *balancer) ready(ctx context.Context, target string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := b.http.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
