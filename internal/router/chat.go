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

// maxAttempts bounds the upstream runs of one step of a request.
const maxAttempts = 4

// chatCall is one chat-completions request in progress.
type chatCall struct {
	arrival
	req     *chatRequest
	options []option
	// steps are the upstream runs that ended with a whole answer.
	steps []stepResult
}

// stepResult is what one step of the cascade cost and produced.
type stepResult struct {
	option option
	tokens int
	cost   float64
}

// serveChat answers POST /v1/chat/completions.
func (s *Server) serveChat(w http.ResponseWriter, r *http.Request) {
	a, err := s.arrive(r)
	w.Header().Set(headerRequestID, a.id)
	if err != nil {
		s.refuse(w, r, a, err)
		return
	}
	defer s.gate.Leave()
	body, err := readBody(w, r, s.limits.BodyBytes.Bytes(), s.limits.BodyTime.D())
	if err != nil {
		s.refuse(w, r, a, err)
		return
	}
	c, err := s.prepareChat(a, r, body)
	if err != nil {
		s.refuse(w, r, a, err)
		return
	}
	release, err := s.admission.Admit(a.team, a.class.Priority, a.at)
	if err != nil {
		s.refuse(w, r, a, err)
		return
	}
	defer release()
	s.runChat(r.Context(), w, c)
}

// prepareChat parses the body and finds the versions that may serve it.
func (s *Server) prepareChat(a arrival, r *http.Request, body []byte) (*chatCall, error) {
	req, err := parseChat(body)
	if err != nil {
		return nil, err
	}
	a.fingerprint = fingerprintOf(a.team.Name, r.URL.Path, body)
	if err := s.quarantine.Check(a.fingerprint, a.at); err != nil {
		return nil, err
	}
	options, err := s.chooseOptions(&a, req.model)
	if err != nil {
		return nil, err
	}
	return &chatCall{arrival: a, req: req, options: options}, nil
}

// runChat walks the cascade until an answer is good enough, and writes it.
func (s *Server) runChat(ctx context.Context, w http.ResponseWriter, c *chatCall) {
	if c.req.stream {
		s.streamChat(ctx, w, c)
		return
	}
	answer, err := s.collectChat(ctx, c)
	if err != nil {
		s.finishRefused(w, c.arrival, result.From(err))
		return
	}
	s.bill(c)
	h := w.Header()
	c.last().option.describe(h)
	h.Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	_ = json.NewEncoder(w).Encode(answer.completion(c.req.promptTokens()))
}

func (c *chatCall) last() stepResult { return c.steps[len(c.steps)-1] }

// streamChat runs the one option that the cascade chooses: tokens are sent as
// they come, so the answer can't be judged first.
func (s *Server) streamChat(ctx context.Context, w http.ResponseWriter, c *chatCall) {
	step := s.plan(c, 0)
	if step.Index < 0 {
		s.finishRefused(w, c.arrival, noStep())
		return
	}
	attempt := s.newAttempt(c, c.options[step.Index])
	out := newEventWriter(w, attempt.describe)
	sink := &teeSink{out: out, keep: sampled()}
	res := s.deliverer.Run(ctx, c.spec(s), attempt, sink, nil, s.withdrawn.watch(attempt.opt.Model, attempt.opt.Version))
	if res.Err != nil {
		e := result.From(res.Err)
		s.recordRefusal(c.arrival, e)
		out.fail(e, c.id)
		return
	}
	c.finished(attempt.option(), int(res.Events))
	s.bill(c)
	out.finish()
	if got := sink.collected(); got != nil {
		s.rateLater(c, got)
	}
}

// collectChat runs options in cascade order and returns the first answer that
// is good enough, or the best one at hand when time runs out.
func (s *Server) collectChat(ctx context.Context, c *chatCall) (*collector, error) {
	var kept *collector
	for tried := 0; ; {
		step := s.plan(c, tried)
		if step.Index < 0 || step.Index >= len(c.options) {
			if kept == nil {
				return nil, noStep()
			}
			return kept, nil
		}
		got, err := s.collectStep(ctx, c, c.options[step.Index])
		if err != nil {
			if kept != nil {
				return kept, nil
			}
			return nil, err
		}
		kept = got
		tried = step.Index + 1
		if !step.Judge || tried >= len(c.options) {
			if sampled() {
				s.rateLater(c, got)
			}
			return kept, nil
		}
		if s.judge(ctx, c, got, step.Threshold) {
			return kept, nil
		}
	}
}

// collectStep runs one option to a whole answer.
func (s *Server) collectStep(ctx context.Context, c *chatCall, o option) (*collector, error) {
	attempt := s.newAttempt(c, o)
	got := &collector{}
	began := time.Now()
	res := s.deliverer.Run(ctx, c.spec(s), attempt, got, nil, s.withdrawn.watch(o.Model, o.Version))
	if got.err != nil {
		return nil, got.err
	}
	if res.Err != nil {
		return nil, res.Err
	}
	c.finished(attempt.option(), got.tokens)
	s.cascade.RecordDuration(attempt.option().Model, attempt.option().Version, time.Since(began))
	return got, nil
}

// finished notes a step that ended with a whole answer.
func (c *chatCall) finished(o option, tokens int) {
	c.steps = append(c.steps, stepResult{
		option: o,
		tokens: tokens,
		cost:   o.cost * float64(tokens) / costUnitTokens,
	})
}

// spec describes one step to the deliverer.
func (c *chatCall) spec(s *Server) delivery.Spec {
	return delivery.Spec{
		RequestID:            c.id,
		Repeatable:           true,
		ProgressTimeout:      s.silence.Between,
		FirstProgressTimeout: s.silence.First,
		Deadline:             c.deadline,
		MaxAttempts:          maxAttempts,
	}
}

// plan asks the cascade for the next step and records why.
func (s *Server) plan(c *chatCall, tried int) cascade.Step {
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

func noStep() *result.Error {
	return result.New(result.DeadlineTooShort, "no model can answer in the time left")
}
