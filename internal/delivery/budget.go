package delivery

import "sync"

// Budget limits the retries of one VM to a fraction of its first attempts, so
// that retries do not multiply the load during an outage. No other layer
// retries, so the retry ratio of the fleet equals that of each VM. Budget is
// safe for concurrent use and reads no clock.
type Budget struct {
	mu      sync.Mutex
	ratio   float64
	reserve float64
	tokens  float64
}

// NewBudget returns a full budget that allows ratio retries for each first
// attempt and holds at most reserve unused retries.
func NewBudget(ratio, reserve float64) *Budget {
	return &Budget{ratio: ratio, reserve: reserve, tokens: reserve}
}

// Deposit adds the retry allowance of one first attempt.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.reserve, b.tokens+b.ratio)
}

// Withdraw consumes one retry. It returns false if the budget is exhausted.
func (b *Budget) TryTake() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
