package fleet

import (
	"time"
)

// Parameters of the cost function. Those with the suffix Ms are in milliseconds.
const (
	// crossZonePenaltyMs is the cost, expressed in ms, of sending a request to another
	// zone. It stands for the round trip and for the price of the transferred bytes.
	crossZonePenaltyMs = 4.0
	// defaultLatencyMs is the assumed latency of a plain upstream that has not
	// answered yet.
	defaultLatencyMs = 30.0
	// defaultMsPerToken is the assumed prefill time per uncached prompt token, in ms,
	// until the first sample.
	defaultMsPerToken = 0.03
	// firstTokenOverheadTokens is the part of the first-token time that does not
	// depend on the prompt, expressed in prompt tokens.
	firstTokenOverheadTokens = 400
	// decodeCostMs is the delay added by each running request.
	decodeCostMs = 1.0
	// The share of a prompt's shared tokens that counts as uncached at the prompt's
	// preferred upstream (see preferredUpstreams) while this VM has not sent the
	// prompt there. It is below 1, because other VMs have probably sent it. It is
	// larger in a small fleet, which weakens the preference: there most upstreams
	// soon have most prompts cached, and an even load matters more.
	preferredUncachedShareSmallFleet = 0.5
	preferredUncachedShareLargeFleet = 0.3
	// smallFleetSize and largeFleetSize are the numbers of upstreams at which these
	// shares apply; in between, the share is interpolated linearly.
	smallFleetSize = 9
	largeFleetSize = 60
	// secondExtraUncachedShare is the share of the tokens counted as cached at the
	// preferred upstream that counts as uncached at the second preferred one, which
	// receives the overflow.
	secondExtraUncachedShare = 0.45
	// prefillWeight is the cost that prefilling a prompt causes to other requests of
	// the same engine, as a multiple of the prefill time.
	prefillWeight = 2.0
	// failurePenalty is the cost of a failed attempt, as a multiple of the target
	// latency.
	failurePenalty = 1.5
	// crowdingThreshold is the ratio of busy slots above which the expected wait at
	// a plain upstream grows.
	crowdingThreshold = 0.7
)

// Candidate holds the inputs for the cost of sending a request to one upstream.
type Candidate struct {
	// InFlight is the number of requests that run or queue there; Slots of them can
	// run at the same time. This VM's own requests count immediately, so the cost
	// reacts to bursts before new load reports arrive. Load reports count only while
	// they are fresh.
	InFlight float64
	Slots    int
	// PrefillBacklogMs is the prefill time of the prompts ahead of this request,
	// those whose first token has not arrived yet. It accounts for long prompts.
	PrefillBacklogMs float64
	// UncachedTokens is the number of this request's prompt tokens that need
	// prefilling.
	UncachedTokens int
	// MsPerToken is the prefill time per uncached prompt token, in ms.
	MsPerToken float64
	// WorkTime is how long work takes there at the moment, as a multiple of the usual; zero
	// if unknown.
	WorkTime float64
	// LatencyMs is the average latency of a plain call while work takes as long as usual.
	LatencyMs float64
	// Slowdown is the factor by which first tokens arrive later than their prefill
	// time predicts.
	Slowdown float64
	// FailureRate is the share of attempts that fail there, from 0 to 1. It accounts
	// for upstreams that look healthy but fail some of their requests.
	FailureRate float64
	SameZone    bool
	// ModelEngine is true for model engines and false for plain services.
	ModelEngine bool
}

// uncachedShares returns, for a fleet of n upstreams, the shares of a prompt's
// shared tokens that count as uncached at its preferred and at its second
// preferred upstream.
func uncachedShares(n int) (preferred, second float64) {
	position := float64(n-smallFleetSize) / float64(largeFleetSize-smallFleetSize)
	preferred = preferredUncachedShareSmallFleet + min(max(position, 0), 1)*(preferredUncachedShareLargeFleet-preferredUncachedShareSmallFleet)
	return preferred, preferred + secondExtraUncachedShare*(1-preferred)
}

// ExpectedLatencyMs estimates the time to the first byte of the response. For
// engines this is the prefill of the prompts ahead and of the request's own
// prompt; for plain services it is the wait for a slot and the call.
func (c Candidate) ExpectedLatencyMs() float64 {
	work := c.WorkTime
	if work == 0 {
		work = 1
	}
	if c.ModelEngine {
		prefill := c.PrefillBacklogMs + float64(c.UncachedTokens+firstTokenOverheadTokens)*c.MsPerToken
		return (prefill*c.Slowdown + c.InFlight*decodeCostMs) * work
	}
	latency := c.LatencyMs
	if latency == 0 {
		latency = defaultLatencyMs
	}
	latency *= work
	slots := float64(max(c.Slots, 1))
	queue := max(c.InFlight+1-slots, 0) / slots * latency
	crowding := max(c.InFlight/slots-crowdingThreshold, 0) * latency
	// The last term adds 1 ms for each full set of slots in use. It prefers the less
	// busy of two otherwise equal upstreams.
	return latency + queue + crowding + c.InFlight/slots
}

// Cost returns the expected latency in ms plus penalties: for the risk of failure,
// for the delay that the request's prefill causes to the engine's other requests,
// and for another zone. The request goes to the candidate with the lowest cost.
func (c Candidate) Cost(targetLatency time.Duration) float64 {
	cost := c.ExpectedLatencyMs() + c.FailureRate*failurePenalty*float64(targetLatency.Milliseconds())
	if c.ModelEngine {
		cost += prefillWeight * float64(c.UncachedTokens) * c.MsPerToken
	}
	if !c.SameZone {
		cost += crossZonePenaltyMs
	}
	return cost
}
