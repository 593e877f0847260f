package operator

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/program"
)

// Guards against an exit status by which a script sends a faulty configuration, and against
// output that it cannot read.
func TestCheckExitStatus(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	sound := file("sound", `{"version": 2, "services": [{"name": "s"}], "routes": [{"name": "a", "host": "h", "pathPrefix": "/a/", "service": "s"}]}`)
	older := file("older", `{"version": 1, "services": [{"name": "s"}]}`)
	faulty := file("faulty", `{"version": 3, "routes": [{"name": "a", "host": "h", "pathPrefix": "/a/", "service": "s"}]}`)
	for _, tt := range []struct {
		name, args, out string
		want            int
	}{
		{"sound", sound, "no findings", program.ExitOK},
		{"compared", sound + " --against " + older, "added routes[0] (a)", program.ExitOK},
		{"not newer", older + " --against " + sound, "2028 config_version_not_newer version: version 1 is not newer than 2", program.ExitFailed},
		{"faulty", faulty, "2024 config_service_missing routes[0].service:", program.ExitFailed},
		{"body above the smallest VM", file("body", `{"limits": {"maxBodyBytes": 28311553}}`), "2027 config_limits_contradict limits.maxBodyBytes", program.ExitFailed},
		{"no such file", filepath.Join(dir, "none"), "", program.ExitUsage},
		{"no such file to compare with", sound + " --against " + filepath.Join(dir, "none"), "", program.ExitUsage},
		{"not JSON", file("text", "routes: []"), "", program.ExitUsage},
		{"a directory", dir, "", program.ExitUsage},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var out, stderr strings.Builder
			code := Main(t.Context(), append([]string{"check"}, strings.Fields(tt.args)...), &out, &stderr)
			assert.Equal(t, tt.want, code, stderr.String())
			assert.Contains(t, out.String(), tt.out)
		})
	}
	var out, stderr strings.Builder
	assert.Equal(t, program.ExitFailed, Main(t.Context(), []string{"check", faulty, "--output", "json", "--against", older}, &out, &stderr))
	var report checkReport
	require.NoError(t, json.Unmarshal([]byte(out.String()), &report))
	assert.Equal(t, "routes[0].service", report.Findings[0].Path)
	assert.Len(t, report.Changes, 3) // the version, the route and the service
}
