package edge_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The metrics show the VM's requests and state, and the number of label values
// is limited.
func TestMetrics(t *testing.T) {
	s := newSite(t)
	s.metrics = freeAddress(t)
	s.startDefaults()
	many := routes()
	for i := range 60 {
		many = append(many, route{"name": fmt.Sprintf("r%d", i), "host": host, "pathPrefix": fmt.Sprintf("/r%d/", i), "routeType": "safe", "timeoutMs": 1000, "service": orders, "maxAttempts": 1})
	}
	s.configure(many, key)
	require.Eventually(t, func() bool { return s.do(call{id: "x", path: "/r59/x", key: key}).status == 200 }, waitTimeout, pollInterval)
	for i := range 60 {
		s.do(call{id: fmt.Sprint(i), path: fmt.Sprintf("/r%d/x", i), key: key})
	}
	resp, err := http.Get("http://" + s.metrics + "/metrics")
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	for _, name := range []string{
		"pier_requests_total", "pier_first_byte_seconds", "pier_request_seconds", "pier_attempts_total", `pier_response_ends_total{end="regular",framing="length"}`, `pier_attempt_ends_total{cause="complete"}`, "pier_store_calls_total", `pier_store_calls_by_reason_total{reason="few_vms"}`,
		"pier_config_version 6", "pier_upstreams 6", "pier_config_lag_seconds 0", "pier_isolated 0", "pier_bad_load_reports_total 0", `pier_retry_budget_left{service="orders"}`, `route="other"`,
	} {
		assert.Contains(t, string(raw), name)
	}
}
