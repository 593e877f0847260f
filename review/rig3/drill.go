//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/fake/platformside"
)

// Figures of the case.
const (
	deadlyAtOnce = 2 // requests with the part that come at the same time
	copyAge      = 5 * time.Second
	storeAway    = time.Second
	downTime     = time.Second
	afterRestart = 4 * time.Second // more than stabilityWindowMs
)

func init() { cases["drill"] = runDrill }

// runDrill loses the store's latest seconds in a drill, and then all machines.
func runDrill() int {
	r, err := newRig(7, 9, 3)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	return r.finish(r.drill())
}

func (r *rig) drill() error {
	if err := r.startVMs(); err != nil {
		return err
	}
	trouble := r.trouble
	r.trouble = true // the part is deadly in any case: only the drill and the kill are left out
	r.setDeadly()
	r.trouble = trouble
	time.Sleep(10 * time.Second) // as long as the machines have before traffic
	var stop atomic.Bool
	var sound, wait sync.WaitGroup
	var counts sync.Map
	sound.Go(func() { r.sendSound(&stop, &counts) })
	time.Sleep(2 * time.Second)
	storeCopy := r.store.Copy()
	r.burst(&wait, 0, deadlyAtOnce)
	time.Sleep(copyAge)
	o, found := r.store.Get("blockedcontents", "all")
	r.note("the store has the records of blocked content: %t, %d bytes", found, len(o.Spec))
	drill, kill := os.Getenv("DRILL") != "0", os.Getenv("KILL") != "0"
	if r.trouble && drill {
		r.note("drill: the store is away")
		r.store.SetFaults(platformside.StoreFaults{Status: 503})
		time.Sleep(storeAway)
		r.store.SetFaults(platformside.StoreFaults{})
		r.store.Restore(storeCopy)
		r.note("drill: the store is back from a copy %v old", copyAge+storeAway)
		for _, p := range r.replicas { // the replicas write their entries again
			r.publish(p, "ready")
		}
	} else {
		time.Sleep(storeAway)
	}
	time.Sleep(4 * time.Second)
	_, found = r.store.Get("blockedcontents", "all")
	r.note("4 s later the store has the records of blocked content: %t", found)
	if r.trouble && kill {
		r.note("all machines lose power")
		for _, v := range r.vms {
			v.signal(syscall.SIGKILL)
		}
		for _, v := range r.vms {
			v.kill()
		}
		time.Sleep(downTime)
		for _, v := range r.vms {
			if err := v.start(); err != nil {
				return err
			}
		}
		if err := r.awaitReady(r.vms); err != nil {
			return err
		}
		r.note("all machines are ready again")
	}
	time.Sleep(afterRestart)
	r.burst(&wait, 3, deadlyAtOnce)
	time.Sleep(burstInterval)
	r.burst(&wait, 5, deadlyAtOnce)
	time.Sleep(burstInterval)
	stop.Store(true)
	sound.Wait()
	wait.Wait()
	counts.Range(func(status, n any) bool {
		r.note("sound requests with status %v: %d", status, n.(*atomic.Int64).Load())
		return true
	})
	r.judgeParts()
	return nil
}
