package sitesoak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/fake/platformside"
)

// stopTime is the grace of the settings and a little more.
const stopTime = 5 * time.Second

// step is one fault: it begins, lasts, and ends.
type step func(w *world, rng *rand.Rand, lasts time.Duration)

var steps = map[string]step{
	"term":          (*world).term,
	"kill":          (*world).kill,
	"pause":         (*world).pause,
	"hup":           (*world).hup,
	"store_link":    (*world).storeLink,
	"store_fault":   (*world).storeFault,
	"compact":       (*world).compact,
	"replica_link":  (*world).replicaLink,
	"replica_fault": (*world).replicaFault,
	"crash":         (*world).crashOne,
	"leave":         (*world).leave,
	"evacuate":      (*world).evacuate,
	"config":        (*world).changeRoutes,
	"revoke":        (*world).revoke,
}

// names are the steps in a fixed order, so that a seed means the same schedule;
// what has many variants stands more often.
var names = []string{
	"term", "kill", "pause", "hup", "store_link", "store_fault", "compact", "replica_link", "replica_fault", "crash",
	"leave", "evacuate", "config", "revoke",
	"replica_fault", "replica_fault", "replica_fault", "replica_fault", "replica_link", "store_fault",
}

// schedule plays random steps, some of them over each other, until the end.
func (w *world) schedule(end time.Time) {
	var wait sync.WaitGroup
	for time.Now().Before(end) {
		name := names[w.rng.IntN(len(names))]
		lasts := time.Duration(200+w.rng.IntN(2500)) * time.Millisecond
		rng := rand.New(rand.NewPCG(w.rng.Uint64(), 5))
		w.note("%s for %v", name, lasts)
		wait.Go(func() { steps[name](w, rng, lasts) })
		time.Sleep(time.Duration(w.rng.IntN(1500)) * time.Millisecond)
	}
	wait.Wait()
}

func (w *world) anyVM(rng *rand.Rand) *entryVM { return w.vms[rng.IntN(len(w.vms))] }

func (w *world) anyReplica(rng *rand.Rand) *replica { return w.replicas[rng.IntN(len(w.replicas))] }

// restart waits for the end of a process and starts it again.
func (w *world) restart(v *entryVM, pause time.Duration) {
	if !v.wait(stopTime) {
		w.broken("%s: did not stop in time", v.name)
		v.signal(syscall.SIGKILL)
		v.wait(stopTime)
	}
	time.Sleep(pause)
	v.disturbed()
	if err := v.start(); err != nil {
		w.broken("%s: not started: %v", v.name, err)
	}
}

// claim makes a VM's process the business of one step at a time.
func (v *entryVM) claim() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.expected {
		return false
	}
	v.expected = true
	return true
}

func (w *world) term(rng *rand.Rand, _ time.Duration) {
	if v := w.anyVM(rng); v.claim() {
		v.signal(syscall.SIGTERM)
		w.restart(v, 100*time.Millisecond)
	}
}

func (w *world) kill(rng *rand.Rand, lasts time.Duration) {
	if v := w.anyVM(rng); v.claim() {
		v.signal(syscall.SIGKILL)
		w.restart(v, lasts/4)
	}
}

func (w *world) pause(rng *rand.Rand, lasts time.Duration) {
	v := w.anyVM(rng)
	v.signal(syscall.SIGSTOP)
	time.Sleep(lasts)
	v.signal(syscall.SIGCONT)
}

func (w *world) hup(rng *rand.Rand, _ time.Duration) {
	v := w.anyVM(rng)
	v.mu.Lock()
	cmd := v.cmd
	v.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Signal(syscall.SIGHUP) // no fault: a reload must not be seen
	}
}

// links are the faults of a link.
func randomLink(rng *rand.Rand) (link, string) {
	switch rng.IntN(5) {
	case 0:
		return link{refuse: true}, "refuse"
	case 1:
		return link{up: true}, "silent towards the target"
	case 2:
		return link{down: true}, "silent from the target"
	case 3:
		return link{up: true, down: true}, "silent"
	}
	return link{delay: time.Duration(1+rng.IntN(80)) * time.Millisecond}, "slow"
}

