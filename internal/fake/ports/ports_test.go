package ports

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestFreeAddressesAreUnique(t *testing.T) {
	seen := make(map[string]bool)
	for range 1000 {
		a, err := FreeAddress()
		require.NoError(t, err)
		assert.False(t, seen[a], "%s was given twice", a)
		seen[a] = true
	}
}
