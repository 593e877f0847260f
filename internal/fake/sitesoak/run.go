package sitesoak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"
)

const (
	// startTime bounds the start of all VMs.
	startTime = 10 * time.Second
	// recoverTime is within which all is served again after the last fault.
	recoverTime = 8 * time.Second
	// recoverRequests have to succeed at each VM then.
	recoverRequests = 30
)

// Result of one run.
type Result struct {
	Seed       uint64
	Requests   int
	Served     int
	Events     []string
	Violations []string
}

// Run plays one seed.
func Run(o Options) (Result, error) {
	w, err := newWorld(o)
	if err != nil {
		return Result{}, err
	}
	defer w.close()
	defer w.stopAll()
	if o.OnStart != nil {
		o.OnStart(w.stopAll)
	}
	for _, v := range w.vms {
		if err := v.start(); err != nil {
			return Result{}, err
		}
	}
	if !w.allReady(startTime) {
		return Result{}, errors.New("the VMs did not get ready")
	}
	ctx, stop := context.WithCancel(context.Background())
	done := w.callers(ctx)
	w.schedule(time.Now().Add(o.Duration))
	w.recovered()
	stop()
	done.Wait()
	for _, v := range w.vms {
		if v.died() {
			w.broken("%s: ended by itself", v.name)
		}
	}
	w.stopAll()
	w.checkRuns()
	return w.result(), nil
}

func (w *world) result() Result {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := Result{Seed: w.o.Seed, Requests: len(w.sent), Events: w.events, Violations: w.faults}
	for _, q := range w.sent {
		if q.status == http.StatusOK {
			r.Served++
		}
	}
	return r
}

func (w *world) allReady(within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, v := range w.vms {
			if v.isReady() {
				ready++
			}
		}
		if ready == len(w.vms) {
			return true
		}
	}
	return false
}

// recovered checks that after the last fault every VM serves again.
func (w *world) recovered() {
	w.note("no more faults")
	if !w.allReady(recoverTime) {
		w.broken("not all VMs were ready %v after the last fault", recoverTime)
		return
	}
	time.Sleep(inTouch)
	rng := rand.New(rand.NewPCG(w.o.Seed, 9))
	for i, v := range w.vms {
		t := &http.Transport{DisableCompression: true}
		before := w.servedBy(v.name)
		for n := range recoverRequests {
			ctx, cancel := context.WithTimeout(context.Background(), recoverTime)
			w.send(ctx, t, rng, v, fmt.Sprintf("%d-r%d-%d", w.o.Seed, i, n))
			cancel()
		}
		t.CloseIdleConnections()
		if got := w.servedBy(v.name) - before; got < recoverRequests*8/10 {
			w.broken("%s: %d of %d requests served after the last fault", v.name, got, recoverRequests)
		}
	}
	w.calmPlan(rng)
}

// calmPlan plays planned work while everything is calm, since only then the
// bounds of leaving and withdrawn replicas can be checked.
func (w *world) calmPlan(rng *rand.Rand) {
	time.Sleep(time.Second) // the checks ask for a little more than inTouch
	w.note("planned work")
	w.leave(rng, 0)
	w.evacuate(rng, 0)
}

func (w *world) servedBy(vm string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, r := range w.sent {
		if r.vm == vm && r.status == http.StatusOK {
			n++
		}
	}
	return n
}

// stopAll ends the processes that this run started.
func (w *world) stopAll() {
	for _, v := range w.vms {
		v.mu.Lock()
		v.expected = true
		cmd := v.cmd
		v.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Signal(syscall.SIGCONT) // it may be paused
			_ = cmd.Process.Signal(syscall.SIGKILL) // it may have ended
			v.wait(stopTime)
		}
	}
}

// Print writes a result; the schedule only when a promise was broken.
func (r Result) Print(out io.Writer) {
	fmt.Fprintf(out, "seed %d: %d requests, %d served, %d events, %d promises broken\n", r.Seed, r.Requests, r.Served, len(r.Events), len(r.Violations))
	if len(r.Violations) == 0 {
		return
	}
	for _, e := range r.Events {
		fmt.Fprintln(out, "  event ", e)
	}
	for _, f := range r.Violations {
		fmt.Fprintln(out, "  BROKEN", f)
	}
}
