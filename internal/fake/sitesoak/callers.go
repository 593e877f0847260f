package sitesoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/fake/platformside"
)

// request is one caller's request and its outcome.
type request struct {
	id, path, body, key, vm string
	sentAt                  time.Time
	answeredAt              time.Time
	status                  int
	// cancels is set if the caller cancels early, cut if the response was truncated.
	cancels, cut bool
	// probe is set for requests that only show which configuration is in force.
	probe bool
	// inStop is set for requests to a VM in a planned stop without faults.
	inStop bool
}

// Limits that the checks apply. The maximum times are from the platform's
// documentation; minFaultFreeTime belongs to the soak.
const (
	// minFaultFreeTime is the time since the last fault after which the limits
	// apply.
	minFaultFreeTime = 4 * time.Second
	// maxConfigApplyTime is the maximum time until a new configuration is in
	// effect.
	maxConfigApplyTime = 2 * time.Second
	// maxTimeoutOverrun is the maximum time by which a response may exceed the
	// route's timeout.
	maxTimeoutOverrun = 600 * time.Millisecond
	// maxWithdrawalTime is the maximum time until a withdrawn zone receives no
	// more requests.
	maxWithdrawalTime = 5 * time.Second
	// maxDrainTime is the same limit for a draining replica.
	maxDrainTime = 2 * time.Second
)

// runCaller sends requests to one VM over a keep-alive connection, and changes
// to another VM when the connection can't be reused.
func (h *harness) runCaller(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(h.opts.Seed, uint64(100+n)))
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	defer transport.CloseIdleConnections()
	var v *entryVM
	for i := 0; ctx.Err() == nil; i++ {
		if v == nil {
			v = h.pickReadyVM(rng)
		}
		if v == nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		if !h.send(ctx, transport, rng, v, fmt.Sprintf("%d-%d-%d", h.opts.Seed, n, i)) {
			v = nil // the platform picks a VM again for a new connection
		}
		time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
	}
}

// pickReadyVM returns a random ready VM, or nil when none is ready: the platform
// opens new connections only to ready VMs.
func (h *harness) pickReadyVM(rng *rand.Rand) *entryVM {
	for _, i := range rng.Perm(len(h.vms)) {
		if h.vms[i].isReady() {
			return h.vms[i]
		}
	}
	return nil
}

// send sends one request and reports whether the connection can be reused.
func (h *harness) send(ctx context.Context, t *http.Transport, rng *rand.Rand, v *entryVM, id string) bool {
	// The route "once" has the type unsafe, "look" safe, "chat" streaming, and "draft"
	// streaming that may not be resumed.
	route := []string{"once", "look", "chat", "draft"}[rng.IntN(4)]
	isStream := route == "chat" || route == "draft"
	cancels := rng.IntN(20) == 0
	r := &request{cancels: cancels, id: id, path: "/" + route + "/x?n=" + id, body: "body of " + id, key: h.currentKey(), vm: v.name, sentAt: time.Now()}
	if route == "look" {
		r.body = ""
	}
	h.mu.Lock()
	h.requests[id] = r
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, 8*time.Second)
	defer cancel()
	if cancels {
		ctx, cancel = context.WithTimeout(ctx, time.Duration(rng.IntN(60))*time.Millisecond)
		defer cancel()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.frontendAddr+r.path, strings.NewReader(r.body))
	if err != nil {
		panic(err) // the soak's own request is always valid
	}
	req.GetBody = nil // keeps the transport from retrying: only one layer may retry
	req.Host = host
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", "6000")
	req.Header.Set("Api-Key", r.key)
	if isStream {
		req.Header.Set("X-Model", "*")
		req.Header.Set("X-Token-Usage", "1460,80")
		req.Header.Set("X-Prefix-Hash", fmt.Sprintf("%x:800,%s:660", rng.IntN(20), strings.ReplaceAll(id, "-", "")))
		req.Header.Set("Session", fmt.Sprintf("s%d", rng.IntN(200)))
	}
	faultFree := v.faultFreeFor(minFaultFreeTime)
	resp, err := t.RoundTrip(req)
	if err != nil {
		h.checkNoResponse(ctx, r, v, faultFree, err)
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	h.checkResponse(r, v, route, resp, string(body), err, faultFree)
	return err == nil && !resp.Close
}

// checkNoResponse checks a request whose connection ended without a response.
func (h *harness) checkNoResponse(ctx context.Context, r *request, v *entryVM, faultFree bool, err error) {
	if ctx.Err() != nil || !faultFree || !v.faultFreeFor(minFaultFreeTime) {
		return
	}
	h.recordViolation("%s on %s: no response from a VM without recent faults: %v", r.id, v.name, err)
}

