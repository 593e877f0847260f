package cascade

import "time"

// policy is one way to serve a request: run option first; if judge is set and its
// answer is rated below the threshold, run option next.
type policy struct {
	first               int
	judge               bool
	thresholdBin        int
	next                int
	cost                float64
	quality             float64 // expected rating
	escalateProbability float64 // probability of an answer below the threshold
}

// judgeTime is the expected duration of a rating for which an answer waits.
const judgeTime = 300 * time.Millisecond

// feasiblePolicies returns the policies that fit into the time left. The result
// shortOfTime is true if a judged policy was left out because it does not fit.
func feasiblePolicies(options []Option, estimates, escalated []estimate, durations []time.Duration, r *Request, judgingAllowed bool) (out []policy, shortOfTime bool) {
	mustJudge := judgeRequired(estimates, r.Target)
	for i := range options {
		if durations[i] <= r.TimeLeft && !mustJudge[i] {
			out = append(out, policy{first: i, cost: options[i].Cost, quality: estimates[i].mean})
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

// The target is a mean rating, and blending very good with very bad answers could
// reach it too, which is not intended. Hence a version that turned bad is not
// used; the answers of an option whose mean is more than maxDirectShortfall below
// the target must be judged; and an answer rated more than maxAnswerShortfall
// below the target is not accepted.
const (
	maxDirectShortfall = 0.12
	maxAnswerShortfall = 0.2
)

// judgeRequired marks the options whose answers must be judged before they are
// returned. The option with the highest expected rating is never marked.
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

// appendJudgedPolicies appends one policy for each threshold: run option i and,
// if its answer is rated below the threshold, option j.
func appendJudgedPolicies(out []policy, options []Option, estimates, escalated []estimate, i, j int, target float64) []policy {
	for b := max(1, binOf(clamp(target-maxAnswerShortfall))); b < bins; b++ {
		p, mean := estimates[i].atLeast(b)
		out = append(out, policy{
			first: i, judge: true, thresholdBin: b, next: j, escalateProbability: 1 - p,
			cost:    options[i].Cost + (1-p)*options[j].Cost,
			quality: p*mean + (1-p)*escalated[j].mean,
		})
	}
	return out
}

// cheapestSufficient returns the first option, in cascade order (cheapest first),
// that is expected to meet the target, or the option with the highest expected
// rating if none is.
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

// mix is the cheapest blend of two policies for one kind of requests. The policy
// with the higher quality, high, serves the fraction, and low serves the rest.
type mix struct {
	low, high policy
	fraction  float64
}

// Kinds of requests. A streamed answer can't be judged and replaced.
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

// priceSearchSteps is the number of steps in the binary search for the price of
// quality, and maxPrice the highest price, in cost units for a rating of 1.
const (
	priceSearchSteps = 40
	maxPrice         = 1e6
)

// cheapestMixes returns the cheapest mixes for both kinds of requests whose joint
// mean rating meets the target. The class's target is a mean, so quality is added
// where it costs least. At a given price of quality, each kind uses the policy
// that minimizes cost - price*quality. The function searches for the price at
// which the joint mean crosses the target and blends the policies just below and
// above it. If the target can't be met, it returns the policies with the highest
// quality.
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
			mid = high / 8 // prices span many orders of magnitude
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

// bestPolicy returns the policy that minimizes cost - price*quality. Of equal
// policies it returns the one with the higher quality.
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
