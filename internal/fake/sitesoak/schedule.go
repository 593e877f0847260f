package sitesoak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/fake/platformside"
)

// stopTimeout is the maximum time until a process exits: graceS in the settings
// plus a margin of one second.
const stopTimeout = 5 * time.Second

// step runs one step of the schedule, such as a fault of the given duration, and
// returns when its effect has ended.
type step func(w *world, rng *rand.Rand, duration time.Duration)

var steps = map[string]step{
	"term":          (*world).terminateVM,
	"kill":          (*world).killVM,
	"pause":         (*world).pauseVM,
	"hup":           (*world).reloadVM,
	"store_link":    (*world).disturbStoreLink,
	"store_fault":   (*world).injectStoreFault,
	"compact":       (*world).compactStore,
	"replica_link":  (*world).disturbReplicaLink,
	"replica_fault": (*world).injectReplicaFault,
	"crash":         (*world).crashRandomReplica,
	"leave":         (*world).drainReplica,
	"evacuate":      (*world).evacuateZone,
	"config":        (*world).changeRoutes,
	"revoke":        (*world).revokeKey,
}

// weightedSteps has the names of the steps in a fixed order, so that a seed always
// gives the same schedule. Steps with many variants are listed several times.
var weightedSteps = []string{
	"term", "kill", "pause", "hup", "store_link", "store_fault", "compact", "replica_link", "replica_fault", "crash",
	"leave", "evacuate", "config", "revoke",
	"replica_fault", "replica_fault", "replica_fault", "replica_fault", "replica_link", "store_fault",
}

// runSchedule starts random steps until end, some of them concurrently, and waits
// until all have returned.
func (w *world) runSchedule(end time.Time) {
	var wg sync.WaitGroup
	for time.Now().Before(end) {
		name := weightedSteps[w.rng.IntN(len(weightedSteps))]
		duration := time.Duration(200+w.rng.IntN(2500)) * time.Millisecond
		rng := rand.New(rand.NewPCG(w.rng.Uint64(), 5))
		w.recordEvent("%s for %v", name, duration)
		wg.Go(func() { steps[name](w, rng, duration) })
		time.Sleep(time.Duration(w.rng.IntN(1500)) * time.Millisecond)
	}
	wg.Wait()
}

func (w *world) randomVM(rng *rand.Rand) *entryVM { return w.vms[rng.IntN(len(w.vms))] }

func (w *world) randomReplica(rng *rand.Rand) *replica { return w.replicas[rng.IntN(len(w.replicas))] }

// restartVM waits until a process has exited and starts it again.
func (w *world) restartVM(v *entryVM, downtime time.Duration) {
	if !v.waitForExit(stopTimeout) {
		w.recordViolation("%s: did not exit in time", v.name)
		v.signal(syscall.SIGKILL)
		v.waitForExit(stopTimeout)
	}
	time.Sleep(downtime)
	v.recordFault()
	if err := v.start(); err != nil {
		w.recordViolation("%s: restart failed: %v", v.name, err)
	}
}

// tryClaim reserves a VM for the caller and reports whether it succeeded: only one
// step at a time may stop the VM's process.
func (v *entryVM) tryClaim() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.exitExpected {
		return false
	}
	v.exitExpected = true
	return true
}

func (w *world) terminateVM(rng *rand.Rand, _ time.Duration) {
	if v := w.randomVM(rng); v.tryClaim() {
		v.signal(syscall.SIGTERM)
		w.restartVM(v, 100*time.Millisecond)
	}
}

func (w *world) killVM(rng *rand.Rand, duration time.Duration) {
	if v := w.randomVM(rng); v.tryClaim() {
		v.signal(syscall.SIGKILL)
		w.restartVM(v, duration/4)
	}
}

func (w *world) pauseVM(rng *rand.Rand, duration time.Duration) {
	v := w.randomVM(rng)
	v.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	v.signal(syscall.SIGCONT)
}

func (w *world) reloadVM(rng *rand.Rand, _ time.Duration) {
	v := w.randomVM(rng)
	v.mu.Lock()
	cmd := v.cmd
	v.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Signal(syscall.SIGHUP) // not recorded as a fault: a reload must not affect requests
	}
}

// randomLinkFaults returns random faults of a link and their description.
func randomLinkFaults(rng *rand.Rand) (linkFaults, string) {
	switch rng.IntN(5) {
	case 0:
		return linkFaults{refuseConns: true}, "refuse"
	case 1:
		return linkFaults{dropToTarget: true}, "silent towards the target"
	case 2:
		return linkFaults{dropFromTarget: true}, "silent from the target"
	case 3:
		return linkFaults{dropToTarget: true, dropFromTarget: true}, "silent"
	}
	return linkFaults{delay: time.Duration(1+rng.IntN(80)) * time.Millisecond}, "slow"
}

func (w *world) disturbStoreLink(rng *rand.Rand, duration time.Duration) {
	v := w.randomVM(rng)
	f, description := randomLinkFaults(rng)
	w.recordEvent("store link of %s: %s", v.name, description)
	v.recordFault()
	v.storeProxy.setFaults(f)
	if rng.IntN(2) == 0 {
		v.storeProxy.resetConns()
	}
	time.Sleep(duration)
	v.storeProxy.setFaults(linkFaults{})
	v.recordFault()
}

