package edge

import "time"

// Callers abandon a stream after a gap of minCallerGap, of callerLatencyFactor times the
// target latency or of callerGapFactor times the target gap, whichever is longest.
const (
	minCallerGap        = 2 * time.Second
	callerLatencyFactor = 4
	callerGapFactor     = 8
)

// callerPatience returns how long a caller may take nothing of its response until it is
// given up: as long as it would wait itself for a response that stands still, and
// maxPeerSilence, during which a sound peer may be silent.
func callerPatience(targetLatency, targetGap time.Duration) time.Duration {
	return max(minCallerGap, callerLatencyFactor*targetLatency, callerGapFactor*targetGap) + maxPeerSilence
}

// takeCheckShare is the share of a caller's patience after which a write that blocks is
// checked. A caller is given up at most three checks after its patience has ended.
const takeCheckShare = 0.125

// takeCheckInterval returns the time between two checks of a write that blocks.
func takeCheckInterval(patience time.Duration) time.Duration {
	return time.Duration(takeCheckShare * float64(patience))
}

// takeWatch decides whether a caller that blocks a write still takes anything. Its zero
// value is for a write that has not blocked yet.
type takeWatch struct {
	checked bool
	taken   uint64 // bytes, at the latest progress
	takenAt time.Time
}

// stalled reports whether the caller has taken nothing for the time of its patience, given
// the number of bytes that it has taken since its connection began. The first check of a
// write counts as progress, because nothing is known of the time before it.
func (w *takeWatch) stalled(now time.Time, taken uint64, patience time.Duration) bool {
	if !w.checked || taken != w.taken {
		w.checked, w.taken, w.takenAt = true, taken, now
		return false
	}
	return now.Sub(w.takenAt) >= patience
}
