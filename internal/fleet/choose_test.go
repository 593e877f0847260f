package fleet

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a preference for cached prompts that is not weaker in small fleets,
// where the other upstreams soon have the prompt cached too, and against a second
// preferred upstream that is preferred over the first.
func TestUncachedSharesByFleetSize(t *testing.T) {
	for n, want := range map[int][2]float64{1: {0.5, 0.725}, 9: {0.5, 0.725}, 60: {0.3, 0.615}, 940: {0.3, 0.615}} {
		preferred, second := uncachedShares(n)
		assert.InDelta(t, want[0], preferred, 1e-9, "preferred among %d", n)
		assert.InDelta(t, want[1], second, 1e-9, "second preferred among %d", n)
	}
	last := 1.0
	for n := range 100 {
		preferred, second := uncachedShares(n)
		assert.Less(t, preferred, second)
		assert.LessOrEqual(t, preferred, last)
		last = preferred
	}
}
