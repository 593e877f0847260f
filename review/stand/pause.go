//go:build review

package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	pauseReplicas = 5 // of which one is a share of 0.2
	pauseAsked    = 20 * time.Second
	needTime      = 3 * time.Second
	storeCutAfter = 3 * time.Second // from the begin of the need
	storeCutTime  = 5 * time.Second
	pauseSlack    = 500 * time.Millisecond
	maxInPause    = 2 // requests from one machine that the rule allows
)

func init() { cases["pause"] = playPause }

// playPause has one of five replicas turn requests away and ask for a pause. With the
// trouble, the replica then loses its path to the store for five seconds.
func playPause(log *record, trouble bool) (int, error) {
	s, err := newSite(log, 3, usualMemoryMB)
	if err != nil {
		return failed, err
	}
	defer s.close()
	for i := range pauseReplicas {
		err := s.addReplica(fmt.Sprintf("l%d", i), func(p *replica) {
			p.service, p.zone, p.slots, p.work = "ledger", "a", 6, 30*time.Millisecond // one zone, so that all machines use all of them
		})
		if err != nil {
			return failed, err
		}
	}
	s.store.put("config", "main", configuration(4, []map[string]any{route("look", "/look/", "safe", "ledger", map[string]any{"maxAttempts": 2})}, []string{"key-a", "key-b"}))
	if err := s.startAll(20 * time.Second); err != nil {
		return failed, err
	}
	time.Sleep(4 * time.Second) // the VMs are in touch
	var wait sync.WaitGroup
	stop := make(chan struct{})
	for i, vm := range s.vms {
		wait.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				wait.Go(func() {
					s.send(vm, call{id: fmt.Sprintf("%d-look-%05d", i, n), method: "GET", host: host, path: "/look/2f", key: "key-a", timeout: 4 * time.Second})
				})
			}
		})
	}
	time.Sleep(3 * time.Second)
	p := s.replicas[0]
	begin := time.Now()
	p.mu.Lock()
	p.needUntil, p.pause = begin.Add(needTime), strconv.Itoa(int(pauseAsked.Seconds()))
	name := p.name
	p.mu.Unlock()
	log.printf("replica %s has no room for %v and asks the machines for a pause of %v", name, needTime, pauseAsked)
	time.Sleep(storeCutAfter)
	if trouble {
		log.printf("replica %s loses its path to the store", name)
		time.Sleep(3 * heartbeat)
		s.store.remove("servers", name)
		log.printf("store: the entry of %s is removed after three heartbeat intervals of silence", name)
		time.Sleep(storeCutTime - 3*heartbeat)
		p.mu.Lock()
		p.publish()
		p.mu.Unlock()
		log.printf("replica %s reaches the store again and writes its entry", name)
	}
	time.Sleep(time.Until(begin.Add(pauseAsked + 2*time.Second)))
	close(stop)
	wait.Wait()
	askedAt := make(map[int]time.Time) // by machine: its first 503
	within := make(map[int]int)
	machine := func(a arrival) int {
		vm, _, _ := strings.Cut(a.id, "-")
		n, _ := strconv.Atoi(vm)
		return n
	}
	for _, a := range p.all() {
		vm := machine(a)
		if first, ok := askedAt[vm]; a.turnedAway && (!ok || a.at.Before(first)) {
			askedAt[vm] = a.at
		}
	}
	if len(askedAt) == 0 {
		return failed, fmt.Errorf("no request was turned away")
	}
	most := 0
	for _, a := range p.all() {
		first, ok := askedAt[machine(a)]
		if since := a.at.Sub(first); ok && since > pauseSlack && since < pauseAsked {
			within[machine(a)]++
			most = max(most, within[machine(a)])
			log.printf("request %s reached %s %.1f s after it had asked %s for a pause of %v", a.id, a.replica, since.Seconds(), s.vms[machine(a)].name, pauseAsked)
		}
	}
	return conclude(log, most > maxInPause, "up to %d requests of one machine reached the replica in the pause of %v that it had asked for (2 are allowed)", most, pauseAsked)
}
