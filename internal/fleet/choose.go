package fleet

import (
	"time"
)

// Weights of the choice, in milliseconds of expected waiting unless named
// otherwise.
const (
	// zonePenalty is the cost of a byte-carrying hop between zones: the way there
	// and back, and the price of the bytes.
	zonePenalty = 4.0
	// defaultLatency is assumed of a plain upstream that has not answered yet.
	defaultLatency = 30.0
	// defaultPace is the first-token time of one uncached prompt token until it
	// has been measured.
	defaultPace = 0.03
	// tokenFloor is the part of a first token's time that does not depend on the
	// prompt, in tokens.
	tokenFloor = 400
	// decodeCost is the slowdown by one running request.
	decodeCost = 1.0
	// homeFew and homeMany are the shares of a prompt's shared tokens that count
	// as uncached at the prompt's home upstream when this VM has not sent it
	// there: other VMs probably have. Few upstreams soon hold most prompts, so
	// that an even load is worth more there. Both were measured: 0.3 to 0.5 at 9
	// and at 90 upstreams.
	homeFew  = 0.5
	homeMany = 0.3
	// fewUpstreams and manyUpstreams are the sizes at which these hold; the share
	// changes evenly in between.
	fewUpstreams  = 9
	manyUpstreams = 60
	// secondPart is the part of the rest that counts as uncached at the prompt's
	// second home, where it spills to.
	secondPart = 0.45
	// readWeight is what reading a prompt takes from the other requests of an
	// engine, as a multiple of the time that it takes.
	readWeight = 2.0
	// failCost is what a failed attempt costs, as a share of the aim.
	failCost = 1.5
	// crowded is the busy share of slots above which a plain upstream's waiting
	// grows.
	crowded = 0.7
)

// Candidate is what the choice between upstreams depends on.
type Candidate struct {
	// Busy are requests that run or queue there; Slots run at once.
	InFlight float64
	Slots    int
	// Reading is the time that prompts ahead of this request take, in ms.
	PrefillBacklogMs float64
	// Uncached are this request's prompt tokens that have to be read.
	UncachedTokens int
	// Pace is the time of one prompt token, in ms.
	MsPerToken float64
	// Latency is the average time of a plain call, in ms.
	LatencyMs float64
	// Slow is how much slower than others the upstream has been.
	Slowdown float64
	// Failures is the share of attempts that fail there.
	FailureRate float64
	SameZone    bool
	// Generates is true for model engines.
	ModelEngine bool
}

// discounts are the shares of a prompt's shared tokens that count as uncached
// at its home and at its second home, among n upstreams.
func discounts(n int) (home, second float64) {
	part := float64(n-fewUpstreams) / float64(manyUpstreams-fewUpstreams)
	home = homeFew + min(max(part, 0), 1)*(homeMany-homeFew)
	return home, home + secondPart*(1-home)
}

// Expect estimates the time to the first byte of an answer, in milliseconds.
// For engines it is the reading of prompts ahead and of the request's own;
// for plain services the queue for a slot and the call.
func (c Candidate) ExpectedLatencyMs() float64 {
	if c.ModelEngine {
		reading := c.PrefillBacklogMs + float64(c.UncachedTokens+tokenFloor)*c.MsPerToken
		return reading*c.Slowdown + c.InFlight*decodeCost
	}
	latency := c.LatencyMs
	if latency == 0 {
		latency = defaultLatency
	}
	slots := float64(max(c.Slots, 1))
	queue := max(c.InFlight+1-slots, 0) / slots * latency
	crowd := max(c.InFlight/slots-crowded, 0) * latency
	return latency + queue + crowd + c.InFlight/slots
}

// Cost is the expected time with the risk of failure and the distance, in ms.
// The request goes to the candidate with the least cost. It answers bursts and
// long prompts (own requests count at once, reports only as long as they are
// fresh) and upstreams that fail part of their requests while they look well.
func (c Candidate) Cost(aim time.Duration) float64 {
	cost := c.ExpectedLatencyMs() + c.FailureRate*failCost*float64(aim.Milliseconds())
	if c.ModelEngine {
		cost += readWeight * float64(c.UncachedTokens) * c.MsPerToken
	}
	if !c.SameZone {
		cost += zonePenalty
	}
	return cost
}
