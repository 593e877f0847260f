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
	// judgeTimeout limits how long an answer is held back for its rating.
	judgeTimeout = 500 * time.Millisecond
	// sampleTimeout limits a rating in the background.
	sampleTimeout = 5 * time.Second
	// sampleRate is the fraction of the answers returned without a rating that is
	// rated in the background, so that the cascade learns from them.
	sampleRate = 0.1
	// maxQueuedRatings limits the answers that wait for a rating. When the queue is
	// full, further answers are not rated.
	maxQueuedRatings = 64
)

// ratingWorker rates a sample of completed answers in the background.
type ratingWorker struct {
	s     *Server
	queue chan ratingJob
}

// ratingJob is a completed step whose answer is to be rated.
type ratingJob struct {
	call *chatCall
	opt  option
	text string
	// escalated is true if the answer of an earlier step was rated below the
	// threshold.
	escalated bool
}

func newRatingJob(c *chatCall, got *collector) ratingJob {
	return ratingJob{c, c.last().option, got.text.String(), len(c.steps) > 1}
}

func newRatingWorker(s *Server) *ratingWorker {
	return &ratingWorker{s: s, queue: make(chan ratingJob, maxQueuedRatings)}
}

// run rates queued answers until ctx ends.
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

// shouldSample decides at random whether to rate an answer that needs no rating
// before it is returned.
func shouldSample() bool { return rand.Float64() < sampleRate }

// enqueueRating queues an answer for rating. If the queue is full, the answer is
// not rated.
func (s *Server) enqueueRating(c *chatCall, got *collector) {
	select {
	case s.ratingWorker.queue <- newRatingJob(c, got):
	default:
	}
}

// meetsThreshold rates an answer before it is returned and reports whether the
// rating reaches the threshold. Without a rating in time, the answer is accepted.
func (s *Server) meetsThreshold(ctx context.Context, c *chatCall, got *collector, threshold float64) bool {
	value, ok := s.rate(ctx, newRatingJob(c, got),
		min(judgeTimeout, time.Until(c.deadline)/2))
	if !ok {
		return true
	}
	return value >= threshold
}

// rate requests a rating from a rating service and passes it to the cascade and
// the counters.
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
		PromptHash: hex.EncodeToString(job.call.quarantineFingerprint[:]),
		Answer:     job.text,
	})
	if err != nil {
		klog.V(1).Infof("rating: Rating request to %s failed, the answer stays unrated: %v.", u.Name, err)
		return 0, false
	}
	s.cascade.AddRating(cascade.Rating{
		Team: job.call.team.Name, Class: job.call.class.Name,
		Model: job.opt.Model, Version: job.opt.Version, Value: value,
		Escalated: job.escalated,
	})
	s.counters.addRating(job.opt, value)
	s.recorder.Record(job.call.id, "cascade.rated", timeline.F("target", job.opt.Target()),
		timeline.F("rating", formatRating(value)))
	return value, true
}
