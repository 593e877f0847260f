package settings

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

// FuzzDecode checks that no input makes the decoder panic, and that each error
// is one line with the code SettingsInvalid.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(routerYAML))
	f.Fuzz(func(t *testing.T, b []byte) {
		var s Router
		err := Decode("r.yaml", b, &s)
		if err == nil {
			require.NotEmpty(t, s.Agent)
			return
		}
		e := result.From(err)
		require.Equal(t, result.SettingsInvalid, e.Code)
		require.False(t, strings.ContainsAny(e.Detail, "\r\n"), "%q", e.Detail)
	})
}
