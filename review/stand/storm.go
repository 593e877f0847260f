//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	stormGap      = 60 * time.Millisecond
	stormVersions = 25 // in 1.5 s
	calmGap       = time.Second
	addedRoutes   = 1904
	// After the acknowledgement of the version that drops the key and the route, requests
	// are counted from checkFrom on, which is later than configApplyMs and revokeMs.
	checkFrom = 5500 * time.Millisecond
	checkEnd  = 15 * time.Second
)

func init() { cases["storm"] = playStorm }

// playStorm writes versions of a large configuration in quick succession, or slowly
// without the trouble. The last one drops a key and a route.
func playStorm(log *record, trouble bool) (int, error) {
	s, err := newSite(log, 6, usualMemoryMB)
	if err != nil {
		return failed, err
	}
	defer s.close()
	for i := range 3 {
		err := s.addReplica(fmt.Sprintf("l%d", i), func(p *replica) { p.service, p.slots, p.work = "ledger", 6, 30*time.Millisecond })
		if err != nil {
			return failed, err
		}
	}
	keys := []string{"key-kept", "key-dropped"}
	kept := route("kept", "/kept/", "safe", "ledger", nil)
	dropped := route("dropped", "/dropped/", "safe", "ledger", nil)
	version := 4
	write := func(routes []map[string]any, keys []string) time.Time {
		at := s.store.put("config", "main", grown(version, routes, keys, addedRoutes))
		log.printf("operator: version %d acknowledged, keys %v, object of %d bytes", version, keys, s.store.size("config", "main"))
		version += 2
		return at
	}
	write([]map[string]any{kept, dropped}, keys)
	if err := s.startAll(30 * time.Second); err != nil {
		return failed, err
	}
	time.Sleep(4 * time.Second) // the VMs are in touch
	check := func(id, path, key string, vm *entryVM) answer {
		return s.send(vm, call{id: id, method: "GET", host: host, path: path, key: key, timeout: 4 * time.Second})
	}
	for i, vm := range s.vms {
		for _, path := range []string{"/kept/2f", "/dropped/2f"} {
			if a := check(fmt.Sprintf("before-%d-%s", i, path[1:5]), path, "key-dropped", vm); a.status != 200 {
				return failed, fmt.Errorf("status %d before the change", a.status)
			}
		}
	}
	gap := calmGap
	if trouble {
		gap = stormGap
	}
	next := time.Now()
	for i := range stormVersions - 1 {
		kept := route("kept", "/kept/", "safe", "ledger", map[string]any{"timeoutMs": 2001 + i})
		write([]map[string]any{kept, dropped}, keys)
		next = next.Add(gap)
		time.Sleep(time.Until(next))
	}
	ack := write([]map[string]any{kept}, keys[:1])
	time.Sleep(time.Until(ack.Add(checkFrom)))
	var mu sync.Mutex
	ran, refused, total := 0, 0, 0
	for n := 0; time.Since(ack) < checkEnd; n++ {
		for i, vm := range s.vms {
			for _, c := range []struct{ path, key string }{{"/kept/2f", "key-dropped"}, {"/dropped/2f", "key-kept"}} {
				id := fmt.Sprintf("after-%d-%d-%s", n, i, c.path[1:5])
				a := check(id, c.path, c.key, vm)
				mu.Lock()
				total++
				if a.status == 200 && a.signed {
					ran++
					log.printf("request %s, sent %.1f s after the acknowledgement, ran with what was dropped", id, time.Since(ack).Seconds())
				} else if a.status == 401 || a.status == 404 {
					refused++
				}
				mu.Unlock()
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
	if ran+refused < total*9/10 {
		return failed, fmt.Errorf("%d of %d requests were answered", ran+refused, total)
	}
	return conclude(log, ran > 0, "%d of %d requests that were sent %.1f to %.0f s after the acknowledgement ran with a dropped key or route", ran, total, checkFrom.Seconds(), checkEnd.Seconds())
}
