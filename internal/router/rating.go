package router

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/cascade"
	"github.com/cranberrypier/cranberrypier/internal/timeline"
	"github.com/cranberrypier/cranberrypier/internal/upstream"
)

const (
	// judgeTime bounds how long an answer waits for its rating.
	judgeTime = 500 * time.Millisecond
	// sampleTime bounds a rating that nobody waits for.
	sampleTime = 5 * time.Second
	// sampleRate is the fraction of other answers that is rated, to learn.
	sampleRate = 0.1
	// raterQueue bounds the answers that wait for a rating; more are skipped.
	raterQueue = 64
)

// raters rates samples of finished answers in the background.
type raters struct {
	s     *Server
	queue chan ratedAnswer
}

// ratedAnswer is one finished step with its text.
type ratedAnswer struct {
	call *chatCall
	opt  option
	text string
	// escalated is true when an earlier answer was found short.
	escalated bool
}

func ratedOf(c *chatCall, got *collector) ratedAnswer {
	return ratedAnswer{c, c.last().option, got.text.String(), len(c.steps) > 1}
}

func newRaters(s *Server) *raters {
	return &raters{s: s, queue: make(chan ratedAnswer, raterQueue)}
}

// run rates until ctx ends.
func (q *raters) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-q.queue:
			q.s.rate(ctx, a, sampleTime)
		}
	}
}

// sampled decides whether an answer that is not judged is rated.
func sampled() bool { return rand.Float64() < sampleRate }

// rateLater queues an answer; a full queue skips it.
func (s *Server) rateLater(c *chatCall, got *collector) {
	select {
	case s.raters.queue <- ratedOf(c, got):
	default:
	}
}

// judge rates an answer before it is returned and reports whether it is good
// enough. Without a rating in time the answer counts as good: the cascade
// learns what is missing from other answers.
func (s *Server) judge(ctx context.Context, c *chatCall, got *collector, threshold float64) bool {
	value, ok := s.rate(ctx, ratedOf(c, got),
		min(judgeTime, time.Until(c.deadline)/2))
	if !ok {
		return true
	}
	return value >= threshold
}

// rate asks a rating service and feeds the cascade and the counters.
func (s *Server) rate(ctx context.Context, a ratedAnswer, within time.Duration) (float64, bool) {
	raters := s.control.Index().RatingUpstreams()
	if len(raters) == 0 {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	u := raters[rand.IntN(len(raters))]
	value, err := s.engines.Rate(ctx, u.Address, upstream.RatingRequest{
		RequestID:  a.call.id,
		Team:       a.call.team.Name,
		Class:      a.call.class.Name,
		Model:      a.opt.Model,
		Version:    a.opt.Version,
		PromptHash: hex.EncodeToString(a.call.fingerprint[:]),
		Answer:     a.text,
	})
	if err != nil {
		klog.V(1).Infof("rating: No rating from %s: %v.", u.Name, err)
		return 0, false
	}
	s.cascade.AddRating(cascade.Rating{
		Team: a.call.team.Name, Class: a.call.class.Name,
		Model: a.opt.Model, Version: a.opt.Version, Value: value,
		Escalated: a.escalated,
	})
	s.counters.rated(a.opt, value)
	s.recorder.Record(a.call.id, "cascade.rated", timeline.F("target", a.opt.Target()),
		timeline.F("rating", formatRating(value)))
	return value, true
}
