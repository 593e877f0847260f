//go:build review

package main

import (
	"fmt"
	"time"
)

func init() { cases["target"] = playTarget }

// playTarget sends requests of a client to a route with the prefix "/". In trouble, the
// path of every second one begins with two slashes.
func playTarget(r *rig) (bool, error) {
	s := &replicas{rig: r, work: 15 * time.Millisecond}
	for i, zone := range zones {
		if err := s.startReplica(fmt.Sprintf("i-%08x", i+1), plain, zone); err != nil {
			return false, err
		}
	}
	r.configure(7, route("r-2yhvz3p", "/", "unsafe", 1200, 100, plain, 1))
	v, err := r.startVM("edge-dakar-plateau-1", zones[0], machineMB)
	if err != nil {
		return false, err
	}
	if err := r.awaitReady(v); err != nil {
		return false, err
	}
	broken := 0
	for i := range 20 {
		id, target := fmt.Sprintf("9c41d07be2a35f%02x", i), "/lohu930/2f?a=1"
		if r.trouble && i%2 == 1 {
			target = "/" + target
		}
		body := fmt.Sprintf("deposit %d", i)
		p := send(v.frontend, head("POST", target, id, 1500*time.Millisecond, fmt.Sprintf("Content-Length: %d", len(body)))+body, "POST", 1500*time.Millisecond)
		r.add("client sent %s POST %s and got %s", id, target, p)
		if p.status == 0 {
			return false, cannotRun("no answer to %s: %v", id, p.err)
		}
		for _, x := range s.runsOf(id) {
			if x.target != target || x.host != host || x.body != body || x.method != "POST" {
				broken++
				r.add("UNASKED: replica %s ran %s as %s (host %s), the client had sent %s (host %s)", x.replica, id, x.target, x.host, target, host)
			}
		}
	}
	if broken > 0 {
		return false, fmt.Errorf("UNASKED: %d requests ran with another path than the client's", broken)
	}
	return true, nil
}
