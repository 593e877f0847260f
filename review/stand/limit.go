//go:build review

package main

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	firstLimit   = 400 // requests a second
	lowerLimit   = 1
	limitWindow  = 4 * time.Second
	limitSlack   = 5
	limitFactor  = 1.5
	heardSlack   = 500 * time.Millisecond
	demandPerVM  = 60 // requests a second
	limitFirstIn = 8 * time.Second
)

func init() { cases["limit"] = playLimit }

// playLimit has two replicas name a limit for all machines together. With the trouble,
// they lower it.
func playLimit(log *record, trouble bool) (int, error) {
	s, err := newSite(log, 4, usualMemoryMB)
	if err != nil {
		return failed, err
	}
	defer s.close()
	for i := range 2 {
		err := s.addReplica(fmt.Sprintf("l%d", i), func(p *replica) {
			p.service, p.slots, p.work, p.limit = "ledger", 40, 10*time.Millisecond, strconv.Itoa(firstLimit)
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
			tick := time.NewTicker(time.Second / demandPerVM)
			defer tick.Stop()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-tick.C:
				}
				wait.Go(func() {
					s.send(vm, call{id: fmt.Sprintf("%d-look-%05d", i, n), method: "GET", host: host, path: "/look/2f", key: "key-a", timeout: 4 * time.Second})
				})
			}
		})
	}
	time.Sleep(limitFirstIn) // longer than stabilityWindowMs after the first answers
	limit := float64(firstLimit)
	begin := time.Now()
	if trouble {
		limit = lowerLimit
		log.printf("the replicas lower their limit from %d to %d requests a second", firstLimit, lowerLimit)
		for _, p := range s.replicas {
			p.setLimit(strconv.Itoa(lowerLimit))
		}
	}
	time.Sleep(10 * time.Second)
	close(stop)
	wait.Wait()
	most, allowed := 0, limitFactor*limit*limitWindow.Seconds()+limitSlack
	for _, p := range s.replicas {
		// A machine has passed on an answer with the limit once its client had it; the
		// arrival of the request that was answered is taken 100 ms later.
		heard := make(map[string]time.Time)
		var counted []time.Time
		for _, a := range p.all() {
			vm, _, _ := strings.Cut(a.id, "-")
			if a.at.Before(begin) {
				continue
			}
			if at, ok := heard[vm]; !ok {
				heard[vm] = a.at.Add(100 * time.Millisecond)
			} else if a.at.After(at.Add(heardSlack)) {
				counted = append(counted, a.at)
				if trouble {
					log.printf("request %s reached %s %.2f s after the lower limit was first named", a.id, a.replica, a.at.Sub(begin).Seconds())
				}
			}
		}
		sort.Slice(counted, func(i, j int) bool { return counted[i].Before(counted[j]) })
		for i := range counted {
			j := sort.Search(len(counted), func(j int) bool { return counted[j].Sub(counted[i]) >= limitWindow })
			most = max(most, j-i)
		}
	}
	return conclude(log, float64(most) > allowed, "a replica got up to %d requests in 4 s from machines that knew its limit of %.0f a second for 0.5 s; %.0f are allowed", most, limit, allowed)
}
