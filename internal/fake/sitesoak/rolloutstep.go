package sitesoak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cranberrypier/cranberrypier/internal/fake/platformside"
)

const (
	// rollOutDuration is the duration of a roll-out.
	rollOutDuration = 12 * time.Second
	// maxRollbackTime is the time after the badAnswers'th bad response of a bad version
	// from which it receives no more requests.
	maxRollbackTime = 5 * time.Second
	badAnswers      = 50
	// exposureShare and exposureTolerance limit the requests to a bad version.
	exposureShare     = 0.15
	exposureTolerance = 30
	// drainAfterRevert is the delay until replicas of a reverted version drain.
	drainAfterRevert = 3 * time.Second
)

// badVersions are the faults of the versions that are rolled out; the first is none.
var badVersions = []platformside.ReplicaFaults{
	{}, {FailShare: 0.5}, {FailShare: 0.25}, {SlowShare: 0.5, Slowdown: 8}, {SlowShare: 1, Slowdown: 8}, {FailShare: 0.5, FaultyTarget: "/look/"},
}

// rollOut is the step that rolls out a version of a service, one at a time, and checks the
// exposure of a bad one.
func (h *harness) rollOut(rng *rand.Rand, _ time.Duration) {
	if !h.rollOutMu.TryLock() {
		return
	}
	defer h.rollOutMu.Unlock()
	service := []string{engineService, orderService}[rng.IntN(2)]
	faults := badVersions[rng.IntN(len(badVersions))]
	old := h.replicasOf(service)
	h.versions++
	target := fmt.Sprintf("v%d", h.versions+1)
	var added []*replica
	for i, r := range old {
		next, err := h.addReplica(fmt.Sprintf("%s-%s-%d", service, target, i), service, r.zone, target)
		if err != nil {
			h.recordViolation("replicas of %s not started: %v", target, err)
			return
		}
		next.setFaults(faults)
		added = append(added, next)
	}
	h.recordEvent("roll-out of %s %s: %+v", service, target, faults)
	h.store.Put("rollouts", service, map[string]any{"service": service, "target": target, "durationS": rollOutDuration.Seconds()})
	begin := time.Now()
	state := h.waitRollOut(service, target, begin.Add(rollOutDuration+time.Second))
	h.recordEvent("roll-out of %s %s: %q after %v", service, target, state, time.Since(begin))
	if faults.IsBad() {
		defer h.checkExposure(old, added, begin)
	}
	gone := added
	if state == "completed" {
		gone = old
	} else {
		time.Sleep(drainAfterRevert)
		for _, r := range gone {
			h.publish(r, "draining")
		}
		time.Sleep(maxDrainTime + time.Second)
	}
	for _, r := range gone {
		h.retire(r)
	}
	if state == "completed" && faults.IsBad() {
		time.Sleep(rollOutDuration / 2)
		for _, r := range added {
			r.setFaults(platformside.ReplicaFaults{})
		}
	}
}

// waitRollOut waits until the VMs have reported an end of a roll-out and returns it; empty
// if they report none in time.
func (h *harness) waitRollOut(service, target string, deadline time.Time) string {
	for ; time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		o, _ := h.store.Get("rollouts", service)
		var status struct{ State, Target string }
		if json.Unmarshal(o.Status, &status) == nil && status.Target == target && status.State != "in_progress" {
			return status.State
		}
	}
	return ""
}

// checkExposure checks the requests that replicas of a bad version executed. It does not
// check a roll-out during which the store had faults.
func (h *harness) checkExposure(old, added []*replica, begin time.Time) {
	if !h.storeFaultFreeFor(time.Since(begin) + minFaultFreeTime) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	deadline := begin.Add(rollOutDuration)
	all, exposed, bad := 0, 0, 0
	var limit time.Time
	for _, run := range runsByStart(old, added, begin) {
		r := h.requests[run.ID]
		if r == nil || !run.StartedAt.Before(deadline) && limit.IsZero() {
			continue
		}
		if run.StartedAt.Before(deadline) {
			all++
		}
		if run.version == 0 {
			continue
		}
		if run.StartedAt.Before(deadline) {
			exposed++
		}
		if run.Bad {
			if bad++; bad == badAnswers {
				limit = run.StartedAt.Add(maxRollbackTime)
			}
		}
		if !limit.IsZero() && r.sentAt.After(limit) {
			h.violate("%s on %s: sent to a bad version %v past the limit", run.ID, r.vm, r.sentAt.Sub(limit))
		}
	}
	if float64(exposed) > exposureShare*float64(all)+exposureTolerance {
		h.violate("%d of %d requests reached a bad version until the deadline", exposed, all)
	}
}

// versionRun is a run on an old (0) or a new (1) version.
type versionRun struct {
	platformside.Run
	version int
}

// runsByStart returns the runs since begin in the order in which they began.
func runsByStart(old, added []*replica, begin time.Time) []versionRun {
	var out []versionRun
	for version, replicas := range [][]*replica{old, added} {
		for _, r := range replicas {
			for _, run := range r.runs() {
				if run.StartedAt.After(begin) {
					out = append(out, versionRun{run, version})
				}
			}
		}
	}
	slices.SortFunc(out, func(a, b versionRun) int { return a.StartedAt.Compare(b.StartedAt) })
	return out
}
