//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case.
const (
	modelNameBytes = 15_000 // within maxHeaderBytes
	modelClients   = 40     // at each attacked VM
	modelTime      = 100 * time.Second
	calmModelTime  = 60 * time.Second
	retryPause     = 100 * time.Millisecond
)

func init() { cases["modelnames"] = runModelNames }

// runModelNames sends lookups whose X-Model differs from request to request.
func runModelNames() int {
	r, err := newRig(7, 3, 3)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	return r.finish(r.modelNames())
}

func (r *rig) modelNames() error {
	if err := r.startVMs(); err != nil {
		return err
	}
	time.Sleep(10 * time.Second) // as long as the machines have before traffic
	limit := calmModelTime
	if r.trouble {
		limit = modelTime
	}
	var stop atomic.Bool
	var wait sync.WaitGroup
	var served, other atomic.Int64
	guards := make([]*memoryGuard, attackedVMs)
	for i := range guards {
		g := &memoryGuard{v: r.vms[i]}
		guards[i] = g
		wait.Go(func() { g.run(r, &stop) })
		for n := range modelClients {
			wait.Go(func() { r.sendModelNames(g.v, n, &stop, &served, &other) })
		}
	}
	begin, noted := time.Now(), time.Now()
	for ; time.Since(begin) < limit && endedOften(guards) < attackedVMs; time.Sleep(memoryInterval) {
		if time.Since(noted) > 5*time.Second {
			noted = time.Now()
			r.note("lookups served: %d, not: %d; memory %d and %d MB", served.Load(), other.Load(), guards[0].v.memoryBytes()>>20, guards[1].v.memoryBytes()>>20)
		}
	}
	stop.Store(true)
	wait.Wait()
	for _, g := range guards {
		r.note("%s: %d ends for its memory; most memory %d MB of %d", g.v.name, g.kills.Load(), g.most.Load()>>20, memoryMB)
	}
	r.note("lookups served: %d, not: %d", served.Load(), other.Load())
	if n := endedOften(guards); n >= attackedVMs {
		r.breaks("on %d of %d machines the process ended %d times, because its memory was over the limit", n, len(r.vms), endsForFault)
	}
	return nil
}

// sendModelNames sends lookups to a VM, one after the other, until stop is set.
func (r *rig) sendModelNames(v *entryVM, client int, stop *atomic.Bool, served, other *atomic.Int64) {
	c := newClient()
	filling := strings.Repeat("m", modelNameBytes)
	for i := 0; !stop.Load(); i++ {
		name := filling
		if r.trouble {
			name = fmt.Sprintf("%02d-%08d%s", client, i, filling[11:])
		}
		a := send(c, v, request{method: "GET", path: "/cufi504/" + newID(), model: name, deadline: lookupDeadline, prefix: "5c1e07a2:10"})
		if a.status == http.StatusOK {
			served.Add(1)
			continue
		}
		other.Add(1)
		time.Sleep(retryPause) // the process is started again
	}
}
