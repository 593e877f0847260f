package program

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/settings"
)

func TestExitCodes(t *testing.T) {
	good := filepath.Join(t.TempDir(), "ctl.yaml")
	text := "fleet: demo\nagents: [127.0.0.1:1]\ntls: {certificate: a, key: b, authority: c}\n"
	require.NoError(t, os.WriteFile(good, []byte(text), 0o600))
	cases := []struct {
		name string
		args []string
		err  error
		code int
		want string
	}{
		{"success", []string{"--settings", good}, nil, ExitOK, ""},
		{"failure", []string{"--settings", good}, errors.New("x"), ExitFailed, "p: 9001 internal: x\n"},
		{"an address in use", []string{"--settings", good}, trace.Wrap(result.New(result.AddressInUse, "127.0.0.1:1")), ExitUsage, "p: 2102 address_in_use: 127.0.0.1:1\n"},
		{"no settings", nil, nil, ExitUsage, "p: missing flags: --settings=FILE\n"},
		{"a missing settings file", []string{"--settings", "/absent"}, nil, ExitUsage, "p: 2101 settings_invalid: /absent: cannot read the settings file: no such file or directory\n"},
		{"an unknown flag", []string{"--x"}, nil, ExitUsage, "p: unknown flag --x, did you mean \"-h\"?\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var stderr bytes.Buffer
			code := Run(t.Context(), "p", "", c.args, &stderr, func(context.Context, *settings.Ctl) error { return c.err })
			assert.Equal(t, c.code, code)
			assert.Equal(t, c.want, stderr.String())
		})
	}
}
