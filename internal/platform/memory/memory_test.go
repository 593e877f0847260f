package memory_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/platform/memory"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

func TestSwitches(t *testing.T) {
	s := memory.New()
	s.SetDown(true)
	_, err := s.Create(t.Context(), "k", "n", nil)
	require.True(t, result.Is(err, result.PlatformUnavailable), "%v", err)
	s.SetDown(false)
	s.LoseResponses(1)
	_, err = s.Create(t.Context(), "k", "n", []byte("v"))
	require.True(t, result.Is(err, result.PlatformWriteUnknown), "%v", err)
	_, err = s.Create(t.Context(), "k", "m", nil)
	require.NoError(t, err)
	require.Equal(t, 3, s.CallsOf(memory.Create, "k"))
	require.Len(t, s.History("k"), 2)
	require.Equal(t, []byte("v"), s.History("")[0].Value)
}
