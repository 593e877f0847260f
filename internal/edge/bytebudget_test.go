package edge

import (
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against bodies that together exceed the room, large ones that leave none to small
// ones, and room that is lost.
func TestByteBudget(t *testing.T) {
	b := newByteBudget(40) // room for 10 MiB
	large := 0
	for large < 1000 && b.grow(0, 1<<20) {
		large++
	}
	assert.Equal(t, 7, large)
	small := 0
	for small < 1000 && b.grow(0, 32<<10) {
		small++
	}
	assert.Equal(t, 3<<20/(32<<10), small)
	assert.True(t, b.grow(32<<10, 0))
	assert.True(t, b.grow(0, 32<<10))
	for range large {
		assert.True(t, b.grow(1<<20, 0))
	}
	for range small {
		assert.True(t, b.grow(32<<10, 0))
	}
	assert.Zero(t, b.inUse())
	assert.True(t, newByteBudget(0).grow(0, 1<<40), "no limit is set")
}

// Guards against a body without a length that is read beyond its room, or wrongly.
func TestBodyWithoutLength(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 50 {
		text := strings.Repeat("x", rng.IntN(300_000))
		x := &requestState{proxy: &Proxy{bodies: newByteBudget(4)}}
		body, err := x.readAll(iotest.OneByteReader(io.MultiReader(strings.NewReader(text))), -1)
		require.NoError(t, err)
		assert.Equal(t, text, string(body))
		assert.GreaterOrEqual(t, x.heldBytes, int64(len(text)))
		assert.LessOrEqual(t, x.heldBytes, int64(2*len(text)+bodyStep))
		x.holdBytes(0)
		assert.Zero(t, x.proxy.bodies.inUse())
	}
	x := &requestState{proxy: &Proxy{bodies: newByteBudget(4)}}
	_, err := x.readAll(strings.NewReader(strings.Repeat("x", 2<<20)), -1)
	assert.ErrorIs(t, err, errNoBodyRoom)
}
