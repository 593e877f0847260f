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

// request is one caller's request and its fate.
type request struct {
	id, path, body, key, vm string
	sent                    time.Time
	answered                time.Time
	status                  int
}

// Bounds of the checks, from the platform's pages.
const (
	// inTouch is the time without a fault after which bounds hold.
	inTouch = 4 * time.Second
	// configBound is the time within which a configuration is in force.
	configBound = 2 * time.Second
	// answerSlack is the time past a route's timeout by which an answer is due.
	answerSlack = 600 * time.Millisecond
	// evacuationBound is the time within which a withdrawn zone gets nothing.
	evacuationBound = 5 * time.Second
	// drainBound is the same for a leaving replica.
	drainBound = 2 * time.Second
)

// caller sends requests on one kept connection to one VM after the other.
func (w *world) caller(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(w.o.Seed, uint64(100+n)))
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	defer transport.CloseIdleConnections()
	var v *entryVM
	for i := 0; ctx.Err() == nil; i++ {
		if v == nil {
			v = w.pickVM(rng)
		}
		if v == nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		if !w.send(ctx, transport, rng, v, fmt.Sprintf("%d-%d-%d", w.o.Seed, n, i)) {
			v = nil // the connection is gone: the platform chooses anew
		}
		time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
	}
}

// pickVM plays the platform: new connections go to VMs that are ready.
func (w *world) pickVM(rng *rand.Rand) *entryVM {
	for _, i := range rng.Perm(len(w.vms)) {
		if w.vms[i].isReady() {
			return w.vms[i]
		}
	}
	return nil
}

// send sends one request. It reports whether the connection can be kept.
func (w *world) send(ctx context.Context, t *http.Transport, rng *rand.Rand, v *entryVM, id string) bool {
	kind := []string{"once", "look", "chat"}[rng.IntN(3)]
	r := &request{id: id, path: "/" + kind + "/x?n=" + id, body: "body of " + id, key: w.key(), vm: v.name, sent: time.Now()}
	if kind == "look" {
		r.body = ""
	}
	w.mu.Lock()
	w.sent[id] = r
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, 8*time.Second)
	defer cancel()
	if rng.IntN(20) == 0 { // some callers leave early
		ctx, cancel = context.WithTimeout(ctx, time.Duration(rng.IntN(60))*time.Millisecond)
		defer cancel()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.callers+r.path, strings.NewReader(r.body))
	if err != nil {
		panic(err) // the soak's own request
	}
	req.GetBody = nil // one layer owns repeats, and it is not the transport
	req.Host = host
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", "6000")
	req.Header.Set("Api-Key", r.key)
	if kind == "chat" {
		req.Header.Set("X-Model", "*")
		req.Header.Set("X-Token-Usage", "1460,80")
		req.Header.Set("X-Prefix-Hash", fmt.Sprintf("%x:800,%s:660", rng.IntN(20), strings.ReplaceAll(id, "-", "")))
		req.Header.Set("Session", fmt.Sprintf("s%d", rng.IntN(200)))
	}
	calm := v.calm(inTouch)
	resp, err := t.RoundTrip(req)
	if err != nil {
		w.noAnswer(ctx, r, v, calm, err)
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	w.check(r, v, kind, resp, string(body), err, calm)
	return err == nil && !resp.Close
}

// noAnswer checks a request whose connection ended without an answer.
func (w *world) noAnswer(ctx context.Context, r *request, v *entryVM, calm bool, err error) {
	if ctx.Err() != nil || !calm || !v.calm(inTouch) {
		return
	}
	w.broken("%s on %s: a calm VM gave no answer: %v", r.id, v.name, err)
}

