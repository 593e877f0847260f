package router

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrypier/cranberrypier/internal/ctxwait"
	"github.com/cranberrypier/cranberrypier/internal/delivery"
	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/invariant"
	"github.com/cranberrypier/cranberrypier/internal/placement"
	"github.com/cranberrypier/cranberrypier/internal/quarantine"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
	"github.com/cranberrypier/cranberrypier/internal/upstream"
)

// chatAttempt runs the attempts of one step of a chat request.
type chatAttempt struct {
	s    *Server
	call *chatCall

	mu  sync.Mutex
	opt option
}

func (s *Server) newAttempt(c *chatCall, o option) *chatAttempt {
	return &chatAttempt{s: s, call: c, opt: o}
}

// option returns the version that the attempts use. It changes only if the
// version is withdrawn before the answer has started.
func (t *chatAttempt) option() option {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.opt
}

func (t *chatAttempt) setHeaders(h http.Header) { t.option().setHeaders(h) }

// Attempt implements delivery.Transport.
func (t *chatAttempt) Attempt(ctx context.Context, d delivery.Dispatch, r *delivery.Reporter) {
	if d.ReselectVersion {
		if err := t.reselectVersion(); err != nil {
			r.Failed(delivery.FailPlacement, false, result.From(err))
			return
		}
	}
	if err := t.s.awaitQuarantineCheck(ctx, t.call.requestInfo); err != nil {
		r.Failed(delivery.FailPlacement, false, result.From(err))
		return
	}
	o := t.option()
	slot, err := t.s.placer.Acquire(ctx, t.placementRequest(o, d))
	if err != nil {
		r.Failed(delivery.FailPlacement, false, result.From(err))
		return
	}
	out := placement.Outcome{End: placement.EndCanceled}
	defer func() { t.s.placer.Release(slot, out) }()
	if err := t.s.checkDispatch(t.call.requestInfo, o, slot.Upstream, d.Resume); err != nil {
		t.reportNotAllowed(r, o, err)
		return
	}
	if !r.BeginSend(slot.Upstream) {
		return
	}
	t.s.recorder.Record(t.call.id, "route.dispatched",
		timeline.F("target", o.Target()), timeline.F("upstream", slot.Upstream),
		timeline.F("reason", slot.Reason), timeline.F("attempt", formatUint(uint64(d.Attempt))))
	t.run(ctx, d, r, o, slot, &out)
}

const (
	// quarantinePollInterval is the time between two checks of a request whose
	// previous runs were interrupted.
	quarantinePollInterval = 50 * time.Millisecond
	// quarantineWaitTimeout limits how long a request waits until it is known
	// whether its previous runs crashed their upstreams.
	quarantineWaitTimeout = 5 * time.Second
)

// awaitQuarantineCheck rejects a quarantined request. If previous runs of the
// request were interrupted, it waits until it is known whether they crashed their
// upstreams: a broken connection alone must not end the answer, but a request
// that crashes engines must not be sent to one engine after the other. If that is
// not known after quarantineWaitTimeout, it returns a retryable Overloaded error and
// the attempt fails.
func (s *Server) awaitQuarantineCheck(ctx context.Context, info requestInfo) error {
	until := time.Now().Add(min(quarantineWaitTimeout, time.Until(info.deadline)))
	for {
		err := s.quarantine.Check(info.quarantineFingerprint, time.Now())
		if err == nil || result.Is(err, result.Quarantined) || !time.Now().Before(until) {
			return err
		}
		ctxwait.For(ctx, quarantinePollInterval)
		if ctx.Err() != nil {
			return err
		}
	}
}

// reportNotAllowed reports a dispatch that the document no longer allows. If the
// upstream no longer accepts requests, the failure kind is FailRejected and the
// deliverer uses another upstream. Otherwise it is FailPlacement; after a withdrawal
// of the version, the deliverer then requests to choose the version again.
func (t *chatAttempt) reportNotAllowed(r *delivery.Reporter, o option, err error) {
	e := result.From(err)
	t.s.recorder.Record(t.call.id, "route.recheck_refused",
		timeline.F("target", o.Target()), timeline.F("code", formatUint(uint64(e.Code))))
	if e.Code == result.NoUpstream {
		r.Failed(delivery.FailRejected, false, e)
		return
	}
	r.Failed(delivery.FailPlacement, false, e)
}

