// Package modelchoice decides which model answers a request, and whether the
// answer of a small model is dropped for that of a larger one. It is pure. All
// values are shares of a request's worth.
package modelchoice

import (
	"math"
	"time"
)

// Weights of the choice.
const (
	// lateWorth is the worth of a good answer whose first part comes after the aim.
	lateWorth = 0.3
	// poorWorth is the worth of an answer that was too hard for its model.
	poorWorth = 0.05
	// priceWeight turns a model's price of 1,000 tokens into a share of the worth
	// of the request that they serve: requests are worth more the longer they are.
	priceWeight = 1.33
	// evenConfidence is the confidence at which an answer is as likely good as
	// not, and confidenceWidth how fast that changes. Models tell good from poor
	// roughly: measured over the share of requests kept at several thresholds.
	evenConfidence  = 45.0
	confidenceWidth = 10.0
	// unsaidGood is the chance that an answer without an opinion is good.
	unsaidGood = 0.8
	// estimateSpread is the part of an estimated time by which it is often off.
	estimateSpread = 0.6
	// estimateLeast is the least uncertainty of an estimated time.
	estimateLeast = 100 * time.Millisecond
	// loadWeight is what a request that fills the whole aim takes from others
	// when the replicas are busy; idleLoad is the share of that which it takes
	// when they are idle.
	loadWeight = 1.2
	idleLoad   = 0.15
	// fullBacklog is the mean backlog at which the replicas count as busy.
	fullBacklog = 600 * time.Millisecond
)

// Good is the chance that an answer with a confidence from 0 to 100 is good; a
// negative confidence stands for none.
func GoodProbability(confidence int) float64 {
	if confidence < 0 {
		return unsaidGood
	}
	return 1 / (1 + math.Exp((evenConfidence-float64(confidence))/confidenceWidth))
}

// OnTime is the chance that something estimated to take expect is over in left.
func OnTimeProbability(expect, left time.Duration) float64 {
	spread := max(time.Duration(estimateSpread*float64(expect)), estimateLeast)
	return 1 / (1 + math.Exp(-3*float64(left-expect)/float64(spread)))
}

// Answer is an answer that has begun and could be kept.
type Answer struct {
	Confidence int
	// Left is the time until the aim passes; negative when it has passed.
	TimeLeft time.Duration
}

// Value of keeping the answer.
func (a Answer) Value() float64 {
	worth := 1.0
	if a.TimeLeft < 0 {
		worth = lateWorth
	}
	good := GoodProbability(a.Confidence)
	return worth * (good + (1-good)*poorWorth)
}

// Offer is a larger model that could answer instead.
type LargerModel struct {
	// Cost is the price of 1,000 generated tokens.
	Price float64
	// Expect is the estimated time to its first token.
	FirstToken time.Duration
	// Backlog is the reading that waits at the replicas, as a mean.
	PrefillBacklog time.Duration
	// Left and Aim are the time until the aim passes, and the aim.
	TimeLeft      time.Duration
	TargetLatency time.Duration
}

// Value of asking the larger model. The replica time that it takes is missing
// to others, so that under load the same rule asks it less often: it answers
// bursts of long prompts with more answers of the small models.
func (o LargerModel) Value() float64 {
	onTime := OnTimeProbability(o.FirstToken, o.TimeLeft)
	busy := min(idleLoad+float64(o.PrefillBacklog)/float64(fullBacklog), 1)
	load := loadWeight * busy * min(float64(o.FirstToken)/float64(max(o.TargetLatency, time.Millisecond)), 1)
	return onTime + (1-onTime)*lateWorth - priceWeight*o.Price - load
}

// Escalate reports whether the larger model is worth more. An answer without an
// opinion of itself is kept: nothing speaks against it.
func Escalate(a Answer, o LargerModel) bool {
	return a.Confidence >= 0 && o.Value() > a.Value()
}
