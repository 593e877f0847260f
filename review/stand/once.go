//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["once"] = playOnce }

// playOnce sends requests on a streaming route that may not be resumed. With the
// trouble, the smallest model says that it is not sure of its answers.
func playOnce(log *record, trouble bool) (int, error) {
	s, err := newSite(log, 3, usualMemoryMB)
	if err != nil {
		return failed, err
	}
	defer s.close()
	confidence := map[string]int{"m0": 95, "m1": 95, "m2": 95}
	if trouble {
		confidence = map[string]int{"m0": 10, "m1": 40, "m2": 95}
	}
	for i := range 6 {
		err := s.addReplica(fmt.Sprintf("e%d", i), func(p *replica) {
			p.service, p.events, p.interval, p.confidence = "scribe", 10, 20*time.Millisecond, confidence
		})
		if err != nil {
			return failed, err
		}
	}
	routes := []map[string]any{streamRoute("note", "/note/", false)}
	s.store.put("config", "main", configuration(4, routes, []string{"key-a", "key-b"}))
	if err := s.startAll(20 * time.Second); err != nil {
		return failed, err
	}
	time.Sleep(4 * time.Second) // the VMs are in touch
	var wait sync.WaitGroup
	var mu sync.Mutex
	served := 0
	for i := range 60 {
		wait.Go(func() {
			a := s.send(s.vms[i%len(s.vms)], call{
				id: fmt.Sprintf("once-%04d", i), method: "POST", host: host, path: "/note/2f", key: "key-a", body: fmt.Sprintf("note %d", i), timeout: 20 * time.Second,
				header: map[string]string{"X-Model": "*", "X-Token-Usage": "460,80", "X-Prefix-Hash": fmt.Sprintf("5c1e07a2:119,%08x:341", i)},
			})
			mu.Lock()
			defer mu.Unlock()
			if a.status == 200 && a.signed {
				served++
			}
		})
		time.Sleep(150 * time.Millisecond)
	}
	wait.Wait()
	runs := make(map[string]int)
	for _, p := range s.replicas {
		for _, a := range p.all() {
			if a.ran {
				runs[a.id]++
			}
		}
	}
	twice := 0
	for id, n := range runs {
		if n > 1 {
			twice++
			log.printf("request %s of a stream that may not be resumed ran %d times", id, n)
		}
	}
	if served < 30 {
		return failed, fmt.Errorf("only %d of 60 requests were served", served)
	}
	return conclude(log, twice > 0, "%d of %d requests that are not idempotent ran more than once; %d served", twice, len(runs), served)
}
