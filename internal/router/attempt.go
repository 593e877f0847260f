package router

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrypier/cranberrypier/internal/delivery"
	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/invariant"
	"github.com/cranberrypier/cranberrypier/internal/pause"
	"github.com/cranberrypier/cranberrypier/internal/placement"
	"github.com/cranberrypier/cranberrypier/internal/quarantine"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
	"github.com/cranberrypier/cranberrypier/internal/upstream"
)

// chatAttempt carries out the attempts of one step of a chat request.
type chatAttempt struct {
	s    *Server
	call *chatCall

	mu  sync.Mutex
	opt option
}

func (s *Server) newAttempt(c *chatCall, o option) *chatAttempt {
	return &chatAttempt{s: s, call: c, opt: o}
}

// option returns the version that the attempts use; it changes only when the
// version is withdrawn before the answer began.
func (t *chatAttempt) option() option {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.opt
}

func (t *chatAttempt) describe(h http.Header) { t.option().describe(h) }

// Attempt implements delivery.Transport.
func (t *chatAttempt) Attempt(ctx context.Context, d delivery.Dispatch, r *delivery.Reporter) {
	if d.ReselectVersion {
		if err := t.rechoose(); err != nil {
			r.Failed(delivery.FailPlacement, false, result.From(err))
			return
		}
	}
	if err := t.s.awaitEvidence(ctx, t.call.arrival); err != nil {
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
	if err := t.s.mayDispatch(t.call.arrival, o, slot.Upstream, d.Resume); err != nil {
		t.refused(r, o, err)
		return
	}
	if !r.Dispatched(slot.Upstream) {
		return
	}
	t.s.recorder.Record(t.call.id, "route.dispatched",
		timeline.F("target", o.Target()), timeline.F("upstream", slot.Upstream),
		timeline.F("reason", slot.Reason), timeline.F("attempt", decimal(uint64(d.Attempt))))
	t.run(ctx, d, r, o, slot, &out)
}

const (
	// evidencePause separates two looks at a request whose last runs broke off.
	evidencePause = 50 * time.Millisecond
	// evidenceTime bounds the wait for evidence.
	evidenceTime = 5 * time.Second
)

// awaitEvidence refuses a quarantined request. One whose runs broke off goes on
// only when it is known whether they crashed their upstreams: a cut connection
// must not end an answer, and a poison request must not go from engine to
// engine.
func (s *Server) awaitEvidence(ctx context.Context, a arrival) error {
	until := time.Now().Add(min(evidenceTime, time.Until(a.deadline)))
	for {
		err := s.quarantine.Check(a.fingerprint, time.Now())
		if err == nil || result.Is(err, result.Quarantined) || !time.Now().Before(until) {
			return err
		}
		pause.For(ctx, evidencePause)
		if ctx.Err() != nil {
			return err
		}
	}
}

// refused reports a dispatch that the document no longer allows. A version that
// was withdrawn is chosen again; an upstream that leaves is replaced.
func (t *chatAttempt) refused(r *delivery.Reporter, o option, err error) {
	e := result.From(err)
	t.s.recorder.Record(t.call.id, "route.recheck_refused",
		timeline.F("target", o.Target()), timeline.F("code", decimal(uint64(e.Code))))
	if e.Code == result.NoUpstream {
		r.Failed(delivery.FailRefused, false, e)
		return
	}
	r.Failed(delivery.FailPlacement, false, e)
}

// rechoose moves the request to the version that serves it now.
func (t *chatAttempt) rechoose() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.call.arrival
	a.index = t.s.control.Index()
	o, err := t.s.chooseOption(&a, t.opt.Model)
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
		Only:         d.Only,
		Prefer:       d.Prefer,
		Isolated:     t.s.quarantine.RequiresIsolation(t.call.fingerprint, time.Now()),
		Idempotent:   true,
	}
}

// mayDispatch looks at the newest document directly before the send: whatever
// was decided earlier, no new work goes where it may not go now. Resume is true
// for an answer in progress, which a withdrawn version may finish.
func (s *Server) mayDispatch(a arrival, o option, upstreamName string, resume bool) error {
	idx := s.control.Index()
	allowed := idx.Allowed(a.team.Name, o.Model, o.Version)
	if !allowed {
		return result.New(result.TeamNotAllowed, "team %s may not use %s", a.team.Name, o.Target())
	}
	if err := s.versions.StillAllowed(idx, a.team.Name, o.Choice); err != nil && !resume {
		return err
	}
	if err := s.upstreamTakesWork(idx, upstreamName); err != nil {
		return err
	}
	v, _ := idx.Version(o.Model, o.Version)
	invariant.Check(allowed, invariant.AllowedModel, "%s of team %s", o.Target(), a.team.Name)
	invariant.Check(resume || v.State != document.Withdrawn, invariant.WithdrawnNoWork, "%s", o.Target())
	return nil
}

