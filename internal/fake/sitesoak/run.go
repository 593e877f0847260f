package sitesoak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"
)

const (
	// startTimeout is the maximum time until all VMs are ready after their start.
	startTimeout = 10 * time.Second
	// recoveryTimeout is the maximum time until all VMs are ready after the last
	// fault, and the timeout of each request that checkRecovery sends.
	recoveryTimeout = 8 * time.Second
	// recoveryRequests is the number of requests sent to each VM after the last
	// fault. checkRecovery requires that 80 % of them succeed.
	recoveryRequests = 30
)

// Result is the result of one run.
type Result struct {
	Seed       uint64
	Requests   int
	Served     int
	Events     []string
	Violations []string
	// ApplyTimes are the times from the confirmation of a configuration to its first
	// effect at a VM without recent faults, in ascending order.
	ApplyTimes []time.Duration
}

// Run runs the soak with one seed.
func Run(opts Options) (Result, error) {
	w, err := newHarness(opts)
	if err != nil {
		return Result{}, err
	}
	defer w.close()
	defer w.stopAll()
	if opts.OnStart != nil {
		opts.OnStart(w.stopAll)
	}
	for _, v := range w.vms {
		if err := v.start(); err != nil {
			return Result{}, err
		}
	}
	if !w.waitAllReady(startTimeout) {
		return Result{}, errors.New("the VMs did not get ready")
	}
	ctx, stop := context.WithCancel(context.Background())
	callers := w.startCallers(ctx)
	for _, v := range w.vms {
		callers.Go(func() { w.probeConfigs(ctx, v) })
	}
	w.runSchedule(time.Now().Add(opts.Duration))
	w.checkRecovery()
	stop()
	callers.Wait()
	for _, v := range w.vms {
		if v.exitedUnexpectedly() {
			w.recordViolation("%s: exited unexpectedly", v.name)
		}
	}
	w.stopAll()
	w.checkRuns()
	return w.result(), nil
}

func (h *harness) result() Result {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := Result{Seed: h.opts.Seed, Events: h.events, Violations: h.violations}
	for _, q := range h.requests {
		if q.probe {
			continue
		}
		r.Requests++
		if q.status == http.StatusOK {
			r.Served++
		}
	}
	r.ApplyTimes = slices.Sorted(slices.Values(h.applyTimes))
	return r
}

func (h *harness) waitAllReady(timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, v := range h.vms {
			if v.isReady() {
				ready++
			}
		}
		if ready == len(h.vms) {
			return true
		}
	}
	return false
}

// checkRecovery checks that every VM serves requests again after the last fault.
func (h *harness) checkRecovery() {
	h.recordEvent("end of faults")
	if !h.waitAllReady(recoveryTimeout) {
		h.recordViolation("not all VMs were ready %v after the last fault", recoveryTimeout)
		return
	}
	time.Sleep(minFaultFreeTime)
	rng := rand.New(rand.NewPCG(h.opts.Seed, 9))
	for i, v := range h.vms {
		t := &http.Transport{DisableCompression: true}
		servedBefore := h.servedCount(v.name)
		for n := range recoveryRequests {
			ctx, cancel := context.WithTimeout(context.Background(), recoveryTimeout)
			h.send(ctx, t, rng, v, fmt.Sprintf("%d-r%d-%d", h.opts.Seed, i, n)) // servedCount counts the successes
			cancel()
		}
		t.CloseIdleConnections()
		if served := h.servedCount(v.name) - servedBefore; served < recoveryRequests*8/10 {
			h.recordViolation("%s: %d of %d requests served after the last fault", v.name, served, recoveryRequests)
		}
	}
	h.checkPlannedOperations(rng)
}

// checkPlannedOperations drains a replica and withdraws a zone while there are no
// faults, because the limits for both can only be checked then.
func (h *harness) checkPlannedOperations(rng *rand.Rand) {
	time.Sleep(time.Second) // checkNoRunsAfter requires one second more than minFaultFreeTime
	h.recordEvent("planned operations")
	h.drainReplica(rng, 0)
	h.withdrawZone(rng, 0)
	h.stopUnderKeptConns(rng)
}

func (h *harness) servedCount(vm string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, r := range h.requests {
		if r.vm == vm && r.status == http.StatusOK {
			n++
		}
	}
	return n
}

// stopAll kills the processes that this run started.
func (h *harness) stopAll() {
	for _, v := range h.vms {
		v.mu.Lock()
		v.exitExpected = true
		cmd := v.cmd
		v.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Signal(syscall.SIGCONT) // it may be paused
			_ = cmd.Process.Signal(syscall.SIGKILL) // it may have ended
			v.waitForExit(stopTimeout)
		}
	}
}

// Print writes the result. It lists the schedule and the violations only when
// there are violations.
func (r Result) Print(out io.Writer) {
	fmt.Fprintf(out, "seed %d: %d requests, %d served, %d events, %d violations\n", r.Seed, r.Requests, r.Served, len(r.Events), len(r.Violations))
	if n := len(r.ApplyTimes); n > 0 {
		fmt.Fprintf(out, "  configurations in force after %v (median), %v (99 in 100), %v (last), %d times\n", r.ApplyTimes[n/2], r.ApplyTimes[n*99/100], r.ApplyTimes[n-1], n)
	}
	if len(r.Violations) == 0 {
		return
	}
	for _, event := range r.Events {
		fmt.Fprintln(out, "  event ", event)
	}
	for _, violation := range r.Violations {
		fmt.Fprintln(out, "  VIOLATION", violation)
	}
}
