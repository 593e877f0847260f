package fleet

import (
	"time"
)

// Weights of the choice, in milliseconds of expected waiting unless named
// otherwise.
const (
	// zonePenalty is the cost of a byte-carrying hop between zones: the way there
	// and back, and the price of the bytes.
	crossZonePenalty = 4.0
	// defaultLatency is assumed of a plain upstream that has not answered yet.
	defaultLatencyMs = 30.0
	// defaultPace is the first-token time of one uncached prompt token until it
	// has been measured.
	defaultMsPerToken = 0.03
	// tokenFloor is the part of a first token's time that does not depend on the
	// prompt, in tokens.
	firstTokenOverheadTokens = 400
	// decodeCost is the slowdown by one running request.
	decodeCostMs = 1.0
	// homeFew and homeMany are the shares of a prompt's shared tokens that count
	// as uncached at the prompt's home upstream when this VM has not sent it
	// there: other VMs probably have. Few upstreams soon hold most prompts, so
	// that an even load is worth more there. Both were measured: 0.3 to 0.5 at 9
	// and at 90 upstreams.
	preferredShareSmallFleet = 0.5
	preferredShareLargeFleet = 0.3
	// fewUpstreams and manyUpstreams are the sizes at which these hold; the share
	// changes evenly in between.
	smallFleetSize = 9
	largeFleetSize = 60
	// secondPart is the part of the rest that counts as uncached at the prompt's
	// second home, where it spills to.
	secondPreferredShare = 0.45
	// readWeight is what reading a prompt takes from the other requests of an
	// engine, as a multiple of the time that it takes.
	prefillWeight = 2.0
	// failCost is what a failed attempt costs, as a share of the aim.
	failurePenalty = 1.5
	// crowded is the busy share of slots above which a plain upstream's waiting
	// grows.
	crowdingThreshold = 0.7
)

// Candidate is what the choice between upstreams depends on.
type Candidate struct {
	// Busy are requests that run or queue there; Slots run at once.
	Busy  float64
	Slots int
	// Reading is the time that prompts ahead of this request take, in ms.
	Reading float64
	// Uncached are this request's prompt tokens that have to be read.
	Uncached int
	// Pace is the time of one prompt token, in ms.
	Pace float64
	// Latency is the average time of a plain call, in ms.
	Latency float64
	// Slow is how much slower than others the upstream has been.
	Slow float64
	// Failures is the share of attempts that fail there.
	Failures float64
	SameZone bool
	// Generates is true for model engines.
	Generates bool
}

// discounts are the shares of a prompt's shared tokens that count as uncached
// at its home and at its second home, among n upstreams.
func uncachedShares(n int) (preferred, second float64) {
	position := float64(n-smallFleetSize) / float64(largeFleetSize-smallFleetSize)
	preferred = preferredShareSmallFleet + min(max(position, 0), 1)*(preferredShareLargeFleet-preferredShareSmallFleet)
	return preferred, preferred + secondPreferredShare*(1-preferred)
}

// Expect estimates the time to the first byte of an answer, in milliseconds.
// For engines it is the reading of prompts ahead and of the request's own;
// for plain services the queue for a slot and the call.
func (c Candidate) Expect() float64 {
	if c.Generates {
		prefill := c.Reading + float64(c.Uncached+firstTokenOverheadTokens)*c.Pace
		return prefill*c.Slow + c.Busy*decodeCostMs
	}
	latency := c.Latency
	if latency == 0 {
		latency = defaultLatencyMs
	}
	slots := float64(max(c.Slots, 1))
	queue := max(c.Busy+1-slots, 0) / slots * latency
	crowding := max(c.Busy/slots-crowdingThreshold, 0) * latency
	return latency + queue + crowding + c.Busy/slots
}

// Cost is the expected time with the risk of failure and the distance, in ms.
// The request goes to the candidate with the least cost. It answers bursts and
// long prompts (own requests count at once, reports only as long as they are
// fresh) and upstreams that fail part of their requests while they look well.
func (c Candidate) Cost(aim time.Duration) float64 {
	cost := c.Expect() + c.Failures*failurePenalty*float64(aim.Milliseconds())
	if c.Generates {
		cost += prefillWeight * float64(c.Uncached) * c.Pace
	}
	if !c.SameZone {
		cost += crossZonePenalty
	}
	return cost
}
