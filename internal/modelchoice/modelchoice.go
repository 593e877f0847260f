// Package modelchoice decides which model answers a request, and whether to drop
// the answer of a small model in favor of a larger model's. It is pure. All values
// are shares of the request's value.
//
// How much better a larger model would answer is learned from the requests that were
// asked again: a model's confidence in its own answer tells how hard the request is
// for it, and the difference of two models' confidences how much more the larger one
// is capable of; see Gains.
package modelchoice

import (
	"math"
	"time"
)

// Weights of the choice.
const (
	// lateValue is the value of a good answer whose first part arrives after the
	// target latency.
	lateValue = 0.3
	// poorValue is the value of an answer to a request that was too hard for its
	// model.
	poorValue = 0.05
	// priceWeight converts a model's price for 1,000 tokens into a share of the
	// request's value. Longer requests have a higher value, so the share does not
	// depend on the length.
	priceWeight = 1.33
	// midConfidence is the confidence at which an answer is as likely good as poor;
	// confidenceScale is the width of the transition, which is wide because models
	// judge their own answers only roughly.
	midConfidence   = 45.0
	confidenceScale = 10.0
	// defaultGoodProbability is the probability that an answer without a confidence
	// is good. It affects only Answer.Value: Escalate always keeps such an answer.
	defaultGoodProbability = 0.8
	// relativeUncertainty is the typical error of an estimated time, as a share of
	// the estimate.
	relativeUncertainty = 0.6
	// minUncertainty is the minimum error assumed for an estimated time.
	minUncertainty = 100 * time.Millisecond
	// loadWeight is the cost for other requests if the upstreams are fully loaded and
	// the first token takes the whole target latency. idleLoadShare is the share of
	// this cost that remains if the upstreams are idle.
	loadWeight    = 1.2
	idleLoadShare = 0.15
	// The load share grows by 1 for each loadShareBacklog of mean prefill backlog,
	// from idleLoadShare up to 1. The upstreams therefore count as fully loaded at
	// (1-idleLoadShare)*loadShareBacklog.
	loadShareBacklog = 600 * time.Millisecond
)

// GoodProbability returns the probability that an answer with a confidence from 0
// to 100 is good; a negative confidence means that the model reported none.
func GoodProbability(confidence int) float64 {
	if confidence < 0 {
		return defaultGoodProbability
	}
	return 1 / (1 + math.Exp((midConfidence-float64(confidence))/confidenceScale))
}

// OnTimeProbability returns the probability that a response that is expected to take
// a given time arrives within the time left.
func OnTimeProbability(expected, timeLeft time.Duration) float64 {
	uncertainty := max(time.Duration(relativeUncertainty*float64(expected)), minUncertainty)
	return 1 / (1 + math.Exp(-3*float64(timeLeft-expected)/float64(uncertainty)))
}

// Answer is an answer that has started and could be kept.
type Answer struct {
	Confidence int
	// TimeLeft is the time until the target latency; negative once it has passed.
	TimeLeft time.Duration
}

// Value returns the value of keeping the answer.
func (a Answer) Value() float64 {
	goodValue := 1.0
	if a.TimeLeft < 0 {
		goodValue = lateValue
	}
	goodProbability := GoodProbability(a.Confidence)
	return goodValue * (goodProbability + (1-goodProbability)*poorValue)
}

// LargerModel is a larger model that could answer instead.
type LargerModel struct {
	// ExpectedConfidence is the expected confidence of its answer.
	ExpectedConfidence int
	// Price is the price of 1,000 generated tokens.
	Price float64
	// FirstToken is the estimated time to the first token.
	FirstToken time.Duration
	// PrefillBacklog is the mean prefill time of the prompts waiting at the upstreams.
	PrefillBacklog time.Duration
	// TimeLeft is the time until the target latency; negative once it has passed.
	TimeLeft      time.Duration
	TargetLatency time.Duration
}

// Value returns the value of asking the larger model. The upstream's time that it
// uses is not available to other requests, so the value falls with the load: in
// bursts of long prompts more answers of small models are kept.
func (m LargerModel) Value() float64 {
	goodProbability := GoodProbability(m.ExpectedConfidence)
	goodValue := goodProbability + (1-goodProbability)*poorValue
	onTimeProbability := OnTimeProbability(m.FirstToken, m.TimeLeft)
	loadShare := min(idleLoadShare+float64(m.PrefillBacklog)/float64(loadShareBacklog), 1)
	loadCost := loadWeight * loadShare * min(float64(m.FirstToken)/float64(max(m.TargetLatency, time.Millisecond)), 1)
	return goodValue*(onTimeProbability+(1-onTimeProbability)*lateValue) - priceWeight*m.Price - loadCost
}

// Escalate returns the index of the larger model that has the highest value, or false
// if keeping the answer has a higher one. An answer without a confidence is always
// kept.
func Escalate(a Answer, larger []LargerModel) (best int, ok bool) {
	if a.Confidence < 0 {
		return 0, false
	}
	value := a.Value()
	for i, m := range larger {
		if v := m.Value(); v > value {
			best, value, ok = i, v, true
		}
	}
	return best, ok
}
