package app

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

func TestSettings(t *testing.T) {
	for _, c := range []struct {
		name string
		yaml string
		want string
	}{
		{"a valid file starts every kind of stand-in", "stand_ins: [{name: p, address: '127.0.0.1:0', platform: {}}, {name: e, address: '127.0.0.1:0', engine: {cold_time: 2s}}, {name: s, address: '127.0.0.1:0', service: {}}, {name: r, address: '127.0.0.1:0', rating: {}}]", ""},
		{"an unknown key", "stand_ins: [{nme: x}]", `unknown field "nme"`},
		{"an unknown unit of time", "stand_ins: [{name: e, address: '127.0.0.1:0', engine: {cold_time: 2 parsecs}}]", "parsecs"},
		{"no address", "stand_ins: [{name: e, rating: {}}]", "needs a name, an address"},
		{"two kinds in one stand-in", "stand_ins: [{name: e, address: '127.0.0.1:0', rating: {}, service: {}}]", "exactly one of platform"},
		{"no stand-ins", "stand_ins: []", "at least one"},
	} {
		t.Run(c.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "fake.yaml")
			require.NoError(t, os.WriteFile(file, []byte(c.yaml), 0o600))
			s, err := Load(file)
			var a *App
			if err == nil {
				a, err = New(s)
			}
			if c.want == "" {
				require.NoError(t, err)
				require.Len(t, a.Addresses(), 4)
				a.Close()
				return
			}
			require.ErrorContains(t, err, c.want)
			require.True(t, result.Is(err, result.SettingsInvalid))
		})
	}
}
