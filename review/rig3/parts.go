//go:build review

package main

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/fake/platformside"
)

// Figures of the case.
const (
	deadlyPart    = "dead0001"
	firstPart     = "5c1e07a2"
	burstInterval = 5 * time.Second
	soundInterval = 100 * time.Millisecond
	fifthCrash    = 5
	maxLateParts  = 3
)

func deadlyRequest() request {
	return request{method: "POST", path: "/lohu930/" + newID(), model: "*", body: newID(), deadline: 10 * time.Second,
		prefix: fmt.Sprintf("%s:13300,%s:400,%s:3320", firstPart, deadlyPart, newID()[:8])}
}

func soundRequest() request {
	return request{method: "POST", path: "/lohu930/" + newID(), model: "*", body: newID(), deadline: 10 * time.Second,
		prefix: fmt.Sprintf("%s:13300,%s:3720", firstPart, newID()[:8])}
}

// sendSound sends sound requests of the route to all VMs in turn until stop is set.
func (r *rig) sendSound(stop *atomic.Bool, count *sync.Map) {
	c := newClient()
	var wait sync.WaitGroup
	for i := 0; !stop.Load(); i++ {
		v := r.vms[i%len(r.vms)]
		wait.Go(func() {
			a := send(c, v, soundRequest())
			n, _ := count.LoadOrStore(a.status, new(atomic.Int64))
			n.(*atomic.Int64).Add(1)
		})
		time.Sleep(soundInterval)
	}
	wait.Wait()
}

// burst sends deadly requests at once, each to a VM of its own.
func (r *rig) burst(wait *sync.WaitGroup, from, n int) {
	c := newClient()
	r.note("%d clients send a request with part %s at once", n, deadlyPart)
	for i := range n {
		v := r.vms[(from+i)%len(r.vms)]
		wait.Go(func() { r.note("deadly request %v", send(c, v, deadlyRequest())) })
	}
}

// setDeadly makes the part crash the replicas of the engines.
func (r *rig) setDeadly() {
	for _, p := range r.replicas {
		if p.service != engineService {
			continue
		}
		p.current.Crash = func() { r.crash(p) }
		p.current.EventInterval = 20 * time.Millisecond
		if r.trouble {
			p.setFaults(platformside.ReplicaFaults{DeadlyPart: deadlyPart})
		}
	}
}

// crashTimes returns when the replicas crashed, in order.
func (r *rig) crashTimes() []time.Time {
	var out []time.Time
	for _, p := range r.replicas {
		p.mu.Lock()
		out = append(out, p.crashes...)
		p.mu.Unlock()
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// deadlyArrivals returns the requests with the deadly part that reached replicas.
func (r *rig) deadlyArrivals() []arrival {
	var out []arrival
	for _, p := range r.replicas {
		p.mu.Lock()
		for _, a := range p.arrivals {
			if hasPart(a.part, deadlyPart) {
				out = append(out, a)
			}
		}
		p.mu.Unlock()
	}
	slices.SortFunc(out, func(a, b arrival) int { return a.at.Compare(b.at) })
	return out
}

// judgeParts applies the rule on parts that crash replicas.
func (r *rig) judgeParts() {
	crashes, arrivals := r.crashTimes(), r.deadlyArrivals()
	r.note("%d crashes; %d requests with the part reached replicas", len(crashes), len(arrivals))
	if len(crashes) < fifthCrash {
		return
	}
	from, late := crashes[fifthCrash-1].Add(stabilityWindow), 0
	for _, a := range arrivals {
		after := a.at.Sub(crashes[fifthCrash-1])
		r.note("request %s with the part reached %s, %d ms after the fifth crash", a.id, a.replica, after.Milliseconds())
		if a.at.After(from) {
			late++
		}
	}
	r.note("%d of them later than stabilityWindowMs after the fifth crash; %d are allowed", late, maxLateParts)
	if late > maxLateParts {
		r.breaks("%d requests with a part that crashes replicas reached replicas later than stabilityWindowMs after the fifth crash", late)
	}
}
