package fleet

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Among few upstreams a prompt leaves its busy home sooner: the others soon
// hold it too.
func TestUncachedSharesByFleetSize(t *testing.T) {
	for n, want := range map[int][2]float64{1: {0.5, 0.725}, 9: {0.5, 0.725}, 60: {0.3, 0.615}, 940: {0.3, 0.615}} {
		home, second := discounts(n)
		assert.InDelta(t, want[0], home, 1e-9, "home among %d", n)
		assert.InDelta(t, want[1], second, 1e-9, "second home among %d", n)
	}
	last := 1.0
	for n := range 100 {
		home, second := discounts(n)
		assert.Less(t, home, second)
		assert.LessOrEqual(t, home, last)
		last = home
	}
}
