package modelchoice

import "math"

// Operators rank kinds of request by priority. Where callers compete for capacity, a
// larger model must pay off for what the rank says the answer is worth: its tokens cost
// the same for a request of low priority, and take the time of upstreams from urgent ones.
//
// Load pattern: one kind of request at 1.5 to 2.5 times its usual for seconds, while the
// upstreams are busy with large models' answers to the least urgent kind.
const (
	// valueRatio is by how much the value of an answer per token falls from one priority
	// to the next. Operators state the order only; half is the least that keeps an answer
	// from being worth more than two of the next priority.
	valueRatio = 2.0
	// maxPriority limits the exponent. Lower priorities differ no further.
	maxPriority = 4
)

// PriceFactor returns by what factor prices weigh more for a request of a priority than
// for one of the most urgent, priority 0.
func PriceFactor(priority int) float64 {
	return math.Pow(valueRatio, float64(min(max(priority, 0), maxPriority)))
}
