package document

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzLoad checks that no input makes the decoder panic, and that accepted
// documents can be indexed and are unchanged after encoding and decoding.
func FuzzLoad(f *testing.F) {
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := Parse(b)
		if err != nil {
			require.NotEmpty(t, FaultsOf(err))
			return
		}
		NewIndex(d)
		if Validate(d) != nil {
			return
		}
		text, err := Encode(d)
		require.NoError(t, err)
		again, err := Load(text)
		require.NoError(t, err)
		require.Empty(t, Diff(d, again))
		requireStoredRoundTrip(t, d)
	})
}

// requireStoredRoundTrip checks that both decoders decode the stored form to the
// same document with the same digest.
func requireStoredRoundTrip(t *testing.T, d *Document) {
	t.Helper()
	stored, err := EncodeStored(d)
	require.NoError(t, err)
	want, err := Digest(d)
	require.NoError(t, err)
	for _, load := range []func([]byte) (*Document, error){LoadStored, Load} {
		again, err := load(stored)
		require.NoError(t, err)
		require.Empty(t, Diff(d, again))
		got, err := Digest(again)
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
}
