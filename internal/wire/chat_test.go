package wire

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFirstMessage(t *testing.T) {
	for _, c := range []struct {
		name     string
		messages string
		want     string
	}{
		{"text", `[{"role":"system","content":"rules"},{"role":"user","content":"x"}]`, "rules"},
		{"spaces are ignored", ` [ { "content" : "rules" } ]`, "rules"},
		{"a list of parts as JSON", `[{"content":[{"type":"text"}]}]`, `[{"type":"text"}]`},
		{"no message", `[]`, ""},
		{"not a list", `{"content":"x"}`, ""},
		{"broken", `[{"content":`, ""},
	} {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.want, FirstMessage([]byte(c.messages))) })
	}
}

func TestPrefixHash(t *testing.T) {
	long := strings.Repeat("x", maxPrefixBytes)
	require.Equal(t, PrefixHash("m@v", long+"a"), PrefixHash("m@v", long+"b"))
	require.NotEqual(t, PrefixHash("m@v", "a"), PrefixHash("m@v", "b"))
	require.NotEqual(t, PrefixHash("m@v", "a"), PrefixHash("m@w", "a"))
}
