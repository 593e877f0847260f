package canary

import (
	"math/bits"
	"slices"
	"time"
)

const (
	// slowPaceFactor: an attempt is slow if its pace is more than this multiple of the
	// fastest tenth on the versions in use. Many are at busy times; the share of
	// slow attempts on the old version is the measure.
	slowPaceFactor = 2.5
	// callPaceMargin is how much longer than another call one may take because of the
	// network between zones and connections that are opened.
	callPaceMargin = 20 * time.Millisecond
	// minSlowOutcomes is the number of slow streams below which a version is not
	// judged by them unless most are slow.
	minSlowOutcomes = 5
	// idlePaceFactor is the multiple up to which a pace is that of an upstream
	// with nothing else to do. At no more than the usual load some attempts always
	// have it; a version on which none has is slow.
	idlePaceFactor = 1.5
	// minAboveIdleOutcomes is the number of attempts above idlePaceFactor below
	// which a version is not judged by them.
	minAboveIdleOutcomes = 12
	// loadedPaceFactor: an attempt is slow at its load if its pace is more than this
	// multiple of the median at the same load on the versions in use.
	loadedPaceFactor = 1.5
	// minLoadedOutcomes is the number of attempts that are slow at their load below
	// which a version is not judged by them.
	minLoadedOutcomes = 6
	// fasterStep and slowerStep are the shares by which a faster and a slower pace move
	// the estimate. With their ratio it stays where a tenth are faster.
	fasterStep = 0.09
	slowerStep = 0.01
	// minPaces is the number of paces on the versions in use that make an estimate;
	// until then it is the fastest.
	minPaces = 5
	// maxReferences limits the kinds of work with an estimate.
	maxReferences = 64
)

// paceKeyPrefix begins the keys of tallies that count attempts by their pace or load, and
// aboveIdleKeyPrefix of these the ones that count attempts above
// idlePaceFactor. loadedPaceKey counts attempts of all kinds of work by their pace at
// their load. Names of routes never begin with them.
const (
	paceKeyPrefix      = "\x00"
	aboveIdleKeyPrefix = paceKeyPrefix + "\x00"
	loadedPaceKey      = paceKeyPrefix + "\x01"
	callPaceKeyPrefix  = paceKeyPrefix + "\x02"
	// failuresAtLoadPrefix begins the keys of tallies that count failures at a load.
	failuresAtLoadPrefix = paceKeyPrefix + "\x03"
)

// Pace is how fast an upstream worked on an attempt, in time per unit of work: per
// event of a stream, or per call.
type Pace struct {
	Service string
	Version string
	// Work is the kind of work whose paces are comparable: a model, or a route of a
	// plain service.
	Work    string
	PerUnit time.Duration
	// Call is true for a call of a plain service, whose pace includes the network.
	Call bool
	// Running is the number of requests that the upstream was running, or
	// UnknownRunning.
	Running int
}

// exceeds reports whether the pace is slower than a multiple of a reference pace in
// seconds, and not only by what the network takes.
func (p Pace) exceeds(multiple, perUnit float64) bool {
	difference := p.PerUnit.Seconds() - perUnit
	return difference > (multiple-1)*perUnit && (!p.Call || difference > callPaceMargin.Seconds())
}

// key returns the key of the tally that counts the attempt by its pace.
func (p Pace) key() string {
	if p.Call {
		return callPaceKeyPrefix + p.Work
	}
	return paceKeyPrefix + p.Work
}

// UnknownRunning is the load of an upstream that did not report it.
const UnknownRunning = -1

// reference is what is known of the paces of some work on the versions in use.
type reference struct {
	perUnit float64 // estimate of the fastest tenth, in seconds
	running float64 // estimate of the median load
	samples int
	byLoad  [loadClasses]recentPaces
}

// runningStep is the step, in requests, by which a load moves the estimate of the
// median.
const runningStep = 0.2

// loadClasses is the number of classes of loads: 0, 1, 2 to 3, 4 to 7 requests and so
// on. The last one has no upper end.
const loadClasses = 7

