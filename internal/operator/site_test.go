package operator

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cranberrypier/cranberrypier/internal/fake/platformside"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

func TestSitePrintsStoreObjects(t *testing.T) {
	store := platformside.NewStore()
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	printSite := func() (string, error) {
		var out strings.Builder
		c := SiteCommand{Store: strings.TrimPrefix(server.URL, "http://")}
		err := c.Run(&Env{Context: t.Context(), Out: &out})
		return out.String(), err
	}
	text, err := printSite()
	require.NoError(t, err)
	assert.Contains(t, text, "no configuration")
	store.Put("config", "main", map[string]any{"version": 7, "routes": []any{}, "services": []any{map[string]any{"name": "s"}}})
	for _, id := range []string{"a", "b"} {
		store.Put("servers", id, map[string]any{"service": "s", "address": "10.0.0.1:1", "zone": "z1", "version": "v1", "slots": 1, "state": "ready"})
	}
	store.Put("servers", "c", map[string]any{"service": 3})
	store.Put("rollouts", "s", map[string]any{"service": "s", "target": "v2", "durationS": 24})
	store.Put("evacuations", "z2", map[string]any{})
	text, err = printSite()
	require.NoError(t, err)
	for _, want := range []string{"configuration 7: 0 routes, 1 services", "s        v1       z1    ready  2", "entry c is not a valid upstream", "roll-out of s to v2 in 24s: in_progress", "zone z2 is withdrawn"} {
		assert.Contains(t, text, want)
	}
	store.SetFaults(platformside.StoreFaults{Status: 503})
	_, err = printSite()
	assert.True(t, result.Is(err, result.PlatformBusy), "%v", err)
}
