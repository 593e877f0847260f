package admission

import (
	"math"
	"time"
)

// bucket is a token bucket whose rate and depth follow the VM's share.
type bucket struct {
	tokens  float64
	updated time.Time
}

// refill adds the tokens earned until now. Tokens above the depth are discarded,
// so that the burst shrinks together with the share.
func (b *bucket) refill(rate, depth float64, now time.Time) {
	if b.updated.IsZero() {
		b.tokens = depth
	} else if d := now.Sub(b.updated); d > 0 {
		b.tokens += rate * d.Seconds()
	}
	b.tokens = min(b.tokens, depth)
	b.updated = now
}

// takeToken removes one token, or returns the time until one is available.
func (b *bucket) takeToken(rate float64) (time.Duration, bool) {
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	if rate <= 0 {
		return maxRetryAfter, false
	}
	s := math.Min((1-b.tokens)/rate, maxRetryAfter.Seconds())
	return time.Duration(s * float64(time.Second)), false
}
