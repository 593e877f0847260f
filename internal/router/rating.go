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
	judgeTimeout = 500 * time.Millisecond
	// sampleTime bounds a rating that nobody waits for.
	sampleTimeout = 5 * time.Second
	// sampleRate is the fraction of other answers that is rated, to learn.
	sampleRate = 0.1
	// raterQueue bounds the answers that wait for a rating; more are skipped.
	ratingQueueSize = 64
)

// raters rates samples of finished answers in the background.
type ratingWorker struct {
	s     *Server
	queue chan ratingJob
}

// ratedAnswer is one finished step with its text.
type ratingJob struct {
	call *chatCall
	opt  option
	text string
	// escalated is true when an earlier answer was found short.
	escalated bool
}

func newRatingJob(c *chatCall, got *collector) ratingJob {
	return ratingJob{c, c.last().option, got.text.String(), len(c.steps) > 1}
}

func newRatingWorker(s *Server) *ratingWorker {
	return &ratingWorker{s: s, queue: make(chan ratingJob, ratingQueueSize)}
}

// run rates until ctx ends.
func (q *ratingWorker) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-q.queue:
			q.s.rate(ctx, job, sampleTimeout)
		}
	}
}

// sampled decides whether an answer that is not judged is rated.
func shouldSample() bool { return rand.Float64() < sampleRate }

// rateLater queues an answer; a full queue skips it.
func (s *Server) enqueueRating(c *chatCall, got *collector) {
	select {
	case s.ratingWorker.queue <- newRatingJob(c, got):
	default:
	}
}

// judge rates an answer before it is returned and reports whether it is good
// enough. Without a rating in time the answer counts as good: the cascade
// learns what is missing from other answers.
func (s *Server) meetsThreshold(ctx context.Context, c *chatCall, got *collector, threshold float64) bool {
	value, ok := s.rate(ctx, newRatingJob(c, got),
		min(judgeTimeout, time.Until(c.deadline)/2))
	if !ok {
		return true
	}
	return value >= threshold
}

// rate asks a rating service and feeds the cascade and the counters.
func (s *Server) rate(ctx context.Context, job ratingJob, timeout time.Duration) (float64, bool) {
	ratingUpstreams := s.control.Index().RatingUpstreams()
	if len(ratingUpstreams) == 0 {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	u := ratingUpstreams[rand.IntN(len(ratingUpstreams))]
	value, err := s.upstreams.Rate(ctx, u.Address, upstream.RatingRequest{
		RequestID:  job.call.id,
		Team:       job.call.team.Name,
		Class:      job.call.class.Name,
		Model:      job.opt.Model,
		Version:    job.opt.Version,
		PromptHash: hex.EncodeToString(job.call.fingerprint[:]),
		Answer:     job.text,
	})
	if err != nil {
		klog.V(1).Infof("rating: No rating from %s: %v.", u.Name, err)
		return 0, false
	}
	s.cascade.Rated(cascade.Rating{
		Team: job.call.team.Name, Class: job.call.class.Name,
		Model: job.opt.Model, Version: job.opt.Version, Value: value,
		Escalated: job.escalated,
	})
	s.counters.addRating(job.opt, value)
	s.recorder.Record(job.call.id, "cascade.rated", timeline.F("target", job.opt.Target()),
		timeline.F("rating", formatRating(value)))
	return value, true
}
