//go:build review

package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/fake/platformside"
)

// Figures of the case.
const (
	deadlyBody     = "deposit 4711 of cooperative 12"
	copiesAtOnce   = 3
	rounds         = 4
	roundInterval  = 5 * time.Second
	thirdCrash     = 3
	maxLateRetries = 3
	plainWorkTime  = 15 * time.Millisecond
)

// deposit returns a sound request of the same route and caller.
func deposit() request {
	return request{method: "POST", path: depositPath, body: "deposit " + newID(), deadline: 1500 * time.Millisecond}
}

func init() { cases["copies"] = runCopies }

// runCopies sends a request that crashes replicas, several copies at once.
func runCopies() int {
	r, err := newRig(7, 3, 3)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	return r.finish(r.copies())
}

func (r *rig) copies() error {
	if err := r.startVMs(); err != nil {
		return err
	}
	for _, p := range r.replicas {
		if p.service != plainService {
			continue
		}
		p.current.Crash = func() { r.crash(p) }
		p.current.ProcessingTime = plainWorkTime
		if r.trouble {
			p.setFaults(platformside.ReplicaFaults{DeadlyBody: deadlyBody})
		}
	}
	time.Sleep(10 * time.Second) // as long as the machines have before traffic
	var stop atomic.Bool
	var wait, sound sync.WaitGroup
	var counts sync.Map
	sound.Go(func() {
		c := newClient()
		var each sync.WaitGroup
		for i := 0; !stop.Load(); i++ {
			v := r.vms[i%len(r.vms)]
			each.Go(func() {
				n, _ := counts.LoadOrStore(send(c, v, deposit()).status, new(atomic.Int64))
				n.(*atomic.Int64).Add(1)
			})
			time.Sleep(soundInterval)
		}
		each.Wait()
	})
	time.Sleep(2 * time.Second)
	c := newClient()
	for round := range rounds {
		r.note("round %d: the request comes %d times at once", round+1, copiesAtOnce)
		for i := range copiesAtOnce {
			v := r.vms[(round+2*i)%len(r.vms)]
			wait.Go(func() {
				q := request{method: "POST", path: depositPath, body: deadlyBody, deadline: 1500 * time.Millisecond}
				r.note("copy %v", send(c, v, q))
			})
		}
		time.Sleep(roundInterval)
	}
	stop.Store(true)
	sound.Wait()
	wait.Wait()
	counts.Range(func(status, n any) bool {
		r.note("sound requests with status %v: %d", status, n.(*atomic.Int64).Load())
		return true
	})
	r.judgeCopies()
	return nil
}

// judgeCopies applies the rule on requests that crash replicas.
func (r *rig) judgeCopies() {
	crashes := r.crashTimes()
	r.note("%d crashes", len(crashes))
	if len(crashes) < thirdCrash {
		return
	}
	late := 0
	for _, p := range r.replicas {
		for _, incarnation := range p.incarnations() {
			for _, run := range incarnation.Runs() {
				if run.Body != deadlyBody {
					continue
				}
				after := run.StartedAt.Sub(crashes[thirdCrash-1])
				r.note("copy %s runs at %s, %d ms after the third crash", run.ID, run.Replica, after.Milliseconds())
				if after > stabilityWindow {
					late++
				}
			}
		}
	}
	r.note("%d retries reached replicas later than stabilityWindowMs after the third crash; %d are allowed", late, maxLateRetries)
	if late > maxLateRetries {
		r.breaks("a request that crashes the replicas that run it reached replicas in %d retries later than stabilityWindowMs after its third crash", late)
	}
}
