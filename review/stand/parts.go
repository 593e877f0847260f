//go:build review

package main

import (
	"fmt"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	stabilityWindow = 3 * time.Second
	sharedParts     = 20 // of each prompt
	deadlyPosition  = 18 // of the part that crashes replicas, counted from 1
	replicaDowntime = 3 * time.Second
	maxDeadlyLate   = 3 // requests with the part that the rule allows
	partsDuration   = 40 * time.Second
)

// prompt returns the parts of a prompt: shared ones of which one may crash replicas, and
// one of its own.
func prompt(n, position int, deadly bool) string {
	parts := make([]string, 0, sharedParts+1)
	for i := 1; i <= sharedParts; i++ {
		id := fmt.Sprintf("5c1e%04x", i)
		if i == position {
			id = fmt.Sprintf("a000%04x", n%7)
			if deadly {
				id = deadlyID
			}
		}
		parts = append(parts, id+":100")
	}
	return strings.Join(append(parts, fmt.Sprintf("%08x:250", 0xe0000000+n)), ",")
}

const deadlyID = "dead0001"

func init() { cases["parts"] = playParts }

// playParts sends requests whose prompts have twenty shared parts. With the trouble, one
// in five has a part on which each replica crashes.
func playParts(log *record, trouble bool) (int, error) {
	position := deadlyPosition
	if p, err := strconv.Atoi(os.Getenv("POSITION")); err == nil {
		position = p
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
	var mu sync.Mutex
	served, sound := 0, 0
	begin := time.Now()
	for i := 0; time.Since(begin) < partsDuration; i++ {
		deadly := trouble && i%5 == 4
		wait.Go(func() {
			a := s.send(s.vms[i%len(s.vms)], call{
				id: fmt.Sprintf("parts-%04d", i), method: "POST", host: host, path: "/note/2f", key: "key-a", body: fmt.Sprintf("note %d", i), timeout: 5 * time.Second,
				header: map[string]string{"X-Model": "*", "X-Token-Usage": "2250,80", "X-Prefix-Hash": prompt(i, position, deadly)},
			})
			mu.Lock()
			defer mu.Unlock()
			if !deadly {
				sound++
				if a.status == 200 && a.signed && a.err == nil {
					served++
				}
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	wait.Wait()
	late, crashes := deadlyAfterFifth(s.replicas, log)
	return conclude(log, late > maxDeadlyLate, "%d requests with the part reached replicas later than %v after the fifth crash (3 are allowed), %d crashes in all; %d of %d sound requests served",
		late, stabilityWindow, crashes, served, sound)
}

// deadlyAfterFifth counts the requests with the deadly part that reached replicas later
// than the stability window after the fifth crash.
func deadlyAfterFifth(replicas []*replica, log *record) (late, crashes int) {
	var times []time.Time
	for _, p := range replicas {
		times = append(times, p.crashTimes()...)
	}
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	if len(times) < 5 {
		return 0, len(times)
	}
	from := times[4].Add(stabilityWindow)
	for _, p := range replicas {
		for _, a := range p.all() {
			if hasSharedPart(a.parts, deadlyID) && a.at.After(from) {
				late++
				log.printf("request %s with the part reached %s %.1f s after the fifth crash", a.id, a.replica, a.at.Sub(times[4]).Seconds())
			}
		}
	}
	return late, len(times)
}
