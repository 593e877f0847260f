package placement

import "time"

const (
	historyStep  = 250 * time.Millisecond
	historySteps = 32
)

// inflightHistory records the number of this VM's runs on one upstream over
// the last eight seconds, so that the runs counted in a delayed report can be
// subtracted from it.
type inflightHistory struct {
	counts [historySteps]int32
	last   int64
}

// record stores the count that was valid until now.
func (h *inflightHistory) record(count int, now time.Time) {
	step := now.UnixNano() / int64(historyStep)
	if h.last == 0 {
		h.last = step
	}
	if step-h.last >= historySteps {
		h.last = step - historySteps
	}
	for h.last < step {
		h.last++
		h.counts[h.last%historySteps] = int32(count)
	}
}

// countAt returns the count at a past time, or current if no later change is
// recorded.
func (h *inflightHistory) countAt(t time.Time, current int) int {
	step := t.UnixNano() / int64(historyStep)
	if h.last == 0 || step >= h.last {
		return current
	}
	if h.last-step >= historySteps {
		step = h.last - historySteps + 1
	}
	return int(h.counts[(step+1)%historySteps])
}