// check checks what a caller got.
func (w *world) check(r *request, v *entryVM, kind string, resp *http.Response, body string, err error, calm bool) {
	now := time.Now()
	w.mu.Lock()
	r.answered, r.status = now, resp.StatusCode
	w.mu.Unlock()
	signature := resp.Header.Get("X-Response-Signature")
	limit := map[string]time.Duration{"once": 1500, "look": 1500, "chat": 5000}[kind] * time.Millisecond
	if calm && v.calm(inTouch) && now.Sub(r.sent) > limit+answerSlack {
		w.broken("%s on %s: answered after %v, the route allows %v", r.id, v.name, now.Sub(r.sent), limit)
	}
	switch {
	case err != nil:
		return // an answer that does not look whole promises nothing
	case resp.StatusCode == http.StatusOK && kind == "chat":
		w.checkStream(r, signature, body)
	case resp.StatusCode == http.StatusOK || signature != "":
		id, _, _ := strings.Cut(signature, ".")
		if signature != platformside.Signature(id, r.id, resp.StatusCode, body) {
			w.broken("%s on %s: status %d, signature %q does not fit the body %.60q", r.id, v.name, resp.StatusCode, signature, body)
		}
	case resp.StatusCode == http.StatusUnauthorized:
		w.checkDenied(r, v, calm)
	case resp.StatusCode == http.StatusNotFound:
		w.broken("%s on %s: refused with 404", r.id, v.name)
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") == "":
		w.broken("%s on %s: refused with no time to come back", r.id, v.name)
	}
}

// checkStream checks that a stream is one model's, whole and in order.
func (w *world) checkStream(r *request, signature, body string) {
	id, _, _ := strings.Cut(signature, ".")
	for _, model := range []string{"small", "large"} {
		var whole strings.Builder
		for i := 1; i <= platformside.NewReplica("").Events; i++ {
			whole.WriteString(platformside.Event(r.id, model, i))
		}
		if body == whole.String() && signature == platformside.Signature(id, r.id, http.StatusOK, model) {
			return
		}
	}
	w.broken("%s on %s: a complete stream with wrong events: %.200q", r.id, r.vm, body)
}

// checkDenied checks that a 401 was for a key that has been taken away.
func (w *world) checkDenied(r *request, v *entryVM, calm bool) {
	w.mu.Lock()
	_, gone := w.revoked[r.key]
	w.mu.Unlock()
	if !gone && calm && w.storeCalm(inTouch) && v.calm(inTouch) && time.Since(r.sent) > configBound {
		w.broken("%s on %s: a key that holds was refused", r.id, v.name)
	}
}

// checkRuns checks what the replicas executed against what callers sent.
func (w *world) checkRuns() {
	w.mu.Lock()
	sent := make(map[string]request, len(w.sent))
	for id, r := range w.sent {
		sent[id] = *r
	}
	w.mu.Unlock()
	count := make(map[string]int)
	for _, r := range w.replicas {
		for _, run := range r.runs() {
			count[run.ID]++
			w.checkRun(sent, run)
		}
	}
	for id, n := range count {
		r := sent[id]
		if n > 3 {
			w.broken("%s: %d runs of at most 3", id, n)
		}
		if !strings.HasPrefix(r.path, "/once/") {
			continue
		}
		if n > 1 {
			w.broken("%s: ran %d times", id, n)
		}
		if r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests {
			w.broken("%s: refused with %d though it ran", id, r.status)
		}
	}
}

func (w *world) checkRun(sent map[string]request, run platformside.Run) {
	r, ok := sent[run.ID]
	switch {
	case !ok:
		w.broken("%s ran on %s, and nobody sent it", run.ID, run.Replica)
	case run.Target != r.path || run.Body != r.body:
		w.broken("%s ran on %s as %q %q", run.ID, run.Replica, run.Target, run.Body)
	case run.Tenant != "team-1" || run.APIKey != "":
		w.broken("%s ran on %s for team %q with key %q", run.ID, run.Replica, run.Tenant, run.APIKey)
	}
}

// callers runs the callers until ctx ends.
func (w *world) callers(ctx context.Context) *sync.WaitGroup {
	var wait sync.WaitGroup
	for n := range w.o.Callers {
		wait.Go(func() { w.caller(ctx, n) })
	}
	return &wait
}
