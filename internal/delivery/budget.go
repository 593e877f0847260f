package delivery

import "sync"

// Budget limits the retries of one VM to a fraction of its first attempts, so
// that retries do not multiply the load during an outage. No other layer
// retries, so retries do not multiply across layers and the ratio of each VM
// also holds for the fleet. Budget is safe for concurrent use and reads no clock.
type Budget struct {
	mu        sync.Mutex
	ratio     float64
	maxTokens float64
	tokens    float64
}

// NewBudget returns a full budget that allows ratio retries for each first
// attempt and holds at most maxTokens unused retries.
func NewBudget(ratio, maxTokens float64) *Budget {
	return &Budget{ratio: ratio, maxTokens: maxTokens, tokens: maxTokens}
}

// Deposit adds the retry allowance of one first attempt.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.maxTokens, b.tokens+b.ratio)
}

// TryTake consumes one retry. It returns false if the budget is exhausted.
func (b *Budget) TryTake() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
