package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/result"
)

const routerYAML = `fleet: demo
vm: vm-1
zone: az-a
listen:
  callers: 127.0.0.1:18081
  admin: 127.0.0.1:18181
  peer: 127.0.0.1:18281
agent: 127.0.0.1:18381
platform:
  address: 127.0.0.1:17001
tls:
  certificate: vm-1-router.pem
  key: vm-1-router-key.pem
  authority: ca.pem
session_key_file: session.key
`

func TestRouterDefaults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "router.yaml")
	require.NoError(t, os.WriteFile(path, []byte(routerYAML+"limits: {body_bytes: 2MiB}\n"), 0o600))
	var s Router
	require.NoError(t, Load(path, &s))
	assert.Equal(t, int64(2<<20), s.Limits.MaxBodyBytes.Bytes(), "set in the file")
	assert.Equal(t, int64(64<<10), s.Limits.MaxHeaderBytes.Bytes(), "default in a section that the file sets in part")
	assert.Equal(t, 2*time.Second, s.Platform.Timeout.D())
	assert.Equal(t, 30*time.Second, s.Drain.GracePeriod.D())
	assert.Equal(t, 10*time.Second, s.Upstream.StreamIdleTimeout.D())
	assert.Equal(t, "finish", s.Policy.Placement)
}

func TestInvalidSettingsErrors(t *testing.T) {
	cases := []struct {
		name     string
		old, new string
		want     string
	}{
		{"a tab as indentation", "  callers:", "\tcallers:", "r.yaml:5: a tab stands in the indentation, expected spaces"},
		{"an unknown key", "zone: az-a", "zone: az-a\nzoen: az-b", `r.yaml:4: zoen: unknown field "zoen"`},
		{"a duplicate key", "zone: az-a", "zone: az-a\nzone: az-b", `r.yaml:4: mapping key "zone" already defined at [3:1]`},
		{"a missing address", "  address: 127.0.0.1:17001", "  timeout: 1s", "r.yaml:9: platform.address: missing, expected a value"},
		{"a host name instead of an IP address", "127.0.0.1:17001", "platform:17001", `r.yaml:10: platform.address: "platform:17001" is not a valid address, expected IP:port`},
		{"a duration without a unit", "platform:", "drain: {grace: 30}\nplatform:", `r.yaml:9: drain.grace: "30" is not a valid duration, expected a number and a unit such as 200ms, 1.5s or 2m`},
		{"a size with an unsupported unit", "platform:", "limits: {body_bytes: 1GB}\nplatform:", `r.yaml:9: limits.body_bytes: "1GB" is not a valid size, expected a whole number and a unit such as 512B, 64KiB or 1MiB`},
		{"a negative duration", "platform:", "drain: {grace: -1s}\nplatform:", "r.yaml:9: drain.grace: -1s is out of range, expected more than 0s"},
		{"a size above the maximum", "platform:", "limits: {body_bytes: 65MiB}\nplatform:", "r.yaml:9: limits.body_bytes: 68157440B is out of range, expected at most 67108864B"},
		{"an unknown policy", "platform:", "policy: {placement: best}\nplatform:", `r.yaml:9: policy.placement: "best" is unknown, expected one of: finish, round-robin, random`},
		{"a missing section", "tls:\n  certificate: vm-1-router.pem\n  key: vm-1-router-key.pem\n  authority: ca.pem\n", "", "r.yaml:1: tls.certificate: missing, expected a value"},
		{"a number instead of a mapping", "listen:\n  callers: 127.0.0.1:18081\n  admin: 127.0.0.1:18181\n  peer: 127.0.0.1:18281\n", "listen: 7\n", "r.yaml:4: listen: "},
		{"an alias", "vm: vm-1", "vm: *a", "r.yaml:2: Alias is not allowed, expected plain keys and values"},
		{"an empty file", routerYAML, "", "r.yaml:0: no YAML mapping found, expected exactly one"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Contains(t, routerYAML, c.old)
			var s Router
			err := Decode("r.yaml", []byte(strings.Replace(routerYAML, c.old, c.new, 1)), &s)
			require.Error(t, err)
			e := result.From(err)
			assert.Equal(t, result.SettingsInvalid, e.Code)
			assert.Contains(t, e.Detail, c.want)
			assert.NotContains(t, e.Detail, "\n")
		})
	}
}

func TestMissingFile(t *testing.T) {
	var s Agent
	err := Load(filepath.Join(t.TempDir(), "absent.yaml"), &s)
	assert.True(t, result.Is(err, result.SettingsInvalid))
	assert.ErrorContains(t, err, "no such file")
}
