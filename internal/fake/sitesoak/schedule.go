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
type step func(h *harness, rng *rand.Rand, duration time.Duration)

var steps = map[string]step{
	"term":          (*harness).terminateVM,
	"kill":          (*harness).killVM,
	"pause":         (*harness).pauseVM,
	"hup":           (*harness).reloadVM,
	"store_link":    (*harness).disturbStoreLink,
	"store_fault":   (*harness).injectStoreFault,
	"store_silent":  (*harness).silenceStoreConns,
	"lost_change":   (*harness).loseChange,
	"compact":       (*harness).compactStore,
	"replica_link":  (*harness).disturbReplicaLink,
	"replica_fault": (*harness).injectReplicaFault,
	"crash":         (*harness).crashRandomReplica,
	"leave":         (*harness).drainReplica,
	"evacuate":      (*harness).withdrawZone,
	"config":        (*harness).changeRoutes,
	"revoke":        (*harness).revokeKey,
	"storm":         (*harness).stormRoutes,
	"rollout":       (*harness).rollOut,
	"slow_callers":  (*harness).leaveUnread,
	"slow_upstream": (*harness).readSlowly,
}

// weightedSteps has the names of the steps in a fixed order, so that a seed always
// gives the same schedule. Steps with many variants are listed several times.
var weightedSteps = []string{
	"term", "kill", "pause", "hup", "store_link", "store_fault", "compact", "replica_link", "replica_fault", "crash",
	"leave", "evacuate", "config", "revoke", "storm", "rollout",
	"replica_fault", "replica_fault", "replica_fault", "replica_fault", "replica_link", "store_fault",
}

// silentShare is the number of steps of a schedule for each store_silent and each
// lost_change step beside them, and slowShare for each slow_callers and each
// slow_upstream step. These have random sources of their own, so that they do not change
// the schedule of a seed.
const (
	silentShare = 24
	slowShare   = 6
)

// runSchedule starts random steps until end, some of them concurrently, and waits
// until all have returned.
func (h *harness) runSchedule(end time.Time) {
	var wg sync.WaitGroup
	silent, lost := rand.New(rand.NewPCG(h.opts.Seed, 13)), rand.New(rand.NewPCG(h.opts.Seed, 17))
	slow := rand.New(rand.NewPCG(h.opts.Seed, 19))
	for time.Now().Before(end) {
		if len(h.opts.Steps) == 0 && silent.IntN(silentShare) == 0 {
			h.silenceStoreConns(silent, 0)
		}
		if len(h.opts.Steps) == 0 && lost.IntN(silentShare) == 0 {
			h.loseChange(lost, 0)
		}
		for _, name := range []string{"slow_callers", "slow_upstream"} {
			if len(h.opts.Steps) == 0 && slow.IntN(slowShare) == 0 {
				rng, duration := rand.New(rand.NewPCG(slow.Uint64(), 5)), time.Duration(200+slow.IntN(6000))*time.Millisecond
				wg.Go(func() { steps[name](h, rng, duration) })
			}
		}
		name := weightedSteps[h.rng.IntN(len(weightedSteps))]
		if len(h.opts.Steps) > 0 {
			name = h.opts.Steps[h.rng.IntN(len(h.opts.Steps))]
		}
		duration := time.Duration(200+h.rng.IntN(2500)) * time.Millisecond
		rng := rand.New(rand.NewPCG(h.rng.Uint64(), 5))
		h.recordEvent("%s for %v", name, duration)
		wg.Go(func() { steps[name](h, rng, duration) })
		time.Sleep(time.Duration(h.rng.IntN(1500)) * time.Millisecond)
	}
	wg.Wait()
}

func (h *harness) randomVM(rng *rand.Rand) *entryVM { return h.vms[rng.IntN(len(h.vms))] }

func (h *harness) randomReplica(rng *rand.Rand) *replica {
	live := h.liveReplicas()
	return live[rng.IntN(len(live))]
}