// reselectVersion chooses the version again with the document in force.
func (t *chatAttempt) reselectVersion() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	info := t.call.requestInfo
	info.index = t.s.control.Index()
	o, err := t.s.chooseOption(&info, t.opt.Model)
	if err != nil {
		return err
	}
	t.opt = o
	return nil
}

func (t *chatAttempt) placementRequest(o option, d delivery.Dispatch) placement.Request {
	return placement.Request{
		ID:           t.call.id,
		Team:         t.call.team.Name,
		Target:       o.Target(),
		Priority:     t.call.class.Priority,
		PrefixHash:   t.call.req.prefixHash(o.Target()),
		PromptTokens: t.call.req.promptTokens(),
		MaxTokens:    t.call.req.maxTokens,
		Deadline:     t.call.deadline,
		Exclude:      d.Exclude,
		PinnedTo:     d.Only,
		Prefer:       d.Prefer,
		Isolated:     t.s.quarantine.RequiresIsolation(t.call.quarantineFingerprint, time.Now()),
		Idempotent:   true,
	}
}

// checkDispatch checks the newest document directly before a request is sent, so
// that decisions made under an older document send no new requests to a version
// or an upstream that the newest one rules out. resume is true for an answer in
// progress, which a withdrawn version may complete.
func (s *Server) checkDispatch(info requestInfo, o option, upstreamName string, resume bool) error {
	idx := s.control.Index()
	allowed := idx.Allowed(info.team.Name, o.Model, o.Version)
	if !allowed {
		return result.New(result.TeamNotAllowed, "team %s may not use %s", info.team.Name, o.Target())
	}
	if err := s.versions.StillAllowed(idx, info.team.Name, o.Choice); err != nil && !resume {
		return err
	}
	if err := s.checkUpstream(idx, upstreamName); err != nil {
		return err
	}
	v, _ := idx.Version(o.Model, o.Version)
	invariant.Check(allowed, invariant.AllowedModel, "%s of team %s", o.Target(), info.team.Name)
	invariant.Check(resume || v.State != document.Withdrawn, invariant.NoWorkOnWithdrawnVersion, "%s", o.Target())
	return nil
}

// checkUpstream returns an error if the upstream is unknown or leaving, or its zone
// is withdrawn.
func (s *Server) checkUpstream(idx *document.Index, name string) error {
	u, ok := idx.Upstream(name)
	if !ok || !idx.AcceptsNewRequests(u) {
		return result.New(result.NoUpstream, "upstream %s no longer accepts requests", name)
	}
	invariant.Check(!idx.ZoneWithdrawn(u.Zone), invariant.NoWorkInWithdrawnZone, "upstream %s", name)
	invariant.Check(!u.Leaving, invariant.NoWorkOnLeavingUpstream, "upstream %s", name)
	return nil
}

// run sends the request to the upstream and relays the events of the answer.
func (t *chatAttempt) run(ctx context.Context, d delivery.Dispatch, r *delivery.Reporter, o option, slot placement.Slot, out *placement.Outcome) {
	body, err := t.call.req.bodyFor(o.Target())
	if err != nil {
		r.Failed(delivery.FailPlacement, false, result.From(err))
		return
	}
	ctx, cancel := withSeatDeadline(ctx, slot)
	defer cancel()
	start := time.Now()
	token := t.s.quarantine.Begin(t.call.quarantineFingerprint, slot.Upstream, t.s.loadPoller.incarnation(slot.Upstream), start)
	st, err := t.s.upstreams.Stream(ctx, slot.Address, upstream.StreamRequest{
		RequestID:   t.call.id,
		Target:      o.Target(),
		Body:        body,
		Priority:    int(t.call.class.Priority),
		Timeout:     runTimeout(t.call.deadline, slot),
		LastEventID: lastEventID(d),
	})
	if err == nil {
		out.Incarnation, out.State = st.Incarnation, st.State
		err = relayEvents(st, t.call.id, r, start, out)
		st.Close()
	}
	out.Elapsed = time.Since(start)
	t.reportEnd(ctx, r, err, out)
	t.s.reportToQuarantine(token, slot.Upstream, *out)
	t.s.counters.addAttempt(o, *out)
}