func loadClass(running int) int { return min(bits.Len(uint(max(running, 0))), loadClasses-1) }

// maxRecentPaces limits the paces that make a median.
const maxRecentPaces = 32

// recentPaces are the latest paces at one class of loads, in seconds.
type recentPaces struct {
	paces []float64
	next  int // index of the oldest pace once there are maxRecentPaces
}

func (r *recentPaces) add(perUnit float64) {
	if len(r.paces) < maxRecentPaces {
		r.paces = append(r.paces, perUnit)
		return
	}
	r.paces[r.next] = perUnit
	r.next = (r.next + 1) % maxRecentPaces
}

func (r *recentPaces) median() float64 {
	sorted := slices.Sorted(slices.Values(r.paces))
	return sorted[len(sorted)/2]
}

func (r *reference) add(p Pace) {
	r.addPace(p.PerUnit.Seconds())
	if p.Running == UnknownRunning {
		return
	}
	r.byLoad[loadClass(p.Running)].add(p.PerUnit.Seconds())
	if running := float64(p.Running); running > r.running {
		r.running += runningStep
	} else {
		r.running = max(r.running-runningStep, 0)
	}
}

// atLoad returns the median pace at a load, or at the next higher load that is
// known: no work gets slower at a lower load. It returns false if none is, or if the
// load is unknown.
func (r *reference) atLoad(running int) (float64, bool) {
	if running == UnknownRunning {
		return 0, false
	}
	for i := loadClass(running); i < loadClasses; i++ {
		if len(r.byLoad[i].paces) >= minPaces {
			return r.byLoad[i].median(), true
		}
	}
	return 0, false
}

func (r *reference) addPace(perUnit float64) {
	r.samples++
	switch {
	case r.samples == 1:
		r.perUnit = perUnit
	case r.samples <= minPaces:
		r.perUnit = min(r.perUnit, perUnit)
	case perUnit < r.perUnit:
		r.perUnit *= 1 - fasterStep
	default:
		r.perUnit *= 1 + slowerStep
	}
}

// RecordPace learns from the paces on the versions in use, and counts attempts on
// both versions by their pace.
func (c *Core) RecordPace(now time.Time, p Pace) {
	if p.PerUnit <= 0 {
		return
	}
	r := c.rollOuts[p.Service]
	rolling := r != nil && r.rollOut.Phase == InProgress
	isNew := rolling && p.Version == r.rollOut.NewVersion
	ref := c.reference(p.Service + "/" + p.Work)
	if ref == nil {
		return
	}
	if rolling && ref.samples >= minPaces {
		own := r.countersByIncarnation[c.incarnation]
		own.addPace(isNew, p, ref, r.progress(now) < r.rampEnd())
	}
	if !isNew {
		ref.add(p)
	}
}

// addPace counts an attempt by its pace. compared is true while both versions have
// load; the paces of streams, which depend on it, count only then.
func (c Counters) addPace(isNew bool, p Pace, ref *reference, compared bool) {
	if p.Running != UnknownRunning && float64(p.Running) <= ref.running {
		c.add(isNew, aboveIdleKeyPrefix+p.Work, p.exceeds(idlePaceFactor, ref.perUnit))
	}
	if !compared && !p.Call {
		return
	}
	c.add(isNew, p.key(), p.exceeds(slowPaceFactor, ref.perUnit))
	if median, ok := ref.atLoad(p.Running); ok {
		c.add(isNew, loadedPaceKey, p.exceeds(loadedPaceFactor, median))
	}
}

// reference returns the estimate for some work, or nil if there are too many.
func (c *Core) reference(key string) *reference {
	ref := c.references[key]
	if ref == nil && len(c.references) < maxReferences {
		ref = &reference{}
		c.references[key] = ref
	}
	return ref
}

// add counts an outcome on the new version or on the others.
func (c Counters) add(isNew bool, key string, bad bool) {
	tallies := c.Old
	if isNew {
		tallies = c.New
	}
	t := tallies[key]
	t.Total++
	if bad {
		t.Bad++
	}
	tallies[key] = t
}
