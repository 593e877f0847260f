package placement

import "time"

const (
	historyStep  = 250 * time.Millisecond
	historySteps = 32
)

// history remembers this VM's own runs on one upstream over the last eight
// seconds, so that a lagged report can be freed of the runs that it counted.
type inflightHistory struct {
	counts [historySteps]int32
	last   int64
}

// note records the count that held until now.
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

// at returns the count at a time in the past, current if it is not known to
// have changed since.
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
