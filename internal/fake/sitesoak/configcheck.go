package sitesoak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"
)

const (
	// probeInterval is the interval at which a VM's configuration is probed.
	probeInterval = 60 * time.Millisecond
	probeTimeout  = 1500 * time.Millisecond
	// maxRegressionTime is the maximum time for which a VM may handle requests by an
	// older configuration after a replica saw the effect of a newer one.
	maxRegressionTime = 250 * time.Millisecond
)

// confirmedConfig is a version of the configuration that the store has acknowledged. Each
// version has one route that no other version has.
type confirmedConfig struct {
	version     int
	confirmedAt time.Time
}

// maxSinceRoutes limits the versions before a version whose added routes it still has.
const maxSinceRoutes = 40

func markerPath(version int) string { return fmt.Sprintf("/only-%d/", version) }

func sincePath(version int) string { return fmt.Sprintf("/since-%d/", version) }

// markerRoute returns the route that only one version of the configuration has.
func markerRoute(version int) map[string]any { return probeRoute(markerPath(version)) }

// sinceRoutes returns the routes that a version and those before it added.
func sinceRoutes(version int) []map[string]any {
	var out []map[string]any
	for v := version; v > max(version-2*maxSinceRoutes, 0); v -= 2 {
		out = append(out, probeRoute(sincePath(v)))
	}
	return out
}

func probeRoute(path string) map[string]any {
	return map[string]any{
		"name": path, "host": host, "pathPrefix": path, "routeType": "safe", "timeoutMs": 1500, "service": orderService, "maxAttempts": 3,
	}
}

// dueConfig returns the latest version that must be in force at a time.
func (h *harness) dueConfig(now time.Time) (due confirmedConfig, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range slices.Backward(h.confirmed) {
		if now.Sub(c.confirmedAt) > maxConfigApplyTime {
			return c, h.configVersion-c.version < 2*maxSinceRoutes
		}
	}
	return confirmedConfig{}, false
}

// latestConfigs returns the latest version of the configuration and the one before it.
func (h *harness) latestConfigs() (latest, previous confirmedConfig, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := len(h.confirmed)
	if n < 2 {
		return latest, previous, false
	}
	return h.confirmed[n-1], h.confirmed[n-2], true
}

// configProber probes which configuration one VM has in force.
type configProber struct {
	h      *harness
	vm     *entryVM
	client *http.Client
	// seen is the latest version whose effect a probe saw, and seenAt when.
	seen        int
	seenAt      time.Time
	incarnation int
	sent        int
}

// probeConfigs probes a VM until ctx ends. It checks that the latest version is in force
// within maxConfigApplyTime of its confirmation and that no older one comes back.
func (h *harness) probeConfigs(ctx context.Context, v *entryVM) {
	p := &configProber{h: h, vm: v, client: &http.Client{Timeout: probeTimeout}}
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if latest, previous, ok := h.latestConfigs(); ok {
			p.probe(latest)
			p.probe(previous)
		}
		if due, ok := h.dueConfig(time.Now()); ok {
			p.probeDue(due)
		}
	}
}

// probe sends a request on the route that only one version has, and checks the response if
// neither the VM nor the store had recent faults.
func (p *configProber) probe(c confirmedConfig) {
	if n := p.vm.incarnation(); n != p.incarnation {
		p.seen, p.incarnation = 0, n
	}
	sentAt, inTouch := time.Now(), p.inTouch()
	status, fromReplica := p.get(markerPath(c.version))
	if !inTouch || !p.inTouch() {
		return
	}
	if fromReplica {
		p.checkServed(c, sentAt)
		return
	}
	if latest, _, _ := p.h.latestConfigs(); isRefusal(status) && c.version == latest.version && sentAt.Sub(c.confirmedAt) > maxConfigApplyTime {
		p.h.recordViolation("%s: status %d on the route of version %d, %v after it was confirmed", p.vm.name, status, c.version, sentAt.Sub(c.confirmedAt))
	}
}

// probeDue sends a request on the route that a version added which must be in force. The
// key may be that of a later one, so a 401 shows nothing.
func (p *configProber) probeDue(c confirmedConfig) {
	sentAt, inTouch := time.Now(), p.inTouch()
	if status, _ := p.get(sincePath(c.version)); status == http.StatusNotFound && inTouch && p.inTouch() {
		p.h.recordViolation("%s: no route that version %d added, %v after it was confirmed", p.vm.name, c.version, sentAt.Sub(c.confirmedAt))
	}
}

func (p *configProber) inTouch() bool {
	return p.vm.faultFreeFor(minFaultFreeTime) && p.h.storeFaultFreeFor(minFaultFreeTime)
}

// checkServed checks a request that ran on the route of a version.
func (p *configProber) checkServed(c confirmedConfig, sentAt time.Time) {
	latest, _, _ := p.h.latestConfigs()
	switch {
	case c.version > p.seen:
		p.seen, p.seenAt = c.version, time.Now()
		if since := time.Since(c.confirmedAt) + minFaultFreeTime; p.vm.faultFreeFor(since) && p.h.storeFaultFreeFor(since) {
			p.h.recordApplyTime(time.Since(c.confirmedAt))
		}
	case c.version < p.seen && sentAt.Sub(p.seenAt) > maxRegressionTime:
		p.h.recordViolation("%s: a request ran on a route of version %d, %v after one of version %d", p.vm.name, c.version, sentAt.Sub(p.seenAt), p.seen)
	case c.version < latest.version && sentAt.Sub(latest.confirmedAt) > maxConfigApplyTime:
		p.h.recordViolation("%s: a request ran on a dropped route of version %d, %v after version %d was confirmed", p.vm.name, c.version, sentAt.Sub(latest.confirmedAt), latest.version)
	}
}

func isRefusal(status int) bool {
	return status == http.StatusUnauthorized || status == http.StatusForbidden || status == http.StatusNotFound
}

// get requests a path. It returns the status, zero without a response, and whether the
// response is a replica's.
func (p *configProber) get(path string) (status int, fromReplica bool) {
	p.sent++
	id := fmt.Sprintf("%d-c-%s-%d-%d", p.h.opts.Seed, p.vm.name, p.incarnation, p.sent)
	r := &request{id: id, path: path + "x", key: p.h.currentKey(), vm: p.vm.name, sentAt: time.Now(), probe: true}
	p.h.mu.Lock()
	p.h.requests[id] = r
	p.h.mu.Unlock()
	req, err := http.NewRequest(http.MethodGet, "http://"+p.vm.frontendAddr+r.path, nil)
	if err != nil {
		panic(err) // the soak's own request is always valid
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", "1400")
	req.Header.Set("Api-Key", r.key)
	resp, err := p.client.Do(req)
	if err != nil {
		return 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body) // only the head counts
	return resp.StatusCode, resp.Header.Get("X-Response-Signature") != ""
}

// recordApplyTime records the time from a confirmation to its first effect at a VM.
func (h *harness) recordApplyTime(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.applyTimes = append(h.applyTimes, d)
}

// stormConfigs writes versions of the configuration in quick succession.
func (h *harness) stormConfigs(versions int, gap time.Duration) {
	for range versions {
		h.publishConfig(nil)
		time.Sleep(gap)
	}
}
