package router

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/cascade"
	"github.com/cranberrypier/cranberrypier/internal/delivery"
	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
)

// maxAttempts limits the upstream runs of one step of a request.
const maxAttempts = 4

// chatCall is one chat-completions request in progress.
type chatCall struct {
	requestInfo
	req     *chatRequest
	options []option
	// steps are the upstream runs that ended with a complete answer.
	steps []stepResult
}

// stepResult is the version, size and cost of one step of the cascade.
type stepResult struct {
	option option
	tokens int
	cost   float64
}

// serveChat handles POST /v1/chat/completions.
func (s *Server) serveChat(w http.ResponseWriter, r *http.Request) {
	info, err := s.acceptRequest(r)
	w.Header().Set(headerRequestID, info.id)
	if err != nil {
		s.rejectRequest(w, r, info, err)
		return
	}
	defer s.gate.Leave()
	body, err := readBody(w, r, s.limits.MaxBodyBytes.Bytes(), s.limits.BodyTimeout.D())
	if err != nil {
		s.rejectRequest(w, r, info, err)
		return
	}
	c, err := s.prepareChat(info, r, body)
	if err != nil {
		s.rejectRequest(w, r, info, err)
		return
	}
	release, err := s.admission.Admit(info.team, info.class.Priority, info.arrivedAt)
	if err != nil {
		s.rejectRequest(w, r, info, err)
		return
	}
	defer release()
	s.runChat(r.Context(), w, c)
}

// prepareChat parses the body and chooses the versions that may serve the request.
func (s *Server) prepareChat(info requestInfo, r *http.Request, body []byte) (*chatCall, error) {
	req, err := parseChat(body)
	if err != nil {
		return nil, err
	}
	info.fingerprint = fingerprintOf(info.team.Name, r.URL.Path, body)
	if err := s.quarantine.Check(info.fingerprint, info.arrivedAt); err != nil {
		return nil, err
	}
	options, err := s.chooseOptions(&info, req.model)
	if err != nil {
		return nil, err
	}
	return &chatCall{requestInfo: info, req: req, options: options}, nil
}

// runChat runs the steps of the cascade until an answer is good enough, and writes
// that answer.
func (s *Server) runChat(ctx context.Context, w http.ResponseWriter, c *chatCall) {
	if c.req.stream {
		s.streamChat(ctx, w, c)
		return
	}
	answer, err := s.collectChat(ctx, c)
	if err != nil {
		s.respondError(w, c.requestInfo, result.From(err))
		return
	}
	s.bill(c)
	h := w.Header()
	c.last().option.setHeaders(h)
	h.Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	_ = json.NewEncoder(w).Encode(answer.completion(c.req.promptTokens()))
}

func (c *chatCall) last() stepResult { return c.steps[len(c.steps)-1] }

// streamChat runs only one option, which the cascade chooses. Tokens are sent as
// they arrive, so the answer cannot be rated before the caller receives it.
func (s *Server) streamChat(ctx context.Context, w http.ResponseWriter, c *chatCall) {
	step := s.planStep(c, 0)
	if step.Index < 0 {
		s.respondError(w, c.requestInfo, noStepError())
		return
	}
	attempt := s.newAttempt(c, c.options[step.Index])
	out := newEventWriter(w, attempt.setHeaders)
	sink := &teeSink{out: out, copying: shouldSample()}
	res := s.deliverer.Run(ctx, c.deliverySpec(s), attempt, sink, nil, s.withdrawals.watch(attempt.opt.Model, attempt.opt.Version))
	if res.Err != nil {
		e := result.From(res.Err)
		s.recordError(c.requestInfo, e)
		out.fail(e, c.id)
		return
	}
	c.addStep(attempt.option(), int(res.Events))
	s.bill(c)
	out.finish()
	if got := sink.collected(); got != nil {
		s.enqueueRating(c, got)
	}
}

// collectChat runs options in cascade order and returns the first answer that is
// good enough. If the time or the options run out or a later step fails, it
// returns the latest answer.
func (s *Server) collectChat(ctx context.Context, c *chatCall) (*collector, error) {
	var latest *collector
	for tried := 0; ; {
		step := s.planStep(c, tried)
		if step.Index < 0 || step.Index >= len(c.options) {
			if latest == nil {
				return nil, noStepError()
			}
			return latest, nil
		}
		got, err := s.collectStep(ctx, c, c.options[step.Index])
		if err != nil {
			if latest != nil {
				return latest, nil
			}
			return nil, err
		}
		latest = got
		tried = step.Index + 1
		if !step.Judge || tried >= len(c.options) {
			if shouldSample() {
				s.enqueueRating(c, got)
			}
			return latest, nil
		}
		if s.meetsThreshold(ctx, c, got, step.Threshold) {
			return latest, nil
		}
	}
}

// collectStep runs one option and returns its complete answer.
func (s *Server) collectStep(ctx context.Context, c *chatCall, o option) (*collector, error) {
	attempt := s.newAttempt(c, o)
	got := &collector{}
	start := time.Now()
	res := s.deliverer.Run(ctx, c.deliverySpec(s), attempt, got, nil, s.withdrawals.watch(o.Model, o.Version))
	if got.err != nil {
		return nil, got.err
	}
	if res.Err != nil {
		return nil, res.Err
	}
	c.addStep(attempt.option(), got.tokens)
	s.cascade.RecordDuration(attempt.option().Model, attempt.option().Version, time.Since(start))
	return got, nil
}

// addStep records a step that ended with a complete answer.
func (c *chatCall) addStep(o option, tokens int) {
	c.steps = append(c.steps, stepResult{
		option: o,
		tokens: tokens,
		cost:   o.cost * float64(tokens) / costUnitTokens,
	})
}

// deliverySpec returns the delivery spec of one step.
func (c *chatCall) deliverySpec(s *Server) delivery.Spec {
	return delivery.Spec{
		RequestID:            c.id,
		Idempotent:           true,
		ProgressTimeout:      s.progressTimeouts.Between,
		FirstProgressTimeout: s.progressTimeouts.First,
		Deadline:             c.deadline,
		MaxAttempts:          maxAttempts,
	}
}

// planStep asks the cascade's planner for the next step and records its reason.
func (s *Server) planStep(c *chatCall, tried int) cascade.Step {
	req := cascade.Request{
		Team:      c.team.Name,
		Class:     c.class.Name,
		Target:    c.class.Quality,
		TimeLeft:  time.Until(c.deadline),
		Tried:     tried,
		Streaming: c.req.stream,
	}
	for _, o := range c.options {
		req.Options = append(req.Options, cascade.Option{
			Model: o.Model, Version: o.Version, Cost: o.cost, Quality: o.quality,
		})
	}
	step := s.planner.Plan(req)
	if step.Index >= 0 && step.Index < len(c.options) {
		s.recorder.Record(c.id, "cascade.step",
			timeline.F("target", c.options[step.Index].Target()), timeline.F("reason", step.Reason))
	}
	return step
}

func noStepError() *result.Error {
	return result.New(result.DeadlineTooShort, "no model can answer in the time left")
}
