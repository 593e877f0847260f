// Package modelchoice decides which model answers a request: the one whose
// answer is worth most after what it costs. It is pure.
package modelchoice

import "time"

// Weights of the choice. A request's worth is 1.
const (
	// lateWorth is the worth of a good answer that comes after the aim.
	lateWorth = 0.3
	// outputWeight and inputShare price a run: cost is per 1,000 generated
	// tokens, tokens read count a quarter.
	inputShare = 0.25
	// costPerWorth is what the tokens of a request of average size cost with a
	// model of price 1, as a share of the request's worth.
	tokensPerWorth = 12000.0
	costScale      = 1.0
)

// Model is one of the models that may answer, smallest first.
type Model struct {
	Name string
	// Cost is the price of 1,000 generated tokens.
	Cost float64
	// Good is the chance that its answer is good enough.
	Good float64
	// First is the expected time to its first token.
	First time.Duration
}

// Task is what is known of a request.
type Task struct {
	PromptTokens int
	OutputTokens int
	// Left is the time until the aim passes.
	Left time.Duration
}

// price of a run as a share of a request's worth.
func (t Task) price(m Model) float64 {
	tokens := float64(t.PromptTokens)*inputShare + float64(t.OutputTokens)
	return costScale * m.Cost * tokens / tokensPerWorth
}

// value of running the model now.
func (t Task) value(m Model) float64 {
	worth := 1.0
	if m.First > t.Left {
		worth = lateWorth
	}
	return m.Good*worth - t.price(m)
}

// Best returns the index of the model with the highest value.
func Best(t Task, models []Model) int {
	best := 0
	for i := range models {
		if t.value(models[i]) > t.value(models[best]) {
			best = i
		}
	}
	return best
}
