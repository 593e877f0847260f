package overload

import "time"

// That a more urgent priority is not served less often than a less urgent one.
//
// Load pattern: a zone's upstreams that come back cold. Waits are then about as long as the
// short targets of urgent requests. These become late while they wait, those of less
// urgent kinds with longer targets do not, and the order would serve the latter first.

// maxPriority is the largest priority that counts on its own; those above count with it.
const maxPriority = 9

func priorityOf(r *Request) int { return min(max(r.Priority, 0), maxPriority) }

// inversions tells which priorities were served less often lately than a less urgent one.
type inversions struct {
	served [maxPriority + 1]served
}

func (v *inversions) recordDemand(now time.Time, r *Request) {
	e := &v.served[priorityOf(r)]
	e.decay(now)
	e.demand++
}

func (v *inversions) recordGrant(now time.Time, r *Request) {
	e := &v.served[priorityOf(r)]
	e.decay(now)
	e.grants++
}

// inverted reports for each priority whether it was served less often than a less urgent
// one.
func (v *inversions) inverted(now time.Time) (out [maxPriority + 1]bool) {
	highest := 0.0 // share of the less urgent priorities
	for p := maxPriority; p >= 0; p-- {
		e := &v.served[p]
		e.decay(now)
		if e.demand < minNeglectDemand {
			continue
		}
		out[p] = e.share() < highest
		highest = max(highest, e.share())
	}
	return out
}
