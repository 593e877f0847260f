package edge

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/exchange"
	"github.com/cranberrypier/cranberrypier/internal/poison"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// sharedPartIDs returns the IDs of the parts of a prompt that other requests may
// share: all parts except the last.
func sharedPartIDs(r *exchange.Request) []string {
	ids := make([]string, 0, max(len(r.PromptParts)-1, 0))
	for i := 0; i+1 < len(r.PromptParts); i++ {
		ids = append(ids, r.PromptParts[i].ID)
	}
	return ids
}

// isContentBlocked reports whether the request has content that crashes upstreams.
func (x *requestState) isContentBlocked() bool {
	s, now := x.proxy, time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var blocked bool
	x.blockedFor, blocked = s.poison.Blocked(now, x.req.ContentKeys)
	logVerdicts(s.poison.Verdicts())
	return blocked
}

// logVerdicts logs which content is blocked from now on, and which no longer is.
func logVerdicts(verdicts []poison.Verdict) {
	for _, v := range verdicts {
		message := "poison: content is no longer blocked"
		if v.Blocked {
			message = "poison: content is blocked"
		}
		klog.InfoS(message, "key", v.Key, "crashes", v.Crashes, "cleared", v.Cleared, "sequence", v.Sequence)
	}
}

// contentBlockedError returns the response to a request that isContentBlocked.
func (x *requestState) contentBlockedError() *result.Error {
	klog.InfoS("poison: the request is not sent because upstreams crashed on its content", "request", x.req.ID,
		"keys", x.req.ContentKeys, "parts", sharedPartIDs(x.req), "for", x.blockedFor)
	return result.New(result.ContentBlocked, "upstreams crashed on this request or on a part of its prompt").WithRetryAfter(x.blockedFor)
}

// recordCrashEvidence records what the end of an attempt says of the request's
// content.
func (s *Proxy) recordCrashEvidence(now time.Time, a *attempt) {
	run := poison.Run{
		Upstream: a.pick.ID, Incarnation: a.pick.Incarnation, Keys: a.state.req.ContentKeys, BeganAt: a.startedAt.Add(a.timeToHead), EndedAt: now,
	}
	if a.survived() && !a.completed() {
		run.Keys = nil // a crash has another reason
	}
	switch {
	case a.disconnected:
		s.recordDisconnect(now, a, run)
	case a.attemptStatus == exchange.NotSent && errors.Is(a.err, syscall.ECONNREFUSED):
		s.confirmCrash(now, a)
	case a.completed():
		s.mu.Lock()
		s.poison.Completed(now, run.Keys)
		s.mu.Unlock()
	case a.attemptStatus == exchange.Answered:
		s.mu.Lock()
		s.poison.Dropped(now, run)
		check := a.bodyRead && a.framing == framedByClose && s.poison.CheckDue(now, run.Upstream, run.Incarnation)
		s.mu.Unlock()
		if check {
			go s.checkCrashed(a)
		}
	}
}

// completed reports whether the attempt certainly got a complete successful
// response: an end that only the connection marks may be a crash.
func (a *attempt) completed() bool {
	return a.bodyRead && a.framing != framedByClose && a.err == nil && a.head.Status == http.StatusOK && (a.pace.events > 0 || !a.state.req.Route.Stream)
}

// minSurvivedEvents is the number of a stream's events after the first ones that show that
// its content crashes no upstream: harmful content does so when it begins to run.
const minSurvivedEvents = 3

func (a *attempt) survived() bool { return a.pace.eventsAfterFirst >= minSurvivedEvents }

// recordSurvival records once that an upstream goes on with a stream. Where one upstream
// after the other crashes, few requests complete.
func (a *attempt) recordSurvival(now time.Time) {
	if a.survivalRecorded || a.vm != "" || !a.survived() {
		return
	}
	a.survivalRecorded = true
	s := a.state.proxy
	s.mu.Lock()
	defer s.mu.Unlock()
	s.poison.Completed(now, a.state.req.ContentKeys)
}

// recordDisconnect records that an upstream broke the connection under a request,
// and checks whether it has crashed.
func (s *Proxy) recordDisconnect(now time.Time, a *attempt, run poison.Run) {
	klog.InfoS("poison: an upstream broke the connection under a request", "request", a.state.req.ID, "upstream", run.Upstream,
		"born", run.Incarnation, "keys", run.Keys, "parts", sharedPartIDs(a.state.req), "answered", a.head != nil, "ran", now.Sub(run.BeganAt).Milliseconds(), "events", a.pace.events)
	s.mu.Lock()
	check := s.poison.Broken(now, run)
	s.mu.Unlock()
	if check {
		go s.checkCrashed(a)
	}
}

// recordAlive records that the upstream of an attempt responded.
func (s *Proxy) recordAlive(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.poison.Contact(time.Now(), a.startedAt, a.pick.ID, a.pick.Incarnation)
}

// checkCrashed connects to the upstream of an attempt, which broke the connection. Only
// a process that has ended refuses connections.
func (s *Proxy) checkCrashed(a *attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), upstreamDialTimeout)
	defer cancel()
	begunAt := time.Now()
	conn, err := s.dialUpstream(ctx, "tcp", a.pick.Address)
	if err == nil {
		_ = conn.Close() // nothing was sent on it
		s.recordContact(a.state.req.Service.Name, begunAt)
		s.mu.Lock()
		s.poison.Alive(time.Now(), a.pick.ID, a.pick.Incarnation)
		s.mu.Unlock()
		return
	}
	s.recordDialFailure(a.pick, a.state.req.Service.Name)
	if errors.Is(err, syscall.ECONNREFUSED) {
		s.confirmCrash(time.Now(), a)
	}
}

// confirmCrash records that the upstream of an attempt refuses connections. While this
// VM reaches no upstream of the service, its own link may be the reason; the crash is
// then decided later.
func (s *Proxy) confirmCrash(now time.Time, a *attempt) {
	if s.forwarder.unreachable(a.state.req.Service.Name) {
		if s.undecided.add(now, a) {
			klog.InfoS("poison: a refused connection may be due to this VM's link; it is decided later", "upstream", a.pick.ID, "born", a.pick.Incarnation)
		}
		return
	}
	s.countCrash(now, a)
}

// countCrash counts the crash of an attempt's upstream against the content that was
// running there.
func (s *Proxy) countCrash(now time.Time, a *attempt) {
	upstream, incarnation := a.pick.ID, a.pick.Incarnation
	s.mu.Lock()
	runs := s.poison.Confirm(now, upstream, incarnation)
	s.mu.Unlock()
	if runs > 0 {
		klog.InfoS("poison: the upstream crashed under requests", "upstream", upstream, "born", incarnation, "requests", runs)
	}
}

// suspects returns what other VMs should know of content that may crash upstreams.
func (s *Proxy) suspects(now time.Time) []poison.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.poison.Share(now)
}

// shareBlockedAgain makes the blocked content due to be sent to a VM that has started.
func (s *Proxy) shareBlockedAgain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.poison.ShareAgain()
}

// blockedContents returns the number of blocked contents, for the metrics.
func (s *Proxy) blockedContents() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(s.poison.BlockedCount(time.Now()))
}