// lastEventID returns the ID of the event after which the answer is resumed, or
// an empty string if it starts from the beginning.
func lastEventID(d delivery.Dispatch) string {
	if !d.Resume {
		return ""
	}
	return formatUint(d.LastEventID)
}

// reportToQuarantine reports to the quarantine how a run ended.
func (s *Server) reportToQuarantine(token quarantine.Token, upstreamName string, out placement.Outcome) {
	now := time.Now()
	if out.Incarnation != "" {
		s.quarantine.ObserveIncarnation(upstreamName, out.Incarnation, now)
	}
	switch out.End {
	case placement.EndOK:
		s.quarantine.End(token, false, out.Incarnation, now)
	case placement.EndReset:
		s.quarantine.End(token, true, out.Incarnation, now)
	default:
		s.quarantine.Cancel(token, now)
	}
}

// relayEvents forwards events until the answer's terminator.
func relayEvents(st *upstream.Stream, requestID string, r *delivery.Reporter, start time.Time, out *placement.Outcome) error {
	if !r.Accepted(requestID) {
		return context.Canceled
	}
	for {
		ev, err := st.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if out.Tokens == 0 {
			out.FirstToken = time.Since(start)
		}
		out.Tokens++
		if !r.Event(ev.ID, xxhash.Sum64(ev.Data), ev.Data) {
			return context.Canceled
		}
	}
}

// reportEnd classifies how the attempt ended and sends its last report.
func (t *chatAttempt) reportEnd(ctx context.Context, r *delivery.Reporter, err error, out *placement.Outcome) {
	if err == nil {
		out.End = placement.EndOK
		r.Done(delivery.Answer{})
		return
	}
	if ctx.Err() != nil {
		out.End = placement.EndCanceled
		r.Failed(delivery.FailTruncated, true, nil)
		return
	}
	f := upstream.FailureOf(err)
	out.End = f.End
	if f.Incarnation != "" {
		out.Incarnation, out.State = f.Incarnation, f.State
	}
	t.s.recorder.Record(t.call.id, "route.failed", timeline.F("end", string(f.End)), timeline.F("error", err.Error()))
	r.Failed(failureKind(err, f), f.Sent, nil)
}

// failureKind maps an upstream's failure to the delivery's kind of failure.
func failureKind(err error, f *upstream.Failure) delivery.Failure {
	if result.Is(err, result.AnswerMismatch) {
		return delivery.FailMismatch
	}
	switch f.End {
	case placement.EndRejected:
		return delivery.FailRejected
	case placement.EndUnreachable:
		return delivery.FailUnreachable
	case placement.EndStalled:
		return delivery.FailStalled
	case placement.EndStatus:
		return delivery.FailStatus
	}
	return delivery.FailTruncated
}

// withSeatDeadline ends a run on a cold upstream when the VM's seats expire, because
// another VM may hold them afterwards. A cold upstream is an engine that is not
// confirmed to be warm; a seat is a lease on a share of its limit, see package seats.
func withSeatDeadline(ctx context.Context, slot placement.Slot) (context.Context, context.CancelFunc) {
	if slot.NotAfter.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, slot.NotAfter)
}

// runTimeout returns the time after which the engine itself ends the run.
func runTimeout(deadline time.Time, slot placement.Slot) time.Duration {
	if !slot.NotAfter.IsZero() && slot.NotAfter.Before(deadline) {
		deadline = slot.NotAfter
	}
	return max(time.Millisecond, time.Until(deadline))
}