// upstreamTakesWork refuses upstreams that leave and zones that are taken out.
func (s *Server) upstreamTakesWork(idx *document.Index, name string) error {
	u, ok := idx.Upstream(name)
	if !ok || !idx.TakesNewWork(u) {
		return result.New(result.NoUpstream, "upstream %s takes no new work", name)
	}
	invariant.Check(!idx.ZoneTakenOut(u.Zone), invariant.ZoneOutNoWork, "upstream %s", name)
	invariant.Check(!u.Leaving, invariant.LeavingNoWork, "upstream %s", name)
	return nil
}

// run sends the request and relays the answer's events.
func (t *chatAttempt) run(ctx context.Context, d delivery.Dispatch, r *delivery.Reporter, o option, slot placement.Slot, out *placement.Outcome) {
	body, err := t.call.req.bodyFor(o.Target())
	if err != nil {
		r.Failed(delivery.FailPlacement, false, result.From(err))
		return
	}
	ctx, cancel := boundCold(ctx, slot)
	defer cancel()
	began := time.Now()
	mark := t.s.quarantine.Begin(t.call.fingerprint, slot.Upstream, t.s.reports.incarnation(slot.Upstream), began)
	st, err := t.s.engines.Stream(ctx, slot.Address, upstream.StreamRequest{
		RequestID:   t.call.id,
		Target:      o.Target(),
		Body:        body,
		Priority:    int(t.call.class.Priority),
		Timeout:     timeoutFor(t.call.deadline, slot),
		LastEventID: lastEventID(d),
	})
	if err == nil {
		out.Incarnation, out.State = st.Incarnation, st.State
		err = relay(st, t.call.id, r, began, out)
		st.Close()
	}
	out.Elapsed = time.Since(began)
	t.end(ctx, r, err, out)
	t.s.closeMark(mark, slot.Upstream, *out)
	t.s.counters.attempt(o, *out)
}

// lastEventID names the event after which an answer is resumed.
func lastEventID(d delivery.Dispatch) string {
	if !d.Resume {
		return ""
	}
	return decimal(d.LastEventID)
}

// closeMark tells the quarantine how a run ended.
func (s *Server) closeMark(mark quarantine.Token, upstreamName string, out placement.Outcome) {
	now := time.Now()
	if out.Incarnation != "" {
		s.quarantine.ObserveIncarnation(upstreamName, out.Incarnation, now)
	}
	switch out.End {
	case placement.EndOK:
		s.quarantine.End(mark, false, out.Incarnation, now)
	case placement.EndReset:
		s.quarantine.End(mark, true, out.Incarnation, now)
	default:
		s.quarantine.Cancel(mark, now)
	}
}

// relay passes events on until the answer's terminator.
func relay(st *upstream.Stream, request string, r *delivery.Reporter, began time.Time, out *placement.Outcome) error {
	if !r.Accepted(request) {
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
			out.FirstToken = time.Since(began)
		}
		out.Tokens++
		if !r.Event(ev.ID, xxhash.Sum64(ev.Data), ev.Data) {
			return context.Canceled
		}
	}
}

// end classifies the attempt's end and makes its last report.
func (t *chatAttempt) end(ctx context.Context, r *delivery.Reporter, err error, out *placement.Outcome) {
	if err == nil {
		out.End = placement.EndOK
		r.Done(delivery.Answer{})
		return
	}
	if ctx.Err() != nil {
		out.End = placement.EndCanceled
		r.Failed(delivery.FailCut, true, nil)
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

// failureKind translates an upstream's failure for the delivery machine.
func failureKind(err error, f *upstream.Failure) delivery.Failure {
	if result.Is(err, result.AnswerMismatch) {
		return delivery.FailMismatch
	}
	switch f.End {
	case placement.EndRefused:
		return delivery.FailRefused
	case placement.EndUnreachable:
		return delivery.FailUnreachable
	case placement.EndSilent:
		return delivery.FailSilent
	case placement.EndStatus:
		return delivery.FailStatus
	}
	return delivery.FailCut
}

// boundCold ends a run on a cold upstream with its seat: afterwards the place
// may belong to another VM.
func boundCold(ctx context.Context, slot placement.Slot) (context.Context, context.CancelFunc) {
	if slot.NotAfter.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, slot.NotAfter)
}

// timeoutFor is the time after which the engine ends the run by itself.
func timeoutFor(deadline time.Time, slot placement.Slot) time.Duration {
	if !slot.NotAfter.IsZero() && slot.NotAfter.Before(deadline) {
		deadline = slot.NotAfter
	}
	return max(time.Millisecond, time.Until(deadline))
}
