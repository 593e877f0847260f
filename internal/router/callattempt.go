package router

import (
	"context"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/delivery"
	"github.com/cranberrypier/cranberrypier/internal/placement"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
	"github.com/cranberrypier/cranberrypier/internal/upstream"
)

// callAttempt runs the attempts of one call of a plain service.
type callAttempt struct {
	s    *Server
	call *serviceCall
}

// Attempt implements delivery.Transport.
func (t *callAttempt) Attempt(ctx context.Context, d delivery.Dispatch, r *delivery.Reporter) {
	c := t.call
	slot, err := t.s.placer.Acquire(ctx, placement.Request{
		ID:         c.id,
		Team:       c.team.Name,
		Target:     c.service,
		Priority:   c.class.Priority,
		Deadline:   c.deadline,
		Exclude:    d.Exclude,
		PinnedTo:   d.Only,
		Prefer:     d.Prefer,
		Idempotent: c.call.Repeatable,
	})
	if err != nil {
		r.Failed(delivery.FailPlacement, false, result.From(err))
		return
	}
	out := placement.Outcome{End: placement.EndCanceled}
	defer func() { t.s.placer.Release(slot, out) }()
	if err := t.checkDispatch(slot.Upstream); err != nil {
		e := result.From(err)
		kind := delivery.FailPlacement
		if e.Code == result.NoUpstream {
			kind = delivery.FailRejected
		}
		r.Failed(kind, false, e)
		return
	}
	if !r.BeginSend(slot.Upstream) {
		return
	}
	t.s.recorder.Record(c.id, "route.dispatched", timeline.F("service", c.service),
		timeline.F("upstream", slot.Upstream), timeline.F("reason", slot.Reason))
	t.run(ctx, r, slot, &out)
}

// checkDispatch checks the newest document and the deadline directly before the
// call is sent, because this process may have been paused after the placement.
func (t *callAttempt) checkDispatch(upstreamName string) error {
	if !time.Now().Before(t.call.deadline) {
		return result.New(result.DeadlineTooShort, "the deadline passed before the call was sent")
	}
	idx := t.s.control.Index()
	if !idx.MayCall(t.call.team.Name, t.call.service) {
		return result.New(result.TeamNotAllowed, "team %s may no longer call service %s", t.call.team.Name, t.call.service)
	}
	return t.s.checkUpstream(idx, upstreamName)
}

func (t *callAttempt) run(ctx context.Context, r *delivery.Reporter, slot placement.Slot, out *placement.Outcome) {
	c := t.call
	start := time.Now()
	resp, err := t.s.upstreams.Do(ctx, slot.Address, upstream.CallRequest{
		RequestID:  c.id,
		Method:     c.method,
		Path:       c.path,
		Header:     c.header,
		Body:       c.body,
		ClaimKey:   c.claimDigest,
		Priority:   int(c.class.Priority),
		Timeout:    max(time.Millisecond, time.Until(c.deadline)),
		Idempotent: c.call.Repeatable,
	})
	out.Elapsed = time.Since(start)
	if err != nil {
		f := upstream.FailureOf(err)
		out.End = f.End
		if ctx.Err() != nil {
			out.End = placement.EndCanceled
		}
		t.s.recorder.Record(c.id, "route.failed", timeline.F("end", string(f.End)), timeline.F("error", err.Error()))
		r.Failed(failureKind(err, f), f.Sent, nil)
		return
	}
	out.End = placement.EndOK
	out.FirstToken = out.Elapsed
	r.Accepted("")
	r.Done(delivery.Answer{Status: resp.Status, ContentType: resp.Header.Get("Content-Type"), Body: resp.Body})
}
