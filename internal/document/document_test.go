package document

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func loadExample(t testing.TB, name string) *Document {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("..", "..", "examples", name))
	require.NoError(t, err)
	d, err := Load(b)
	require.NoError(t, err)
	return d
}

func TestExamplesSurviveEncoding(t *testing.T) {
	for _, name := range []string{"demo.yaml", "workshop.yaml", "registry.yaml"} {
		t.Run(name, func(t *testing.T) {
			d := loadExample(t, name)
			b, err := Encode(d)
			require.NoError(t, err)
			again, err := Load(b)
			require.NoError(t, err)
			assert.Empty(t, Diff(d, again))
			first, err := Digest(d)
			require.NoError(t, err)
			d.Generation, d.Base = 7, 6
			second, err := Digest(again)
			require.NoError(t, err)
			third, err := Digest(d)
			require.NoError(t, err)
			assert.Equal(t, first, second)
			requireStoredRoundTrip(t, d)
			assert.Equal(t, first, third, "generation and base are not part of the content")
		})
	}
}

func TestIndexLookupsDoNotAllocate(t *testing.T) {
	x := NewIndex(loadExample(t, "demo.yaml"))
	long := "a key that is longer than any small stack buffer of the compiler, so that a copy would show"
	n := testing.AllocsPerRun(100, func() {
		team, _ := x.TeamByKey("demo-engravers-key")
		x.TeamByKey(long)
		x.Allowed(team.Name, "draft-small", "v2")
		x.UpstreamsFor(x.Target("draft-small", "v1"))
		x.Successor("draft-small", "v2")
		x.Call("orders", "GET", "/stock/12")
		x.MayCall(team.Name, "orders")
	})
	assert.Zero(t, n)
}