func (w *world) storeLink(rng *rand.Rand, lasts time.Duration) {
	v := w.anyVM(rng)
	l, how := randomLink(rng)
	w.note("the store for %s: %s", v.name, how)
	v.disturbed()
	v.store.set(l)
	if rng.IntN(2) == 0 {
		v.store.reset()
	}
	time.Sleep(lasts)
	v.store.set(link{})
	v.disturbed()
}

func (w *world) storeFault(rng *rand.Rand, lasts time.Duration) {
	f := []platformside.StoreFaults{
		{Status: 503}, {Status: 429}, {Silent: true}, {Reset: true}, {LoseWrites: 0.5}, {Delay: 200 * time.Millisecond},
	}[rng.IntN(6)]
	w.note("store: %+v", f)
	w.storeDisturbed()
	w.store.SetFaults(f)
	time.Sleep(lasts)
	w.store.SetFaults(platformside.StoreFaults{})
	w.storeDisturbed()
}

func (w *world) compact(rng *rand.Rand, _ time.Duration) {
	w.storeDisturbed()
	w.store.Compact()
	w.changeRoutes(rng, 0)
	w.store.Compact()
	w.storeDisturbed()
}

func (w *world) replicaLink(rng *rand.Rand, lasts time.Duration) {
	r := w.anyReplica(rng)
	l, how := randomLink(rng)
	w.note("%s: %s", r.place, how)
	r.proxy.set(l)
	if rng.IntN(2) == 0 {
		r.proxy.reset()
	}
	time.Sleep(lasts)
	r.proxy.set(link{})
}

func (w *world) replicaFault(rng *rand.Rand, lasts time.Duration) {
	r := w.anyReplica(rng)
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
	w.note("%s: %+v", r.place, f)
	r.mu.Lock()
	p := r.current
	r.mu.Unlock()
	p.SetFaults(f)
	time.Sleep(lasts)
	p.SetFaults(platformside.ReplicaFaults{})
}

func (w *world) crashOne(rng *rand.Rand, lasts time.Duration) {
	w.crash(w.anyReplica(rng), lasts)
}

// leave makes a replica leave; nothing may reach it after the bound.
func (w *world) leave(rng *rand.Rand, _ time.Duration) {
	r := w.anyReplica(rng)
	r.mu.Lock()
	p, ok := r.current, r.listed
	r.mu.Unlock()
	if !ok {
		return
	}
	w.list(r, "draining")
	at := time.Now()
	time.Sleep(drainBound + time.Second)
	w.noneAfter(p, at.Add(drainBound), "after it reported that it leaves")
	w.list(r, "ready")
}

// evacuate withdraws a zone; nothing may reach its replicas after the bound.
func (w *world) evacuate(rng *rand.Rand, _ time.Duration) {
	zone := string(rune('a' + rng.IntN(2)))
	if _, ok := w.store.Get("evacuations", "a"); ok {
		return
	}
	if _, ok := w.store.Get("evacuations", "b"); ok {
		return
	}
	w.store.Put("evacuations", zone, map[string]any{})
	at := time.Now()
	time.Sleep(evacuationBound + time.Second)
	for _, r := range w.replicas {
		r.mu.Lock()
		p := r.current
		r.mu.Unlock()
		if r.zone == zone {
			w.noneAfter(p, at.Add(evacuationBound), "after its zone was withdrawn")
		}
	}
	w.store.Remove("evacuations", zone)
}

// noneAfter checks that calm VMs sent a replica nothing after a time. All VMs
// and the store have to be calm: a run does not tell which VM sent it.
func (w *world) noneAfter(p *platformside.Replica, after time.Time, what string) {
	if !w.storeCalm(inTouch + time.Second) {
		return
	}
	for _, v := range w.vms {
		if !v.calm(inTouch + time.Second) {
			return
		}
	}
	for _, run := range p.Runs() {
		if run.StartedAt.After(after) {
			w.broken("%s reached %s %v %s", run.ID, p.ID, run.StartedAt.Sub(after), what)
		}
	}
}

func (w *world) changeRoutes(rng *rand.Rand, _ time.Duration) {
	var more []map[string]any
	for i := range rng.IntN(5) {
		more = append(more, map[string]any{"name": fmt.Sprintf("more-%d", i), "host": host, "pathPrefix": fmt.Sprintf("/more%d/", i), "routeType": "safe", "timeoutMs": 1000, "service": orderService, "maxAttempts": 2})
	}
	w.configure(more)
}

func (w *world) revoke(*rand.Rand, time.Duration) { w.rotateKey() }