func (w *world) injectStoreFault(rng *rand.Rand, duration time.Duration) {
	f := []platformside.StoreFaults{
		{Status: 503}, {Status: 429}, {Silent: true}, {Reset: true}, {LoseWrites: 0.5}, {Delay: 200 * time.Millisecond},
	}[rng.IntN(6)]
	w.recordEvent("store faults: %+v", f)
	w.recordStoreFault()
	w.store.SetFaults(f)
	time.Sleep(duration)
	w.store.SetFaults(platformside.StoreFaults{})
	w.recordStoreFault()
}

func (w *world) compactStore(rng *rand.Rand, _ time.Duration) {
	w.recordStoreFault()
	w.store.Compact()
	w.changeRoutes(rng, 0)
	w.store.Compact()
	w.recordStoreFault()
}

func (w *world) disturbReplicaLink(rng *rand.Rand, duration time.Duration) {
	r := w.randomReplica(rng)
	f, description := randomLinkFaults(rng)
	w.recordEvent("link of %s: %s", r.name, description)
	r.proxy.setFaults(f)
	if rng.IntN(2) == 0 {
		r.proxy.resetConns()
	}
	time.Sleep(duration)
	r.proxy.setFaults(linkFaults{})
}

func (w *world) injectReplicaFault(rng *rand.Rand, duration time.Duration) {
	r := w.randomReplica(rng)
	f := []platformside.ReplicaFaults{
		{Reject: true},
		{Fail: true},
		{LoseAnswer: true},
		{Mute: true},
		{Torn: true},
		{Extra: true},
		{Foreign: true},
		{Unsigned: true},
		{Unframed: true},
		{Early: true},
		{Delay: 500 * time.Millisecond},
	}[rng.IntN(11)]
	w.recordEvent("faults of %s: %+v", r.name, f)
	r.mu.Lock()
	p := r.current
	r.mu.Unlock()
	p.SetFaults(f)
	time.Sleep(duration)
	p.SetFaults(platformside.ReplicaFaults{})
}

func (w *world) crashRandomReplica(rng *rand.Rand, duration time.Duration) {
	w.crashReplica(w.randomReplica(rng), duration)
}

// drainReplica drains a replica and checks that it receives no request after
// maxDrainTime.
func (w *world) drainReplica(rng *rand.Rand, _ time.Duration) {
	r := w.randomReplica(rng)
	r.mu.Lock()
	p, ok := r.current, r.ready
	r.mu.Unlock()
	if !ok {
		return
	}
	w.publish(r, "draining")
	drainStart := time.Now()
	time.Sleep(maxDrainTime + time.Second)
	w.checkNoRunsAfter(p, drainStart.Add(maxDrainTime), "for draining replicas")
	w.publish(r, "ready")
}

// evacuateZone withdraws a zone and checks that its replicas receive no request
// after maxEvacuationTime.
func (w *world) evacuateZone(rng *rand.Rand, _ time.Duration) {
	zone := string(rune('a' + rng.IntN(2)))
	if _, ok := w.store.Get("evacuations", "a"); ok {
		return
	}
	if _, ok := w.store.Get("evacuations", "b"); ok {
		return
	}
	w.store.Put("evacuations", zone, map[string]any{})
	withdrawnAt := time.Now()
	time.Sleep(maxEvacuationTime + time.Second)
	for _, r := range w.replicas {
		r.mu.Lock()
		p := r.current
		r.mu.Unlock()
		if r.zone == zone {
			w.checkNoRunsAfter(p, withdrawnAt.Add(maxEvacuationTime), "for replicas of a withdrawn zone")
		}
	}
	w.store.Remove("evacuations", zone)
}

// checkNoRunsAfter checks that a replica executed no request that began after a
// time. It checks only if neither the VMs nor the store had recent faults: a run
// does not record which VM sent it.
func (w *world) checkNoRunsAfter(p *platformside.Replica, after time.Time, condition string) {
	if !w.storeFaultFreeFor(minFaultFreeTime + time.Second) {
		return
	}
	for _, v := range w.vms {
		if !v.faultFreeFor(minFaultFreeTime + time.Second) {
			return
		}
	}
	for _, run := range p.Runs() {
		if run.StartedAt.After(after) {
			w.recordViolation("%s reached %s %v past the limit %s", run.ID, p.ID, run.StartedAt.Sub(after), condition)
		}
	}
}

func (w *world) changeRoutes(rng *rand.Rand, _ time.Duration) {
	var extraRoutes []map[string]any
	for i := range rng.IntN(5) {
		extraRoutes = append(extraRoutes, map[string]any{"name": fmt.Sprintf("more-%d", i), "host": host, "pathPrefix": fmt.Sprintf("/more%d/", i), "routeType": "safe", "timeoutMs": 1000, "service": orderService, "maxAttempts": 2})
	}
	w.publishConfig(extraRoutes)
}

func (w *world) revokeKey(*rand.Rand, time.Duration) { w.rotateKey() }
