package edge_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against an entry of another writer among those of the upstreams that ends the
// process, or after which it no longer follows the store or its peers.
func TestOddEntryAmongUpstreams(t *testing.T) {
	entry := func(field, value string) string {
		fields := map[string]string{"service": `"orders"`, "address": `"127.0.0.1:9"`, "zone": `"a"`, "version": `"v1"`, "slots": "8", "state": `"ready"`, "born": "1", "sequence": "1"}
		fields[field] = value
		var parts []string
		for k, v := range fields {
			parts = append(parts, fmt.Sprintf("%q:%s", k, v))
		}
		return "{" + strings.Join(parts, ",") + "}"
	}
	for name, raw := range map[string]string{
		"nested deeply":         entry("more", strings.Repeat("[", 9900)+strings.Repeat("]", 9900)),
		"a number too large":    entry("slots", "1e999"),
		"a whole number of 1e9": entry("slots", "1000000000"),
		"negative slots":        entry("slots", "-9223372036854775808"),
		"a port out of range":   entry("address", `"127.0.0.1:99999"`),
		"an address of a URL":   entry("address", `"http://[::1"`),
		"cold for ever":         entry("coldRemainingMs", "1e308"),
		"born beyond a number":  entry("born", "1e308"),
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			s.configure(routes(), key)
			s.startReplica("o1", orders)
			s.store.PutRaw("servers", "a-odd-1", json.RawMessage(raw))
			s.startVM("vm-1")
			s.store.PutRaw("servers", "z-odd-2", json.RawMessage(raw))
			s.startVM("vm-2")
			s.startReplica("o2", orders)
			s.store.Remove("servers", "o1")
			for i, vm := range s.vms {
				reached := func() bool {
					id := fmt.Sprintf("%d-%d", i, time.Now().UnixNano())
					g := s.doAt(vm, call{id: id, path: "/look/x", key: key})
					assert.Equal(t, 200, g.status)
					return len(s.runs(id)) > 0 && s.runs(id)[0].Replica == "o2"
				}
				require.Eventually(t, reached, 4*time.Second, 10*time.Millisecond, "%s does not use the upstream that replaced another after the odd entry", vm.settings.Name)
			}
		})
	}
}
