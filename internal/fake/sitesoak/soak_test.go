package sitesoak

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestShortSoak runs the soak briefly with one seed. It fails if a response or an
// executed request violates a guarantee of the platform's protocol, or if too few
// requests are served. Run longer soaks by hand:
// bin/pier-soak --program bin/pier-edge --dir DIR --seed 1 --seeds 50
func TestShortSoak(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "pier-edge")
	out, err := exec.Command("go", "build", "-o", program, "../../../cmd/pier-edge").CombinedOutput()
	require.NoError(t, err, string(out))
	r, err := Run(Options{Program: program, Dir: dir, Seed: 1, Duration: 4 * time.Second, VMs: 3, Callers: 4})
	require.NoError(t, err)
	assert.Empty(t, r.Violations, "events: %v", r.Events)
	assert.Greater(t, r.Served, r.Requests/2)
}