// restartVM waits until a process that was told to stop has exited and starts it again. The
// time limit does not run while the process is paused.
func (h *harness) restartVM(v *entryVM, downtime time.Duration) {
	begin := time.Now()
	if !v.waitForExit(stopTimeout) && !v.waitForExit(v.pausedSince(begin)) {
		h.recordViolation("%s: did not exit in time", v.name)
		v.signal(syscall.SIGKILL)
		v.waitForExit(stopTimeout)
	}
	time.Sleep(downtime)
	v.recordFault()
	if err := v.start(); err != nil {
		h.recordViolation("%s: restart failed: %v", v.name, err)
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

func (h *harness) terminateVM(rng *rand.Rand, _ time.Duration) {
	if v := h.randomVM(rng); v.tryClaim() {
		v.signal(syscall.SIGTERM)
		h.restartVM(v, 100*time.Millisecond)
	}
}

func (h *harness) killVM(rng *rand.Rand, duration time.Duration) {
	if v := h.randomVM(rng); v.tryClaim() {
		v.signal(syscall.SIGKILL)
		h.restartVM(v, duration/4)
	}
}

func (h *harness) pauseVM(rng *rand.Rand, duration time.Duration) {
	v := h.randomVM(rng)
	v.recordPause(duration)
	v.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	v.signal(syscall.SIGCONT)
}

func (h *harness) reloadVM(rng *rand.Rand, _ time.Duration) {
	v := h.randomVM(rng)
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

func (h *harness) disturbStoreLink(rng *rand.Rand, duration time.Duration) {
	v := h.randomVM(rng)
	f, description := randomLinkFaults(rng)
	h.recordEvent("store link of %s: %s", v.name, description)
	v.recordFault()
	v.storeProxy.setFaults(f)
	if rng.IntN(2) == 0 {
		v.storeProxy.resetConns()
	}
	time.Sleep(duration)
	v.storeProxy.setFaults(linkFaults{})
	v.recordFault()
}

// silenceStoreConns makes half or all of the open connections to the store silent for
// good, of one VM or of all at the same moment.
func (h *harness) silenceStoreConns(rng *rand.Rand, _ time.Duration) {
	share := 0.5 + 0.5*float64(rng.IntN(2))
	vms := h.vms
	if rng.IntN(2) == 0 {
		vms = []*entryVM{h.randomVM(rng)}
	}
	h.recordEvent("%g of the connections of %d VMs to the store are silent", share, len(vms))
	for _, v := range vms {
		v.recordFault()
		v.storeProxy.silenceConns(rng, share)
	}
}

// loseChange changes the configuration, and the store's responses to all watches of it are
// lost, for all VMs at the same moment.
func (h *harness) loseChange(rng *rand.Rand, duration time.Duration) {
	h.recordEvent("the next change of the configuration is lost")
	h.recordStoreFault()
	h.store.SilenceWatches("config")
	h.changeRoutes(rng, duration)
}

func (h *harness) injectStoreFault(rng *rand.Rand, duration time.Duration) {
	f := []platformside.StoreFaults{
		{Status: 503}, {Status: 429}, {Silent: true}, {Reset: true}, {LoseWrites: 0.5}, {Delay: 200 * time.Millisecond},
	}[rng.IntN(6)]
	h.recordEvent("store faults: %+v", f)
	h.recordStoreFault()
	h.store.SetFaults(f)
	time.Sleep(duration)
	h.store.SetFaults(platformside.StoreFaults{})
	h.recordStoreFault()
}

func (h *harness) compactStore(rng *rand.Rand, _ time.Duration) {
	h.recordStoreFault()
	h.store.Compact()
	h.changeRoutes(rng, 0)
	h.store.Compact()
	h.recordStoreFault()
}

func (h *harness) disturbReplicaLink(rng *rand.Rand, duration time.Duration) {
	r := h.randomReplica(rng)
	f, description := randomLinkFaults(rng)
	h.recordEvent("link of %s: %s", r.name, description)
	r.proxy.setFaults(f)
	if rng.IntN(2) == 0 {
		r.proxy.resetConns()
	}
	time.Sleep(duration)
	r.proxy.setFaults(linkFaults{})
}

func (h *harness) injectReplicaFault(rng *rand.Rand, duration time.Duration) {
	r := h.randomReplica(rng)
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
	h.recordEvent("faults of %s: %+v", r.name, f)
	r.mu.Lock()
	p := r.current
	r.mu.Unlock()
	p.SetFaults(f)
	time.Sleep(duration)
	p.SetFaults(r.versionFaults())
}

func (h *harness) crashRandomReplica(rng *rand.Rand, duration time.Duration) {
	h.crashReplica(h.randomReplica(rng), duration)
}

// drainReplica drains a replica and checks that it receives no request after
// maxDrainTime.
func (h *harness) drainReplica(rng *rand.Rand, _ time.Duration) {
	r := h.randomReplica(rng)
	r.mu.Lock()
	p, ok := r.current, r.ready
	r.mu.Unlock()
	if !ok {
		return
	}
	h.publish(r, "draining")
	drainStart := time.Now()
	time.Sleep(maxDrainTime + time.Second)
	h.checkNoRunsAfter(p, drainStart.Add(maxDrainTime), "for draining replicas")
	h.publish(r, "ready")
}

// withdrawZone withdraws a zone and checks that its replicas receive no request
// after maxWithdrawalTime.
func (h *harness) withdrawZone(rng *rand.Rand, _ time.Duration) {
	zone := string(rune('a' + rng.IntN(2)))
	if _, ok := h.store.Get("evacuations", "a"); ok {
		return
	}
	if _, ok := h.store.Get("evacuations", "b"); ok {
		return
	}
	h.store.Put("evacuations", zone, map[string]any{})
	withdrawnAt := time.Now()
	time.Sleep(maxWithdrawalTime + time.Second)
	for _, r := range h.liveReplicas() {
		r.mu.Lock()
		p := r.current
		r.mu.Unlock()
		if r.zone == zone {
			h.checkNoRunsAfter(p, withdrawnAt.Add(maxWithdrawalTime), "for replicas of a withdrawn zone")
		}
	}
	h.store.Remove("evacuations", zone)
}

// checkNoRunsAfter checks that a replica executed no request that began after a
// time. It checks only if neither the VMs nor the store had recent faults: a run
// does not record which VM sent it.
func (h *harness) checkNoRunsAfter(p *platformside.Replica, after time.Time, condition string) {
	if !h.storeFaultFreeFor(minFaultFreeTime + time.Second) {
		return
	}
	for _, v := range h.vms {
		if !v.faultFreeFor(minFaultFreeTime + time.Second) {
			return
		}
	}
	for _, run := range p.Runs() {
		if run.StartedAt.After(after) {
			h.recordViolation("%s reached %s %v past the limit %s", run.ID, p.ID, run.StartedAt.Sub(after), condition)
		}
	}
}

func (h *harness) changeRoutes(rng *rand.Rand, _ time.Duration) {
	var extraRoutes []map[string]any
	for i := range rng.IntN(5) {
		extraRoutes = append(extraRoutes, map[string]any{"name": fmt.Sprintf("more-%d", i), "host": host, "pathPrefix": fmt.Sprintf("/more%d/", i), "routeType": "safe", "timeoutMs": 1000, "service": orderService, "maxAttempts": 2})
	}
	h.publishConfig(extraRoutes)
}

// stormRoutes is the step that calls stormConfigs.
func (h *harness) stormRoutes(rng *rand.Rand, _ time.Duration) {
	h.stormConfigs(5+rng.IntN(8), time.Duration(60+rng.IntN(300))*time.Millisecond)
}

// revokeKey is the step that calls rotateKey.
func (h *harness) revokeKey(*rand.Rand, time.Duration) { h.rotateKey() }
