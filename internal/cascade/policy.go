package cascade

import "time"

// policy is one way to serve a request: run an option, and if it is judged
// below the threshold, run the next one.
type policy struct {
	entry               int
	judge               bool
	thresholdBin        int
	next                int
	cost                float64
	quality             float64 // expected quality
	escalateProbability float64 // probability of an answer below the threshold
}

// judgeTime is the expected time of a rating that an answer waits for.
const judgeTime = 300 * time.Millisecond

// policies lists the ways that fit into the time left.
func feasiblePolicies(options []Option, estimates, escalated []estimate, durations []time.Duration, r *Request, judgingAllowed bool) (out []policy, shortOfTime bool) {
	mustJudge := judgeRequired(estimates, r.Target)
	for i := range options {
		if durations[i] <= r.TimeLeft && !mustJudge[i] {
			out = append(out, policy{entry: i, cost: options[i].Cost, quality: estimates[i].mean})
		}
		if !judgingAllowed || estimates[i].bad {
			continue
		}
		for j := i + 1; j < len(options); j++ {
			if estimates[j].bad {
				continue
			}
			if durations[i]+judgeTime+durations[j] > r.TimeLeft {
				shortOfTime = true
				continue
			}
			out = appendJudgedPolicies(out, options, estimates, escalated, i, j, r.Target)
		}
	}
	return out, shortOfTime
}

// A mean may be met by blending very good answers with very bad ones, which is
// not what the target is for. Hence a version that turned bad is not used, an
// option whose mean lies more than directBelow under the target gives no answer
// that is not judged, and no answer rated more than answerBelow under it is
// accepted.
const (
	maxDirectShortfall = 0.12
	maxAnswerShortfall = 0.2
)

// barredOptions marks the options whose answers may not go out unjudged. The
// best option always may.
func judgeRequired(estimates []estimate, target float64) []bool {
	out := make([]bool, len(estimates))
	best := 0
	for i := range estimates {
		out[i] = estimates[i].bad || estimates[i].mean < target-maxDirectShortfall
		if estimates[i].mean > estimates[best].mean {
			best = i
		}
	}
	out[best] = false
	return out
}

// judged adds the ways that run option i and, below each threshold, option j.
func appendJudgedPolicies(out []policy, options []Option, estimates, escalated []estimate, i, j int, target float64) []policy {
	for b := max(1, binOf(clamp(target-maxAnswerShortfall))); b < bins; b++ {
		p, mean := estimates[i].atLeast(b)
		out = append(out, policy{
			entry: i, judge: true, thresholdBin: b, next: j, escalateProbability: 1 - p,
			cost:    options[i].Cost + (1-p)*options[j].Cost,
			quality: p*mean + (1-p)*escalated[j].mean,
		})
	}
	return out
}

// strongEnough is the cheapest option expected to meet the target, or the one
// with the highest expectation.
func cheapestSufficient(estimates []estimate, target float64) int {
	best := 0
	for i := range estimates {
		if estimates[i].mean >= target {
			return i
		}
		if estimates[i].mean > estimates[best].mean {
			best = i
		}
	}
	return best
}

// mix is the cheapest blend of two policies of one kind of requests: high for
// the given fraction of them, low for the others.
type mix struct {
	low, high policy
	fraction  float64
}

// Kinds of requests: a streamed answer can't be judged and replaced.
const (
	kindBuffered = iota
	kindStreamed
	kindCount
)

func kindOf(r *Request) int {
	if r.Streaming {
		return kindStreamed
	}
	return kindBuffered
}

// priceSteps is the number of halvings in the search for the price of quality,
// and maxPrice the highest price, in cost units for a rating of 1.
const (
	priceSearchSteps = 40
	maxPrice         = 1e6
)

// cheapest finds the cheapest mixes of both kinds whose joint mean meets the
// target; streamed is the streamed part of the requests. The class's target is
// a mean, so quality is bought where it costs least. At one price of quality
// each kind takes the policy with the least cost minus worth; the price is found
// at which the joint mean crosses the target, and the policies on both sides of
// it are blended. If nothing meets the target the strongest ways are taken.
func cheapestMixes(policies [kindCount][]policy, target, streamedFraction float64) (out [kindCount]mix, ok bool) {
	if len(policies[kindBuffered]) == 0 || len(policies[kindStreamed]) == 0 {
		return out, false
	}
	evaluate := func(price float64) (chosen [kindCount]policy, quality float64) {
		for k := range policies {
			chosen[k] = bestPolicy(policies[k], price)
		}
		return chosen, streamedFraction*chosen[kindStreamed].quality + (1-streamedFraction)*chosen[kindBuffered].quality
	}
	low, high := 0.0, maxPrice
	for range priceSearchSteps {
		mid := (low + high) / 2
		if low == 0 {
			mid = high / 8 // prices span many magnitudes
		}
		if _, v := evaluate(mid); v >= target {
			high = mid
		} else {
			low = mid
		}
	}
	below, lowQuality := evaluate(low)
	above, highQuality := evaluate(high)
	fraction := 1.0
	if lowQuality < target && highQuality > lowQuality {
		fraction = min(1, (target-lowQuality)/(highQuality-lowQuality))
	}
	if lowQuality >= target {
		above = below
	}
	for k := range out {
		out[k] = mix{low: below[k], high: above[k], fraction: fraction}
	}
	return out, true
}

// bestAt is the policy with the least cost minus worth at a price of quality;
// of equals the better one.
func bestPolicy(ps []policy, price float64) policy {
	best := ps[0]
	for _, p := range ps[1:] {
		a, b := p.cost-price*p.quality, best.cost-price*best.quality
		if a < b || (a == b && p.quality > best.quality) {
			best = p
		}
	}
	return best
}
