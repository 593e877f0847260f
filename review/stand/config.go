//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"strings"
)

const host = "ficu95.example"

// route returns a route of the configuration.
func route(name, prefix, kind, service string, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": host, "pathPrefix": prefix, "routeType": kind, "service": service, "timeoutMs": 2000,
		"targetLatencyMs": 300, "maxAttempts": 1, "priority": 1,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// streamRoute returns a route of model requests whose model the system chooses.
func streamRoute(name, prefix string, resumable bool) map[string]any {
	return route(name, prefix, "streaming", "scribe", map[string]any{
		"timeoutMs": 20000, "targetLatencyMs": 2000, "targetGapMs": 1200, "maxAttempts": 3, "resumable": resumable, "sticky": true,
		"sizes": []string{"m0", "m1", "m2"},
	})
}

// configuration returns a configuration as the operator writes it.
func configuration(version int, routes []map[string]any, keys []string) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{"name": "scribe", "healthPath": "/healthz", "engine": map[string]any{"slots": 64, "kvCapacity": 536704, "models": []any{
				map[string]any{"name": "m0", "cost": 0.017}, map[string]any{"name": "m1", "cost": 0.13}, map[string]any{"name": "m2", "cost": 0.26},
			}}},
			map[string]any{"name": "ledger", "healthPath": "/healthz"},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "school", "apiKeys": keys[:1]}, map[string]any{"name": "bookshop", "apiKeys": keys[1:]}},
	}
}

// grown adds routes to a configuration until its object has about the largest size
// that the store takes. The routes' names fill what is left.
func grown(version int, routes []map[string]any, keys []string, added int) map[string]any {
	size := func(c map[string]any) int {
		raw, err := json.Marshal(c)
		if err != nil {
			panic(err)
		}
		return len(raw)
	}
	base := configuration(version, routes, keys)
	const metadata = 200 // of the object, more than it has
	pad := 0
	if added > 0 {
		one := route("r-00000-", "/r00000/2f/", "safe", "ledger", nil)
		pad = (maxValueBytes-metadata-size(base))/added - size(one) - 1
	}
	for i := range added {
		routes = append(routes, route(fmt.Sprintf("r-%05d-%s", i, strings.Repeat("n", max(pad, 0))), fmt.Sprintf("/r%05d/2f/", i), "safe", "ledger", nil))
	}
	return configuration(version, routes, keys)
}
