package fleet

import "time"

// Upstreams of some services report with their answers how long work takes there at the
// moment, relative to the usual. Two estimates describe the speed of an upstream:
//
//   - The lasting one is learned from its own answers, with the reported figure divided
//     out: the average latency of a plain upstream, the slowdown of an engine.
//   - The momentary one is the latest figure. It multiplies the expected latency, and
//     fades to the average of the upstream's figures.
//
// An upstream that reports nothing has the figure 1 throughout.
const (
	// workTimeFade is how long after a report its figure has faded to the upstream's
	// average. A machine is slow for about as long at a time.
	workTimeFade = 600 * time.Millisecond
	// workTimeWeight is the weight of the newest figure in the average, once there are
	// enough of them.
	workTimeWeight = 0.05
	// minWorkTime and maxWorkTime bound the figures that are used, so that a single report
	// moves no estimate beyond what the estimate of the lasting speed may reach.
	minWorkTime = 0.1
	maxWorkTime = 10
)

// workTime is what an upstream reports of how long work takes there, as a multiple of the
// usual.
type workTime struct {
	reports    int
	latest     float64
	average    float64
	reportedAt time.Time
}

// record adds a figure; zero stands for none.
func (w *workTime) record(now time.Time, figure float64) {
	if figure <= 0 {
		return
	}
	w.latest, w.reportedAt = min(max(figure, minWorkTime), maxWorkTime), now
	if w.reports == 0 {
		w.average = 1 // counts as one report, so that the first one is not taken for the usual
	}
	w.reports++
	w.average += max(workTimeWeight, 1/float64(w.reports+1)) * (w.latest - w.average)
}

// at returns the figure that is expected at a time.
func (w *workTime) at(now time.Time) float64 {
	if w.reports == 0 {
		return 1
	}
	age := now.Sub(w.reportedAt)
	if age >= workTimeFade {
		return w.average
	}
	return w.latest + (w.average-w.latest)*float64(max(age, 0))/float64(workTimeFade)
}

// WorkTimeReporters returns the number of upstreams that have reported how long work takes
// there.
func (f *Fleet) WorkTimeReporters() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, m := range f.members {
		if m.work.reports > 0 {
			n++
		}
	}
	return n
}
