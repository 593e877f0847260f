//go:build review

package main

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["blocked"] = playBlocked }

// playBlocked has a part crash replicas until it is blocked. With the trouble, all VMs are
// then killed at once while the store is away; requests with the part come again once the
// machines are in touch.
func playBlocked(log *record, trouble bool) (int, error) {
	away := 5300 * time.Millisecond
	if ms, err := strconv.Atoi(os.Getenv("AWAY_MS")); err == nil {
		away = time.Duration(ms) * time.Millisecond
	}
	s, err := newSite(log, 6, usualMemoryMB)
	if err != nil {
		return failed, err
	}
	defer s.close()
	for i := range 12 {
		err := s.addReplica(fmt.Sprintf("e%d", i), func(p *replica) {
			p.service, p.events, p.interval = "scribe", 12, 20*time.Millisecond
			p.confidence = map[string]int{"m0": 95, "m1": 95, "m2": 95}
			p.deadlyPart, p.downtime = deadlyID, replicaDowntime
		})
		if err != nil {
			return failed, err
		}
	}
	s.store.put("config", "main", configuration(4, []map[string]any{streamRoute("note", "/note/", true)}, []string{"key-a", "key-b"}))
	if err := s.startAll(20 * time.Second); err != nil {
		return failed, err
	}
	time.Sleep(4 * time.Second) // the VMs are in touch
	var wait sync.WaitGroup
	n := 0
	send := func(deadly bool) {
		i := n
		n++
		wait.Go(func() {
			s.send(s.vms[i%len(s.vms)], call{
				id: fmt.Sprintf("blocked-%04d", i), method: "POST", host: host, path: "/note/2f", key: "key-a", body: fmt.Sprintf("note %d", i), timeout: 5 * time.Second,
				header: map[string]string{"X-Model": "*", "X-Token-Usage": "2250,80", "X-Prefix-Hash": prompt(i, 5, deadly)},
			})
		})
	}
	for range 18 {
		send(true)
	}
	for i := range 60 {
		time.Sleep(100 * time.Millisecond)
		send(i%10 == 9)
	}
	time.Sleep(3 * time.Second)
	s.store.mu.Lock()
	if o := s.store.objects["blockedcontents"]["all"]; o != nil {
		log.printf("store: blockedcontents/all holds %s", o.spec)
	}
	s.store.mu.Unlock()
	if trouble {
		s.store.setDown(true)
		log.printf("the store is away for %v, and all machines are killed", away)
		begin := time.Now()
		for _, v := range s.vms {
			v.signal(syscall.SIGKILL)
		}
		for _, v := range s.vms {
			v.wait()
		}
		time.Sleep(500 * time.Millisecond)
		for _, v := range s.vms {
			if err := v.start(); err != nil {
				return failed, err
			}
		}
		time.Sleep(time.Until(begin.Add(away)))
		s.store.setDown(false)
		log.printf("the store is back")
	}
	time.Sleep(stabilityWindow + 200*time.Millisecond)
	ready := 0
	for _, v := range s.vms {
		if v.isReady() {
			ready++
		}
	}
	log.printf("%d machines are ready and in touch; requests with the part come again", ready)
	for range 30 {
		send(true)
		time.Sleep(50 * time.Millisecond)
	}
	wait.Wait()
	late, crashes := deadlyAfterFifth(s.replicas, log)
	return conclude(log, late > maxDeadlyLate, "%d requests with the part reached replicas later than the stability window after the fifth crash (3 are allowed), %d crashes in all", late, crashes)
}
