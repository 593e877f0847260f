package fleet

import (
	"time"
)

// Parameters of the cost function. Those with the suffix Ms are in milliseconds.
const (
	// crossZonePenalty is the cost of sending a request to another zone: the round
	// trip and the price of the transferred bytes.
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
	// If this VM has not sent a prompt to its preferred upstream, only this share of
	// the shared tokens counts as uncached there, because other VMs have probably
	// sent the prompt. With few upstreams most of them soon have most prompts cached,
	// so an even load matters more.
	preferredUncachedShareSmallFleet = 0.5
	preferredUncachedShareLargeFleet = 0.3
	// smallFleetSize and largeFleetSize are the numbers of upstreams at which these
	// shares apply; in between, the share is interpolated linearly.
	smallFleetSize = 9
	largeFleetSize = 60
	// secondPreferredShare: of the shared tokens that count as cached at the
	// preferred upstream, this share counts as uncached at the second preferred one,
	// which receives the overflow.
	secondPreferredShare = 0.45
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
// Prefill is the processing of a prompt before its first token is generated.
type Candidate struct {
	// InFlight is the number of requests that run or queue there; Slots of them can
	// run at the same time.
	InFlight float64
	Slots    int
	// PrefillBacklogMs is the prefill time of the prompts ahead of this request.
	PrefillBacklogMs float64
	// UncachedTokens is the number of this request's prompt tokens that need
	// prefilling.
	UncachedTokens int
	// MsPerToken is the prefill time per uncached prompt token, in ms.
	MsPerToken float64
	// LatencyMs is the average latency of a plain call.
	LatencyMs float64
	// Slowdown is the factor by which first tokens arrive later than their prefill
	// time predicts.
	Slowdown float64
	// FailureRate is the share of attempts that fail there, from 0 to 1.
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
	return preferred, preferred + secondPreferredShare*(1-preferred)
}

// ExpectedLatencyMs estimates the time to the first byte of the response. For
// engines this is the prefill of the prompts ahead and of the request's own
// prompt; for plain services it is the wait for a slot and the call.
func (c Candidate) ExpectedLatencyMs() float64 {
	if c.ModelEngine {
		prefill := c.PrefillBacklogMs + float64(c.UncachedTokens+firstTokenOverheadTokens)*c.MsPerToken
		return prefill*c.Slowdown + c.InFlight*decodeCostMs
	}
	latency := c.LatencyMs
	if latency == 0 {
		latency = defaultLatencyMs
	}
	slots := float64(max(c.Slots, 1))
	queue := max(c.InFlight+1-slots, 0) / slots * latency
	crowding := max(c.InFlight/slots-crowdingThreshold, 0) * latency
	// The last term, in ms, prefers the less busy of two otherwise equal upstreams.
	return latency + queue + crowding + c.InFlight/slots
}

// Cost returns the expected latency in ms, plus penalties for the risk of failure
// and for another zone. The request goes to the candidate with the lowest cost.
// The VM's own requests count immediately, so the cost reacts to bursts before new
// load reports arrive; load reports count only while they are fresh. Prefill
// backlogs account for long prompts, and failure rates for upstreams that look
// healthy but fail some of their requests.
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
