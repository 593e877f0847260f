package placement

import "time"

const (
	historyInterval = 250 * time.Millisecond
	historyLength   = 32
)

// inflightHistory records the number of this VM's runs on one upstream over
// the last eight seconds, so that the runs counted in a delayed report can be
// subtracted from it.
type inflightHistory struct {
	// counts[i%historyLength] is the count at the start of interval i; last is
	// the newest interval recorded.
	counts [historyLength]int32
	last   int64
}

// record stores the count that was valid until now.
func (h *inflightHistory) record(count int, now time.Time) {
	step := now.UnixNano() / int64(historyInterval)
	if h.last == 0 {
		h.last = step
	}
	if step-h.last >= historyLength {
		h.last = step - historyLength
	}
	for h.last < step {
		h.last++
		h.counts[h.last%historyLength] = int32(count)
	}
}

// countAt returns the count at the end of t's interval, which is the count at
// the start of the next interval, or current if that one is not recorded yet.
func (h *inflightHistory) countAt(t time.Time, current int) int {
	step := t.UnixNano() / int64(historyInterval)
	if h.last == 0 || step >= h.last {
		return current
	}
	if h.last-step >= historyLength {
		step = h.last - historyLength + 1
	}
	return int(h.counts[(step+1)%historyLength])
}