// checkResponse checks the response that a caller received.
func (h *harness) checkResponse(r *request, v *entryVM, route string, resp *http.Response, body string, err error, faultFree bool) {
	now := time.Now()
	h.mu.Lock()
	r.answeredAt, r.status, r.cut = now, resp.StatusCode, err != nil
	h.mu.Unlock()
	signature := resp.Header.Get("X-Response-Signature")
	timeout := map[string]time.Duration{"once": 1500, "look": 1500, "chat": 5000, "draft": 5000}[route] * time.Millisecond
	if faultFree && v.faultFreeFor(minFaultFreeTime) && now.Sub(r.sentAt) > timeout+maxTimeoutOverrun {
		h.recordViolation("%s on %s: response after %v, the timeout of the route is %v", r.id, v.name, now.Sub(r.sentAt), timeout)
	}
	switch {
	case err != nil:
		return // no guarantee covers a response that is visibly truncated
	case resp.StatusCode == http.StatusOK && (route == "chat" || route == "draft"):
		h.checkStream(r, signature, body)
	case resp.StatusCode == http.StatusOK || signature != "":
		id, _, _ := strings.Cut(signature, ".")
		if signature != platformside.Signature(id, r.id, resp.StatusCode, body) {
			h.recordViolation("%s on %s: status %d, signature %q does not match the body %.60q", r.id, v.name, resp.StatusCode, signature, body)
		}
	case resp.StatusCode == http.StatusUnauthorized:
		h.checkUnauthorized(r, v, faultFree)
	case resp.StatusCode == http.StatusNotFound:
		h.recordViolation("%s on %s: rejected with 404", r.id, v.name)
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") == "":
		h.recordViolation("%s on %s: rejected with 503 without Retry-After", r.id, v.name)
	}
}

// checkStream checks that a stream has all events of one model, in order.
func (h *harness) checkStream(r *request, signature, body string) {
	id, _, _ := strings.Cut(signature, ".")
	for _, model := range []string{"small", "large"} {
		var expected strings.Builder
		for i := 1; i <= platformside.NewReplica("").Events; i++ {
			expected.WriteString(platformside.Event(r.id, model, i))
		}
		if body == expected.String() && signature == platformside.Signature(id, r.id, http.StatusOK, model) {
			return
		}
	}
	h.recordViolation("%s on %s: complete stream with wrong events: %.200q", r.id, r.vm, body)
}

// checkUnauthorized checks that a 401 was for a revoked key.
func (h *harness) checkUnauthorized(r *request, v *entryVM, faultFree bool) {
	h.mu.Lock()
	_, revoked := h.revokedAt[r.key]
	h.mu.Unlock()
	if !revoked && faultFree && h.storeFaultFreeFor(minFaultFreeTime) && v.faultFreeFor(minFaultFreeTime) && time.Since(r.sentAt) > maxConfigApplyTime {
		h.recordViolation("%s on %s: valid API key rejected", r.id, v.name)
	}
}

// checkRuns compares the requests that the replicas executed with those that the
// callers sent.
func (h *harness) checkRuns() {
	h.mu.Lock()
	requests := make(map[string]request, len(h.requests))
	for id, r := range h.requests {
		requests[id] = *r
	}
	h.mu.Unlock()
	runCounts := make(map[string]int)
	for _, r := range h.allReplicas() {
		for _, run := range r.runs() {
			runCounts[run.ID]++
			h.checkRun(requests, run)
		}
	}
	for id, n := range runCounts {
		r := requests[id]
		if n > 3 {
			h.recordViolation("%s: %d runs, the maximum is 3", id, n)
		}
		if r.inStop && !r.cancels && !r.probe && (r.status == 0 || r.cut) {
			h.recordViolation("%s on %s: cut in a planned stop, sent at %v", id, r.vm, r.sentAt)
		}
		if !strings.HasPrefix(r.path, "/once/") && !strings.HasPrefix(r.path, "/draft/") {
			continue
		}
		if n > 1 {
			h.recordViolation("%s: ran %d times, the route allows one run", id, n)
		}
		if r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests {
			h.recordViolation("%s: rejected with %d although it ran", id, r.status)
		}
	}
}

func (h *harness) checkRun(requests map[string]request, run platformside.Run) {
	r, ok := requests[run.ID]
	switch {
	case !ok:
		h.recordViolation("%s ran on %s, but no caller sent it", run.ID, run.Replica)
	case run.Target != r.path || run.Body != r.body:
		h.recordViolation("%s ran on %s with target %q and body %q", run.ID, run.Replica, run.Target, run.Body)
	case run.Tenant != "team-1" || run.APIKey != "":
		h.recordViolation("%s ran on %s for team %q with key %q", run.ID, run.Replica, run.Tenant, run.APIKey)
	}
}

// startCallers starts the callers, which run until ctx ends.
func (h *harness) startCallers(ctx context.Context) *sync.WaitGroup {
	var wg sync.WaitGroup
	for n := range h.opts.Callers {
		wg.Go(func() { h.runCaller(ctx, n) })
	}
	return &wg
}
