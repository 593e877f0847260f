package strictyaml

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestLinesOfKeysAndItems(t *testing.T) {
	var out struct {
		A []struct {
			B int `yaml:"b"`
			C int `yaml:"c"`
		} `yaml:"a"`
	}
	lines, err := Decode([]byte("# note\na:\n- b: 1\n  c: 2\n- {b: 3}\n"), 1000, &out)
	require.NoError(t, err)
	cases := []struct {
		name string
		path string
		want int
	}{
		{"a key", "a", 2},
		{"an item", "a[1]", 5},
		{"a key of an item", "a[0].c", 4},
		{"a missing key falls back to its item", "a[1].c", 5},
		{"a missing item falls back to its list", "a[7].c", 2},
		{"an unknown path", "x.y", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.want, lines.Line(c.path)) })
	}
	assert.Zero(t, Lines{}.Line("a"), "the zero value has no lines")
}
