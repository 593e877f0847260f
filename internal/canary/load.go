package canary

import "strconv"

// judgedLoads are the numbers of running requests from which on failures are compared
// at the same load. Lower ones are those of an idle upstream.
var judgedLoads = [...]int{2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64}

// addAtLoad counts an outcome for each judged load up to that of its upstream. A
// version that fails only under load fails in few of all requests, but in many of
// those at a high load.
func (c Counters) addAtLoad(isNew bool, running int, bad bool) {
	for _, load := range judgedLoads {
		if running < load {
			return
		}
		c.add(isNew, failuresAtLoadPrefix+strconv.Itoa(load), bad)
	}
}

// Load is the load of a version's upstreams as they reported it with their responses.
type Load struct {
	// Reports is the number of responses that came with the upstream's load.
	Reports uint32 `cbor:"1,keyasint"`
	// Sum and Most are the sum and the maximum of the requests that an upstream was
	// running.
	Sum  uint64 `cbor:"2,keyasint"`
	Most uint32 `cbor:"3,keyasint"`
}

func (l *Load) add(running int) {
	if running == UnknownRunning {
		return
	}
	l.Reports++
	l.Sum += uint64(max(running, 0))
	l.Most = max(l.Most, uint32(max(running, 0)))
}

func (l *Load) merge(other Load) {
	l.Reports += other.Reports
	l.Sum += other.Sum
	l.Most = max(l.Most, other.Most)
}

// Mean returns the average number of requests that an upstream was running.
func (l Load) Mean() float64 { return float64(l.Sum) / float64(max(l.Reports, 1)) }
